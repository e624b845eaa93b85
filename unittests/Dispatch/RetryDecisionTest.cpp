#include "catkinwing/Dispatch/RetryDecision.h"

#include "ScheduleExplorer.h"
#include <catch2/catch.hpp>
#include <limits>

using namespace catkinwing;
using namespace std::chrono_literals;

static const TimePoint start {};

TEST_CASE("every combination keeps the rules of retrying")
{
    ScheduleExplorer explorer(std::numeric_limits<unsigned>::max());
    auto flip = [&explorer] { return explorer.choose(2) == 1; };
    RetryPolicy policy;
    Random random(1);
    std::size_t retries = 0;
    std::size_t resumes = 0;
    do {
        RequestTraits traits { flip(), flip(), flip(), flip(), start + (flip() ? 10s : 10ms) };
        RequestProgress progress;
        progress.attempts = flip() ? 1 : policy.maxAttempts;
        progress.mayHaveRun = flip();
        progress.deliveredEvents = flip() ? 3 : 0;
        progress.deliveredBytes = progress.deliveredEvents * 100;
        AttemptResult failure;
        failure.outcome = flip() ? Outcome::Unknown : Outcome::NotRun;
        failure.mayHaveReachedEndpoint = failure.outcome == Outcome::Unknown || flip();
        bool hasBudget = flip();
        FailureDecision decision = decideAfterFailure(traits, progress, failure, policy, hasBudget, start, random);
        bool mayHaveRun = progress.mayHaveRun || failure.outcome == Outcome::Unknown;
        bool isPossible = hasBudget && progress.attempts < policy.maxAttempts && traits.deadline == start + 10s;
        if (decision.action == FailureAction::Fail) {
            CHECK(decision.outcome == (mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
            CHECK((decision.retryAfter > 0s) == (!mayHaveRun || traits.isIdempotent || traits.isKeyed));
            bool wasFree = isPossible && progress.deliveredEvents == 0 && (traits.isIdempotent || (!failure.mayHaveReachedEndpoint && !mayHaveRun));
            CHECK_FALSE(wasFree);
            continue;
        }
        CHECK(isPossible);
        CHECK((traits.isIdempotent || (!failure.mayHaveReachedEndpoint && !progress.mayHaveRun)));
        CHECK(start + decision.backoff + policy.minTimeForAttempt <= traits.deadline);
        if (decision.action == FailureAction::Retry) {
            ++retries;
            CHECK(progress.deliveredEvents == 0);
            continue;
        }
        ++resumes;
        CHECK((traits.isIdempotent && traits.isStreaming && traits.canResume));
        CHECK(decision.resumeFromEvent == 3);
    } while (explorer.advance());
    CHECK(retries > 0);
    CHECK(resumes > 0);
}

TEST_CASE("the backoff grows to its bound and is jittered")
{
    RequestTraits traits { true, false, false, false, start + 100s };
    RetryPolicy policy;
    policy.maxAttempts = 100;
    Random random(2);
    std::chrono::milliseconds longest { 0 };
    std::chrono::milliseconds shortest = policy.maxBackoff;
    for (unsigned attempts = 1; attempts < 90; ++attempts) {
        FailureDecision decision = decideAfterFailure(traits, { attempts, false, 0, 0 }, {}, policy, true, start, random);
        REQUIRE(decision.action == FailureAction::Retry);
        CHECK(decision.backoff <= std::min(policy.maxBackoff, policy.initialBackoff * (1 << std::min(attempts - 1, 6u))));
        longest = std::max(longest, decision.backoff);
        shortest = std::min(shortest, decision.backoff);
    }
    CHECK(longest > policy.maxBackoff / 2);
    CHECK(shortest < policy.maxBackoff / 2);
}

TEST_CASE("only idempotent requests with nothing delivered are hedged")
{
    RequestTraits traits { true, false, true, false, start + 10s };
    CHECK(mayHedge(traits, { 1, false, 0, 0 }, {}, true, start));
    CHECK_FALSE(mayHedge(traits, { 1, false, 10, 1 }, {}, true, start));
    CHECK_FALSE(mayHedge(traits, { 1, false, 0, 0 }, {}, false, start));
    CHECK_FALSE(mayHedge(traits, { 1, false, 0, 0 }, {}, true, start + 10s));
    traits.isIdempotent = false;
    CHECK_FALSE(mayHedge(traits, { 1, false, 0, 0 }, {}, true, start));
}
