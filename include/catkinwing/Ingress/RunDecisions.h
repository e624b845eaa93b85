#pragma once

#include "catkinwing/Dispatch/Outcome.h"
#include "catkinwing/Ingress/Dialect.h"
#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// What one attempt of a routed request came to.
enum class AttemptVerdict {
    /// The endpoint's whole answer is there, whatever its status.
    Answered,
    /// It was certainly not executed, and will not be.
    NotRun,
    /// It may have been executed, and there is no whole answer.
    Unknown,
};

/// What is known when an attempt has ended.
struct AttemptEvidence {
    AttemptTarget target { AttemptTarget::Endpoint };
    HttpEnd end { HttpEnd::Complete };
    bool mayHaveReached { false };
    /// A head came.
    bool hasHead { false };
    AnswerFacts answer;
    /// The answer names the client's attempt.
    bool isOurs { false };
    /// Another entry's statement; only if the answer is that entry's own.
    absl::optional<Outcome> statedOutcome;
};

/// Judges an attempt. Not-run is only what can be proved: no byte left, or the
/// other side said so in an answer to this very request.
AttemptVerdict judgeAttempt(const AttemptEvidence& evidence);

/// How far a routed request has come when one of its attempts has failed.
struct RunProgress {
    /// It may be executed more than once.
    bool mayRepeat { false };
    /// A broken answer may go on at another endpoint.
    bool isResumable { false };
    /// An attempt, the failed one included, may have been executed.
    bool mayHaveRun { false };
    /// Attempts that may have been executed.
    unsigned runs { 0 };
    /// Attempts that were refused without being executed.
    unsigned refusals { 0 };
    unsigned maxRuns { 1 };
    /// A part of the answer has gone to the client.
    bool hasDelivered { false };
    bool hasBudget { false };
    Duration timeLeft { 0 };
};

/// What follows a failed attempt.
enum class NextStep {
    /// Send it again; also a stream, which then goes on after its last event.
    SendAgain,
    /// Answer that it has not been executed and won't be.
    RefuseNotRun,
    /// Answer that the outcome is unknown.
    FailUnknown,
    /// Cut the answer off visibly.
    CutOff,
};

NextStep decideNext(AttemptVerdict verdict, const RunProgress& progress);

} // namespace catkinwing
