#include "catkinwing/Routing/SegmentRegionChoice.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Returns the share of a thousand requests that go to \p region.
static double shareOf(const std::string& region, const std::vector<SegmentRegionOption>& options, Duration prefillTime)
{
    Random random(5);
    int chosen = 0;
    for (int i = 0; i < 1'000; ++i)
        chosen += chooseSegmentRegion(options, prefillTime, random)->region == region ? 1 : 0;
    return chosen / 1'000.0;
}

TEST_CASE("a request goes to the region that caches its segment if no other starts it sooner")
{
    std::vector<SegmentRegionOption> options { { "north", 0ms, 0ms, false }, { "south", 100ms, 115ms, true } };
    CHECK(shareOf("south", options, 270ms) == 1);
    Random random(1);
    CHECK_FALSE(chooseSegmentRegion({}, 270ms, random));
}

// Requests restricted to two of three regions fill these two. Requests without a
// restriction have to move to the third region, which is idle.
TEST_CASE("a shared segment moves from a busy region to an idle one and stays there")
{
    std::vector<SegmentRegionOption> options { { "north", 650ms, 0ms, true }, { "south", 700ms, 115ms, false }, { "west", 50ms, 115ms, false } };
    CHECK(shareOf("west", options, 270ms) > 0.6);
    CHECK(shareOf("south", options, 270ms) == 0);
    // The segment has moved and stays there.
    options[0].cachesSegment = false;
    options[2].cachesSegment = true;
    CHECK(shareOf("west", options, 270ms) == 1);
}

// About twenty entries choose a region for their requests in the interval between two
// load reports. If all of them chose the idle region, they would fill it, and move back
// at the next report.
TEST_CASE("the share of requests that move grows gradually with the wait in the segment's region")
{
    double before = 0;
    for (Duration wait : { 0ms, 400ms, 450ms, 550ms, 650ms, 750ms }) {
        std::vector<SegmentRegionOption> options { { "north", wait, 0ms, true }, { "west", 0ms, 115ms, false } };
        double share = shareOf("west", options, 270ms);
        CHECK(share >= before);
        CHECK(share - before < 0.5);
        before = share;
    }
    CHECK(before > 0.95);
}

TEST_CASE("without a cached segment a request goes to the region that starts it soonest")
{
    std::vector<SegmentRegionOption> options { { "north", 650ms, 0ms, false }, { "south", 700ms, 115ms, false } };
    CHECK(shareOf("north", options, 270ms) == 1);
}
