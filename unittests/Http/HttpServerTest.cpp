#include "catkinwing/Http/HttpServer.h"

#include "HttpFixture.h"
#include "RawSocket.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

const std::string getRequest = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A server whose handler keeps what it is given, and a caller.
struct HeldServer {
    explicit HeldServer(HttpServerOptions options = {})
        : loop(clock)
    {
        server = startServer(
            loop, [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                responder->onClosed([this] { ++closed; });
                requests.push_back(std::move(request));
                responders.push_back(std::move(responder));
            },
            std::move(options));
    }

    /// Connects, sends \p bytes and waits for the handler to get a request.
    std::unique_ptr<RawConnection> call(const std::string& bytes = getRequest)
    {
        auto caller = RawConnection::connect(server->address());
        REQUIRE(caller);
        std::size_t before = responders.size();
        caller->send(bytes);
        REQUIRE(runUntil(loop, [&] { return responders.size() > before; }));
        return caller;
    }

    SystemClock clock;
    EventLoop loop;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    int closed { 0 };
    std::unique_ptr<HttpServer> server;
};

} // namespace

TEST_CASE("a caller that leaves while the handler thinks is noticed")
{
    HeldServer held;
    auto caller = held.call();
    bool isReset = GENERATE(false, true);
    if (isReset)
        caller->reset();
    else
        caller->close();
    REQUIRE(runUntil(held.loop, [&] { return held.closed > 0; }));
    CHECK_FALSE(held.responders[0]->isOpen());
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
    held.responders[0]->send(headOf(200), "too late");
    runFor(held.loop, 20ms);
    CHECK(held.closed == 1);
}

TEST_CASE("a caller that ends its sending side counts as gone")
{
    HeldServer held;
    auto caller = held.call();
    caller->shutdownSend();
    REQUIRE(runUntil(held.loop, [&] { return held.closed == 1; }));
    CHECK(caller->receiveToEnd(held.loop));
    CHECK(caller->received().empty());
}

TEST_CASE("a caller that leaves in the middle of a stream is noticed")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write("some");
    REQUIRE(caller->receiveUntil(held.loop, "some"));
    caller->close();
    REQUIRE(runUntil(held.loop, [&] { return held.closed == 1; }));
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
    held.responders[0]->write("more");
    held.responders[0]->finish();
    CHECK(held.responders[0]->pendingBytes() == 0);
}

TEST_CASE("a caller that leaves while bytes wait for it is noticed")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write(std::string(32 << 20, 'x'));
    runFor(held.loop, 50ms);
    CHECK(held.responders[0]->pendingBytes() > 0);
    caller->close();
    REQUIRE(runUntil(held.loop, [&] { return held.closed == 1; }));
    CHECK(held.responders[0]->pendingBytes() == 0);
}

TEST_CASE("an answer that ended is not reported as closed")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->send(headOf(200), "whole");
    REQUIRE(caller->receiveUntil(held.loop, "whole"));
    caller->close();
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
    runFor(held.loop, 20ms);
    CHECK(held.closed == 0);
}

TEST_CASE("the head is sent before there is a body")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->sendHead(headOf(200));
    REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\n"));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 200 OK\r\n"));
    CHECK(absl::EndsWith(caller->received(), "\r\n\r\n"));
    held.responders[0]->write("abc");
    REQUIRE(caller->receiveUntil(held.loop, "3\r\nabc\r\n"));
    held.responders[0]->finish();
    REQUIRE(caller->receiveUntil(held.loop, "0\r\n\r\n"));
}

TEST_CASE("an aborted chunked answer has no last chunk and closes")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write("part");
    REQUIRE(caller->receiveUntil(held.loop, "part"));
    held.responders[0]->abort();
    CHECK_FALSE(held.responders[0]->isOpen());
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK_FALSE(absl::StrContains(caller->received(), "0\r\n\r\n"));
    CHECK(held.closed == 0);
}

TEST_CASE("an aborted answer of known length is short")
{
    HeldServer held;
    auto caller = held.call();
    HttpResponseHead head = headOf(200);
    head.headers.add("content-length", "10");
    held.responders[0]->sendHead(head);
    held.responders[0]->write("part");
    REQUIRE(caller->receiveUntil(held.loop, "part"));
    held.responders[0]->abort();
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::EndsWith(caller->received(), "\r\n\r\npart"));
}

