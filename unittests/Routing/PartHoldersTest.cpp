#include "catkinwing/Routing/PartHolders.h"
#include "catkinwing/Routing/PartRegions.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a segment counts as cached until later prompts fill the memory for segments")
{
    PartHolders holders;
    holders.setMemory(100'000);
    CHECK_FALSE(holders.holds(1, 7));
    holders.noteSent(1, 7, 17);
    CHECK(holders.holds(1, 7));
    CHECK_FALSE(holders.holds(2, 7));
    // Sixty thousand tokens are available for segments.
    holders.noteSent(1, 8, 60);
    CHECK(holders.holds(1, 7));
    holders.noteSent(1, 9, 1);
    CHECK_FALSE(holders.holds(1, 7));
    CHECK(holders.holds(1, 8));
}

TEST_CASE("a segment that is used again stays cached, independently at each endpoint")
{
    PartHolders holders;
    holders.setMemory(100'000);
    holders.noteSent(1, 7, 17);
    for (std::uint32_t other = 100; other < 120; ++other) {
        holders.noteSent(1, other, 20);
        holders.noteSent(1, 7, 4);
        CHECK(holders.holds(1, 7));
    }
    CHECK_FALSE(holders.holds(1, 100));
    holders.noteSent(2, 7, 17);
    CHECK(holders.holds(2, 7));
    holders.forget(1, 7);
    CHECK_FALSE(holders.holds(1, 7));
    CHECK(holders.holds(2, 7));
}

// Ten thousand engines with twenty segments each, more than the maximum number of
// records.
TEST_CASE("the number of recorded segments is bounded")
{
    PartHolders holders;
    for (std::uint32_t segment = 0; segment < 200'000; ++segment)
        holders.noteSent(segment % 10'000, segment, 17);
    CHECK(holders.segmentCount() <= 32'768);
    CHECK(holders.holds(199'999 % 10'000, 199'999));
}

TEST_CASE("a segment stays in the region of its last use for ten seconds")
{
    PartRegions regions;
    TimePoint now { 100s };
    CHECK_FALSE(regions.regionOf(7, now));
    regions.noteSent(7, 1, now);
    CHECK(regions.regionOf(7, now + 9s) == 1u);
    regions.noteSent(7, 2, now + 9s);
    CHECK(regions.regionOf(7, now + 15s) == 2u);
    CHECK_FALSE(regions.regionOf(7, now + 20s));
}
