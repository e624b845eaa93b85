#include "catkinwing/Http/HttpClient.h"

#include "HttpFixture.h"
#include "RawSocket.h"
#include <absl/strings/match.h>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

const std::string okEmpty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A client, and a server that answers what the test says.
struct ScriptedServer {
    explicit ScriptedServer(HttpClientOptions options = {})
        : loop(clock)
        , client(makeHttpClient(loop, std::move(options)))
    {
    }

    std::shared_ptr<Recorded> send(HttpClientRequest request)
    {
        return sendRecorded(*client, std::move(request));
    }
    std::shared_ptr<Recorded> send(const std::string& target = "/") { return send(requestFor(server.address(), target)); }

    /// Waits for a connection and a request on it.
    std::unique_ptr<RawConnection> serve()
    {
        auto connection = server.waitForConnection(loop);
        REQUIRE(connection);
        REQUIRE(connection->receiveUntil(loop, "\r\n\r\n"));
        return connection;
    }

    void waitForEnd(const std::shared_ptr<Recorded>& recorded)
    {
        REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
        CHECK(recorded->ends == 1);
    }

    SystemClock clock;
    EventLoop loop;
    RawServer server;
    std::unique_ptr<HttpClient> client;
};

} // namespace

TEST_CASE("the request line, host and length are as HTTP wants them")
{
    ScriptedServer scripted;
    HttpClientRequest request = requestFor(scripted.server.address(), "/p?q=1");
    request.method = "POST";
    request.body = "body";
    request.headers = { { "X-A", "1" }, { "Content-Length", "99" }, { "Transfer-Encoding", "chunked" }, { "Connection", "close" } };
    auto recorded = scripted.send(request);
    auto connection = scripted.serve();
    REQUIRE(connection->receiveUntil(scripted.loop, "body"));
    CHECK(connection->received()
        == "POST /p?q=1 HTTP/1.1\r\nhost: " + scripted.server.address().toString() + "\r\nX-A: 1\r\ncontent-length: 4\r\n\r\nbody");
    connection->send(okEmpty);
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Complete);
}

TEST_CASE("a refused connection certainly didn't reach the server")
{
    ScriptedServer scripted;
    scripted.server.close();
    auto recorded = scripted.send();
    CHECK_FALSE(recorded->hasEnded());
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::ConnectFailed);
    CHECK_FALSE(recorded->result.mayHaveReachedServer);
    CHECK_FALSE(recorded->exchange->mayHaveReachedServer());
    CHECK(recorded->heads == 0);
    CHECK_FALSE(recorded->result.detail.empty());
}

TEST_CASE("a server that isn't named by an address is a failed connection")
{
    ScriptedServer scripted;
    auto recorded = scripted.send(requestFor({ "localhost", 80 }));
    CHECK_FALSE(recorded->hasEnded());
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::ConnectFailed);
    CHECK_FALSE(recorded->result.mayHaveReachedServer);
}

TEST_CASE("a connection that is not accepted times out and certainly didn't reach the server")
{
    SystemClock clock;
    EventLoop loop(clock);
    auto client = makeHttpClient(loop, {});
    RawServer full(0);
    std::vector<std::shared_ptr<Recorded>> waiting;
    HttpClientRequest request = requestFor(full.address());
    request.connectTimeout = 300ms;
    waiting.reserve(8);
    // The queue takes one or two before the kernel leaves the rest unanswered.
    for (int i = 0; i < 8; ++i)
        waiting.push_back(sendRecorded(*client, request));
    TimePoint start = clock.now();
    REQUIRE(runUntil(loop, [&] { return waiting.back()->hasEnded(); }));
    CHECK(waiting.back()->result.end == HttpEnd::TimedOut);
    CHECK_FALSE(waiting.back()->result.mayHaveReachedServer);
    CHECK(clock.now() - start >= Duration(300ms));
    CHECK(clock.now() - start < Duration(2s));
}

TEST_CASE("a connection closed or reset before the head gives no response")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    std::string begun = GENERATE(as<std::string>(), "", "HTTP/1.1 200 O", "HTTP/1.1 100 Continue\r\n\r\n");
    connection->send(begun);
    bool isReset = GENERATE(false, true);
    if (isReset)
        connection->reset();
    else
        connection->close();
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::NoResponse);
    CHECK(recorded->result.mayHaveReachedServer);
    CHECK(recorded->heads == 0);
}

TEST_CASE("a head that is not HTTP or frames the body in two ways is malformed")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    std::string head = GENERATE(as<std::string>(),
        "SSH-2.0-OpenSSH_9.2\r\n\r\n",
        "HTTP/1.1 abc OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length: 3, 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a: 1\r\n folded: 2\r\n\r\nabcde",
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: other\r\n\r\n");
    INFO(head);
    connection->send(head);
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Malformed);
    CHECK(recorded->result.mayHaveReachedServer);
    CHECK(recorded->heads == 0);
    CHECK(recorded->body.empty());
    CHECK(connection->receiveToEnd(scripted.loop));
}

TEST_CASE("a body cut before its end is truncated")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    std::string response = GENERATE(as<std::string>(),
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n1");
    INFO(response);
    connection->send(response);
    bool isAtOnce = GENERATE(false, true);
    if (!isAtOnce)
        REQUIRE(runUntil(scripted.loop, [&] { return recorded->body == "abc"; }));
    connection->close();
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Truncated);
    CHECK(recorded->body == "abc");
}

TEST_CASE("a chunked body that is cut before any chunk is truncated")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    REQUIRE(runUntil(scripted.loop, [&] { return recorded->heads == 1; }));
    connection->close();
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Truncated);
}

TEST_CASE("a chunk that is none is malformed")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n");
    REQUIRE(runUntil(scripted.loop, [&] { return recorded->body == "abc"; }));
    connection->send("what?\r\n");
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Malformed);
    CHECK(recorded->body == "abc");
}

