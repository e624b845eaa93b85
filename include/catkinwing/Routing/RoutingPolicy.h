#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>

namespace catkinwing {

/// How an endpoint is chosen. All but the first are baselines, kept to measure
/// the first against.
enum class RoutingAlgorithm {
    /// Least predicted time to first token.
    PredictedTimeToFirstToken,
    /// Each in turn.
    RoundRobin,
    /// The fewest own requests in flight.
    LeastInFlight,
    /// The less loaded of two endpoints drawn at random.
    PowerOfTwoChoices
};

/// Settings of the choice of endpoint.
struct RoutingPolicy {
    RoutingAlgorithm algorithm { RoutingAlgorithm::PredictedTimeToFirstToken };
    /// Endpoints within this part of the best prediction count as equal.
    double nearBestFraction { 0.2 };
    /// An endpoint with more tokens than this left to prefill beyond those of
    /// the best doesn't count as equal.
    double nearBestTokens { 64 };
    /// Endpoints within this time of the best prediction count as equal.
    Duration nearBestFloor { std::chrono::milliseconds(5) };
    /// Added to the margin for each unit of age of the report of the best, since
    /// others may have sent it work meanwhile.
    double nearBestPerReportAge { 0.02 };
    /// A report older than this is left out; own requests are all that counts.
    Duration maxReportAge { std::chrono::seconds(10) };
    /// Up to this many open endpoints are all scored; beyond it, a sample.
    std::size_t scoreAllUpTo { 32 };
    /// Endpoints in a sample that hold most of the prefix.
    std::size_t sampledHolders { 16 };
    /// Endpoints in a sample that are drawn at random.
    std::size_t sampledOthers { 16 };
    /// How much slower prefill is when the batch is full: 0.5 means half more.
    double batchSlowdown { 0.5 };
    /// Time to load an adapter where it is not loaded.
    Duration adapterLoadTime { std::chrono::milliseconds(500) };
};

} // namespace catkinwing
