#include "catkinwing/Ingress/RunDecisions.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static AttemptEvidence completeAnswer()
{
    AttemptEvidence evidence;
    evidence.mayHaveReached = true;
    evidence.hasHead = true;
    evidence.answer.isEndpointAnswer = true;
    evidence.isForThisRequest = true;
    return evidence;
}

TEST_CASE("an attempt counts as not run only if no byte was sent or the answer states it")
{
    AttemptEvidence evidence;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::NotRun);
    evidence.mayHaveReached = true;
    evidence.end = HttpEnd::NoResponse;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::Unknown);
    evidence = completeAnswer();
    CHECK(classifyAttempt(evidence) == AttemptVerdict::Answered);
    evidence.answer.wasNotExecuted = true;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::NotRun);
}

TEST_CASE("a truncated answer, one not made by an endpoint and one to another request leave the outcome unknown")
{
    AttemptEvidence evidence = completeAnswer();
    evidence.end = HttpEnd::Truncated;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::Unknown);
    evidence = completeAnswer();
    evidence.answer.isEndpointAnswer = false;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::Unknown);
    evidence = completeAnswer();
    evidence.isForThisRequest = false;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::Unknown);
}

// Guards against a refusal without an ID that belongs to an earlier request on the connection.
TEST_CASE("a refusal that doesn't bear the request's ID proves nothing")
{
    AttemptEvidence evidence = completeAnswer();
    evidence.answer.wasNotExecuted = true;
    evidence.isForThisRequest = false;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::Unknown);
}

TEST_CASE("an outcome stated by another entry takes precedence over the answer itself")
{
    AttemptEvidence evidence = completeAnswer();
    evidence.target = AttemptTarget::Entry;
    evidence.reportedOutcome = Outcome::NotRun;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::NotRun);
    evidence.reportedOutcome = Outcome::Unknown;
    CHECK(classifyAttempt(evidence) == AttemptVerdict::Unknown);
}

static RunProgress initialProgress()
{
    RunProgress progress;
    progress.maxAttempts = 2;
    progress.hasRetryBudget = true;
    progress.timeLeft = 1s;
    return progress;
}

// Checks every possible combination of the conditions.
TEST_CASE("a request that may have run is retried only if it may run more than once, and is never refused as not run")
{
    for (unsigned bits = 0; bits < 128; ++bits) {
        auto bit = [bits](unsigned number) { return (bits >> number & 1) != 0; };
        RunProgress progress = initialProgress();
        progress.mayRepeat = bit(0);
        progress.isResumable = bit(0) && bit(1);
        progress.mayHaveRun = bit(2);
        progress.hasSentHead = bit(2) && bit(3);
        progress.hasRetryBudget = bit(4);
        progress.possiblyRunAttempts = progress.mayHaveRun ? 1 + bit(5) : 0;
        AttemptVerdict verdict = bit(6) ? AttemptVerdict::NotRun : AttemptVerdict::Unknown;
        if (verdict == AttemptVerdict::Unknown && !progress.mayHaveRun)
            continue;
        NextStep step = decideNext(verdict, progress);
        CAPTURE(bits);
        if (step == NextStep::Retry) {
            CHECK((progress.mayRepeat || !progress.mayHaveRun));
            CHECK(progress.hasRetryBudget);
            CHECK((!progress.hasSentHead || progress.isResumable));
        }
        if (step == NextStep::RefuseNotRun)
            CHECK_FALSE(progress.mayHaveRun);
        if (progress.hasSentHead)
            CHECK((step == NextStep::Retry || step == NextStep::Abort));
        else
            CHECK(step != NextStep::Abort);
    }
}

TEST_CASE("retries are limited by the number of attempts, the number of refusals and the time left")
{
    RunProgress progress = initialProgress();
    progress.mayRepeat = true;
    progress.mayHaveRun = true;
    progress.possiblyRunAttempts = 1;
    CHECK(decideNext(AttemptVerdict::Unknown, progress) == NextStep::Retry);
    progress.possiblyRunAttempts = 2;
    CHECK(decideNext(AttemptVerdict::Unknown, progress) == NextStep::FailUnknown);
    progress = initialProgress();
    progress.notRunAttempts = 1;
    CHECK(decideNext(AttemptVerdict::NotRun, progress) == NextStep::Retry);
    progress.notRunAttempts = 3;
    CHECK(decideNext(AttemptVerdict::NotRun, progress) == NextStep::RefuseNotRun);
    progress.notRunAttempts = 1;
    progress.timeLeft = 5ms;
    CHECK(decideNext(AttemptVerdict::NotRun, progress) == NextStep::RefuseNotRun);
}
