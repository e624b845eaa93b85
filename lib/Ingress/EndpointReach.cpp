#include "catkinwing/Ingress/EndpointReach.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

// One endpoint that fails may have crashed, which other entries see as well. If several fail
// and nothing is received from any other, the cause is more likely the network of this entry.
// A wrong conclusion costs little: other entries carry the requests for a moment.

/// Number of endpoints that must have failed.
static constexpr std::size_t minFailedEndpoints = 2;
/// Time without bytes from any endpoint. Several endpoints may crash between two answers.
static constexpr milliseconds minSilence { 100 };
/// A failure is no evidence any more after this time, unless it was confirmed since.
static constexpr milliseconds failureLifetime { 10'000 };
/// Time from a failed test whether endpoints are reached again to the next one.
static constexpr milliseconds probeInterval { 250 };
/// Time after which a test without a result counts as failed.
static constexpr milliseconds maxProbeTime { 1'000 };
/// Additional time for which a test waits for a request that may be repeated.
static constexpr milliseconds repeatableProbeWait { 500 };

bool EndpointReach::showsCut(const Evidence& evidence, TimePoint now)
{
    if (evidence.failures.size() < minFailedEndpoints || now - evidence.receivedAt < minSilence)
        return false;
    std::size_t recent = 0;
    for (const auto& [endpoint, at] : evidence.failures)
        recent += now - at < failureLifetime ? 1 : 0;
    return recent >= minFailedEndpoints;
}

bool EndpointReach::recordReceived(absl::string_view service, TimePoint now)
{
    bool wasCutOff = isCutOff(service, now);
    for (Evidence* evidence : { &m_all, &m_services[service] }) {
        evidence->receivedAt = now;
        evidence->failures.clear();
        evidence->isCutTaken = false;
    }
    return wasCutOff;
}

void EndpointReach::recordFailure(absl::string_view service, std::uint32_t endpoint, TimePoint now)
{
    Evidence& ofService = m_services[service];
    m_all.failures[endpoint] = now;
    ofService.failures[endpoint] = now;
    ofService.nextProbeAt = std::min(ofService.nextProbeAt, now + probeInterval);
}

bool EndpointReach::isCutOff(absl::string_view service, TimePoint now) const
{
    if (showsCut(m_all, now))
        return true;
    auto found = m_services.find(service);
    return found != m_services.end() && showsCut(found->second, now);
}

bool EndpointReach::takeNewCut(TimePoint now)
{
    auto take = [now](Evidence& evidence) {
        bool isNew = !evidence.isCutTaken && showsCut(evidence, now);
        evidence.isCutTaken |= isNew;
        return isNew;
    };
    bool hasNew = take(m_all);
    for (auto& [service, evidence] : m_services)
        hasNew |= take(evidence);
    return hasNew;
}

bool EndpointReach::hasFailed(absl::string_view service, std::uint32_t endpoint) const
{
    auto found = m_services.find(service);
    return found != m_services.end() && found->second.failures.count(endpoint) > 0;
}

std::vector<std::uint32_t> EndpointReach::failedEndpoints() const
{
    std::vector<std::uint32_t> endpoints;
    for (const auto& [endpoint, at] : m_all.failures)
        endpoints.push_back(endpoint);
    return endpoints;
}

bool EndpointReach::tryProbe(absl::string_view service, bool mayRepeat, TimePoint now)
{
    Evidence& evidence = m_services[service];
    if (now < evidence.nextProbeAt + (mayRepeat ? milliseconds(0) : repeatableProbeWait))
        return false;
    evidence.nextProbeAt = now + maxProbeTime;
    return true;
}

} // namespace catkinwing
