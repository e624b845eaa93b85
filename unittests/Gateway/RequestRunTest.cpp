#include "BrokerFixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const char* const firstEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n";
static const char* const secondEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\n\n";
static const char* const lastEvent = "data: [DONE]\n\n";

static FakeHttpAnswer stream(std::vector<std::string> events, HttpEnd end)
{
    FakeHttpAnswer answer;
    answer.headers = { { "Content-Type", "text/event-stream" } };
    answer.body = std::move(events);
    answer.end = end;
    return answer;
}

static FakeHttpAnswer refusal()
{
    FakeHttpAnswer answer = FakeHttpAnswer::ok("{}");
    answer.status = 503;
    answer.headers = { { "Catkinwing-Executed", "false" } };
    return answer;
}

TEST_CASE("a whole answer reaches the caller with the request's id")
{
    BrokerFixture fixture;
    fixture.answers = { FakeHttpAnswer::ok("{\"answer\":1}") };
    auto responder = fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(100ms);
    CHECK(responder->status() == 200);
    CHECK(responder->body == "{\"answer\":1}");
    CHECK(responder->outcome().empty());
    CHECK(*responder->head->headers.find("Catkinwing-Request-Id") == "request");
    CHECK(fixture.broker.running() == 0);
}

TEST_CASE("a refusal by one endpoint is retried at another")
{
    BrokerFixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(5s);
    fixture.answers = { refusal(), FakeHttpAnswer::ok("{\"answer\":2}") };
    std::size_t before = fixture.endpointClient.requests.size();
    auto responder = fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(2s);
    CHECK(responder->body == "{\"answer\":2}");
    REQUIRE(fixture.endpointClient.requests.size() == before + 2);
    CHECK(fixture.endpointClient.requests[before].server != fixture.endpointClient.requests[before + 1].server);
}

TEST_CASE("a non-idempotent request whose answer is lost is never sent again")
{
    BrokerFixture fixture;
    fixture.answers = { FakeHttpAnswer::failed(HttpEnd::NoResponse, true) };
    auto responder = fixture.run(BrokerFixture::book());
    fixture.scheduler.advance(10s);
    CHECK(fixture.endpointClient.requests.size() == 1);
    CHECK(responder->status() == 502);
    CHECK(responder->outcome() == "unknown");
}

TEST_CASE("a non-idempotent request that never left is told as not run")
{
    BrokerFixture fixture;
    fixture.answers = { FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false) };
    auto responder = fixture.run(BrokerFixture::book());
    fixture.scheduler.advance(10s);
    CHECK(responder->outcome() == "not-run");
    CHECK(fixture.endpointClient.requests.front().freshConnection);
}

TEST_CASE("a stream that is cut is resumed where it broke off")
{
    BrokerFixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(5s);
    FakeHttpAnswer rest = stream({ secondEvent, lastEvent }, HttpEnd::Complete);
    rest.headers.set("Catkinwing-Resume-From", "1");
    fixture.answers = { stream({ firstEvent, "data: {\"cho" }, HttpEnd::Truncated), rest };
    auto responder = fixture.run(BrokerFixture::chat(true));
    fixture.scheduler.advance(3s);
    CHECK(responder->body == std::string(firstEvent) + secondEvent + lastEvent);
    CHECK(responder->isFinished);
    CHECK(*fixture.endpointClient.requests.back().headers.find("Catkinwing-Resume-From") == "1");
}

TEST_CASE("a stream that can't be resumed ends as an error, never as whole")
{
    BrokerFixture fixture;
    fixture.answers = { stream({ firstEvent }, HttpEnd::Complete) };
    auto responder = fixture.run(BrokerFixture::chat(true));
    fixture.scheduler.advance(10s);
    CHECK(responder->isAborted);
    CHECK_FALSE(responder->isFinished);
    CHECK(responder->body.find("[DONE]") == std::string::npos);
    CHECK(responder->body.find("\"outcome\":\"unknown\"") != std::string::npos);
}

TEST_CASE("an engine's answer that is not JSON is asked for again elsewhere")
{
    BrokerFixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(5s);
    fixture.answers = { FakeHttpAnswer::ok("{\"this is not\": JSON,,"), FakeHttpAnswer::ok("{\"answer\":3}") };
    auto responder = fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(2s);
    CHECK(responder->body == "{\"answer\":3}");
}

