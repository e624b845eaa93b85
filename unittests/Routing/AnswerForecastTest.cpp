#include "catkinwing/Routing/AnswerForecast.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

// Guards against a request that begins in time, takes an endpoint for seconds and is cut off by
// its client's deadline.
TEST_CASE("a response that begins in time but ends after the deadline can't end in time")
{
    CHECK(canEndInTime({ 300ms, 300ms, 4s }, 5s));
    CHECK_FALSE(canEndInTime({ 300ms, 300ms, 5s }, 5s));
    CHECK_FALSE(canEndInTime({ 5s, 300ms, 0s }, 5s));
    CHECK(timeToEnd({ 300ms, 200ms, 1s }) == 1'500ms);
}

TEST_CASE("a deadline that has passed allows nothing, and negative times count as none")
{
    CHECK_FALSE(canEndInTime({ 1ms, 0ms, 0ms }, 0ms));
    CHECK_FALSE(canEndInTime({ 0ms, 0ms, 0ms }, -1ms));
    CHECK(timeToEnd({ -5s, 200ms, -1s }) == 200ms);
}
