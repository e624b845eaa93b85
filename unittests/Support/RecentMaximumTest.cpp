#include "catkinwing/Support/RecentMaximum.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("the largest value of the last period counts, and is forgotten two periods later")
{
    RecentMaximum largest(10s);
    TimePoint now { 100s };
    CHECK(largest.take(3, now) == 3);
    CHECK(largest.take(6, now + 1s) == 6);
    CHECK(largest.take(2, now + 9s) == 6);
    CHECK(largest.take(2, now + 11s) == 6);
    CHECK(largest.take(4, now + 21s) == 4);
    CHECK(largest.take(1, now + 60s) == 1);
}
