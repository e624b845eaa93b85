#include "catkinwing/Dispatch/RetryDecision.h"

#include <algorithm>

namespace catkinwing {

// Of a stream the caller may have got comments alone, which carry nothing.
static bool hasDelivered(const RequestTraits& traits, const RequestProgress& progress)
{
    return traits.isStreaming ? progress.deliveredEvents > 0 : progress.deliveredBytes > 0;
}

static bool mayRetry(const RequestTraits& traits, const RequestProgress& progress, const AttemptResult& failure)
{
    if (hasDelivered(traits, progress))
        return false;
    if (traits.isIdempotent)
        return true;
    // An endpoint's refusal is enough to tell the caller `not-run`, but a
    // second try is the caller's to decide once a byte has left.
    return failure.outcome == Outcome::NotRun && !failure.mayHaveReachedEndpoint && !progress.mayHaveRun;
}

static bool mayResume(const RequestTraits& traits, const RequestProgress& progress)
{
    return traits.isIdempotent && traits.isStreaming && traits.canResume && progress.deliveredEvents > 0;
}

// Full jitter: retries of one failure spread over the whole wait.
static std::chrono::milliseconds drawBackoff(const RetryPolicy& policy, unsigned attempts, Random& random)
{
    constexpr unsigned maxDoublings = 16;
    unsigned doublings = std::min(attempts > 0 ? attempts - 1 : 0, maxDoublings);
    std::chrono::milliseconds limit = std::min(policy.initialBackoff * (1u << doublings), policy.maxBackoff);
    return std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(limit.count()) + 1));
}

static FailureDecision failWith(const RequestTraits& traits, const RequestProgress& progress, const AttemptResult& failure)
{
    FailureDecision decision;
    bool mayHaveRun = progress.mayHaveRun || failure.outcome != Outcome::NotRun;
    decision.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    // Coming back with a request that may have run helps only if the repeat
    // can't run it again.
    bool isSafeToRepeat = !mayHaveRun || traits.isIdempotent || traits.isKeyed;
    if (isSafeToRepeat)
        decision.retryAfter = std::max(failure.retryAfter, std::chrono::seconds(1));
    return decision;
}

FailureDecision decideAfterFailure(const RequestTraits& traits, const RequestProgress& progress, const AttemptResult& failure,
    const RetryPolicy& policy, bool hasBudget, TimePoint now, Random& random)
{
    bool isResume = mayResume(traits, progress);
    bool isAllowed = isResume || mayRetry(traits, progress, failure);
    if (!isAllowed || !hasBudget || progress.attempts >= policy.maxAttempts)
        return failWith(traits, progress, failure);
    std::chrono::milliseconds backoff = drawBackoff(policy, progress.attempts, random);
    if (now + backoff + policy.minTimeForAttempt > traits.deadline)
        return failWith(traits, progress, failure);
    FailureDecision decision;
    decision.action = isResume ? FailureAction::Resume : FailureAction::Retry;
    decision.backoff = backoff;
    decision.resumeFromEvent = isResume ? progress.deliveredEvents : 0;
    return decision;
}

bool mayHedge(const RequestTraits& traits, const RequestProgress& progress, const RetryPolicy& policy, bool hasBudget, TimePoint now)
{
    bool hasTime = now + policy.minTimeForAttempt <= traits.deadline;
    bool hasAttempts = progress.attempts < policy.maxAttempts;
    return traits.isIdempotent && !hasDelivered(traits, progress) && hasBudget && hasTime && hasAttempts;
}

} // namespace catkinwing
