#include "catkinwing/Http/HttpClient.h"

#include "ManualLoop.h"
#include "ScriptedServer.h"
#include <absl/strings/match.h>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a cancelled exchange calls nothing any more and closes")
{
    ScriptedServer scripted;
    enum class Moment { AtOnce,
        Connected,
        AfterHead };
    Moment moment = GENERATE(Moment::AtOnce, Moment::Connected, Moment::AfterHead);
    auto recorded = scripted.send();
    std::unique_ptr<RawConnection> connection;
    if (moment == Moment::AtOnce) {
        CHECK_FALSE(recorded->exchange->mayHaveReachedServer());
    } else {
        connection = scripted.serve();
        CHECK(recorded->exchange->mayHaveReachedServer());
    }
    if (moment == Moment::AfterHead) {
        connection->send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc");
        REQUIRE(runUntil(scripted.loop, [&] { return recorded->body == "abc"; }));
    }
    recorded->exchange->cancel();
    recorded->exchange->cancel();
    std::string before = recorded->body;
    if (connection) {
        connection->sendSome("more");
        CHECK(connection->receiveToEnd(scripted.loop));
    }
    runFor(scripted.loop, 20ms);
    CHECK(recorded->ends == 0);
    CHECK(recorded->body == before);
    CHECK(recorded->exchange->mayHaveReachedServer() == (moment != Moment::AtOnce));
}

// Guards against a request that is given up and still runs when the link to its server heals.
TEST_CASE("bytes of a cancelled request that the server hasn't received yet never arrive")
{
    ScriptedServer scripted;
    HttpClientRequest request = requestFor(scripted.server.address());
    request.method = "POST";
    request.body = std::string(16 << 20, 'b');
    auto recorded = scripted.send(request);
    auto connection = scripted.server.waitForConnection(scripted.loop);
    REQUIRE(connection);
    // The body fills the buffers of both sides, since the server doesn't read.
    runFor(scripted.loop, 50ms);
    recorded->exchange->cancel();
    runFor(scripted.loop, 50ms);
    CHECK(connection->receiveToEnd(scripted.loop));
    CHECK(connection->wasReset());
}

