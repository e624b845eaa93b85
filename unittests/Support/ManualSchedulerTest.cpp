#include "catkinwing/Support/ManualScheduler.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("timers run in order of their due time")
{
    ManualScheduler scheduler;
    std::vector<int> order;
    scheduler.callAfter(20ms, [&] { order.push_back(2); });
    scheduler.callAfter(10ms, [&] { order.push_back(1); });
    scheduler.advance(15ms);
    CHECK(order == std::vector<int> { 1 });
    scheduler.advance(15ms);
    CHECK(order == std::vector<int> { 1, 2 });
}

TEST_CASE("a cancelled timer never runs")
{
    ManualScheduler scheduler;
    bool ran = false;
    TimerId timer = scheduler.callAfter(10ms, [&] { ran = true; });
    scheduler.cancel(timer);
    scheduler.advance(1s);
    CHECK_FALSE(ran);
    CHECK(scheduler.pending() == 0);
}

TEST_CASE("after a freeze the timers see the late time")
{
    ManualScheduler scheduler;
    TimePoint start = scheduler.clock().now();
    Duration seen {};
    scheduler.callAfter(10ms, [&] { seen = scheduler.clock().now() - start; });
    scheduler.freeze(5s);
    CHECK(seen == Duration(5s));
}
