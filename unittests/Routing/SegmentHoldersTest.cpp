#include "catkinwing/Routing/SegmentHolders.h"
#include "catkinwing/Routing/SegmentRegions.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a segment counts as cached until later prompts fill the memory for segments")
{
    SegmentHolders holders;
    holders.setCacheSize(100'000);
    CHECK_FALSE(holders.holds(1, 7));
    holders.recordSent(1, 7, 17);
    CHECK(holders.holds(1, 7));
    CHECK_FALSE(holders.holds(2, 7));
    // Sixty thousand tokens are available for segments.
    holders.recordSent(1, 8, 60);
    CHECK(holders.holds(1, 7));
    holders.recordSent(1, 9, 1);
    CHECK_FALSE(holders.holds(1, 7));
    CHECK(holders.holds(1, 8));
}

TEST_CASE("a segment that is used again stays cached, independently at each endpoint")
{
    SegmentHolders holders;
    holders.setCacheSize(100'000);
    holders.recordSent(1, 7, 17);
    for (std::uint32_t other = 100; other < 120; ++other) {
        holders.recordSent(1, other, 20);
        holders.recordSent(1, 7, 4);
        CHECK(holders.holds(1, 7));
    }
    CHECK_FALSE(holders.holds(1, 100));
    holders.recordSent(2, 7, 17);
    CHECK(holders.holds(2, 7));
    holders.remove(1, 7);
    CHECK_FALSE(holders.holds(1, 7));
    CHECK(holders.holds(2, 7));
}

// Ten thousand engines with twenty segments each, more than the maximum number of
// records.
TEST_CASE("the number of recorded segments is bounded")
{
    SegmentHolders holders;
    for (std::uint32_t segment = 0; segment < 200'000; ++segment)
        holders.recordSent(segment % 10'000, segment, 17);
    CHECK(holders.segmentCount() <= 32'768);
    CHECK(holders.holds(199'999 % 10'000, 199'999));
}

TEST_CASE("a segment stays in the region of its last use for ten seconds")
{
    SegmentRegions regions;
    TimePoint now { 100s };
    CHECK_FALSE(regions.regionOf(7, now));
    regions.recordSent(7, 1, now);
    CHECK(regions.regionOf(7, now + 9s) == 1u);
    regions.recordSent(7, 2, now + 9s);
    CHECK(regions.regionOf(7, now + 15s) == 2u);
    CHECK_FALSE(regions.regionOf(7, now + 20s));
}
