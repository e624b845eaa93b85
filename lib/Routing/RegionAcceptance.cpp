#include "catkinwing/Routing/RegionAcceptance.h"

#include <algorithm>

namespace catkinwing {

/// Fraction of the acceptance that a refusal removes, and amount that an accepted
/// request adds. They balance where one request in twenty is refused. Fewer refusals
/// would leave capacity nearby idle; more would delay requests by refusals.
static constexpr double refusalLossFraction = 0.12;
static constexpr double gainPerAcceptedRequest = 0.006;
/// Acceptance regained per second since the last update.
static constexpr double recoveryPerSecond = 0.06;
/// Lower bound after a refusal.
static constexpr double minAcceptance = 0.03;
/// Acceptance of the home region at or above which no request is forwarded without
/// trying the home region first, because a forward costs a round trip between
/// regions.
static constexpr double spillThreshold = 0.9;

double RegionAcceptance::acceptanceOf(const std::string& region, TimePoint now) const
{
    auto found = m_regions.find(region);
    if (found == m_regions.end())
        return 1;
    double seconds = std::chrono::duration<double>(now - found->second.updatedAt).count();
    return std::min(1.0, found->second.acceptance + seconds * recoveryPerSecond);
}

void RegionAcceptance::recordAccepted(const std::string& region, TimePoint now)
{
    auto found = m_regions.find(region);
    if (found == m_regions.end())
        return;
    double increased = acceptanceOf(region, now) + gainPerAcceptedRequest;
    if (increased >= 1)
        m_regions.erase(found);
    else
        found->second = { increased, now };
}

void RegionAcceptance::recordRefused(const std::string& region, TimePoint now)
{
    double reduced = acceptanceOf(region, now) * (1 - refusalLossFraction);
    m_regions[region] = { std::max(reduced, minAcceptance), now };
}

bool shouldSpill(const RegionAcceptance& tracker, const std::string& home, const std::map<std::string, std::size_t>& others, TimePoint now, Random& random)
{
    double homeAcceptance = tracker.acceptanceOf(home, now);
    if (homeAcceptance >= spillThreshold)
        return false;
    double best = 0;
    for (const auto& [region, endpoints] : others) {
        if (endpoints > 0)
            best = std::max(best, tracker.acceptanceOf(region, now));
    }
    return best > homeAcceptance && random.unit() > homeAcceptance;
}

std::optional<std::string> chooseSpillRegion(const RegionAcceptance& tracker, const std::map<std::string, std::size_t>& regions, TimePoint now, Random& random)
{
    double sum = 0;
    for (const auto& [region, endpoints] : regions)
        sum += static_cast<double>(endpoints) * tracker.acceptanceOf(region, now);
    if (sum <= 0)
        return std::nullopt;
    double point = random.unit() * sum;
    for (const auto& [region, endpoints] : regions) {
        point -= static_cast<double>(endpoints) * tracker.acceptanceOf(region, now);
        if (point < 0)
            return region;
    }
    return std::nullopt;
}

} // namespace catkinwing
