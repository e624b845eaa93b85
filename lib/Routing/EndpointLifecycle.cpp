#include "catkinwing/Routing/EndpointLifecycle.h"

#include <algorithm>
#include <utility>

namespace catkinwing {

/// Maximum number of replaced incarnations kept per endpoint.
static constexpr std::size_t maxReplaced = 4;

static void noteLeaving(LifecycleStatus& status, const LifecycleSign& sign, TimePoint now)
{
    if (!sign.leaving || status.leaving)
        return;
    status.leaving = true;
    status.leavingSource = sign.source;
    status.leavingSince = now;
}

static LifecycleStatus startOf(const LifecycleSign& sign, TimePoint now)
{
    LifecycleStatus status;
    status.incarnation = sign.incarnation;
    status.startedAt = now;
    noteLeaving(status, sign, now);
    return status;
}

LifecycleChange EndpointLifecycle::record(const LifecycleSign& sign, TimePoint now)
{
    auto [known, added] = m_entries.try_emplace(sign.endpoint);
    Entry& entry = known->second;
    bool fromEndpoint = sign.source == LifecycleSource::Endpoint;
    if (added) {
        entry.present = startOf(sign, now);
        entry.confirmed = fromEndpoint;
        return LifecycleChange::Started;
    }
    if (sign.incarnation != entry.present.incarnation)
        return recordOther(entry, sign, now);
    entry.confirmed = entry.confirmed || fromEndpoint;
    bool wasLeaving = entry.present.leaving;
    noteLeaving(entry.present, sign, now);
    return entry.present.leaving && !wasLeaving ? LifecycleChange::Leaving : LifecycleChange::None;
}

LifecycleChange EndpointLifecycle::recordOther(Entry& entry, const LifecycleSign& sign, TimePoint now) const
{
    bool fromEndpoint = sign.source == LifecycleSource::Endpoint;
    auto isNamed = [&sign](const LifecycleStatus& status) { return status.incarnation == sign.incarnation; };
    auto old = std::find_if(entry.replaced.begin(), entry.replaced.end(), isNamed);
    if (old != entry.replaced.end() && !fromEndpoint) {
        noteLeaving(*old, sign, now);
        return LifecycleChange::None;
    }
    // A live incarnation that the endpoint itself has reported takes precedence
    // over an unconfirmed new one: an outdated list may name an earlier incarnation.
    if (old == entry.replaced.end() && !fromEndpoint && entry.confirmed && !entry.present.leaving)
        return LifecycleChange::None;
    LifecycleStatus next = startOf(sign, now);
    if (old != entry.replaced.end()) {
        // The endpoint itself reports the replaced incarnation, which overrides
        // its replacement. The state of the incarnation is restored, including
        // whether it is leaving.
        next = *old;
        noteLeaving(next, sign, now);
        entry.replaced.erase(old);
    }
    entry.replaced.push_back(std::exchange(entry.present, std::move(next)));
    if (entry.replaced.size() > maxReplaced)
        entry.replaced.erase(entry.replaced.begin());
    entry.confirmed = fromEndpoint;
    return LifecycleChange::Started;
}

const LifecycleStatus* EndpointLifecycle::status(absl::string_view endpoint) const
{
    auto known = m_entries.find(endpoint);
    return known == m_entries.end() ? nullptr : &known->second.present;
}

bool EndpointLifecycle::takesWork(absl::string_view endpoint) const
{
    const LifecycleStatus* known = status(endpoint);
    return known && !known->leaving;
}

void EndpointLifecycle::forget(absl::string_view endpoint)
{
    m_entries.erase(endpoint);
}

} // namespace catkinwing
