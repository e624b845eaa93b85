#include "catkinwing/Admission/RetryWindow.h"

#include "catkinwing/Support/Random.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("after a crash all that the requests before it have earned may be retried at once")
{
    RetryWindow budget;
    budget.setAllowance({ 0.2, 4, 10s });
    TimePoint now { 100s };
    for (int i = 0; i < 500; ++i) {
        now += 20ms;
        budget.noteRequest(now);
    }
    int retries = 0;
    while (budget.tryRetry(now))
        ++retries;
    CHECK(retries > 90);
    CHECK(retries <= 104);
    CHECK_FALSE(budget.hasRetry(now + 5s));
    CHECK(budget.hasRetry(now + 11s));
}

TEST_CASE("without requests only the slack may be retried")
{
    RetryWindow budget;
    budget.setAllowance({ 0.2, 2, 10s });
    TimePoint now { 100s };
    CHECK(budget.tryRetry(now));
    CHECK(budget.tryRetry(now));
    CHECK_FALSE(budget.tryRetry(now));
    CHECK_FALSE(budget.tryRetry(now + 9s));
}

// Load that rises and falls, and every retry that is allowed: in each window there
// are no more than the requests of that window or the one before it earn.
TEST_CASE("no window holds more retries than its requests, or those up to a window before, allow")
{
    Random random(11);
    RetryWindow budget;
    budget.setAllowance({ 0.2, 4, 10s });
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    TimePoint start { 100s };
    for (TimePoint now = start; now < start + 60s; now += 7ms) {
        bool isPeak = (now - start) % 15s < 4s;
        if (random.unit() < (isPeak ? 0.9 : 0.05)) {
            budget.noteRequest(now);
            requests.push_back(now);
        }
        if (budget.tryRetry(now))
            retries.push_back(now);
    }
    auto within = [](const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
        return std::count_if(times.begin(), times.end(), [&](TimePoint time) { return time >= from && time < to; });
    };
    for (TimePoint from = start; from < start + 50s; from += 97ms) {
        std::ptrdiff_t earned = 0;
        for (Duration before = 0s; before <= 10s; before += 100ms)
            earned = std::max(earned, within(requests, from - before, from - before + 10s));
        CHECK(static_cast<double>(within(retries, from, from + 10s)) <= 0.2 * static_cast<double>(earned) + 4);
    }
    CHECK(retries.size() > 100);
}
