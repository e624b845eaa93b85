#include "catkinwing/Routing/Hedging.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static HedgeInputs hedgeableInputs()
{
    HedgeInputs inputs;
    inputs.idempotent = true;
    inputs.elapsed = 900ms;
    inputs.waitQuantile = 800ms;
    inputs.budgetAvailable = true;
    inputs.secondAttemptPrediction = 100ms;
    return inputs;
}

TEST_CASE("a hedge requires all of its conditions")
{
    HedgePolicy policy;
    CHECK(shouldHedge(hedgeableInputs(), policy) == HedgeDecision::Hedge);
    auto decide = [&policy](auto change) {
        HedgeInputs inputs = hedgeableInputs();
        change(inputs);
        return shouldHedge(inputs, policy);
    };
    CHECK(decide([](HedgeInputs& i) { i.idempotent = false; }) == HedgeDecision::NotIdempotent);
    CHECK(decide([](HedgeInputs& i) { i.delivered = true; }) == HedgeDecision::AlreadyDelivered);
    CHECK(decide([](HedgeInputs& i) { i.hedgesSoFar = 1; }) == HedgeDecision::HedgeLimitReached);
    CHECK(decide([](HedgeInputs& i) { i.elapsed = 799ms; }) == HedgeDecision::TooEarly);
    CHECK(decide([](HedgeInputs& i) { i.waitQuantile.reset(); }) == HedgeDecision::TooFewSamples);
    CHECK(decide([](HedgeInputs& i) { i.secondAttemptPrediction.reset(); }) == HedgeDecision::NoOtherEndpoint);
    CHECK(decide([](HedgeInputs& i) { i.timeLeft = 50ms; }) == HedgeDecision::DeadlineTooClose);
    CHECK(decide([](HedgeInputs& i) { i.budgetAvailable = false; }) == HedgeDecision::NoBudget);
    policy.enabled = false;
    CHECK(shouldHedge(hedgeableInputs(), policy) == HedgeDecision::Disabled);
}

TEST_CASE("quantiles are accurate to within a fifth and follow a change of the latency")
{
    LatencyQuantiles quantiles;
    for (int i = 0; i < 49; ++i)
        quantiles.record(100ms);
    CHECK_FALSE(quantiles.quantile(0.95));
    for (int i = 1; i <= 1000; ++i)
        quantiles.record(i * 1ms);
    CHECK(*quantiles.quantile(0.95) >= 900ms);
    CHECK(*quantiles.quantile(0.95) <= 1150ms);
    for (int i = 0; i < 8000; ++i)
        quantiles.record(10ms);
    CHECK(*quantiles.quantile(0.95) < 15ms);
}