TEST_CASE("a body without a length ends with the connection, and a reset cuts it")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 200 OK\r\n\r\nabc");
    REQUIRE(runUntil(scripted.loop, [&] { return recorded->body == "abc"; }));
    CHECK_FALSE(recorded->hasEnded());
    bool isReset = GENERATE(false, true);
    if (isReset)
        connection->reset();
    else
        connection->close();
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == (isReset ? HttpEnd::Truncated : HttpEnd::Complete));
}

TEST_CASE("interim responses are passed over")
{
    ScriptedServer scripted;
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n");
    runFor(scripted.loop, 20ms);
    CHECK(recorded->heads == 0);
    connection->send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    scripted.waitForEnd(recorded);
    CHECK(recorded->heads == 1);
    CHECK(recorded->head.status == 200);
    CHECK(recorded->body == "ok");
}

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

TEST_CASE("the wait for the head and for more of the body are bounded")
{
    ScriptedServer scripted;
    HttpClientRequest request = requestFor(scripted.server.address());
    request.headTimeout = 150ms;
    request.idleTimeout = 150ms;
    auto recorded = scripted.send(request);
    auto connection = scripted.serve();
    bool hasHead = GENERATE(false, true);
    if (hasHead) {
        connection->send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n");
        for (int i = 0; i < 5; ++i) {
            runFor(scripted.loop, 60ms);
            connection->send("x");
        }
        REQUIRE_FALSE(recorded->hasEnded());
    }
    TimePoint start = scripted.clock.now();
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::TimedOut);
    CHECK(recorded->result.mayHaveReachedServer);
    CHECK(recorded->heads == (hasHead ? 1 : 0));
    CHECK(scripted.clock.now() - start < Duration(2s));
    CHECK(connection->receiveToEnd(scripted.loop));
}

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

TEST_CASE("a request that would break its framing is refused unsent")
{
    ScriptedServer scripted;
    HttpClientRequest request = requestFor(scripted.server.address());
    SECTION("target") { request.target = "/a HTTP/1.1\r\nx: y"; }
    SECTION("empty target") { request.target = ""; }
    SECTION("method") { request.method = "GET /"; }
    SECTION("name") { request.headers.add("a b", "c"); }
    SECTION("value") { request.headers.add("a", "b\r\nc: d"); }
    auto recorded = scripted.send(request);
    CHECK_FALSE(recorded->hasEnded());
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Malformed);
    CHECK_FALSE(recorded->result.mayHaveReachedServer);
    CHECK_FALSE(scripted.server.accept());
}

TEST_CASE("a paused exchange passes nothing on, slows the server and resumes whole")
{
    SystemClock clock;
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
    REQUIRE(runUntil(loop, [&] { return recorded->heads == 1; }));
    recorded->exchange->pause();
    const std::size_t size = 24 << 20;
    responder->write(std::string(size, 'x'));
    runFor(loop, 300ms);
    CHECK(recorded->body.empty());
    CHECK_FALSE(recorded->hasEnded());
    CHECK(responder->pendingBytes() == size);
    recorded->exchange->resume();
    CHECK(recorded->body.empty());
    REQUIRE(runUntil(loop, [&] { return recorded->body.size() == size; }));
    responder->finish();
    REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
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

TEST_CASE("a large request body goes out whole though the server reads late")
{
    ScriptedServer scripted;
    HttpClientRequest request = requestFor(scripted.server.address());
    request.method = "POST";
    request.body = std::string(16 << 20, 'b');
    auto recorded = scripted.send(request);
    auto connection = scripted.server.waitForConnection(scripted.loop);
    REQUIRE(connection);
    runFor(scripted.loop, 50ms);
    REQUIRE(runUntil(scripted.loop, [&] {
        connection->receive();
        return connection->received().size() >= request.body.size() && absl::EndsWith(connection->received(), "b");
    }));
    runFor(scripted.loop, 50ms);
    connection->receive();
    std::size_t headEnd = connection->received().find("\r\n\r\n") + 4;
    CHECK(connection->received().size() - headEnd == request.body.size());
    connection->send(okEmpty);
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Complete);
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
    SystemClock clock;
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
    REQUIRE(runUntil(loop, [&] { return responders.size() == 5; }));
    CHECK(server->openConnections() == 5);
    for (auto& responder : responders)
        responder->send(headOf(200), "x");
    REQUIRE(runUntil(loop, [&] { return server->openConnections() == 2; }));
    bool isForgotten = GENERATE(false, true);
    TimePoint start = clock.now();
    if (isForgotten)
        client->forget(server->address());
    REQUIRE(runUntil(loop, [&] { return server->openConnections() == 0; }));
    CHECK((clock.now() - start < Duration(150ms)) == isForgotten);
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

TEST_CASE("an answer aborted by our own server is truncated")
{
    SystemClock clock;
    EventLoop loop(clock);
    bool hasLength = GENERATE(false, true);
    std::shared_ptr<HttpResponder> responder;
    auto server = startServer(loop, [&](const HttpRequest&, std::shared_ptr<HttpResponder> given) {
        responder = std::move(given);
        HttpResponseHead head = headOf(200);
        if (hasLength)
            head.headers.add("content-length", "100");
        responder->sendHead(head);
        responder->write("abc");
    });
    auto client = makeHttpClient(loop, {});
    auto recorded = sendRecorded(*client, requestFor(server->address()));
    REQUIRE(runUntil(loop, [&] { return recorded->body == "abc"; }));
    responder->abort();
    REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end != HttpEnd::Complete);
    CHECK(recorded->result.end == HttpEnd::Truncated);
    CHECK(recorded->body == "abc");
}
