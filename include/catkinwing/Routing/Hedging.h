#pragma once

#include "catkinwing/Support/Clock.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace catkinwing {

/// Estimates quantiles of a latency that changes over time. Samples are counted
/// in buckets of geometrically growing width; the counts are halved whenever
/// their total reaches a limit, so that recent samples dominate.
class LatencyQuantiles {
public:
    void record(Duration latency);
    /// Returns the latency that \p fraction (0 to 1) of the samples don't exceed,
    /// accurate to within a fifth. Returns nothing while fewer than
    /// \c minimumSamples are counted.
    std::optional<Duration> quantile(double fraction) const;

    static constexpr std::uint32_t minimumSamples = 50;

private:
    static constexpr std::size_t bucketCount = 96;
    static constexpr std::uint32_t halvingThreshold = 2000;

    std::array<std::uint32_t, bucketCount> m_counts {};
    std::uint32_t m_total { 0 };
};

/// When a second attempt may run concurrently with the first.
struct HedgePolicy {
    bool enabled { true };
    /// Quantile of the wait for the first token that the first attempt must exceed.
    double quantile { 0.95 };
    Duration minimumWait { std::chrono::milliseconds(50) };
    unsigned maxHedges { 1 };
};

/// Inputs of a hedging decision.
struct HedgeInputs {
    bool idempotent { false };
    /// True once any byte of the answer was sent to the caller.
    bool delivered { false };
    unsigned hedgesSoFar { 0 };
    /// Time since the start of the current attempt.
    Duration elapsed { 0 };
    /// Measured wait for the first token of requests of this kind, at
    /// HedgePolicy::quantile. Empty while there are too few samples.
    std::optional<Duration> waitQuantile;
    /// True if the cell's retry budget allows another attempt.
    bool budgetAvailable { false };
    /// Time until the caller's deadline, if known.
    std::optional<Duration> timeLeft;
    /// Predicted time to first token of the second attempt. Empty if no other
    /// endpoint is available.
    std::optional<Duration> secondAttemptPrediction;
};

/// Whether to hedge, or the reason not to.
enum class HedgeDecision { Hedge,
    Disabled,
    NotIdempotent,
    AlreadyDelivered,
    HedgeLimitReached,
    TooEarly,
    TooFewSamples,
    NoOtherEndpoint,
    DeadlineTooClose,
    NoBudget };

/// Decides whether to start a second attempt of a request now.
HedgeDecision shouldHedge(const HedgeInputs& inputs, const HedgePolicy& policy);

} // namespace catkinwing
