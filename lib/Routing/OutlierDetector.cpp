#include "catkinwing/Routing/OutlierDetector.h"

#include "Seconds.h"
#include <algorithm>
#include <cmath>
#include <map>

namespace catkinwing {

static constexpr std::size_t minPeersForMedian = 3;

OutlierDetector::OutlierDetector(OutlierPolicy policy)
    : m_policy(policy)
{
}

OutlierDetector::TrackedEndpoint& OutlierDetector::findOrAdd(absl::string_view endpoint, absl::string_view peerGroup, absl::string_view incarnation, TimePoint now)
{
    auto& known = m_endpoints[endpoint];
    if (!known || known->incarnation != incarnation) {
        known = std::make_unique<TrackedEndpoint>();
        known->incarnation = std::string(incarnation);
        known->healthySince = now;
    }
    known->peerGroup = std::string(peerGroup);
    return *known;
}

void OutlierDetector::add(absl::string_view endpoint, absl::string_view peerGroup, absl::string_view incarnation, TimePoint now)
{
    findOrAdd(endpoint, peerGroup, incarnation, now);
}

void OutlierDetector::remove(absl::string_view endpoint)
{
    m_endpoints.erase(endpoint);
}

void OutlierDetector::record(const EndpointOutcome& outcome, TimePoint now)
{
    TrackedEndpoint& known = findOrAdd(outcome.endpoint, outcome.peerGroup, outcome.incarnation, now);
    // Outcomes that arrive during an ejection belong to requests sent before it and are
    // ignored.
    if (known.ejected)
        return;
    known.unreachableInARow = outcome.unreachable ? known.unreachableInARow + 1 : 0;
    if (!outcome.unreachable)
        known.unreachableEjections = 0;
    known.errorsInARow = outcome.failed ? known.errorsInARow + 1 : 0;
    known.outcomes += 1;
    known.errorRate += m_policy.smoothing * ((outcome.failed ? 1.0 : 0.0) - known.errorRate);
    if (!outcome.latency)
        return;
    double latency = toSeconds(*outcome.latency);
    double weight = known.latencies == 0 ? 1 : m_policy.smoothing;
    known.latencySeconds += weight * (latency - known.latencySeconds);
    known.latencies += 1;
}

std::vector<EjectionChange> OutlierDetector::evaluate(TimePoint now)
{
    std::map<std::string, Group> groups;
    for (auto& [endpoint, known] : m_endpoints)
        groups[known->peerGroup].emplace_back(endpoint, known.get());
    std::vector<EjectionChange> changes;
    for (auto& [name, group] : groups) {
        std::sort(group.begin(), group.end());
        evaluateGroup(group, now, changes);
    }
    return changes;
}

std::optional<double> OutlierDetector::medianLatency(const Group& group) const
{
    std::vector<double> latencies;
    for (const auto& [endpoint, known] : group) {
        if (known->latencies >= m_policy.minimumOutcomes)
            latencies.push_back(known->latencySeconds);
    }
    if (latencies.size() < minPeersForMedian)
        return std::nullopt;
    auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

std::optional<EjectionCause> OutlierDetector::ejectionCause(const TrackedEndpoint& tracked, std::optional<double> medianLatency) const
{
    if (tracked.errorsInARow >= m_policy.consecutiveErrors)
        return EjectionCause::ConsecutiveErrors;
    if (tracked.outcomes >= m_policy.minimumOutcomes && tracked.errorRate >= m_policy.errorRate)
        return EjectionCause::ErrorRate;
    if (medianLatency && tracked.latencies >= m_policy.minimumOutcomes && tracked.latencySeconds > m_policy.latencyFactor * *medianLatency)
        return EjectionCause::Latency;
    return std::nullopt;
}

void OutlierDetector::evaluateGroup(Group& group, TimePoint now, std::vector<EjectionChange>& changes)
{
    for (auto& [endpoint, known] : group) {
        if (known->ejected && now >= known->ejectedUntil) {
            endEjection(*known, now);
            changes.push_back({ endpoint, std::nullopt, {} });
        }
        decayEjections(*known, now);
    }
    ejectUnreachable(group, now, changes);
    std::optional<double> median = medianLatency(group);
    std::vector<std::pair<std::string, TrackedEndpoint*>> suspects;
    std::size_t ejectedCount = 0;
    for (auto& [endpoint, known] : group) {
        if (known->ejected)
            ejectedCount += 1;
        else if (ejectionCause(*known, median))
            suspects.emplace_back(endpoint, known);
    }
    auto size = static_cast<double>(group.size());
    if (static_cast<double>(ejectedCount + suspects.size()) >= m_policy.panicFraction * size) {
        for (auto& [endpoint, known] : group) {
            if (!known->ejected)
                continue;
            endEjection(*known, now);
            changes.push_back({ endpoint, std::nullopt, {} });
        }
        return;
    }
    auto maxEjected = static_cast<std::size_t>(std::floor(m_policy.maxEjectedFraction * size));
    // The cap may not allow all ejections, so the worst suspects come first.
    std::stable_sort(suspects.begin(), suspects.end(), [](const auto& a, const auto& b) { return a.second->errorsInARow > b.second->errorsInARow; });
    for (auto& [endpoint, known] : suspects) {
        if (ejectedCount >= maxEjected)
            return;
        std::optional<EjectionCause> cause = ejectionCause(*known, median);
        eject(*known, now);
        changes.push_back({ endpoint, cause, known->ejectedUntil });
        ejectedCount += 1;
    }
}

// The ejection cap and the panic threshold preserve capacity that may still
// serve requests, so they don't apply here: an address that refuses connections
// serves none, and while it is in use it attracts requests that other cells could
// serve. The ejected endpoints are removed from the group, so that they don't
// count as peers of the others.
void OutlierDetector::ejectUnreachable(Group& group, TimePoint now, std::vector<EjectionChange>& changes) const
{
    for (auto& [endpoint, known] : group) {
        if (known->ejected || known->unreachableInARow < m_policy.consecutiveUnreachable)
            continue;
        Duration duration = m_policy.baseUnreachableEjection;
        for (unsigned i = 0; i < known->unreachableEjections && duration < m_policy.baseEjection; ++i)
            duration *= 2;
        known->unreachableEjections += 1;
        known->unreachable = true;
        known->ejected = true;
        known->ejectedUntil = now + std::min(duration, m_policy.baseEjection);
        changes.push_back({ endpoint, EjectionCause::Unreachable, known->ejectedUntil });
    }
    auto isUnreachable = [](const auto& peer) { return peer.second->unreachable; };
    group.erase(std::remove_if(group.begin(), group.end(), isUnreachable), group.end());
}

void OutlierDetector::eject(TrackedEndpoint& tracked, TimePoint now) const
{
    Duration duration = m_policy.baseEjection;
    for (unsigned i = 0; i < tracked.ejections && duration < m_policy.maxEjection; ++i)
        duration *= 2;
    tracked.ejections += 1;
    tracked.ejected = true;
    tracked.ejectedUntil = now + std::min(duration, m_policy.maxEjection);
}

void OutlierDetector::endEjection(TrackedEndpoint& tracked, TimePoint now) const
{
    // One more failed connection ejects an unreachable endpoint again.
    tracked.unreachableInARow = tracked.unreachable ? m_policy.consecutiveUnreachable - 1 : 0;
    tracked.unreachable = false;
    tracked.ejected = false;
    tracked.reinstatedAt = now;
    tracked.healthySince = now;
    // Outcomes from before the ejection must not cause another one.
    tracked.errorsInARow = 0;
    tracked.outcomes = 0;
    tracked.errorRate = 0;
    tracked.latencies = 0;
}

void OutlierDetector::decayEjections(TrackedEndpoint& tracked, TimePoint now) const
{
    if (tracked.ejected || tracked.ejections == 0 || now - tracked.healthySince < m_policy.ejectionDecayInterval)
        return;
    tracked.ejections -= 1;
    tracked.healthySince = now;
}

bool OutlierDetector::isEjected(absl::string_view endpoint) const
{
    auto known = m_endpoints.find(endpoint);
    return known != m_endpoints.end() && known->second->ejected;
}

double OutlierDetector::weight(absl::string_view endpoint, TimePoint now) const
{
    auto known = m_endpoints.find(endpoint);
    if (known == m_endpoints.end())
        return 1;
    if (known->second->ejected)
        return 0;
    if (!known->second->reinstatedAt)
        return 1;
    return slowStartWeight(m_policy.slowStart, *known->second->reinstatedAt, now);
}

} // namespace catkinwing
