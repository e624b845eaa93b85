#include "catkinwing/Admission/OutputEstimator.h"
#include "catkinwing/Admission/RateBucket.h"
#include "catkinwing/Admission/RequestCost.h"
#include "catkinwing/Admission/RetryBudget.h"
#include "catkinwing/Support/Random.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("the cost is the uncached prompt tokens plus the weighted output tokens")
{
    CHECK(estimateCost({ 1000, 600, 50, 4 }) == Approx(600));
    CHECK(estimateCost({ 1000, 5000, 50, 4 }) == Approx(200));
    CHECK(estimateCost({ 0, 0, 0, 4 }) == Approx(1));
}

TEST_CASE("the expected output moves from the prior to the mean of the responses")
{
    OutputEstimator estimator(2);
    OutputKey key { "a", "chat", "m" };
    CHECK(estimator.expectedOutput(key, 500) == Approx(500));
    estimator.recordOutput(key, 100);
    double one = estimator.expectedOutput(key, 500);
    CHECK(one > 400);
    CHECK(one < 500);
    for (int i = 0; i < 100; ++i)
        estimator.recordOutput(key, 100);
    CHECK(estimator.expectedOutput(key, 500) == Approx(100));
    // The estimate follows a change within some dozens of responses.
    for (int i = 0; i < 100; ++i)
        estimator.recordOutput(key, 300);
    CHECK(estimator.expectedOutput(key, 500) == Approx(300).epsilon(0.05));
}

TEST_CASE("the estimator evicts the least recently used key")
{
    OutputEstimator estimator(2);
    OutputKey a { "a", "chat", "m" };
    OutputKey b { "b", "chat", "m" };
    estimator.recordOutput(a, 100);
    estimator.recordOutput(b, 100);
    estimator.expectedOutput(a, 500);
    estimator.recordOutput({ "c", "chat", "m" }, 100);
    CHECK(estimator.size() == 2);
    CHECK(estimator.expectedOutput(a, 500) < 500);
    CHECK(estimator.expectedOutput(b, 500) == Approx(500));
}

TEST_CASE("retries never exceed a tenth of the requests, or a tenth since the failures began plus one burst")
{
    Random random(31);
    RetryBudget budget;
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < 20000; ++i) {
        budget.onRequest();
        ++requests;
        // After the first 5000 requests, all requests fail and are retried as often as
        // the budget allows.
        while (i > 5000 && budget.tryRetry())
            ++retries;
        REQUIRE(retries <= 0.1 * requests + 1e-6);
    }
    CHECK(retries >= 0.1 * (requests - 5001));
    CHECK(retries <= 0.1 * (requests - 5001) + 10);
}

TEST_CASE("a token bucket returns the exact time until it holds enough tokens")
{
    RateBucket bucket(4, 2);
    TimePoint now { 1h };
    CHECK(bucket.take(2, now));
    CHECK_FALSE(bucket.take(1, now));
    Duration wait = bucket.timeUntil(1, now);
    CHECK(wait == Duration(250ms));
    CHECK_FALSE(bucket.take(1, now + wait - 1ms));
    CHECK(bucket.take(1, now + wait));
    CHECK(bucket.timeUntil(3, now) == Duration::max());
}
