#include "catkinwing/Admission/RetryWindow.h"

#include "catkinwing/Support/Random.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

static int makeAllRetries(RetryWindow& retryWindow, TimePoint now)
{
    int retries = 0;
    while (retryWindow.tryRetry(now))
        ++retries;
    return retries;
}

TEST_CASE("half of the retries allowed for the last window are available at once, and the rest as requests arrive")
{
    RetryWindow retryWindow;
    retryWindow.setAllowance({ 0.2, 4, 10s });
    TimePoint now { 100s };
    for (int i = 0; i < 500; ++i) {
        now += 20ms;
        retryWindow.recordRequest(now);
    }
    int retries = makeAllRetries(retryWindow, now);
    CHECK(retries >= 50);
    RetryWindow withoutRequests = retryWindow;
    CHECK(retries + makeAllRetries(withoutRequests, now + 5s) <= 54);
    for (int i = 0; i < 500; ++i) {
        now += 20ms;
        retryWindow.recordRequest(now);
        retries += retryWindow.tryRetry(now) ? 1 : 0;
    }
    CHECK(retries > 90);
    CHECK(retries <= 104);
    CHECK(retryWindow.hasRetry(now + 11s));
}

// Guards against entries with so small a share of the requests that they never get a
// retry.
TEST_CASE("each entry with few requests gets a retry, and all entries together stay within the ratio")
{
    constexpr int entries = 295;
    constexpr double requestsPerSecond = 2;
    Random random(5);
    std::vector<RetryWindow> retryWindows;
    std::vector<int> retries(entries, 0);
    for (int i = 0; i < entries; ++i) {
        retryWindows.emplace_back(random.unit());
        retryWindows.back().setAllowance({ 0.2, 0, 10s });
    }
    TimePoint start { 100s };
    Duration span = 120s;
    for (TimePoint now = start; now < start + span; now += 100ms) {
        for (int i = 0; i < entries; ++i) {
            if (random.unit() < requestsPerSecond / 10)
                retryWindows[static_cast<std::size_t>(i)].recordRequest(now);
            retries[static_cast<std::size_t>(i)] += makeAllRetries(retryWindows[static_cast<std::size_t>(i)], now);
        }
    }
    double earned = 0.2 * requestsPerSecond * entries * 120;
    double spent = std::accumulate(retries.begin(), retries.end(), 0.0);
    CHECK(spent <= earned);
    CHECK(spent >= earned / 2);
    CHECK(*std::min_element(retries.begin(), retries.end()) > 0);
}

TEST_CASE("a further retry of a request is allowed only while at least half of the allowance is left")
{
    RetryWindow retryWindow;
    retryWindow.setAllowance({ 0.2, 10, 10s });
    TimePoint now { 100s };
    int further = 0;
    while (retryWindow.tryRetry(now, RetryOrder::Further))
        ++further;
    CHECK(further == 5);
    CHECK(makeAllRetries(retryWindow, now) == 5);
}

TEST_CASE("without requests only the slack is available for retries")
{
    RetryWindow retryWindow;
    retryWindow.setAllowance({ 0.2, 2, 10s });
    TimePoint now { 100s };
    CHECK(retryWindow.tryRetry(now));
    CHECK(retryWindow.tryRetry(now));
    CHECK_FALSE(retryWindow.tryRetry(now));
    CHECK_FALSE(retryWindow.tryRetry(now + 9s));
}

// The load alternates between peaks and low traffic, and every allowed retry is made.
TEST_CASE("the retries of a window stay within the allowance for the requests of that window, the previous one or the one half a window earlier")
{
    Random random(11);
    RetryWindow retryWindow;
    retryWindow.setAllowance({ 0.2, 4, 10s });
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    TimePoint start { 100s };
    for (TimePoint now = start; now < start + 60s; now += 7ms) {
        bool isPeak = (now - start) % 15s < 4s;
        if (random.unit() < (isPeak ? 0.9 : 0.05)) {
            retryWindow.recordRequest(now);
            requests.push_back(now);
        }
        if (retryWindow.tryRetry(now))
            retries.push_back(now);
    }
    auto within = [](const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
        return std::count_if(times.begin(), times.end(), [&](TimePoint time) { return time >= from && time < to; });
    };
    for (TimePoint from = start; from < start + 50s; from += 97ms) {
        std::ptrdiff_t earned = 0;
        for (Duration before = 0s; before <= 10s; before += 5s)
            earned = std::max(earned, within(requests, from - before, from - before + 10s));
        CHECK(static_cast<double>(within(retries, from, from + 10s)) <= 0.2 * static_cast<double>(earned) + 4);
    }
    CHECK(retries.size() > 100);
}
