#include "catkinwing/Routing/RegionChoice.h"

#include <algorithm>

namespace catkinwing {

/// Up to this part of the longest wait a request stays: a way to another region
/// costs a round trip and bytes, and the first event is still in time.
static constexpr double partBorneHere = 0.5;

/// A part of the time that answers take here, by which they have to be sooner
/// elsewhere: engines' paces differ by as much from moment to moment.
static constexpr double gainWanted = 0.25;

static Duration endsAfter(const RegionOption& option)
{
    return *option.wait + option.way + option.lasts;
}

// The sooner of two at random: with the soonest of all, entries with the same
// view would fill one region before its next report.
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

// Long waits and slow answers move requests each by themselves.
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