TEST_CASE("an exchange can be cancelled inside its own callbacks")
{
    ScriptedServer scripted;
    bool isInHead = GENERATE(true, false);
    std::string response = GENERATE(as<std::string>(),
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\nabc");
    int calls = 0;
    std::shared_ptr<HttpExchange> exchange;
    auto owned = std::make_shared<int>(1);
    std::weak_ptr<int> released = owned;
    std::function<void(bool)> step = [&, owned](bool isHead) {
        ++calls;
        if (isHead == isInHead)
            exchange->cancel();
        CHECK(*owned == 1);
    };
    owned.reset();
    HttpClientCallbacks callbacks;
    callbacks.onHead = [step](const HttpResponseHead&) { step(true); };
    callbacks.onBody = [step](absl::string_view) { step(false); };
    callbacks.onEnd = [&](const HttpResult&) { calls += 100; };
    step = nullptr;
    exchange = scripted.client->send(requestFor(scripted.server.address()), std::move(callbacks));
    callbacks = {};
    auto connection = scripted.serve();
    connection->send(response);
    bool isBodiless = absl::StrContains(response, "204");
    if (!isInHead && isBodiless)
        return;
    REQUIRE(connection->receiveToEnd(scripted.loop));
    runFor(scripted.loop, 10ms);
    CHECK(calls == (isInHead ? 1 : 2));
    CHECK(released.expired());
}

TEST_CASE("an exchange that has ended but not told so can be cancelled by another's callback")
{
    ScriptedServer scripted;
    auto second = std::make_shared<Recorded>();
    int firstEnds = 0;
    HttpClientCallbacks callbacks;
    callbacks.onEnd = [&](const HttpResult&) {
        ++firstEnds;
        second->exchange->cancel();
    };
    auto first = scripted.client->send(requestFor(scripted.server.address()), std::move(callbacks));
    auto firstConnection = scripted.serve();
    second = scripted.send();
    auto secondConnection = scripted.serve();
    firstConnection->send(okEmpty);
    secondConnection->send(okEmpty);
    REQUIRE(runUntil(scripted.loop, [&] { return firstEnds == 1; }));
    runFor(scripted.loop, 20ms);
    CHECK(second->ends <= 1);
}

TEST_CASE("a paused exchange passes nothing on, slows the server and resumes whole")
{
    ManualClock clock;
    EventLoop loop(clock);
    std::shared_ptr<HttpResponder> responder;
    auto server = startServer(loop, [&](const HttpRequest&, std::shared_ptr<HttpResponder> given) {
        responder = std::move(given);
        responder->sendHead(headOf(200));
    });
    auto client = makeHttpClient(loop, {});
    HttpClientRequest request = requestFor(server->address());
    request.idleTimeout = 100ms;
    auto recorded = sendRecorded(*client, request);
    bool isPausedBeforeHead = GENERATE(true, false);
    if (isPausedBeforeHead)
        recorded->exchange->pause();
    REQUIRE(runTurnsUntil(loop, [&] { return recorded->heads == 1; }));
    recorded->exchange->pause();
    const std::size_t size = 24 << 20;
    responder->write(std::string(size, 'x'));
    for (int i = 0; i < 30; ++i) {
        clock.set(clock.now() + Duration(10ms));
        runTurns(loop, 5);
    }
    CHECK(recorded->body.empty());
    CHECK_FALSE(recorded->hasEnded());
    CHECK(responder->pendingBytes() == size);
    recorded->exchange->resume();
    CHECK(recorded->body.empty());
    REQUIRE(runTurnsUntil(loop, [&] { return recorded->body.size() == size; }));
    responder->finish();
    REQUIRE(runTurnsUntil(loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == HttpEnd::Complete);
}

TEST_CASE("an exchange paused at its end tells of it when resumed")
{
    ScriptedServer scripted;
    bool isInHead = GENERATE(true, false);
    std::string response = GENERATE(as<std::string>(),
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    std::shared_ptr<HttpExchange> exchange;
    std::string body;
    int ends = 0;
    HttpClientCallbacks callbacks;
    callbacks.onHead = [&](const HttpResponseHead&) {
        if (isInHead)
            exchange->pause();
    };
    callbacks.onBody = [&](absl::string_view bytes) {
        body.append(bytes.data(), bytes.size());
        exchange->pause();
    };
    callbacks.onEnd = [&](const HttpResult& result) {
        ++ends;
        CHECK(result.end == HttpEnd::Complete);
    };
    exchange = scripted.client->send(requestFor(scripted.server.address()), std::move(callbacks));
    auto connection = scripted.serve();
    connection->send(response);
    runFor(scripted.loop, 30ms);
    CHECK(body == (isInHead ? "" : "abc"));
    CHECK(ends == 0);
    exchange->resume();
    REQUIRE(runUntil(scripted.loop, [&] { return body == "abc"; }));
    runFor(scripted.loop, 10ms);
    CHECK(ends == (isInHead ? 0 : 1));
    exchange->resume();
    REQUIRE(runUntil(scripted.loop, [&] { return ends == 1; }));
}

TEST_CASE("a paused exchange can be cancelled")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    recorded->exchange->pause();
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc");
    runFor(scripted.loop, 20ms);
    bool isWhole = GENERATE(false, true);
    if (isWhole)
        connection->send("de");
    runFor(scripted.loop, 20ms);
    recorded->exchange->cancel();
    recorded->exchange->resume();
    runFor(scripted.loop, 20ms);
    CHECK(recorded->body.empty());
    CHECK(recorded->ends == 0);
}

TEST_CASE("a client can go while exchanges run, and nothing more is called")
{
    ScriptedServer scripted;
    auto running = scripted.send();
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc");
    REQUIRE(runUntil(scripted.loop, [&] { return running->body == "abc"; }));
    auto starting = scripted.send();
    scripted.client.reset();
    CHECK(connection->receiveToEnd(scripted.loop));
    runFor(scripted.loop, 20ms);
    CHECK(running->ends == 0);
    CHECK(starting->ends == 0);
    running->exchange->resume();
    running->exchange->cancel();
}

TEST_CASE("a client may be destroyed inside a callback")
{
    ScriptedServer scripted;
    int ends = 0;
    HttpClientCallbacks callbacks;
    callbacks.onHead = [&](const HttpResponseHead&) { scripted.client.reset(); };
    callbacks.onEnd = [&](const HttpResult&) { ++ends; };
    auto exchange = scripted.client->send(requestFor(scripted.server.address()), std::move(callbacks));
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc");
    CHECK(connection->receiveToEnd(scripted.loop));
    runFor(scripted.loop, 20ms);
    CHECK(ends == 0);
}
