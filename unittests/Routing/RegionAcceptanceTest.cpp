#include "catkinwing/Routing/RegionAcceptance.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("acceptance falls with refusals, and recovers with accepted requests and with time")
{
    RegionAcceptance tracker;
    TimePoint now { 10s };
    CHECK(tracker.acceptanceOf("north", now) == 1);
    for (int i = 0; i < 10; ++i)
        tracker.recordRefused("north", now);
    double after = tracker.acceptanceOf("north", now);
    CHECK(after < 0.4);
    CHECK(after > 0);
    tracker.recordAccepted("north", now);
    CHECK(tracker.acceptanceOf("north", now) > after);
    CHECK(tracker.acceptanceOf("north", now + 60s) == 1);
    CHECK(tracker.acceptanceOf("south", now) == 1);
}

// Simulates a region that sustains about half of the requests offered to it.
TEST_CASE("load beyond a region's capacity is forwarded, which limits the number of refusals")
{
    RegionAcceptance tracker;
    Random random(5);
    std::map<std::string, std::size_t> others { { "south", 3 } };
    int kept = 0;
    int refused = 0;
    for (int second = 0; second < 60; ++second) {
        int capacity = 50;
        for (int i = 0; i < 100; ++i) {
            TimePoint now { 10s + std::chrono::milliseconds(second * 1'000 + i * 10) };
            if (shouldSpill(tracker, "north", others, now, random))
                continue;
            bool isAccepted = random.unit() < 0.5 * 100 / 100 + (capacity > 0 ? 0.25 : -0.4);
            capacity -= isAccepted ? 1 : 0;
            if (second < 10)
                continue;
            kept += isAccepted ? 1 : 0;
            refused += isAccepted ? 0 : 1;
            if (isAccepted)
                tracker.recordAccepted("north", now);
            else
                tracker.recordRefused("north", now);
        }
    }
    CHECK(kept > 0);
    CHECK(refused < 50 * 100 / 2);
}

TEST_CASE("nothing is forwarded if the other regions refuse as much, or there are none")
{
    RegionAcceptance tracker;
    Random random(5);
    TimePoint now { 10s };
    for (int i = 0; i < 40; ++i) {
        tracker.recordRefused("north", now);
        tracker.recordRefused("south", now);
    }
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(shouldSpill(tracker, "north", { { "south", 3 } }, now, random));
        CHECK_FALSE(shouldSpill(tracker, "north", {}, now, random));
    }
    CHECK_FALSE(chooseSpillRegion(tracker, {}, now, random));
}

TEST_CASE("forwarded requests are distributed by number of endpoints and acceptance")
{
    RegionAcceptance tracker;
    Random random(5);
    TimePoint now { 10s };
    for (int i = 0; i < 8; ++i)
        tracker.recordRefused("south", now);
    int south = 0;
    for (int i = 0; i < 1'000; ++i)
        south += chooseSpillRegion(tracker, { { "south", 4 }, { "west", 4 } }, now, random) == "south" ? 1 : 0;
    CHECK(south > 150);
    CHECK(south < 400);
}