TEST_CASE("what a plain service sends piece by piece is handed on piece by piece")
{
    BrokerFixture fixture;
    FakeHttpAnswer pieces = FakeHttpAnswer::ok("first");
    pieces.isLeftOpen = true;
    fixture.answers = { pieces };
    auto responder = fixture.run(BrokerFixture::book());
    fixture.scheduler.advance(100ms);
    CHECK(responder->body == "first");
    CHECK_FALSE(responder->isFinished);
    responder->leave();
}

TEST_CASE("residency tightened while a request waits keeps it from running")
{
    BrokerFixture fixture;
    FakeHttpAnswer slow = FakeHttpAnswer::ok("{}");
    slow.delay = 2s;
    for (int i = 0; i < 4; ++i)
        fixture.answers.push_back(slow);
    for (int i = 0; i < 4; ++i)
        fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(10ms);
    auto waiting = fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(10ms);
    REQUIRE(fixture.broker.queued() == 1);
    fixture.configure({ "south" });
    fixture.scheduler.advance(4s);
    CHECK(waiting->status() == 421);
    CHECK(waiting->outcome() == "not-run");
    CHECK(fixture.endpointClient.requests.size() == 4);
}

TEST_CASE("a request past its deadline is answered at once with what is known")
{
    BrokerFixture fixture;
    FakeHttpAnswer never = FakeHttpAnswer::ok("");
    never.delay = 60s;
    fixture.answers = { never };
    auto responder = fixture.run(BrokerFixture::book());
    fixture.scheduler.advance(4900ms);
    CHECK(responder->status() == 0);
    fixture.scheduler.advance(200ms);
    CHECK(responder->status() == 504);
    CHECK(responder->outcome() == "unknown");
    CHECK(fixture.broker.running() == 0);
}

TEST_CASE("a caller that goes away frees its slot and cancels its request")
{
    BrokerFixture fixture;
    FakeHttpAnswer slow = FakeHttpAnswer::ok("{}");
    slow.delay = 3s;
    fixture.answers = { slow };
    auto responder = fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(10ms);
    REQUIRE(fixture.endpointClient.exchanges.size() == 1);
    responder->leave();
    CHECK(fixture.endpointClient.exchanges.front()->isCancelled);
    CHECK(fixture.broker.running() == 0);
    CHECK(fixture.endpoints.cell().freeCredits("sizes") == 4);
}

TEST_CASE("more requests than slots wait and are all answered")
{
    BrokerFixture fixture;
    std::vector<std::shared_ptr<FakeResponder>> responders;
    responders.reserve(12);
    for (int i = 0; i < 12; ++i)
        responders.push_back(fixture.run(BrokerFixture::chat(false)));
    fixture.scheduler.advance(4s);
    for (const auto& responder : responders)
        CHECK(responder->status() == 200);
}

TEST_CASE("a leaving endpoint's refusal keeps new work away from it")
{
    BrokerFixture fixture;
    FakeHttpAnswer leaving = refusal();
    leaving.headers.set("Catkinwing-State", "leaving");
    fixture.answers = { leaving };
    fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(1s);
    SocketAddress left = fixture.endpointClient.requests.front().server;
    std::size_t before = fixture.endpointClient.requests.size();
    for (int i = 0; i < 6; ++i)
        fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(3s);
    REQUIRE(fixture.endpointClient.requests.size() == before + 6);
    for (std::size_t i = before; i < fixture.endpointClient.requests.size(); ++i)
        CHECK(fixture.endpointClient.requests[i].server != left);
}

TEST_CASE("a request that no endpoint in reach serves is refused at once")
{
    BrokerFixture fixture;
    fixture.configureWithout("bookings-1");
    auto responder = fixture.run(BrokerFixture::book());
    CHECK(responder->status() == 503);
    CHECK(responder->outcome() == "not-run");
    CHECK(responder->head->headers.find("Retry-After"));
}

