#include "catkinwing/Http/HttpClient.h"

#include "ManualLoop.h"
#include "ScriptedServer.h"
#include <absl/strings/match.h>
#include <sys/socket.h>

using namespace catkinwing;
using namespace std::chrono_literals;

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
    TimePoint start = clock.now();
    // The queue takes one or two before the kernel leaves the rest unanswered.
    for (int i = 0; i < 8; ++i)
        waiting.push_back(sendRecorded(*client, request));
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
        "HTTP/1.1 000 Status\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 099 Status\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 600 Status\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 999 Status\r\n\r\nok",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Status\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length: 3, 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a: 1\r\n folded: 2\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nx y: 1\r\ncontent-length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length : 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length : 3\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ncontent-length\x01: 3\r\ncontent-length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ntransfer-encoding\t: chunked\r\ncontent-length: 5\r\n\r\nabcde",
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: other\r\n\r\n");
    bool isAtOnce = GENERATE(true, false);
    INFO(head << (isAtOnce ? " at once" : " byte by byte"));
    std::size_t sent = 0;
    while (sent < head.size() && !recorded->hasEnded()) {
        sent += connection->sendSome(absl::string_view(head).substr(sent, isAtOnce ? head.size() : 1));
        scripted.loop.runOnce(0ms);
    }
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

TEST_CASE("a body without a length is truncated where the server is known to frame each")
{
    HttpClientOptions options;
    options.acceptsUnframedBodies = false;
    ScriptedServer scripted(options);
    auto recorded = scripted.send();
    auto connection = scripted.serve();
    connection->send("HTTP/1.1 200 OK\r\n\r\nabc");
    REQUIRE(runUntil(scripted.loop, [&] { return recorded->body == "abc"; }));
    connection->close();
    scripted.waitForEnd(recorded);
    CHECK(recorded->result.end == HttpEnd::Truncated);
}

namespace {

/// A request whose body has left the client's hands and isn't read by the server, and a response
/// without a length that the server has ended in an orderly way.
struct HalfClosedUpload : ScriptedServer {
    HalfClosedUpload()
    {
        HttpClientRequest request = requestFor(server.address());
        request.method = "POST";
        request.body = std::string(1'000'000, 'x');
        recorded = send(request);
        connection = server.waitForConnection(loop);
        REQUIRE(connection);
        REQUIRE(runUntil(loop, [&] {
            connection->receiveAtMost(100);
            return !connection->received().empty();
        }));
        connection->send("HTTP/1.1 200 OK\r\n\r\nabc");
        connection->shutdownSend();
        REQUIRE(runUntil(loop, [&] { return recorded->body == "abc"; }));
        runFor(loop, 20ms);
    }

    std::shared_ptr<Recorded> recorded;
    std::unique_ptr<RawConnection> connection;
};

} // namespace

// Guards against a process that ends in the middle of an upload: what it sent is followed by an orderly
// end, and the rest of the upload by a reset.
TEST_CASE("a response without a length whose connection is reset before the request has arrived is truncated")
{
    HalfClosedUpload upload;
    if (GENERATE(true, false))
        upload.connection->reset();
    else
        upload.connection->close();
    upload.waitForEnd(upload.recorded);
    CHECK(upload.recorded->result.end == HttpEnd::Truncated);
}

TEST_CASE("a response without a length that ends before the request has arrived is whole once that has")
{
    HalfClosedUpload upload;
    CHECK_FALSE(upload.recorded->hasEnded());
    REQUIRE(runUntil(upload.loop, [&] {
        upload.connection->receive();
        return upload.recorded->hasEnded();
    }));
    CHECK(upload.recorded->result.end == HttpEnd::Complete);
    CHECK(upload.recorded->body == "abc");
}

// Guards against a server that is cut off or stopped, so that no reset arrives.
TEST_CASE("a response without a length is truncated if the server neither reads on nor resets the connection")
{
    HalfClosedUpload upload;
    if (GENERATE(true, false)) {
        upload.recorded->exchange->pause();
        runFor(upload.loop, 20ms);
        upload.recorded->exchange->resume();
    }
    REQUIRE(runUntil(
        upload.loop, [&] { return upload.recorded->hasEnded(); }, 3s));
    CHECK(upload.recorded->result.end == HttpEnd::Truncated);
    CHECK(upload.recorded->result.mayHaveReachedServer);
}

