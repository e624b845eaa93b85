#pragma once

#include "catkinwing/Admission/QueuedRequest.h"
#include <limits>
#include <string>
#include <vector>

namespace catkinwing {

/// Limit that never binds.
constexpr std::size_t unlimitedCount = std::numeric_limits<std::size_t>::max();

/// Bounds of the whole daemon.
struct AdmissionLimits {
    std::size_t queuedRequests { 4096 };
    std::size_t queuedBytes { std::size_t { 64 } << 20 };
};

/// Bounds of one team in this daemon.
struct TeamLimits {
    /// Requests started and not finished; more than these wait.
    std::size_t inFlight { unlimitedCount };
    /// Requests waiting; more than these are refused.
    std::size_t queued { unlimitedCount };
    /// Requests of one caller, waiting or in flight; more are refused.
    std::size_t perCaller { unlimitedCount };
    /// Sustained requests a second; zero stands for no limit.
    double requestsPerSecond { 0 };
    /// Requests that may come at once on top of the sustained rate.
    double burst { 1 };
};

/// Policy of one class of request in a team.
struct ClassPolicy {
    std::string name;
    /// Share of the team's service against its other classes; above zero.
    double weight { 1 };
    WorkKind kind { WorkKind::Short };
};

/// Policy of one team.
struct TeamPolicy {
    std::string name;
    /// Share of each pool's service against the other teams; above zero.
    double weight { 1 };
    std::vector<ClassPolicy> classes;
    TeamLimits limits;
};

/// Constants of the fair shares; the sources say how each was chosen.
struct SharePolicy {
    /// Smoothing of the served-token rates that split a team's weight among
    /// the daemons of a region.
    Duration rateSmoothing { std::chrono::seconds(2) };
    /// How long a peer's last rate is believed without a word from it.
    Duration peerSilence { std::chrono::seconds(3) };
    /// How long after its last served request a peer still counts as serving a team.
    Duration peerIdle { std::chrono::seconds(10) };
    /// Longest wait for which a team that couldn't be served is made good.
    Duration creditWindow { std::chrono::seconds(5) };
};

} // namespace catkinwing