TEST_CASE("an abort before the head sends nothing")
{
    HeldServer held;
    auto caller = held.call();
    bool isDropped = GENERATE(false, true);
    if (isDropped)
        held.responders.clear();
    else
        held.responders[0]->abort();
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(caller->received().empty());
}

TEST_CASE("a handle dropped in the middle of an answer aborts it")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write("part");
    REQUIRE(caller->receiveUntil(held.loop, "part"));
    held.responders.clear();
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK_FALSE(absl::StrContains(caller->received(), "0\r\n\r\n"));
}

TEST_CASE("an abort reaches a caller that doesn't read")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write(std::string(32 << 20, 'x'));
    runFor(held.loop, 50ms);
    held.responders[0]->abort();
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(caller->received().size() < (32u << 20));
}

TEST_CASE("an aborted answer that ends with the connection is reset")
{
    HeldServer held;
    auto caller = held.call("GET / HTTP/1.0\r\n\r\n");
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write("part");
    REQUIRE(caller->receiveUntil(held.loop, "part"));
    held.responders[0]->abort();
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(caller->wasReset());
}

TEST_CASE("an answer to HTTP/1.0 without a length ends with the connection")
{
    HeldServer held;
    auto caller = held.call("GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write("whole");
    held.responders[0]->finish();
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::EndsWith(caller->received(), "\r\n\r\nwhole"));
    CHECK_FALSE(caller->wasReset());
}

TEST_CASE("an answer shorter or longer than announced is cut")
{
    HeldServer held;
    auto caller = held.call();
    HttpResponseHead head = headOf(200);
    head.headers.add("content-length", "4");
    held.responders[0]->sendHead(head);
    bool isLonger = GENERATE(false, true);
    held.responders[0]->write(isLonger ? "12345" : "123");
    held.responders[0]->finish();
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK_FALSE(absl::StrContains(caller->received(), "1234"));
}

TEST_CASE("a slow reader holds the bytes back and is reported when it has read")
{
    HeldServer held;
    auto caller = held.call();
    auto responder = held.responders[0];
    int writable = 0;
    responder->onWritable([&] { ++writable; });
    responder->sendHead(headOf(200));
    const std::size_t size = 24 << 20;
    responder->write(std::string(size / 2, 'x'));
    responder->write(std::string(size / 2, 'y'));
    CHECK(responder->pendingBytes() == size);
    runFor(held.loop, 50ms);
    CHECK(writable == 0);
    CHECK(responder->pendingBytes() == size);
    REQUIRE(runUntil(held.loop, [&] {
        caller->receive();
        return writable == 1;
    }));
    CHECK(responder->pendingBytes() == 0);
    responder->finish();
    REQUIRE(caller->receiveUntil(held.loop, "\r\n0\r\n\r\n"));
    CHECK(caller->received().size() > size);
}

TEST_CASE("the writable callback may write, replace itself and finish")
{
    HeldServer held;
    auto caller = held.call();
    auto responder = held.responders[0];
    int rounds = 0;
    std::function<void()> writeMore = [&] {
        if (++rounds == 5)
            return responder->finish();
        responder->onWritable(writeMore);
        responder->write("round " + std::to_string(rounds) + " ");
    };
    responder->onWritable(writeMore);
    responder->sendHead(headOf(200));
    responder->write("round 0 ");
    REQUIRE(caller->receiveUntil(held.loop, "0\r\n\r\n"));
    CHECK(rounds == 5);
    CHECK(absl::StrContains(caller->received(), "round 4 "));
}

TEST_CASE("pipelined requests are answered in order, one at a time")
{
    HeldServer held;
    auto caller = held.call("GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n");
    runFor(held.loop, 20ms);
    REQUIRE(held.requests.size() == 1);
    CHECK(held.requests[0].path == "/1");
    held.responders[0]->send(headOf(200), "first");
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 2; }));
    CHECK(held.requests[1].path == "/2");
    held.responders[1]->send(headOf(200), "second");
    REQUIRE(caller->receiveUntil(held.loop, "second"));
    CHECK(caller->received().find("first") < caller->received().find("second"));
}

