#include "catkinwing/Http/HttpClient.h"

#include "EventLoopImpl.h"
#include "ManualLoop.h"
#include "ScriptedServer.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("bytes after a response never reach the next request")
{
    ScriptedServer scripted;
    std::string method = GENERATE(as<std::string>(), "GET", "HEAD");
    std::string response = GENERATE(as<std::string>(),
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    bool isAtOnce = GENERATE(true, false);
    std::string extra = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    INFO(method << " " << response << (isAtOnce ? "at once" : "later"));
    if (method == "HEAD")
        response = response.substr(0, response.find("\r\n\r\n") + 4);
    HttpClientRequest request = requestFor(scripted.server.address());
    request.method = method;
    auto first = scripted.send(request);
    auto connection = scripted.serve();
    connection->send(isAtOnce ? response + extra : response);
    scripted.waitForEnd(first);
    CHECK(first->result.end == HttpEnd::Complete);
    CHECK_FALSE(absl::StrContains(first->body, "evil"));
    if (!isAtOnce) {
        connection->send(extra);
        runFor(scripted.loop, 10ms);
    }
    auto second = scripted.send("/second");
    auto other = scripted.serve();
    other->send("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood");
    scripted.waitForEnd(second);
    CHECK(second->result.end == HttpEnd::Complete);
    CHECK(second->body == "good");
    CHECK(connection->receiveToEnd(scripted.loop));
}

// Guards against the copy of a failure that comes late, in the place of the next response, and is
// taken for the response to a request that runs.
TEST_CASE("a connection isn't kept after a failure that nothing tells from a later response")
{
    ScriptedServer scripted;
    std::string status = GENERATE(as<std::string>(), "503 Full", "429 Slow", "421 Moved", "412 Changed", "404 None", "500 Fault", "307 There");
    std::string body = GENERATE(as<std::string>(), "", "full");
    std::string failure = absl::StrCat("HTTP/1.1 ", status, "\r\ncontent-length: ", body.size(), "\r\n\r\n", body);
    INFO(failure);
    auto first = scripted.send();
    auto connection = scripted.serve();
    connection->send(failure);
    scripted.waitForEnd(first);
    CHECK(first->result.end == HttpEnd::Complete);
    CHECK(first->body == body);
    connection->clear();
    auto second = scripted.send("/second");
    std::unique_ptr<RawConnection> other;
    REQUIRE(runUntil(scripted.loop, [&] {
        other = scripted.server.accept();
        connection->receive();
        return other || !connection->received().empty();
    }));
    if (!other)
        connection->send(failure);
    REQUIRE(other);
    REQUIRE(other->receiveUntil(scripted.loop, "\r\n\r\n"));
    other->send("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood");
    scripted.waitForEnd(second);
    CHECK(second->head.status == 200);
    CHECK(second->body == "good");
    CHECK(connection->receiveToEnd(scripted.loop));
}

TEST_CASE("an idle connection that the server closed is not used")
{
    ScriptedServer scripted;
    auto first = scripted.send();
    auto connection = scripted.serve();
    connection->send(okEmpty);
    scripted.waitForEnd(first);
    connection->close();
    runFor(scripted.loop, 10ms);
    auto second = scripted.send();
    auto other = scripted.serve();
    other->send(okEmpty);
    scripted.waitForEnd(second);
    CHECK(second->result.end == HttpEnd::Complete);
}

TEST_CASE("a used connection that closes on the next request leaves the outcome open, a fresh one is a new one")
{
    ScriptedServer scripted;
    auto first = scripted.send();
    auto connection = scripted.serve();
    connection->send(okEmpty);
    scripted.waitForEnd(first);
    connection->clear();
    bool isFresh = GENERATE(false, true);
    HttpClientRequest request = requestFor(scripted.server.address());
    request.freshConnection = isFresh;
    auto second = scripted.send(request);
    if (isFresh) {
        scripted.serve()->send(okEmpty);
        scripted.waitForEnd(second);
        CHECK(second->result.end == HttpEnd::Complete);
        return;
    }
    REQUIRE(connection->receiveUntil(scripted.loop, "\r\n\r\n"));
    connection->close();
    scripted.waitForEnd(second);
    CHECK(second->result.end == HttpEnd::NoResponse);
    CHECK(second->result.mayHaveReachedServer);
}

TEST_CASE("a response that says close, or HTTP/1.0, is not followed by another on its connection")
{
    ScriptedServer scripted;
    auto first = scripted.send();
    auto connection = scripted.serve();
    connection->send(GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n"));
    scripted.waitForEnd(first);
    CHECK(first->result.end == HttpEnd::Complete);
    REQUIRE(connection->receiveToEnd(scripted.loop));
    auto second = scripted.send();
    CHECK(scripted.serve());
}

TEST_CASE("the next request may be sent inside onEnd and uses the same connection")
{
    SystemClock clock;
    EventLoop loop(clock);
    std::vector<std::uint16_t> ports;
    auto server = startServer(loop, [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        ports.push_back(request.caller.port);
        responder->send(headOf(200), "x");
    });
    auto client = makeHttpClient(loop, {});
    int left = 50;
    std::function<void()> sendNext = [&] {
        HttpClientCallbacks callbacks;
        callbacks.onEnd = [&](const HttpResult& result) {
            CHECK(result.end == HttpEnd::Complete);
            if (--left > 0)
                sendNext();
        };
        client->send(requestFor(server->address()), std::move(callbacks));
    };
    sendNext();
    REQUIRE(runUntil(loop, [&] { return left == 0; }));
    CHECK(std::set<std::uint16_t>(ports.begin(), ports.end()).size() == 1);
}

TEST_CASE("idle connections are bounded in number and time, and can be forgotten")
{
    ManualClock clock;
    EventLoop loop(clock);
    std::vector<std::shared_ptr<HttpResponder>> responders;
    auto server = startServer(loop, [&](const HttpRequest&, std::shared_ptr<HttpResponder> responder) {
        responders.push_back(std::move(responder));
    });
    HttpClientOptions options;
    options.maxIdleConnectionsPerServer = 2;
    options.keepIdle = 200ms;
    auto client = makeHttpClient(loop, options);
    std::vector<std::shared_ptr<Recorded>> sent;
    sent.reserve(5);
    for (int i = 0; i < 5; ++i)
        sent.push_back(sendRecorded(*client, requestFor(server->address())));
    REQUIRE(runTurnsUntil(loop, [&] { return responders.size() == 5; }));
    CHECK(server->openConnections() == 5);
    for (auto& responder : responders)
        responder->send(headOf(200), "x");
    REQUIRE(runTurnsUntil(loop, [&] { return server->openConnections() == 2; }));
    bool isForgotten = GENERATE(false, true);
    if (isForgotten) {
        client->forget(server->address());
    } else {
        clock.set(clock.now() + options.keepIdle - Duration(1ms));
        runTurns(loop, 10);
        CHECK(server->openConnections() == 2);
        clock.set(clock.now() + Duration(1ms));
    }
    CHECK(runTurnsUntil(loop, [&] { return server->openConnections() == 0; }));
}

// Guards against callbacks of a client's socket that h2o has freed.
TEST_CASE("a request that is sent and cancelled in one loop callback leaves no pending socket")
{
    ScriptedServer scripted;
    auto first = scripted.send();
    auto connection = scripted.serve();
    connection->send(okEmpty);
    scripted.waitForEnd(first);
    bool wasPending = false;
    bool isPending = true;
    scripted.loop.callAfter(0ms, [&] {
        scripted.send("/second")->exchange->cancel();
        wasPending = scripted.loop.impl().hasPendingSockets();
    });
    runUntil(scripted.loop, [&] { isPending = scripted.loop.impl().hasPendingSockets(); return wasPending; });
    CHECK(wasPending);
    CHECK_FALSE(isPending);
    CHECK(connection->receiveToEnd(scripted.loop));
}
