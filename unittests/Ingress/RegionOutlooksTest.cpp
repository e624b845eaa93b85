#include "catkinwing/Ingress/RegionOutlooks.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static RegionReport reportOf(std::uint64_t sequence, std::chrono::milliseconds wait, std::uint32_t endpoints = 4)
{
    return { "south", "entry", sequence, { { serviceHash("service"), endpoints, wait, 20'000us, 60'000us } } };
}

TEST_CASE("estimates of a region follow its latest report until the report expires")
{
    RegionOutlooks outlooks;
    TimePoint now { 10s };
    CHECK_FALSE(outlooks.estimatedWait("south", "service", now));
    outlooks.update(reportOf(2, 100ms), now);
    CHECK(outlooks.estimatedWait("south", "service", now) == Duration(100ms));
    CHECK_FALSE(outlooks.estimatedWait("south", "other", now));
    CHECK(outlooks.timePerEventIn("south", "service") == Duration(60ms));
    CHECK(outlooks.timePerEventIn("south", "other") == Duration(0ms));
    outlooks.update(reportOf(1, 900ms), now + 10ms);
    CHECK(outlooks.estimatedWait("south", "service", now + 10ms) == Duration(100ms));
    outlooks.update(reportOf(3, 200ms), now + 200ms);
    CHECK(outlooks.estimatedWait("south", "service", now + 200ms) == Duration(200ms));
    CHECK_FALSE(outlooks.estimatedWait("south", "service", now + 2s));
    CHECK(outlooks.age("south", now + 2s) == Duration(1'800ms));
}

TEST_CASE("tokens sent to a region add to its wait until its reports include them")
{
    RegionOutlooks outlooks;
    TimePoint now { 10s };
    outlooks.update(reportOf(1, 100ms), now);
    for (int i = 0; i < 40; ++i)
        outlooks.recordSent("south", "service", 1'000, now);
    // 40,000 tokens over four endpoints at 20 ms per 1,000 tokens.
    CHECK(outlooks.estimatedWait("south", "service", now) == Duration(300ms));
    CHECK(*outlooks.estimatedWait("south", "service", now + 300ms) < 180ms);
    CHECK(*outlooks.estimatedWait("south", "service", now + 1'400ms) < 105ms);
    outlooks.recordSent("nowhere", "service", 1'000, now);
}

TEST_CASE("the estimated wait in a region without endpoints is longer than a minute")
{
    RegionOutlooks outlooks;
    TimePoint now { 10s };
    outlooks.update(reportOf(1, 0ms, 0), now);
    CHECK(*outlooks.estimatedWait("south", "service", now) > 1min);
}
