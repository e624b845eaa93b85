#include "catkinwing/Http/EventLoop.h"

#include "LoopDriver.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("loop timers run in order and not before their time")
{
    SystemClock clock;
    EventLoop loop(clock);
    std::vector<int> order;
    TimePoint start = clock.now();
    TimePoint ranAt {};
    loop.callAfter(30ms, [&] { order.push_back(2); ranAt = clock.now(); });
    loop.callAfter(10ms, [&] { order.push_back(1); });
    REQUIRE(runUntil(loop, [&] { return order.size() == 2; }));
    CHECK(order == std::vector<int> { 1, 2 });
    CHECK(ranAt - start >= Duration(30ms));
}

TEST_CASE("a loop timer without delay runs neither inside the call nor in the same turn")
{
    SystemClock clock;
    EventLoop loop(clock);
    int outer = 0;
    int inner = 0;
    loop.callAfter(0ms, [&] {
        ++outer;
        loop.callAfter(0ms, [&] { ++inner; });
    });
    CHECK(outer == 0);
    loop.runOnce(0ms);
    CHECK(outer == 1);
    CHECK(inner == 0);
    loop.runOnce(0ms);
    CHECK(inner == 1);
}

TEST_CASE("a loop timer can cancel another that is due in the same turn")
{
    SystemClock clock;
    EventLoop loop(clock);
    bool ran = false;
    TimerId second = 0;
    loop.callAfter(0ms, [&] { loop.cancel(second); });
    second = loop.callAfter(0ms, [&] { ran = true; });
    runFor(loop, 20ms);
    CHECK_FALSE(ran);
}

TEST_CASE("cancelling a loop timer whose callback owns another one's handle is safe")
{
    SystemClock clock;
    EventLoop loop(clock);
    bool ran = false;
    TimerId owned = loop.callAfter(10ms, [&] { ran = true; });
    auto owner = std::shared_ptr<void>(nullptr, [&](void*) { loop.cancel(owned); });
    TimerId outer = loop.callAfter(10ms, [owner] {});
    owner.reset();
    loop.cancel(outer);
    runFor(loop, 30ms);
    CHECK_FALSE(ran);
}

TEST_CASE("the loop stops from inside a callback")
{
    SystemClock clock;
    EventLoop loop(clock);
    bool ranAfter = false;
    loop.callAfter(1ms, [&] {
        loop.stop();
        loop.callAfter(0ms, [&] { ranAfter = true; });
    });
    loop.run();
    CHECK_FALSE(ranAfter);
}

TEST_CASE("signals are called on the loop, each time")
{
    SystemClock clock;
    EventLoop loop(clock);
    int received = 0;
    loop.onSignal(SIGUSR1, [&] { ++received; });
    raise(SIGUSR1);
    CHECK(received == 0);
    REQUIRE(runUntil(loop, [&] { return received == 1; }));
    raise(SIGUSR1);
    REQUIRE(runUntil(loop, [&] { return received == 2; }));
}

TEST_CASE("a loop can be destroyed with timers pending")
{
    SystemClock clock;
    bool ran = false;
    {
        EventLoop loop(clock);
        loop.callAfter(0ms, [&] { ran = true; });
    }
    CHECK_FALSE(ran);
}
