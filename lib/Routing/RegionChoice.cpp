#include "catkinwing/Routing/RegionChoice.h"

#include <algorithm>

namespace catkinwing {

/// Fraction of the maximum wait up to which the wait alone moves no request to
/// another region: forwarding costs a round trip and traffic, while the first event
/// still arrives in time here.
static constexpr double toleratedWaitFraction = 0.5;

/// Fraction of the local response time by which another region must be faster.
/// Engine speeds fluctuate by about as much.
static constexpr double minGainFraction = 0.25;

static Duration timeToCompletion(const RegionOption& option)
{
    return *option.wait + option.networkDelay + option.responseDuration;
}

// Picks two regions at random and returns the one that completes the response
// sooner. If all entries with the same view chose the soonest of all, they would
// overload one region before its next load report.
static const RegionOption* soonerOfTwo(const std::vector<const RegionOption*>& known, Random& random)
{
    if (known.empty())
        return nullptr;
    const RegionOption* first = known[random.below(known.size())];
    const RegionOption* second = known[random.below(known.size())];
    return timeToCompletion(*second) < timeToCompletion(*first) ? second : first;
}

static double ratioOf(Duration numerator, Duration denominator)
{
    return std::chrono::duration<double>(numerator) / std::chrono::duration<double>(denominator);
}

// A long wait and a slow response are independent reasons to forward a request; the
// higher of their probabilities applies.
static bool shouldForward(const RegionDemand& demand, const RegionOption& other, Random& random)
{
    Duration toleratedWait = std::chrono::duration_cast<Duration>(demand.maxWait * toleratedWaitFraction);
    bool isSooner = *other.wait + other.networkDelay < *demand.localWait;
    double byWait = isSooner && *demand.localWait > toleratedWait ? ratioOf(*demand.localWait - toleratedWait, demand.maxWait - toleratedWait) : 0;
    Duration gain = demand.localResponseDuration - other.responseDuration - other.networkDelay;
    double byDuration = demand.localResponseDuration > Duration::zero() ? ratioOf(gain, demand.localResponseDuration) - minGainFraction : 0;
    return random.unit() < std::max(byWait, byDuration);
}

RegionChoice chooseRegion(const RegionDemand& demand, const std::vector<RegionOption>& others, Random& random)
{
    std::vector<const RegionOption*> known;
    bool hasUnknown = demand.mayAcceptLocally && !demand.localWait;
    for (const RegionOption& option : others) {
        hasUnknown |= !option.wait;
        if (option.wait && *option.wait <= demand.maxWait)
            known.push_back(&option);
    }
    const RegionOption* other = soonerOfTwo(known, random);
    bool mayStay = demand.localWait && *demand.localWait <= demand.maxWait;
    if (mayStay && !(other && shouldForward(demand, *other, random)))
        return { RegionVerdict::Local, {} };
    if (other)
        return { RegionVerdict::Forward, other->region };
    return { hasUnknown ? RegionVerdict::Query : RegionVerdict::Refuse, {} };
}

} // namespace catkinwing