TEST_CASE("the end of a response without a length is waited for as long as the server reads the request")
{
    HalfClosedUpload upload;
    bool isRead = GENERATE(true, false);
    // Otherwise the kernel makes room for the whole request as soon as some of it is read.
    int bufferBytes = 64 << 10;
    REQUIRE(setsockopt(upload.connection->descriptor(), SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes)) == 0);
    for (int i = 0; i < 15; ++i) {
        upload.connection->receiveAtMost(20u << 10);
        runFor(upload.loop, 100ms);
    }
    CHECK_FALSE(upload.recorded->hasEnded());
    if (!isRead)
        upload.connection->reset();
    REQUIRE(runUntil(upload.loop, [&] {
        if (isRead)
            upload.connection->receive();
        return upload.recorded->hasEnded();
    }));
    CHECK(upload.recorded->result.end == (isRead ? HttpEnd::Complete : HttpEnd::Truncated));
}

TEST_CASE("a request may be cancelled while the end of its response is in doubt")
{
    HalfClosedUpload upload;
    upload.recorded->exchange->cancel();
    runFor(upload.loop, 50ms);
    CHECK_FALSE(upload.recorded->hasEnded());
    CHECK(upload.connection->receiveToEnd(upload.loop));
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

// Guards against interim responses without end, each of which is short enough.
TEST_CASE("interim responses without end are given up")
{
    ScriptedServer scripted;
    HttpClientRequest request = requestFor(scripted.server.address());
    request.headTimeout = 10s;
    auto recorded = scripted.send(request);
    auto connection = scripted.serve();
    std::string hints;
    for (int i = 0; i < 100; ++i)
        hints += "HTTP/1.1 103 Early Hints\r\nx: " + std::string(100, 'x') + "\r\n\r\n";
    std::size_t sent = 0;
    TimePoint start = scripted.clock.now();
    CHECK(runUntil(
        scripted.loop, [&] {
            sent += recorded->hasEnded() ? 0 : connection->sendSome(absl::string_view(hints).substr(sent % hints.size()));
            return recorded->hasEnded();
        },
        3s));
    INFO(sent << " bytes sent in " << std::chrono::duration<double>(scripted.clock.now() - start).count() << " s");
    CHECK(recorded->result.end == HttpEnd::Malformed);
    CHECK(recorded->heads == 0);
    CHECK(sent < 16u << 20);
}

TEST_CASE("the wait for the head and for more of the body are bounded")
{
    constexpr std::chrono::milliseconds timeout = 150ms;
    ManualClock clock;
    EventLoop loop(clock);
    RawServer server;
    auto client = makeHttpClient(loop, {});
    HttpClientRequest request = requestFor(server.address());
    request.headTimeout = timeout;
    request.idleTimeout = timeout;
    auto recorded = sendRecorded(*client, request);
    std::unique_ptr<RawConnection> connection;
    REQUIRE(runTurnsUntil(loop, [&] { return (connection = server.accept()) != nullptr; }));
    REQUIRE(runTurnsUntil(loop, [&] {
        connection->receive();
        return absl::EndsWith(connection->received(), "\r\n\r\n");
    }));
    bool hasHead = GENERATE(false, true);
    if (hasHead) {
        connection->send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n");
        REQUIRE(runTurnsUntil(loop, [&] { return recorded->heads == 1; }));
        for (std::size_t i = 1; i <= 5; ++i) {
            clock.set(clock.now() + timeout - Duration(1ms));
            connection->send("x");
            REQUIRE(runTurnsUntil(loop, [&] { return recorded->body.size() == i; }));
        }
    }
    clock.set(clock.now() + timeout - Duration(1ms));
    runTurns(loop, 10);
    CHECK_FALSE(recorded->hasEnded());
    clock.set(clock.now() + Duration(1ms));
    REQUIRE(runTurnsUntil(loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->ends == 1);
    CHECK(recorded->result.end == HttpEnd::TimedOut);
    CHECK(recorded->result.mayHaveReachedServer);
    CHECK(recorded->heads == (hasHead ? 1 : 0));
    CHECK(runTurnsUntil(loop, [&] {
        connection->receive();
        return connection->isEnded();
    }));
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
