#pragma once

#include "catkinwing/Admission/QueuedRequest.h"
#include <optional>
#include <vector>

namespace catkinwing {

/// Why a request was not run. A request is refused only before any of its
/// bytes leave the daemon.
enum class RefusalReason {
    /// No accepted policy names the team.
    UnknownTeam,
    /// The team has no such class.
    UnknownClass,
    /// The identifier is already queued or in flight.
    DuplicateId,
    /// The team exceeds its request rate.
    RequestRate,
    /// The caller has reached the limit of open requests per caller.
    CallerConcurrency,
    /// The team has reached its limit of queued requests.
    TeamQueueFull,
    /// The daemon's queue is full by request count, and no queued request ranks lower
    /// (see FairQueue::evictFor).
    QueueFull,
    /// The daemon's queue is full by bytes and evictions don't free enough, or the
    /// request alone exceeds the limit.
    QueueBytesFull,
    /// The request is predicted to start too late for its deadline.
    PredictedLate,
    /// The request waited until it could no longer meet its deadline.
    Expired,
    /// The request was evicted from a full queue by a request that ranks higher.
    Evicted,
    /// The team or class was removed from the configuration while the request waited.
    PolicyRemoved,
};

/// Returns the reason as a lower-case word for logs, metrics and error bodies.
const char* refusalReasonName(RefusalReason);

/// A request that will not be run.
struct Refusal {
    RefusalReason reason { RefusalReason::UnknownTeam };
    /// Time after which a retry is expected to be admitted; empty if waiting alone
    /// doesn't help or no estimate is available.
    std::optional<Duration> retryAfter;
};

/// A request removed from the queue without being run. The code that receives it must
/// send the refusal to the client at once.
struct DroppedRequest {
    QueuedRequest request;
    Refusal refusal;
};

/// Result of admitting a request.
struct AdmissionDecision {
    /// Why the request was refused; empty if it was queued.
    std::optional<Refusal> refusal;
    /// Requests evicted from the queue to make space for the new one. The new request
    /// may still be refused if the evictions free too little space.
    std::vector<DroppedRequest> evicted;

    bool admitted() const { return !refusal; }
};

} // namespace catkinwing