TEST_CASE("what waits when the last endpoint goes is refused soon, not at its deadline")
{
    BrokerFixture fixture;
    FakeHttpAnswer slow = FakeHttpAnswer::ok("{}");
    slow.delay = 3s;
    fixture.answers = { slow, slow };
    for (int i = 0; i < 2; ++i)
        fixture.run(BrokerFixture::book());
    auto waiting = fixture.run(BrokerFixture::book());
    fixture.scheduler.advance(10ms);
    REQUIRE(fixture.broker.queued() == 1);
    fixture.configureWithout("bookings-1");
    fixture.broker.tick();
    CHECK(waiting->status() == 503);
    CHECK(waiting->outcome() == "not-run");
    CHECK(fixture.broker.queued() == 0);
    fixture.scheduler.advance(5s);
}

// Guards against a request that crashes one endpoint after another.
TEST_CASE("a request under which endpoints crashed one after another is refused, and others are served")
{
    BrokerFixture fixture;
    auto startAgain = [&](int start) {
        for (const char* endpoint : { "engine-1", "engine-2" }) {
            EndpointStatus status;
            status.incarnation = "start-" + std::to_string(start);
            fixture.endpoints.applyStatus(endpoint, status, fixture.scheduler.clock().now());
        }
    };
    for (int i = 0; i < 3; ++i) {
        startAgain(i);
        fixture.answers = { FakeHttpAnswer::failed(HttpEnd::NoResponse, true) };
        auto crashed = fixture.run(BrokerFixture::chat(false));
        fixture.scheduler.advance(1s);
        CHECK(crashed->status() == 502);
        fixture.broker.tick();
    }
    startAgain(3);
    fixture.scheduler.advance(20s);
    fixture.answers = { FakeHttpAnswer::ok("{\"answer\":1}") };
    std::size_t before = fixture.endpointClient.requests.size();
    auto refused = fixture.run(BrokerFixture::chat(false));
    fixture.scheduler.advance(100ms);
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    CHECK(refused->body.find("crashes_endpoints") != std::string::npos);
    CHECK(fixture.endpointClient.requests.size() == before);
    HttpRequest other = BrokerFixture::chat(false);
    other.body.insert(other.body.size() - 1, ",\"user\":\"other\"");
    auto served = fixture.run(std::move(other));
    fixture.scheduler.advance(100ms);
    CHECK(served->status() == 200);
}

/// Returns a chat request with a system message and a question.
static HttpRequest chatWith(const std::string& system, const std::string& question)
{
    HttpRequest request = BrokerFixture::chat(false);
    request.body = nlohmann::json { { "model", "sizes" }, { "messages", { { { "role", "system" }, { "content", system } }, { { "role", "user" }, { "content", question } } } } }.dump();
    return request;
}

// Guards against a message that crashes one endpoint after another, in requests that are never alike.
TEST_CASE("requests with a message under which endpoints crashed one after another are refused, and others are served")
{
    BrokerFixture fixture;
    auto startAgain = [&](int start) {
        for (const char* endpoint : { "engine-1", "engine-2" }) {
            EndpointStatus status;
            status.incarnation = "start-" + std::to_string(start);
            fixture.endpoints.applyStatus(endpoint, status, fixture.scheduler.clock().now());
        }
    };
    for (int i = 0; i < 3; ++i) {
        startAgain(i);
        fixture.answers = { FakeHttpAnswer::failed(HttpEnd::NoResponse, true) };
        auto crashed = fixture.run(chatWith("bad", std::to_string(i)));
        fixture.scheduler.advance(700ms);
        CHECK(crashed->status() == 502);
        fixture.broker.tick();
    }
    startAgain(3);
    fixture.answers = { FakeHttpAnswer::ok("{\"answer\":1}") };
    std::size_t before = fixture.endpointClient.requests.size();
    auto refused = fixture.run(chatWith("bad", "again"));
    fixture.scheduler.advance(100ms);
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    CHECK(fixture.endpointClient.requests.size() == before);
    auto served = fixture.run(chatWith("other", "again"));
    fixture.scheduler.advance(100ms);
    CHECK(served->status() == 200);
    // After a while one request finds out whether the message still crashes endpoints.
    fixture.scheduler.advance(3s);
    fixture.answers = { FakeHttpAnswer::ok("{\"answer\":1}"), FakeHttpAnswer::ok("{\"answer\":1}") };
    auto trial = fixture.run(chatWith("bad", "trial"));
    fixture.scheduler.advance(100ms);
    CHECK(trial->status() == 200);
    auto after = fixture.run(chatWith("bad", "after"));
    fixture.scheduler.advance(100ms);
    CHECK(after->status() == 200);
}
