#include "catkinwing/Admission/WaitLimit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace catkinwing;
using namespace std::chrono_literals;

static WaitLimitInputs firstAttempt()
{
    WaitLimitInputs inputs;
    inputs.latencyTarget = 600ms;
    inputs.timeout = 5s;
    inputs.timeLeft = 5s;
    return inputs;
}

TEST_CASE("the max wait is most of the latency target minus the time to first byte of an idle endpoint")
{
    CHECK(maxQueueWait(firstAttempt(), 100ms) > 300ms);
    CHECK(maxQueueWait(firstAttempt(), 100ms) < 500ms);
    CHECK(maxQueueWait(firstAttempt(), 400ms) < maxQueueWait(firstAttempt(), 100ms));
    // The max wait isn't zero for an endpoint that can't meet the target even when idle.
    CHECK(maxQueueWait(firstAttempt(), 10s) > 50ms);
    WaitLimitInputs withoutTarget = firstAttempt();
    withoutTarget.latencyTarget = 0ms;
    CHECK(maxQueueWait(withoutTarget, 100ms) > 300ms);
}

TEST_CASE("a request beyond the share of its workspace has a fraction of the max wait")
{
    WaitLimitInputs beyond = firstAttempt();
    beyond.waitFraction = 0.25;
    CHECK(maxQueueWait(beyond, 100ms) == maxQueueWait(firstAttempt(), 100ms) / 4);
}

TEST_CASE("less urgent requests and retries of refused clients have a shorter max wait")
{
    WaitLimitInputs lessUrgent = firstAttempt();
    lessUrgent.hasMoreUrgent = true;
    CHECK(maxQueueWait(lessUrgent, 100ms) < maxQueueWait(firstAttempt(), 100ms));
    WaitLimitInputs retried = firstAttempt();
    retried.timeLeft = 4s;
    CHECK(maxQueueWait(retried, 100ms) < maxQueueWait(firstAttempt(), 100ms));
    WaitLimitInputs forwarded = firstAttempt();
    forwarded.timeLeft = 4'850ms;
    CHECK(maxQueueWait(forwarded, 100ms) == maxQueueWait(firstAttempt(), 100ms));
}

TEST_CASE("retry-after times are spread one after the other and stay within the clients' max wait")
{
    RetryAfterSchedule schedule;
    Random random(3);
    TimePoint now { 100s };
    std::chrono::milliseconds last { 0 };
    for (int i = 0; i < 10; ++i) {
        std::chrono::milliseconds next = schedule.bookRetry(10ms, 2s, now, random);
        CHECK(next > last);
        last = next;
    }
    for (int i = 0; i < 1'000; ++i) {
        std::chrono::milliseconds next = schedule.bookRetry(10ms, 2s, now, random);
        CHECK(next <= 2s);
        CHECK(next >= 250ms);
    }
    CHECK(schedule.bookRetry(10ms, 2s, now + 10s, random) < 400ms);
}

namespace {

/// Numbers of requests by outcome in a simulated overload.
struct OverloadResult {
    int inTime { 0 };
    int servedOnRetry { 0 };
    int refusedTwice { 0 };
    int lateFirstAttempts { 0 };
};

} // namespace

/// Simulates ten seconds of load on one endpoint that takes 10 ms per request. During
/// the first \p overload the load is twice the capacity. With
/// \p isLimited, requests beyond the max wait are refused, and each refused client
/// retries once.
static OverloadResult simulateOverload(Duration overload, bool isLimited)
{
    struct Retry {
        TimePoint at;
        TimePoint firstAttemptAt;
    };
    OverloadResult result;
    Random random(5);
    RetryAfterSchedule schedule;
    std::deque<Retry> retries;
    TimePoint start { 100s };
    TimePoint busyUntil = start;
    auto receive = [&](TimePoint now, TimePoint firstAttemptAt) {
        WaitLimitInputs inputs = firstAttempt();
        inputs.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(5s - (now - firstAttemptAt));
        Duration wait = std::max<Duration>(busyUntil - now, 0ms);
        bool isRetry = now != firstAttemptAt;
        if (isLimited && wait > maxQueueWait(inputs, 100ms)) {
            if (isRetry)
                ++result.refusedTwice;
            else
                retries.push_back({ now + schedule.bookRetry(10ms, inputs.timeLeft / 3, now, random), now });
            return;
        }
        busyUntil = std::max(busyUntil, now) + 10ms;
        bool missesTarget = now + wait + 100ms - firstAttemptAt > 600ms;
        result.inTime += !missesTarget;
        result.lateFirstAttempts += missesTarget && !isRetry;
        result.servedOnRetry += missesTarget && isRetry;
    };
    for (TimePoint now = start; now < start + 10s; now += 1ms) {
        std::sort(retries.begin(), retries.end(), [](const Retry& first, const Retry& second) { return first.at < second.at; });
        while (!retries.empty() && retries.front().at <= now) {
            TimePoint firstAttemptAt = retries.front().firstAttemptAt;
            retries.pop_front();
            receive(now, firstAttemptAt);
        }
        double arrivalsPerMillisecond = now < start + overload ? 0.2 : 0.05;
        if (random.unit() < arrivalsPerMillisecond)
            receive(now, now);
    }
    return result;
}

// In the strongest bursts, requests arrive in a region at twice the rate that it can
// serve, for a few seconds. A refused client retries after at most a third of its
// timeout of 5 s (1.7 s), so only clients refused in the last 1.7 s retry after the
// burst.
TEST_CASE("in a burst of twice the capacity, accepted first attempts meet the latency target")
{
    OverloadResult result = simulateOverload(3s, true);
    OverloadResult unlimited = simulateOverload(3s, false);
    CHECK(result.lateFirstAttempts == 0);
    CHECK(unlimited.lateFirstAttempts > 300);
    CHECK(result.inTime > unlimited.inTime + 200);
}

TEST_CASE("most clients that are refused in a short burst are served when they retry")
{
    OverloadResult result = simulateOverload(1'200ms, true);
    CAPTURE(result.inTime, result.servedOnRetry, result.refusedTwice);
    CHECK(result.lateFirstAttempts == 0);
    CHECK(result.servedOnRetry > 2 * result.refusedTwice);
}

TEST_CASE("in a long overload, retries don't displace requests that can still meet the latency target")
{
    OverloadResult result = simulateOverload(9s, true);
    // The endpoint can serve a hundred requests per second.
    CHECK(result.inTime > 650);
    CHECK(result.lateFirstAttempts == 0);
}
