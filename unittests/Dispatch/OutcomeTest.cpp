#include "catkinwing/Dispatch/Outcome.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static HttpResponseHead head(int status, std::initializer_list<HttpHeader> fields = {})
{
    return { status, HttpHeaders(fields) };
}

static AttemptResult classify(AttemptTarget target, HttpEnd end, const HttpResponseHead& answer)
{
    return classifyAttempt(target, { end, true, "" }, &answer);
}

static Outcome outcomeOf(AttemptTarget target, HttpEnd end, const HttpResponseHead& answer)
{
    return classify(target, end, answer).outcome;
}

TEST_CASE("outcome words are read back")
{
    for (Outcome outcome : { Outcome::Completed, Outcome::NotRun, Outcome::Unknown })
        CHECK(parseOutcome(outcomeWord(outcome)) == outcome);
    CHECK_FALSE(parseOutcome("Not-Run"));
    CHECK_FALSE(parseOutcome(""));
}

TEST_CASE("an attempt is not run only if no byte left or the endpoint says so")
{
    for (HttpEnd end : { HttpEnd::ConnectFailed, HttpEnd::NoResponse, HttpEnd::TimedOut }) {
        AttemptResult unsent = classifyAttempt(AttemptTarget::Endpoint, { end, false, "" }, nullptr);
        CHECK(unsent.outcome == Outcome::NotRun);
        CHECK_FALSE(unsent.mayHaveReachedEndpoint);
        AttemptResult sent = classifyAttempt(AttemptTarget::Endpoint, { end, true, "" }, nullptr);
        CHECK(sent.outcome == Outcome::Unknown);
        CHECK(sent.mayHaveReachedEndpoint);
    }
    HttpResponseHead refusal = head(503, { { executedHeader, "false" } });
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Complete, refusal) == Outcome::NotRun);
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Truncated, refusal) == Outcome::NotRun);
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Malformed, refusal) == Outcome::Unknown);
    CHECK(classify(AttemptTarget::Endpoint, HttpEnd::Complete, refusal).mayHaveReachedEndpoint);
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Complete, head(503)) == Outcome::Unknown);
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Complete, head(500, { { executedHeader, "false" } })) == Outcome::Unknown);
    HttpResponseHead contradiction = head(503, { { executedHeader, "false" }, { executedHeader, "true" } });
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Complete, contradiction) == Outcome::Unknown);
}

TEST_CASE("only a whole answer completes an attempt")
{
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Complete, head(200)) == Outcome::Completed);
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Complete, head(404)) == Outcome::Completed);
    for (HttpEnd end : { HttpEnd::Truncated, HttpEnd::TimedOut, HttpEnd::Malformed, HttpEnd::NoResponse })
        CHECK(outcomeOf(AttemptTarget::Endpoint, end, head(200)) == Outcome::Unknown);
    CHECK(classify(AttemptTarget::Endpoint, HttpEnd::Complete, head(500)).hasWholeAnswer);
}

TEST_CASE("another entry is believed by its outcome header alone")
{
    HttpResponseHead refused = head(503, { { outcomeHeader, "not-run" }, { endpointAttemptsHeader, "0" }, { "Retry-After", "3" } });
    AttemptResult result = classify(AttemptTarget::Entry, HttpEnd::Complete, refused);
    CHECK(result.outcome == Outcome::NotRun);
    CHECK_FALSE(result.mayHaveReachedEndpoint);
    CHECK(result.retryAfter == std::chrono::seconds(3));
    CHECK(classify(AttemptTarget::Entry, HttpEnd::Complete, head(503, { { outcomeHeader, "not-run" } })).mayHaveReachedEndpoint);
    CHECK(outcomeOf(AttemptTarget::Entry, HttpEnd::Complete, head(503, { { executedHeader, "false" } })) == Outcome::Unknown);
    CHECK(outcomeOf(AttemptTarget::Entry, HttpEnd::Complete, head(200, { { outcomeHeader, "unknown" } })) == Outcome::Unknown);
    CHECK(outcomeOf(AttemptTarget::Entry, HttpEnd::Complete, head(200)) == Outcome::Completed);
    CHECK(outcomeOf(AttemptTarget::Endpoint, HttpEnd::Complete, head(503, { { outcomeHeader, "not-run" } })) == Outcome::Unknown);
}

TEST_CASE("failures are not handed on as they arrive")
{
    CHECK(isDeliverableHead(AttemptTarget::Endpoint, head(200)));
    CHECK_FALSE(isDeliverableHead(AttemptTarget::Endpoint, head(503)));
    CHECK_FALSE(isDeliverableHead(AttemptTarget::Endpoint, head(429)));
    CHECK_FALSE(isDeliverableHead(AttemptTarget::Entry, head(409, { { outcomeHeader, "unknown" } })));
}
