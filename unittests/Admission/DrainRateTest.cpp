#include "catkinwing/Admission/DrainRate.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("the drain rate counts only the time in which work is queued")
{
    DrainRate drain;
    TimePoint now { 1h };
    drain.setBusy(true, now);
    CHECK_FALSE(drain.rate(now));
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        drain.add(50, now);
    }
    drain.setBusy(false, now);
    CHECK(*drain.rate(now + 1min) == Approx(500).epsilon(0.02));
}

TEST_CASE("work that finds a free slot doesn't raise the drain rate")
{
    DrainRate drain;
    TimePoint now { 1h };
    // Every fifth request waits for a tenth of a second; the others start at once.
    for (int i = 0; i < 500; ++i) {
        drain.setBusy(true, now);
        TimePoint started = now + (i % 5 == 0 ? 100ms : 0ms);
        drain.add(50, started);
        drain.setBusy(false, started);
        now += 200ms;
    }
    CHECK(*drain.rate(now) == Approx(500).epsilon(0.02));
}
