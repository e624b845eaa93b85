#pragma once

#include "catkinwing/Support/Clock.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace catkinwing {

/// Quantiles of a latency that follows changes: counts in buckets of equal
/// ratio, halved as they fill up.
class LatencyQuantiles {
public:
    void record(Duration latency);
    /// Returns the latency that \p fraction (0 to 1) of the samples don't pass,
    /// to within a fifth; nothing until \c minimumSamples came.
    std::optional<Duration> quantile(double fraction) const;

    static constexpr std::uint32_t minimumSamples = 50;

private:
    static constexpr std::size_t bucketCount = 96;
    static constexpr std::uint32_t halveAt = 2000;

    std::array<std::uint32_t, bucketCount> m_counts {};
    std::uint32_t m_total { 0 };
};

/// When a second attempt may run beside the first.
struct HedgePolicy {
    bool enabled { true };
    /// The first attempt must have waited longer than this share of its like.
    double quantile { 0.95 };
    Duration minimumWait { std::chrono::milliseconds(50) };
    unsigned maxHedges { 1 };
};

/// All that a hedge depends on.
struct HedgeInputs {
    bool idempotent { false };
    /// True once any byte of the answer went to the caller.
    bool delivered { false };
    unsigned hedgesSoFar { 0 };
    /// Time that the present attempt has run.
    Duration elapsed { 0 };
    /// The learned quantile for requests of this kind, where known.
    std::optional<Duration> learnedWait;
    /// Whether the cell's retry budget has a token.
    bool budgetAvailable { false };
    /// Time until the caller gives up, where known.
    std::optional<Duration> timeLeft;
    /// Predicted time to first token of the second attempt, where there is
    /// another endpoint for it.
    std::optional<Duration> secondPrediction;
};

/// Whether to hedge, and else why not.
enum class HedgeDecision { Hedge,
    Disabled,
    NotIdempotent,
    AlreadyDelivered,
    EnoughHedges,
    TooEarly,
    NotLearned,
    NoOtherEndpoint,
    TooLateToHelp,
    NoBudget };

/// Decides whether a second attempt of a request starts now.
HedgeDecision shouldHedge(const HedgeInputs& inputs, const HedgePolicy& policy);

} // namespace catkinwing
