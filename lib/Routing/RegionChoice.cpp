#include "catkinwing/Routing/RegionChoice.h"

#include <algorithm>

namespace catkinwing {

/// Fraction of the maximum wait up to which the wait alone moves no request to
/// another region: forwarding costs a round trip and traffic, while the first event
/// still arrives in time here.
static constexpr double partBorneHere = 0.5;

/// Fraction of the local response time by which another region must be faster.
/// Engine speeds fluctuate by about as much.
static constexpr double gainWanted = 0.25;

static Duration endsAfter(const RegionOption& option)
{
    return *option.wait + option.way + option.lasts;
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
    return endsAfter(*second) < endsAfter(*first) ? second : first;
}

static double ratioOf(Duration part, Duration whole)
{
    return std::chrono::duration<double>(part) / std::chrono::duration<double>(whole);
}

// A long wait and a slow response are independent reasons to forward a request; the
// higher of their probabilities applies.
static bool goesAway(const RegionDemand& demand, const RegionOption& away, Random& random)
{
    Duration borne = std::chrono::duration_cast<Duration>(demand.longestWait * partBorneHere);
    bool isSooner = *away.wait + away.way < *demand.waitHere;
    double byWait = isSooner && *demand.waitHere > borne ? ratioOf(*demand.waitHere - borne, demand.longestWait - borne) : 0;
    Duration gain = demand.lastsHere - away.lasts - away.way;
    double byPace = demand.lastsHere > Duration::zero() ? ratioOf(gain, demand.lastsHere) - gainWanted : 0;
    return random.unit() < std::max(byWait, byPace);
}

RegionChoice chooseRegion(const RegionDemand& demand, const std::vector<RegionOption>& others, Random& random)
{
    std::vector<const RegionOption*> known;
    bool hasUnknown = demand.mayAskHere && !demand.waitHere;
    for (const RegionOption& option : others) {
        hasUnknown |= !option.wait;
        if (option.wait && *option.wait <= demand.longestWait)
            known.push_back(&option);
    }
    const RegionOption* away = soonerOfTwo(known, random);
    bool mayStay = demand.waitHere && *demand.waitHere <= demand.longestWait;
    if (mayStay && !(away && goesAway(demand, *away, random)))
        return { RegionVerdict::Here, {} };
    if (away)
        return { RegionVerdict::Away, away->region };
    return { hasUnknown ? RegionVerdict::Ask : RegionVerdict::Nowhere, {} };
}

} // namespace catkinwing
