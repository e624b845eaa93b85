#include "catkinwing/Admission/WaitLimit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace catkinwing;
using namespace std::chrono_literals;

static WaitDemand fresh()
{
    WaitDemand demand;
    demand.latencyTarget = 600ms;
    demand.timeout = 5s;
    demand.timeLeft = 5s;
    return demand;
}

TEST_CASE("the max wait is most of the latency target minus the time to first byte of an idle endpoint")
{
    CHECK(longestWait(fresh(), 100ms) > 300ms);
    CHECK(longestWait(fresh(), 100ms) < 500ms);
    CHECK(longestWait(fresh(), 400ms) < longestWait(fresh(), 100ms));
    // Requests may wait for an endpoint that can't meet the target even when idle.
    CHECK(longestWait(fresh(), 10s) > 50ms);
    WaitDemand unstated = fresh();
    unstated.latencyTarget = 0ms;
    CHECK(longestWait(unstated, 100ms) > 300ms);
}

TEST_CASE("less urgent requests and retries of refused clients have a shorter max wait")
{
    WaitDemand lessUrgent = fresh();
    lessUrgent.hasMoreUrgent = true;
    CHECK(longestWait(lessUrgent, 100ms) < longestWait(fresh(), 100ms));
    WaitDemand returned = fresh();
    returned.timeLeft = 4s;
    CHECK(longestWait(returned, 100ms) < longestWait(fresh(), 100ms));
    WaitDemand forwarded = fresh();
    forwarded.timeLeft = 4'850ms;
    CHECK(longestWait(forwarded, 100ms) == longestWait(fresh(), 100ms));
}

TEST_CASE("retry-after times are spread one after the other and stay within the clients' max wait")
{
    ReturnSchedule schedule;
    Random random(3);
    TimePoint now { 100s };
    std::chrono::milliseconds last { 0 };
    for (int i = 0; i < 10; ++i) {
        std::chrono::milliseconds next = schedule.book(10ms, 2s, now, random);
        CHECK(next > last);
        last = next;
    }
    for (int i = 0; i < 1'000; ++i) {
        std::chrono::milliseconds next = schedule.book(10ms, 2s, now, random);
        CHECK(next <= 2s);
        CHECK(next >= 250ms);
    }
    CHECK(schedule.book(10ms, 2s, now + 10s, random) < 400ms);
}

namespace {

/// Numbers of requests by outcome in a simulated overload.
struct Served {
    int inTime { 0 };
    int afterReturn { 0 };
    int refusedTwice { 0 };
    int late { 0 };
};

} // namespace

/// Simulates ten seconds of load on one endpoint that takes 10 ms per request. During
/// the first \p overload the load is twice the capacity. Each refused client retries
/// once.
static Served play(Duration overload, bool isLimited)
{
    struct Return {
        TimePoint at;
        TimePoint began;
    };
    Served served;
    Random random(5);
    ReturnSchedule schedule;
    std::deque<Return> returns;
    TimePoint start { 100s };
    TimePoint busyUntil = start;
    auto arrive = [&](TimePoint now, TimePoint began) {
        WaitDemand demand = fresh();
        demand.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(5s - (now - began));
        Duration wait = std::max<Duration>(busyUntil - now, 0ms);
        bool isReturn = now != began;
        if (isLimited && wait > longestWait(demand, 100ms)) {
            if (isReturn)
                ++served.refusedTwice;
            else
                returns.push_back({ now + schedule.book(10ms, demand.timeLeft / 3, now, random), now });
            return;
        }
        busyUntil = std::max(busyUntil, now) + 10ms;
        bool isLate = now + wait + 100ms - began > 600ms;
        served.inTime += !isLate;
        served.late += isLate && !isReturn;
        served.afterReturn += isLate && isReturn;
    };
    for (TimePoint now = start; now < start + 10s; now += 1ms) {
        std::sort(returns.begin(), returns.end(), [](const Return& first, const Return& second) { return first.at < second.at; });
        while (!returns.empty() && returns.front().at <= now) {
            TimePoint began = returns.front().began;
            returns.pop_front();
            arrive(now, began);
        }
        double perMillisecond = now < start + overload ? 0.2 : 0.05;
        if (random.unit() < perMillisecond)
            arrive(now, now);
    }
    return served;
}

// The strongest bursts bring twice the capacity to a region for some seconds. A client
// with a timeout of five seconds retries after at most 1.7 s, so clients that are
// refused in the last 1.7 s of a burst can be served.
TEST_CASE("in a burst of twice the capacity, accepted first attempts meet the latency target")
{
    Served served = play(3s, true);
    Served unlimited = play(3s, false);
    CHECK(served.late == 0);
    CHECK(unlimited.late > 300);
    CHECK(served.inTime > unlimited.inTime + 200);
}

TEST_CASE("most clients that are refused in a short burst are served when they retry")
{
    Served served = play(1'200ms, true);
    CAPTURE(served.inTime, served.afterReturn, served.refusedTwice);
    CHECK(served.late == 0);
    CHECK(served.afterReturn > 2 * served.refusedTwice);
}

TEST_CASE("in a long overload, retries don't displace requests that can still meet the latency target")
{
    Served served = play(9s, true);
    // The endpoint can serve a hundred requests per second.
    CHECK(served.inTime > 650);
    CHECK(served.late == 0);
}
