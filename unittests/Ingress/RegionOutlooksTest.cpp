#include "catkinwing/Ingress/RegionOutlooks.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static RegionReport reportOf(std::uint64_t sequence, std::chrono::milliseconds wait, std::uint32_t endpoints = 4)
{
    return { "south", "entry", sequence, { { serviceHash("service"), endpoints, wait, 20'000us, 60'000us } } };
}

TEST_CASE("a region is as its latest report says, until that is too old")
{
    RegionOutlooks outlooks;
    TimePoint now { 10s };
    CHECK_FALSE(outlooks.waitIn("south", "service", now));
    outlooks.take(reportOf(2, 100ms), now);
    CHECK(outlooks.waitIn("south", "service", now) == Duration(100ms));
    CHECK_FALSE(outlooks.waitIn("south", "other", now));
    CHECK(outlooks.timePerEventIn("south", "service") == Duration(60ms));
    CHECK(outlooks.timePerEventIn("south", "other") == Duration(0ms));
    outlooks.take(reportOf(1, 900ms), now + 10ms);
    CHECK(outlooks.waitIn("south", "service", now + 10ms) == Duration(100ms));
    outlooks.take(reportOf(3, 200ms), now + 200ms);
    CHECK(outlooks.waitIn("south", "service", now + 200ms) == Duration(200ms));
    CHECK_FALSE(outlooks.waitIn("south", "service", now + 2s));
    CHECK(outlooks.age("south", now + 2s) == Duration(1'800ms));
}

TEST_CASE("what was sent to a region counts until its reports can show it")
{
    RegionOutlooks outlooks;
    TimePoint now { 10s };
    outlooks.take(reportOf(1, 100ms), now);
    for (int i = 0; i < 40; ++i)
        outlooks.noteSent("south", "service", 1'000, now);
    // Forty thousand tokens over four endpoints, 20 ms a thousand.
    CHECK(outlooks.waitIn("south", "service", now) == Duration(300ms));
    CHECK(*outlooks.waitIn("south", "service", now + 300ms) < 180ms);
    CHECK(*outlooks.waitIn("south", "service", now + 1'400ms) < 105ms);
    outlooks.noteSent("nowhere", "service", 1'000, now);
}

TEST_CASE("a region without endpoints keeps every request waiting")
{
    RegionOutlooks outlooks;
    TimePoint now { 10s };
    outlooks.take(reportOf(1, 0ms, 0), now);
    CHECK(*outlooks.waitIn("south", "service", now) > 1min);
}
