#include "catkinwing/Admission/EndpointMemory.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace catkinwing;

// Pattern: several of the largest prompts meet at one endpoint. Guards against an endpoint that
// crashes because the requests of all entries together exceed its memory.
TEST_CASE("an endpoint gets no request that its memory can't hold beside those of all entries")
{
    CHECK(hasMemoryFor({ 80'000, 90'000 }, 90'000, 326'688));
    CHECK_FALSE(hasMemoryFor({ 170'000, 90'000 }, 90'000, 326'688));
    CHECK_FALSE(hasMemoryFor({ 0, 260'000 }, 90'000, 326'688));
    // Short requests still fit.
    CHECK(hasMemoryFor({ 170'000, 90'000 }, 400, 326'688));
    // Whatever the order of arrivals, the sum stays within the memory.
    std::int64_t held = 0;
    for (std::int64_t needed : std::vector<std::int64_t>(40, 17'000))
        held += hasMemoryFor({ held / 2, held - held / 2 }, needed, 326'688) ? needed : 0;
    CHECK(held <= 326'688);
    CHECK(held > 326'688 / 2);
}

TEST_CASE("an idle endpoint takes any request that fits its memory, and no larger one")
{
    CHECK(hasMemoryFor({}, 326'688, 326'688));
    CHECK_FALSE(hasMemoryFor({}, 326'689, 326'688));
    CHECK(fitsMemory(326'688, 326'688));
    CHECK_FALSE(fitsMemory(326'689, 326'688));
}

TEST_CASE("an unknown capacity limits nothing, and absurd counts are left out")
{
    CHECK(hasMemoryFor({ 1'000'000, 1'000'000 }, 1'000'000, 0));
    CHECK(fitsMemory(1'000'000, 0));
    CHECK(hasMemoryFor({ -500, -900'000 }, 100, 1'000));
    CHECK(hasMemoryFor({ 500, 0 }, -100, 1'000));
    CHECK_FALSE(hasMemoryFor({ 500, INT64_MAX }, 100, 1'000));
}
