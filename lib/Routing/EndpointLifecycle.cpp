#include "catkinwing/Routing/EndpointLifecycle.h"

#include <algorithm>
#include <utility>

namespace catkinwing {

/// Maximum number of replaced incarnations kept per endpoint.
static constexpr std::size_t maxReplaced = 4;

static void recordLeaving(LifecycleStatus& status, const LifecycleReport& report, TimePoint now)
{
    if (!report.leaving || status.leaving)
        return;
    status.leaving = true;
    status.leavingSource = report.source;
    status.leavingSince = now;
}

static LifecycleStatus makeStatus(const LifecycleReport& report, TimePoint now)
{
    LifecycleStatus status;
    status.incarnation = report.incarnation;
    status.startedAt = now;
    recordLeaving(status, report, now);
    return status;
}

LifecycleChange EndpointLifecycle::record(const LifecycleReport& report, TimePoint now)
{
    auto [known, added] = m_endpoints.try_emplace(report.endpoint);
    TrackedEndpoint& tracked = known->second;
    bool fromEndpoint = report.source == LifecycleSource::Endpoint;
    if (added) {
        tracked.present = makeStatus(report, now);
        tracked.confirmed = fromEndpoint;
        return LifecycleChange::Started;
    }
    if (report.incarnation != tracked.present.incarnation)
        return recordOtherIncarnation(tracked, report, now);
    tracked.confirmed = tracked.confirmed || fromEndpoint;
    bool wasLeaving = tracked.present.leaving;
    recordLeaving(tracked.present, report, now);
    return tracked.present.leaving && !wasLeaving ? LifecycleChange::Leaving : LifecycleChange::None;
}

LifecycleChange EndpointLifecycle::recordOtherIncarnation(TrackedEndpoint& tracked, const LifecycleReport& report, TimePoint now) const
{
    bool fromEndpoint = report.source == LifecycleSource::Endpoint;
    auto isSameIncarnation = [&report](const LifecycleStatus& status) { return status.incarnation == report.incarnation; };
    auto former = std::find_if(tracked.replaced.begin(), tracked.replaced.end(), isSameIncarnation);
    if (former != tracked.replaced.end() && !fromEndpoint) {
        recordLeaving(*former, report, now);
        return LifecycleChange::None;
    }
    // A live incarnation that the endpoint itself has reported takes precedence
    // over an unconfirmed new one: an outdated list may name an earlier incarnation.
    if (former == tracked.replaced.end() && !fromEndpoint && tracked.confirmed && !tracked.present.leaving)
        return LifecycleChange::None;
    LifecycleStatus next = makeStatus(report, now);
    if (former != tracked.replaced.end()) {
        // The endpoint itself reports the replaced incarnation, which overrides
        // its replacement. The state of the incarnation is restored, including
        // whether it is leaving.
        next = *former;
        recordLeaving(next, report, now);
        tracked.replaced.erase(former);
    }
    tracked.replaced.push_back(std::exchange(tracked.present, std::move(next)));
    if (tracked.replaced.size() > maxReplaced)
        tracked.replaced.erase(tracked.replaced.begin());
    tracked.confirmed = fromEndpoint;
    return LifecycleChange::Started;
}

const LifecycleStatus* EndpointLifecycle::status(absl::string_view endpoint) const
{
    auto known = m_endpoints.find(endpoint);
    return known == m_endpoints.end() ? nullptr : &known->second.present;
}

bool EndpointLifecycle::acceptsRequests(absl::string_view endpoint) const
{
    const LifecycleStatus* known = status(endpoint);
    return known && !known->leaving;
}

void EndpointLifecycle::remove(absl::string_view endpoint)
{
    m_endpoints.erase(endpoint);
}

} // namespace catkinwing
