#pragma once

#include "catkinwing/Admission/QueuedRequest.h"
#include <optional>
#include <vector>

namespace catkinwing {

/// Why a request was not run. Each is provably before any byte left the daemon.
enum class RefusalReason {
    /// No accepted policy names the team.
    UnknownTeam,
    /// The team has no such class.
    UnknownClass,
    /// The identifier is already queued or in flight.
    DuplicateId,
    /// The team's requests a second are used up.
    RequestRate,
    /// The caller has as many requests open as one caller may.
    CallerConcurrency,
    /// The team has as many requests queued as it may.
    TeamQueueFull,
    /// The daemon's queue is full by count, and no other request has less right.
    QueueFull,
    /// The daemon's queue is full by bytes, and no other request has less right.
    QueueBytesFull,
    /// It would be served after its deadline.
    PredictedLate,
    /// It waited until it could no longer make its deadline.
    Expired,
    /// It gave way to a request with more right when the queue was full.
    Evicted,
    /// Its team or class vanished from the configuration while it waited.
    PolicyRemoved,
};

/// Returns the reason as a lower-case word for logs, metrics and error bodies.
const char* refusalReasonName(RefusalReason);

/// A request that will not be run.
struct Refusal {
    RefusalReason reason { RefusalReason::UnknownTeam };
    /// When coming back is expected to help; empty if waiting alone doesn't
    /// help or nothing is known.
    std::optional<Duration> retryAfter;
};

/// A request taken back out of the queue, to be answered `not-run` at once.
struct DroppedRequest {
    QueuedRequest request;
    Refusal refusal;
};

/// What became of a request offered to the queue.
struct AdmissionDecision {
    /// Why it was refused; empty if it was queued.
    std::optional<Refusal> refusal;
    /// Others that had to give way, to be answered at once; where that didn't
    /// make room enough, the request is refused all the same.
    std::vector<DroppedRequest> dropped;

    bool admitted() const { return !refusal; }
};

} // namespace catkinwing