TEST_CASE("answers to HEAD and of status 204 have no body")
{
    HeldServer held;
    auto caller = held.call("HEAD / HTTP/1.1\r\nhost: a\r\n\r\n");
    held.responders[0]->send(headOf(200), "body");
    REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\n"));
    INFO(caller->received());
    CHECK(absl::StrContains(absl::AsciiStrToLower(caller->received()), "content-length: 4\r\n"));
    CHECK(absl::EndsWith(caller->received(), "\r\n\r\n"));
    caller->clear();
    caller->send(getRequest);
    REQUIRE(runUntil(held.loop, [&] { return held.responders.size() == 2; }));
    held.responders[1]->sendHead(headOf(204));
    held.responders[1]->write("body");
    held.responders[1]->finish();
    REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\n"));
    runFor(held.loop, 20ms);
    caller->receive();
    CHECK(absl::EndsWith(caller->received(), "\r\n\r\n"));
    CHECK_FALSE(caller->isEnded());
}

TEST_CASE("fields that would break the framing are left out")
{
    HeldServer held;
    auto caller = held.call();
    HttpResponseHead head = headOf(200);
    head.headers.add("x-split", "a\r\nx-evil: 1");
    head.headers.add("x name", "a");
    head.headers.add("Transfer-Encoding", "chunked");
    head.headers.add("X-Good", "fine");
    held.responders[0]->send(head, "ok");
    REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\nok"));
    CHECK_FALSE(absl::StrContains(caller->received(), "evil"));
    CHECK_FALSE(absl::StrContains(caller->received(), "x name"));
    CHECK_FALSE(absl::StrContains(absl::AsciiStrToLower(caller->received()), "transfer-encoding"));
    CHECK(absl::StrContains(absl::AsciiStrToLower(caller->received()), "x-good: fine"));
}

TEST_CASE("a chunked request body arrives whole")
{
    HeldServer held;
    auto caller = held.call("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(held.requests[0].body == "abcde");
}

TEST_CASE("a request body too large is answered 413")
{
    HttpServerOptions options;
    options.maxBodyBytes = 10;
    HeldServer held(options);
    auto caller = RawConnection::connect(held.server->address());
    bool isChunked = GENERATE(false, true);
    if (isChunked)
        caller->send("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n");
    else
        caller->send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n01234567890");
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 413 "));
    CHECK(held.requests.empty());
}

TEST_CASE("a head that is too large or has too many fields is answered 400")
{
    HeldServer held;
    auto caller = RawConnection::connect(held.server->address());
    std::string head = "GET / HTTP/1.1\r\nhost: a\r\n";
    bool hasManyFields = GENERATE(false, true);
    if (hasManyFields) {
        for (int i = 0; i < 101; ++i)
            head += "x-" + std::to_string(i) + ": 1\r\n";
        head += "\r\n";
    } else {
        head += "x-long: " + std::string(420'000, 'x');
    }
    std::size_t sent = 0;
    REQUIRE(runUntil(held.loop, [&] {
        sent += caller->sendSome(absl::string_view(head).substr(sent));
        caller->receive();
        return sent == head.size() || caller->isEnded();
    }));
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 400 "));
    CHECK(held.requests.empty());
}

TEST_CASE("a request that is not HTTP, or framed in two ways, never reaches the handler twice")
{
    HeldServer held;
    std::string bytes = GENERATE(as<std::string>(),
        "\x16\x03\x01 what is this\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 40\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\ncontent-length: 4\r\n\r\nabcd");
    auto caller = RawConnection::connect(held.server->address());
    caller->send(bytes);
    REQUIRE(runUntil(held.loop, [&] {
        caller->receive();
        return caller->isEnded() || !held.responders.empty();
    }));
    if (!held.responders.empty())
        held.responders[0]->send(headOf(200), "");
    runFor(held.loop, 50ms);
    for (const auto& request : held.requests)
        CHECK(request.path != "/smuggled");
    CHECK(held.requests.size() <= 1);
}

TEST_CASE("a sender slower than the request timeout is cut off")
{
    HttpServerOptions options;
    options.requestTimeout = 200ms;
    HeldServer held(options);
    std::string begun = GENERATE(as<std::string>(), "", "GET / HTTP/1.1\r\nx-a:",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n");
    auto caller = RawConnection::connect(held.server->address());
    caller->send(begun);
    INFO(begun);
    TimePoint start = held.clock.now();
    REQUIRE(runUntil(held.loop, [&] {
        if (!begun.empty())
            caller->sendSome("x");
        caller->receive();
        return caller->isEnded();
    }));
    CHECK(held.clock.now() - start >= Duration(150ms));
    CHECK(held.clock.now() - start < Duration(5s));
    CHECK(held.requests.empty());
}

TEST_CASE("a request in progress outlasts the request timeout")
{
    HttpServerOptions options;
    options.requestTimeout = 50ms;
    HeldServer held(options);
    auto caller = held.call();
    runFor(held.loop, 300ms);
    CHECK(held.closed == 0);
    held.responders[0]->send(headOf(200), "slow");
    CHECK(caller->receiveUntil(held.loop, "slow"));
}

TEST_CASE("connections beyond the limits are closed at once")
{
    HttpServerOptions options;
    bool isPerCaller = GENERATE(false, true);
    (isPerCaller ? options.maxConnectionsPerCaller : options.maxConnections) = 2;
    HeldServer held(options);
    auto first = held.call();
    auto second = held.call();
    auto third = RawConnection::connect(held.server->address());
    third->sendSome(getRequest);
    REQUIRE(third->receiveToEnd(held.loop));
    CHECK(held.server->openConnections() == 2);
    first->close();
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 1; }));
    auto fourth = held.call();
    CHECK(held.responders.size() == 3);
}

