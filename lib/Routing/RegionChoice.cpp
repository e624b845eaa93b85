#include "catkinwing/Routing/RegionChoice.h"

#include <algorithm>

namespace catkinwing {

/// Up to this part of the longest wait a request stays: a way to another region
/// costs a round trip and bytes, and the first event is still in time.
static constexpr double partBorneHere = 0.5;

// The shorter of two at random: with the shortest of all, entries with the same
// view would fill one region before its next report.
static const RegionOption* shorterOfTwo(const std::vector<const RegionOption*>& known, Random& random)
{
    if (known.empty())
        return nullptr;
    const RegionOption* first = known[random.below(known.size())];
    const RegionOption* second = known[random.below(known.size())];
    return *second->wait + second->way < *first->wait + first->way ? second : first;
}

static bool goesAway(const RegionDemand& demand, Duration waitAway, Random& random)
{
    Duration borne = std::chrono::duration_cast<Duration>(demand.longestWait * partBorneHere);
    if (*demand.waitHere <= borne || waitAway >= *demand.waitHere)
        return false;
    double excess = std::chrono::duration<double>(*demand.waitHere - borne) / std::chrono::duration<double>(demand.longestWait - borne);
    return random.unit() < excess;
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
    const RegionOption* away = shorterOfTwo(known, random);
    bool mayStay = demand.waitHere && *demand.waitHere <= demand.longestWait;
    if (mayStay && !(away && goesAway(demand, *away->wait + away->way, random)))
        return { RegionVerdict::Here, {} };
    if (away)
        return { RegionVerdict::Away, away->region };
    return { hasUnknown ? RegionVerdict::Ask : RegionVerdict::Nowhere, {} };
}

} // namespace catkinwing
