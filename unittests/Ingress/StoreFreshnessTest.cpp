// Requests reached an endpoint seconds after the store had acknowledged that it
// leaves, at entries that had every means to know it.
#include "StoreZone.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// After trouble of its own an entry has this long until the bounds hold again.
constexpr Duration calmBound = 5s;

/// How an endpoint goes while an entry can't hear of it.
struct Departure {
    bool isAnnounced;
    bool isHistoryForgotten;
};

/// Returns for how long after its return an entry uses an endpoint that has left.
Duration usedAfterCut(EntryFault fault, Duration cut, Departure departure)
{
    StoreZone zone(1);
    zone.registerEndpoint("stays");
    zone.registerEndpoint("leaves");
    zone.pass(6s);
    REQUIRE(zone.uses(0, "leaves"));
    zone.setFault(0, fault);
    zone.pass(cut / 2);
    if (departure.isAnnounced)
        zone.registerEndpoint("leaves", true);
    else
        zone.store().erase("endpoints/leaves");
    if (departure.isHistoryForgotten)
        zone.store().compact();
    zone.pass(cut / 2);
    zone.setFault(0, EntryFault::None);
    TimePoint returned = zone.now();
    while (zone.uses(0, "leaves") && zone.now() - returned < 20s)
        zone.pass(50ms);
    CHECK(zone.uses(0, "stays"));
    return zone.now() - returned;
}

Duration longestUsedAfterCut(Departure departure)
{
    Duration longest {};
    for (EntryFault fault : { EntryFault::StoreSilent, EntryFault::StoreRefuses, EntryFault::CutOff }) {
        for (Duration cut = 6s; cut < 14s; cut += 190ms)
            longest = std::max(longest, usedAfterCut(fault, cut, departure));
    }
    return longest;
}

} // namespace

// Seen: an entry that had been cut off from the store for 13 s sent a request to an
// endpoint that had left meanwhile, five seconds after the cut had ended. How: its
// watch was out of range, and before the listing that this asks for it paused as
// after a failure, for up to 2 s; the endpoint was not in the listing and was kept
// for 2.3 s more, since its registration might only have lapsed. Cause: the time that an
// entry takes to be back was the sum of pauses that each counted from the one
// before, instead of from the store's return. Proof: the counters of the entry
// show the second listing 2 s after the failed watch, and the requests ended 2.5 s
// after the listing; these schedules take up to as long.
TEST_CASE("an entry that was cut off from the store uses no endpoint that left for longer than it may take to be back")
{
    CHECK(longestUsedAfterCut({ true, false }) < calmBound);
    CHECK(longestUsedAfterCut({ false, false }) < calmBound);
    CHECK(longestUsedAfterCut({ true, true }) < calmBound);
    CHECK(longestUsedAfterCut({ false, true }) < calmBound);
}
