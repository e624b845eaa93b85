// Tests that the gateway gives up bytes that are no answer and never end, and what it keeps of
// answers meanwhile.
#include "BrokerFixture.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const std::string firstEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n";
static const std::string lastEvent = "data: [DONE]\n\n";

/// Sends \p beginning and then 64 MB in pieces of 64 KiB, unless the exchange is cancelled.
static FakeHttpAnswer withoutEnd(int status, HttpHeaders headers, const std::string& beginning)
{
    FakeHttpAnswer answer = FakeHttpAnswer::ok(beginning);
    answer.status = status;
    answer.headers = std::move(headers);
    answer.body.resize(1'025, std::string(64u << 10, 'x'));
    answer.isLeftOpen = true;
    return answer;
}

static const HttpHeaders eventStream { { "Content-Type", "text/event-stream" } };

// Guards against an engine that is read until the deadline though its stream can't go on.
TEST_CASE("an event without end from an engine breaks the stream off at once")
{
    BrokerFixture fixture;
    fixture.answers.resize(4, withoutEnd(200, eventStream, firstEvent));
    auto endless = fixture.run(BrokerFixture::chat(true));
    fixture.scheduler.advance(2s);
    CHECK(endless->body.substr(0, firstEvent.size()) == firstEvent);
    CHECK(endless->isAborted);
    CHECK(fixture.endpointClient.exchanges.front()->isCancelled);
    CHECK(fixture.broker.running() == 0);
}

// Guards against a whole stream that fails at its deadline because more bytes follow.
TEST_CASE("bytes without end after the terminal event of a stream end the answer as whole")
{
    BrokerFixture fixture;
    fixture.answers = { withoutEnd(200, eventStream, firstEvent + lastEvent) };
    auto responder = fixture.run(BrokerFixture::chat(true));
    fixture.scheduler.advance(100ms);
    CHECK(responder->body == firstEvent + lastEvent);
    CHECK(responder->isFinished);
    CHECK(fixture.endpointClient.exchanges.front()->isCancelled);
}

// Guards against a failure's body that is read until the deadline, and against one that is cut and
// handed on as whole.
TEST_CASE("a failure whose body is too long to keep ends its attempt")
{
    for (bool hasEnd : { false, true }) {
        BrokerFixture fixture;
        fixture.answers = { withoutEnd(500, {}, "") };
        if (hasEnd) {
            fixture.answers.front().body.resize(3);
            fixture.answers.front().isLeftOpen = false;
        }
        auto responder = fixture.run(BrokerFixture::book());
        fixture.scheduler.advance(100ms);
        CAPTURE(hasEnd);
        CHECK(responder->status() == 502);
        CHECK(responder->outcome() == "unknown");
        CHECK(fixture.endpointClient.exchanges.front()->isCancelled);
    }
}

// Guards against answers of many engines that fill the memory together, none of them too long.
TEST_CASE("many answers that don't end at once are held within the buffers for answers")
{
    // Half as much again as the buffers hold, and one answer.
    constexpr std::size_t maxUsed = (36u << 20) + (256u << 10);
    constexpr std::size_t oneAnswer = 250u << 10;
    for (const HttpHeaders& headers : { HttpHeaders(), eventStream }) {
        BrokerFixture fixture(nullptr, 200);
        FakeHttpAnswer unfinished = FakeHttpAnswer::ok(std::string(oneAnswer, 'x'));
        unfinished.headers = headers;
        unfinished.isLeftOpen = true;
        fixture.answers.resize(250, unfinished);
        for (int i = 0; i < 250; ++i)
            fixture.run(BrokerFixture::chat(false));
        fixture.scheduler.advance(100ms);
        CAPTURE(headers.fields().size(), fixture.endpointClient.requests.size());
        CHECK(fixture.endpointClient.requests.size() == 250);
        CHECK(fixture.broker.answerBuffers().used() <= maxUsed);
        fixture.answers.clear();
        auto other = fixture.run(BrokerFixture::chat(false));
        fixture.scheduler.advance(100ms);
        // Engines whose streams broke take no requests for a while.
        CHECK((other->status() == 200 || headers.find("Content-Type")));
        fixture.scheduler.advance(10s);
        CHECK(fixture.broker.answerBuffers().used() == 0);
    }
}
