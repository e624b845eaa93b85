#pragma once

#include "catkinwing/Dispatch/Outcome.h"
#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <cstdint>

namespace catkinwing {

/// What is fixed about a request when it is accepted.
struct RequestTraits {
    /// Executing it twice has the effect of executing it once.
    bool isIdempotent { false };
    /// It has an idempotency key whose claim this entry won.
    bool isKeyed { false };
    /// The answer is a stream of server-sent events.
    bool isStreaming { false };
    /// An engine that honours the resume header can serve the next attempt.
    bool canResume { false };
    TimePoint deadline;
};

/// How far a request has come.
struct RequestProgress {
    /// Attempts made, the failed one included.
    unsigned attempts { 0 };
    /// An attempt before the failed one may have been executed.
    bool mayHaveRun { false };
    /// Bytes of the answer's body that went to the caller.
    std::uint64_t deliveredBytes { 0 };
    /// Whole events that went to the caller.
    std::uint64_t deliveredEvents { 0 };
};

/// Bounds of retrying.
struct RetryPolicy {
    unsigned maxAttempts { 4 };
    /// Upper limit of the first wait; it doubles with each attempt.
    std::chrono::milliseconds initialBackoff { 20 };
    std::chrono::milliseconds maxBackoff { 1'000 };
    /// A retry that would leave less than this before the deadline is not made.
    std::chrono::milliseconds minTimeForAttempt { 50 };
};

/// What to do after a failed attempt.
enum class FailureAction {
    /// Send the whole request again after the backoff.
    Retry,
    /// Send it again with the resume header naming resumeFromEvent.
    Resume,
    /// Answer the caller at once with the outcome.
    Fail,
};

/// What decideAfterFailure() came to.
struct FailureDecision {
    FailureAction action { FailureAction::Fail };
    std::chrono::milliseconds backoff { 0 };
    std::uint64_t resumeFromEvent { 0 };
    /// What to tell the caller on Fail; never Completed.
    Outcome outcome { Outcome::Unknown };
    /// When coming back helps; zero if it doesn't.
    std::chrono::seconds retryAfter { 0 };
};

/// Decides what follows a failed attempt. \p hasBudget tells whether the retry
/// budget has a token, which the caller takes if the decision isn't Fail.
/// A non-idempotent request is never sent again after a byte of it may have
/// reached an endpoint.
FailureDecision decideAfterFailure(const RequestTraits& traits, const RequestProgress& progress, const AttemptResult& failure,
    const RetryPolicy& policy, bool hasBudget, TimePoint now, Random& random);

/// Tells whether a second attempt may run beside the first.
bool mayHedge(const RequestTraits& traits, const RequestProgress& progress, const RetryPolicy& policy, bool hasBudget, TimePoint now);

} // namespace catkinwing
