#pragma once

#include "catkinwing/Admission/QueuedRequest.h"
#include <limits>
#include <string>
#include <vector>

namespace catkinwing {

/// Value of a count limit that stands for no limit.
constexpr std::size_t unlimitedCount = std::numeric_limits<std::size_t>::max();

/// Limits on the queued requests of the whole daemon: their number and their bytes.
struct AdmissionLimits {
    std::size_t maxQueuedRequests { 4096 };
    std::size_t maxQueuedBytes { std::size_t { 64 } << 20 };
};

/// Limits of one team in this daemon.
struct TeamLimits {
    /// Maximum number of requests that are started and have not ended; further requests
    /// wait.
    std::size_t maxInFlight { unlimitedCount };
    /// Maximum number of waiting requests; further requests are refused.
    std::size_t maxQueued { unlimitedCount };
    /// Maximum number of one caller's requests, waiting or in flight; further requests
    /// are refused.
    std::size_t requestsPerCaller { unlimitedCount };
    /// Maximum sustained rate; zero stands for no limit.
    double requestsPerSecond { 0 };
    /// Burst size in requests on top of the sustained rate.
    double burst { 1 };
};

/// Policy of one class of request in a team.
struct ClassPolicy {
    std::string name;
    /// Weight of the class relative to the team's other classes; above zero.
    double weight { 1 };
    WorkKind kind { WorkKind::Short };
};

/// Policy of one team.
struct TeamPolicy {
    std::string name;
    /// Weight of the team relative to the other teams in each pool; above zero.
    double weight { 1 };
    std::vector<ClassPolicy> classes;
    TeamLimits limits;
};

/// Time constants of the fair shares.
struct SharePolicy {
    /// Smoothing time of the served-token rates by which a team's weight is split
    /// among the daemons of a region.
    Duration rateSmoothing { std::chrono::seconds(2) };
    /// Time after a peer's last report for which its last rate still counts.
    Duration peerReportTimeout { std::chrono::seconds(3) };
    /// Time after its last served request for which a peer still counts as serving a
    /// team.
    Duration peerIdleTimeout { std::chrono::seconds(10) };
    /// Maximum time for which a backlogged team that couldn't be served is compensated.
    Duration maxCompensationTime { std::chrono::seconds(5) };
};

} // namespace catkinwing
