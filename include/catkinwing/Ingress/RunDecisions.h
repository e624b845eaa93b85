#pragma once

#include "catkinwing/Dispatch/Outcome.h"
#include "catkinwing/Ingress/Dialect.h"
#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Result of one attempt of a routed request.
enum class AttemptVerdict {
    /// The endpoint's complete answer was received, whatever its status.
    Answered,
    /// The request was certainly not executed and will not be.
    NotRun,
    /// The request may have been executed, and no complete answer was received.
    Unknown,
};

/// Facts known when an attempt has ended.
struct AttemptEvidence {
    AttemptTarget target { AttemptTarget::Endpoint };
    HttpEnd end { HttpEnd::Complete };
    /// The request may have reached the target of the attempt.
    bool mayHaveReached { false };
    /// A response head was received.
    bool hasHead { false };
    ResponseFacts answer;
    /// The answer carries the ID of the request.
    bool isForThisRequest { false };
    /// Outcome stated by another entry; set only if that entry made the answer itself.
    absl::optional<Outcome> reportedOutcome;
};

/// Classifies an attempt. Returns NotRun only if that is certain: no byte was
/// sent, or the answer states that the request was not executed.
AttemptVerdict classifyAttempt(const AttemptEvidence& evidence);

/// State of a routed request when one of its attempts has failed.
struct RunProgress {
    /// The route allows the request to be executed more than once.
    bool mayRepeat { false };
    /// A broken stream may be resumed at another endpoint.
    bool isResumable { false };
    /// An attempt, the failed one included, may have been executed.
    bool mayHaveRun { false };
    /// Number of attempts that may have been executed.
    unsigned possiblyRunAttempts { 0 };
    /// Number of attempts that an endpoint or another entry refused, and that were certainly
    /// not executed.
    unsigned notRunAttempts { 0 };
    /// Number of attempts that reached no endpoint: failed connections, and refusals of
    /// entries that reach no endpoint themselves.
    unsigned unreachedAttempts { 0 };
    /// Max number of attempts that may have been executed.
    unsigned maxAttempts { 1 };
    /// The head of the answer has been sent to the client.
    bool hasSentHead { false };
    /// The retry budget allows another attempt.
    bool hasRetryBudget { false };
    /// Time until the deadline of the request.
    Duration timeLeft { 0 };
};

/// Action after a failed attempt.
enum class NextStep {
    /// Retry the request; a stream resumes after its last event.
    Retry,
    /// Answer that the request has not been executed and won't be.
    RefuseNotRun,
    /// Answer that the outcome is unknown.
    FailUnknown,
    /// Abort the answer so that the client sees that it is incomplete.
    Abort,
};

NextStep decideNext(AttemptVerdict verdict, const RunProgress& progress);

} // namespace catkinwing
