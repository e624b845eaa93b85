#include "catkinwing/Routing/PartRegionChoice.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Share of a thousand requests that go to \p region.
static double shareOf(const std::string& region, const std::vector<PartRegionOption>& options, Duration readingAgain)
{
    Random random(5);
    int chosen = 0;
    for (int i = 0; i < 1'000; ++i)
        chosen += choosePartRegion(options, readingAgain, random)->region == region ? 1 : 0;
    return chosen / 1'000.0;
}

TEST_CASE("a request goes to where its part is kept while that is about as soon")
{
    std::vector<PartRegionOption> options { { "north", 0ms, 0ms, false }, { "south", 100ms, 115ms, true } };
    CHECK(shareOf("south", options, 270ms) == 1);
    Random random(1);
    CHECK_FALSE(choosePartRegion({}, 270ms, random));
}

// A kind that may go to two of three regions fills them; work that may go
// anywhere leaves them for the third one, which stands idle.
TEST_CASE("bound work and flexible work, one region idle")
{
    std::vector<PartRegionOption> options { { "north", 650ms, 0ms, true }, { "south", 700ms, 115ms, false }, { "west", 50ms, 115ms, false } };
    CHECK(shareOf("west", options, 270ms) > 0.6);
    CHECK(shareOf("south", options, 270ms) == 0);
    // It has moved, and stays there.
    options[0].keepsPart = false;
    options[2].keepsPart = true;
    CHECK(shareOf("west", options, 270ms) == 1);
}

// Some twenty entries decide between two reports; if all moved at once they would
// fill the idle region and turn back at the next report.
TEST_CASE("the busier a part's region, the more of its requests leave, without a herd")
{
    double before = 0;
    for (Duration wait : { 0ms, 400ms, 450ms, 550ms, 650ms, 750ms }) {
        std::vector<PartRegionOption> options { { "north", wait, 0ms, true }, { "west", 0ms, 115ms, false } };
        double share = shareOf("west", options, 270ms);
        CHECK(share >= before);
        CHECK(share - before < 0.5);
        before = share;
    }
    CHECK(before > 0.95);
}

TEST_CASE("the idle region is lost")
{
    std::vector<PartRegionOption> options { { "north", 650ms, 0ms, false }, { "south", 700ms, 115ms, false } };
    CHECK(shareOf("north", options, 270ms) == 1);
}
