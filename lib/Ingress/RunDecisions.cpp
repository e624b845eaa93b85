#include "catkinwing/Ingress/RunDecisions.h"

namespace catkinwing {

/// A request isn't retried after this many refusals: a third one indicates that the whole
/// service is full.
static constexpr unsigned maxNotRunAttempts = 3;
/// A request isn't retried after this many attempts that reached no endpoint. They say nothing
/// of the load, but each may take a connect timeout.
static constexpr unsigned maxUnreachedAttempts = 4;
/// An attempt with less time left than this would only fail at its deadline.
static constexpr std::chrono::milliseconds minTimeForAttempt { 20 };

AttemptVerdict classifyAttempt(const AttemptEvidence& evidence)
{
    if (!evidence.mayHaveReached)
        return AttemptVerdict::NotRun;
    if (!evidence.hasHead)
        return AttemptVerdict::Unknown;
    if (evidence.reportedOutcome)
        return *evidence.reportedOutcome == Outcome::NotRun ? AttemptVerdict::NotRun : AttemptVerdict::Unknown;
    // Without the request's ID a refusal may belong to an earlier request on the connection.
    if (evidence.answer.wasNotExecuted)
        return evidence.isForThisRequest ? AttemptVerdict::NotRun : AttemptVerdict::Unknown;
    bool isComplete = evidence.end == HttpEnd::Complete;
    return isComplete && evidence.answer.isEndpointAnswer && evidence.isForThisRequest ? AttemptVerdict::Answered : AttemptVerdict::Unknown;
}

static bool mayRetry(AttemptVerdict verdict, const RunProgress& progress)
{
    if (!progress.hasRetryBudget || progress.timeLeft < minTimeForAttempt)
        return false;
    if (progress.hasSentHead && !progress.isResumable)
        return false;
    if (verdict == AttemptVerdict::NotRun) {
        bool isSafe = progress.mayRepeat || !progress.mayHaveRun;
        return isSafe && progress.notRunAttempts < maxNotRunAttempts && progress.unreachedAttempts < maxUnreachedAttempts;
    }
    return progress.mayRepeat && progress.possiblyRunAttempts < progress.maxAttempts;
}

NextStep decideNext(AttemptVerdict verdict, const RunProgress& progress)
{
    if (mayRetry(verdict, progress))
        return NextStep::Retry;
    if (progress.hasSentHead)
        return NextStep::Abort;
    return progress.mayHaveRun ? NextStep::FailUnknown : NextStep::RefuseNotRun;
}

} // namespace catkinwing
