#pragma once

#include "catkinwing/Standin/ExecutionLog.h"
#include "catkinwing/Support/Random.h"
#include <absl/status/status.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing::standin {

/// When a fault strikes.
struct FaultTrigger {
    double probability { 1 };
    /// Number of times that are left; no value means always.
    std::optional<std::int64_t> times;
    /// Strikes only requests whose path begins with this.
    std::string path;
};

/// A fault with its setting.
template <typename Value>
struct Fault {
    Value value {};
    FaultTrigger trigger;
};

/// The fault switches of a stand-in. Each is absent when off.
struct FaultSettings {
    /// Closes connections at once.
    std::optional<Fault<bool>> down;
    /// Takes the request and never answers.
    std::optional<Fault<bool>> hang;
    /// Answers 503 as not executed.
    std::optional<Fault<bool>> refuse;
    /// Does the work and then closes the connection before the head.
    std::optional<Fault<bool>> loseAnswer;
    /// Refuses writes; store only.
    std::optional<Fault<bool>> readOnly;
    /// Health says leaving and new work is refused as not executed.
    std::optional<Fault<bool>> leaving;
    /// Waits before the request is handled, so that its effect is late too.
    std::optional<Fault<Duration>> delay;
    /// Closes the connection after this many bytes of body, at least one.
    std::optional<Fault<std::int64_t>> cutAfterBytes;
    /// Closes the connection after this many events of a stream, at least one.
    std::optional<Fault<std::int64_t>> cutAfterEvents;
    /// Sends a body that is not JSON, though the head says so.
    std::optional<Fault<bool>> garbage;
    /// Factor on the time of each engine step; has no trigger.
    double slow { 1 };
    /// Names of processes whose requests are cut off.
    std::vector<std::string> blockFrom;
};

/// Reads fault switches; InvalidArgument names an unknown switch or a wrong type.
/// The HTTP library sends neither a head that is not HTTP nor bytes after a
/// complete answer: {"garbage": "http"} and "leftover" are refused as
/// Unimplemented, and the raw stand-in does both.
/// A switch is its plain value, or {"value", "probability", "times", "path"}.
absl::StatusOr<FaultSettings> parseFaults(const nlohmann::json& document);
/// Writes fault switches as parseFaults() reads them.
nlohmann::json faultsToJson(const FaultSettings& settings);

/// The faults that strike one request.
struct FaultPlan {
    bool down { false };
    bool hang { false };
    bool refuse { false };
    bool loseAnswer { false };
    bool readOnly { false };
    bool leaving { false };
    Duration delay {};
    std::optional<std::int64_t> cutAfterBytes;
    std::optional<std::int64_t> cutAfterEvents;
    bool garbage { false };
};

/// Draws the faults of \p call from \p settings and counts them down.
FaultPlan drawFaults(FaultSettings& settings, const CallIdentity& call, Random& random);

} // namespace catkinwing::standin
