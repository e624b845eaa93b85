#include "catkinwing/Routing/EndpointLifecycle.h"

#include <algorithm>
#include <utility>

namespace catkinwing {

/// Maximum number of replaced incarnations kept per endpoint.
static constexpr std::size_t maxReplaced = 4;

static void recordLeaving(LifecycleStatus& status, const LifecycleSign& report, TimePoint now)
{
    if (!report.leaving || status.leaving)
        return;
    status.leaving = true;
    status.leavingSource = report.source;
    status.leavingSince = now;
}

static LifecycleStatus makeStatus(const LifecycleSign& report, TimePoint now)
{
    LifecycleStatus status;
    status.incarnation = report.incarnation;
    status.startedAt = now;
    recordLeaving(status, report, now);
    return status;
}

LifecycleChange EndpointLifecycle::record(const LifecycleSign& report, TimePoint now)
{
    auto [known, added] = m_entries.try_emplace(report.endpoint);
    Entry& entry = known->second;
    bool fromEndpoint = report.source == LifecycleSource::Endpoint;
    if (added) {
        entry.present = makeStatus(report, now);
        entry.confirmed = fromEndpoint;
        return LifecycleChange::Started;
    }
    if (report.incarnation != entry.present.incarnation)
        return recordOtherIncarnation(entry, report, now);
    entry.confirmed = entry.confirmed || fromEndpoint;
    bool wasLeaving = entry.present.leaving;
    recordLeaving(entry.present, report, now);
    return entry.present.leaving && !wasLeaving ? LifecycleChange::Leaving : LifecycleChange::None;
}

LifecycleChange EndpointLifecycle::recordOtherIncarnation(Entry& entry, const LifecycleSign& report, TimePoint now) const
{
    bool fromEndpoint = report.source == LifecycleSource::Endpoint;
    auto isSameIncarnation = [&report](const LifecycleStatus& status) { return status.incarnation == report.incarnation; };
    auto former = std::find_if(entry.replaced.begin(), entry.replaced.end(), isSameIncarnation);
    if (former != entry.replaced.end() && !fromEndpoint) {
        recordLeaving(*former, report, now);
        return LifecycleChange::None;
    }
    // A live incarnation that the endpoint itself has reported takes precedence
    // over an unconfirmed new one: an outdated list may name an earlier incarnation.
    if (former == entry.replaced.end() && !fromEndpoint && entry.confirmed && !entry.present.leaving)
        return LifecycleChange::None;
    LifecycleStatus next = makeStatus(report, now);
    if (former != entry.replaced.end()) {
        // The endpoint itself reports the replaced incarnation, which overrides
        // its replacement. The state of the incarnation is restored, including
        // whether it is leaving.
        next = *former;
        recordLeaving(next, report, now);
        entry.replaced.erase(former);
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

bool EndpointLifecycle::acceptsRequests(absl::string_view endpoint) const
{
    const LifecycleStatus* known = status(endpoint);
    return known && !known->leaving;
}

void EndpointLifecycle::remove(absl::string_view endpoint)
{
    m_entries.erase(endpoint);
}

} // namespace catkinwing
