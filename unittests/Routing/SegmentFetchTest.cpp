#include "catkinwing/Routing/SegmentFetch.h"

#include <catch2/catch.hpp>
#include <limits>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

/// 1 ms for 1,250 tokens.
static constexpr SegmentTransfer transfer { 1'000, 10e9 };

TEST_CASE("a segment is fetched where that is quicker than prefilling it, and prefilled otherwise")
{
    std::vector<SegmentSource> sources { { 4, 0ms, 0 } };
    CHECK(chooseFetchSource(sources, transfer, 12'500, 25ms) == 4);
    // The transfer takes 10 ms.
    CHECK_FALSE(chooseFetchSource(sources, transfer, 12'500, 15ms));
    CHECK_FALSE(chooseFetchSource({}, transfer, 12'500, 25ms));
}

TEST_CASE("fetches of one segment that many requests use at once go to different sources")
{
    std::vector<SegmentSource> sources { { 0, 0ms, 2 }, { 1, 50ms, 1 }, { 2, 90ms, 1 } };
    CHECK(chooseFetchSource(sources, transfer, 12'500, 100ms) == 1);
    // Behind nine other transfers the prefill is quicker.
    std::vector<SegmentSource> busy { { 0, 0ms, 9 } };
    CHECK_FALSE(chooseFetchSource(busy, transfer, 12'500, 100ms));
}

TEST_CASE("absurd figures of transfers lead to no fetch")
{
    std::vector<SegmentSource> sources { { 0, 0ms, 0 } };
    for (double bits : { 0.0, -1.0, 1e-300, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() })
        CHECK_FALSE(chooseFetchSource(sources, { 1'000, bits }, 12'500, 100ms));
    CHECK_FALSE(chooseFetchSource(sources, { 0, 10e9 }, 12'500, 100ms));
    CHECK_FALSE(chooseFetchSource(sources, { -5, 10e9 }, 12'500, 100ms));
    CHECK_FALSE(chooseFetchSource(sources, transfer, -1, 100ms));
    CHECK_FALSE(chooseFetchSource(sources, { std::numeric_limits<std::int64_t>::max(), 1 }, std::numeric_limits<std::int64_t>::max(), 100ms));
    CHECK_FALSE(chooseFetchSource(sources, transfer, 12'500, 0ms));
}
