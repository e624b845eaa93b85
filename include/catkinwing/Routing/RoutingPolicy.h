#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>

namespace catkinwing {

/// How an endpoint is chosen. All but the first are baselines to measure the
/// first against.
enum class RoutingAlgorithm {
    /// Shortest predicted time to first token.
    PredictedTimeToFirstToken,
    /// Endpoints in turn.
    RoundRobin,
    /// Fewest requests of this entry in flight.
    LeastInFlight,
    /// The one of two random endpoints with fewer requests of this entry in flight.
    PowerOfTwoChoices
};

/// Settings of the choice of an endpoint.
struct RoutingPolicy {
    RoutingAlgorithm algorithm { RoutingAlgorithm::PredictedTimeToFirstToken };
    /// Endpoints whose prediction exceeds the best one by at most this fraction of
    /// it count as equal.
    double nearBestFraction { 0.2 };
    /// An endpoint that has to prefill more than this many tokens more than the
    /// best one doesn't count as equal.
    double nearBestTokens { 64 };
    /// Minimum margin: endpoints whose prediction exceeds the best one by at most
    /// this time count as equal.
    Duration nearBestFloor { std::chrono::milliseconds(5) };
    /// Added to the margin per unit of age of the best endpoint's load report,
    /// since other entries may have sent requests to the endpoint in the meantime.
    double nearBestPerReportAge { 0.02 };
    /// Older load reports are not used to estimate the requests in flight; only
    /// this entry's requests count then.
    Duration maxReportAge { std::chrono::seconds(10) };
    /// Maximum number of open endpoints for which all are scored. If there are
    /// more, a sample is scored.
    std::size_t scoreAllUpTo { 32 };
    /// Maximum number of endpoints in a sample that are selected for having the
    /// longest cached prefixes.
    std::size_t sampledHolders { 16 };
    /// Number of random draws that add endpoints to a sample besides the sampledHolders.
    std::size_t sampledOthers { 16 };
    /// Relative increase of the prefill time when the batch is full: 0.5 means
    /// 50 % longer.
    double batchSlowdown { 0.5 };
    /// Time to load an adapter that is not loaded yet.
    Duration adapterLoadTime { std::chrono::milliseconds(500) };
};

} // namespace catkinwing
