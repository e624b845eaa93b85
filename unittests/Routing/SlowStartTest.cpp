#include "catkinwing/Routing/SlowStart.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("the share grows from the initial weight to 1 over the window")
{
    SlowStartPolicy policy { 10s, 0.2 };
    TimePoint start { 1h };
    CHECK(slowStartWeight(policy, start, start) == Approx(0.2));
    CHECK(slowStartWeight(policy, start, start + 5s) == Approx(0.6));
    CHECK(slowStartWeight(policy, start, start + 10s) == 1);
    CHECK(slowStartWeight(policy, start, start - 1s) == Approx(0.2));
    CHECK(slowStartWeight({ 0s, 0.2 }, start, start) == 1);
}