TEST_CASE("after stopListening idle connections close and requests in progress finish")
{
    HeldServer held;
    auto busy = held.call();
    auto idle = held.call();
    held.responders[1]->send(headOf(200), "done");
    REQUIRE(idle->receiveUntil(held.loop, "done"));
    auto silent = RawConnection::connect(held.server->address());
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 3; }));
    held.server->stopListening();
    CHECK_FALSE(RawConnection::connect(held.server->address()));
    REQUIRE(idle->receiveToEnd(held.loop));
    REQUIRE(silent->receiveToEnd(held.loop));
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 1; }));
    CHECK(held.closed == 0);
    held.responders[0]->send(headOf(200), "still here");
    REQUIRE(busy->receiveToEnd(held.loop));
    CHECK(absl::EndsWith(busy->received(), "still here"));
    INFO(busy->received());
    CHECK(absl::StrContains(absl::AsciiStrToLower(busy->received()), "connection: close\r\n"));
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
}

TEST_CASE("a request that arrives on an open connection while stopping is answered")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->send(headOf(200), "first");
    REQUIRE(caller->receiveUntil(held.loop, "first"));
    held.server->stopListening();
    caller->send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha");
    runFor(held.loop, 2s);
    CHECK_FALSE(caller->isEnded());
    caller->send("lf");
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 2; }));
    CHECK(held.requests[1].body == "half");
    held.responders[1]->send(headOf(200), "second");
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::EndsWith(caller->received(), "second"));
}

TEST_CASE("a server can go while answers are open, and these do nothing then")
{
    HeldServer held;
    auto thinking = held.call();
    auto streaming = held.call();
    held.responders[1]->sendHead(headOf(200));
    held.responders[1]->write(std::string(32 << 20, 'x'));
    held.server.reset();
    REQUIRE(thinking->receiveToEnd(held.loop));
    REQUIRE(streaming->receiveToEnd(held.loop));
    runFor(held.loop, 20ms);
    for (auto& responder : held.responders) {
        CHECK_FALSE(responder->isOpen());
        responder->write("x");
        responder->finish();
    }
    CHECK(held.closed == 0);
}

TEST_CASE("a handler may destroy its server")
{
    SystemClock clock;
    EventLoop loop(clock);
    std::unique_ptr<HttpServer> server;
    bool ran = false;
    server = startServer(loop, [&](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {
        server.reset();
        ran = true;
    });
    auto caller = RawConnection::connect(server->address());
    caller->send(getRequest);
    REQUIRE(caller->receiveToEnd(loop));
    CHECK(ran);
    CHECK(caller->received().empty());
}

TEST_CASE("listening on an address in use is refused as a value")
{
    HeldServer held;
    HttpServerOptions options;
    options.listen = held.server->address();
    auto second = HttpServer::listen(held.loop, options, [](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {});
    CHECK_FALSE(second.ok());
    options.listen = { "localhost", 0 };
    CHECK_FALSE(HttpServer::listen(held.loop, options, [](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {}).ok());
}
