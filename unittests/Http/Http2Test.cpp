#include "Http2Caller.h"
#include "HttpFixture.h"
#include "TestCertificates.h"

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// A server whose handler keeps what it is given.
struct Http2World {
    explicit Http2World(HttpServerOptions options = {})
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

    void waitForRequests(std::size_t count)
    {
        REQUIRE(runUntil(loop, [&] { return responders.size() == count; }));
    }

    SystemClock clock;
    EventLoop loop;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    int closed { 0 };
    std::unique_ptr<HttpServer> server;
};

} // namespace

TEST_CASE("HTTP/2 streams are answered each by itself")
{
    Http2World world;
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/one?q");
    caller.sendHeaders(3, "/two", false);
    caller.sendData(3, "half ", false);
    caller.sendData(3, "whole", true);
    world.waitForRequests(2);
    CHECK(world.requests[0].path == "/one");
    CHECK(world.requests[0].query == "q");
    REQUIRE(world.requests[0].headers.find("host"));
    CHECK(*world.requests[0].headers.find("host") == "a");
    CHECK(world.requests[1].method == "POST");
    CHECK(world.requests[1].body == "half whole");
    world.responders[1]->send(headOf(200), "second");
    REQUIRE(caller.receiveUntil([&] { return caller.hasEnded(3); }));
    CHECK(caller.bodyOf(3) == "second");
    CHECK_FALSE(caller.find(FrameType::Headers, 1));
    world.responders[0]->send(headOf(200), "first");
    REQUIRE(caller.receiveUntil([&] { return caller.hasEnded(1); }));
    CHECK(caller.bodyOf(1) == "first");
    CHECK(world.closed == 0);
}

TEST_CASE("HTTP/2 sends the head before there is a body, and streams")
{
    Http2World world;
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    world.waitForRequests(1);
    world.responders[0]->sendHead(headOf(200));
    REQUIRE(caller.receiveUntil([&] { return caller.find(FrameType::Headers, 1) != nullptr; }));
    CHECK_FALSE(caller.hasEnded(1));
    for (const char* piece : { "a", "ab", "abc" }) {
        world.responders[0]->write(std::string(1, piece[std::string(piece).size() - 1]));
        REQUIRE(caller.receiveUntil([&] { return caller.bodyOf(1) == piece; }));
    }
    world.responders[0]->finish();
    REQUIRE(caller.receiveUntil([&] { return caller.hasEnded(1); }));
    CHECK(caller.bodyOf(1) == "abc");
}

TEST_CASE("an aborted HTTP/2 answer resets its stream only")
{
    Http2World world;
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    caller.sendHeaders(3, "/");
    world.waitForRequests(2);
    bool hasHead = GENERATE(true, false);
    if (hasHead) {
        world.responders[0]->sendHead(headOf(200));
        world.responders[0]->write("part");
        REQUIRE(caller.receiveUntil([&] { return caller.bodyOf(1) == "part"; }));
    }
    if (GENERATE(true, false))
        world.responders[0]->abort();
    else
        world.responders[0].reset();
    REQUIRE(caller.receiveUntil([&] { return caller.find(FrameType::ResetStream, 1) != nullptr; }));
    CHECK_FALSE(caller.hasEnded(1));
    world.responders[1]->send(headOf(200), "whole");
    REQUIRE(caller.receiveUntil([&] { return caller.hasEnded(3); }));
    CHECK_FALSE(caller.isClosed());
}

TEST_CASE("an HTTP/2 caller that resets its stream or leaves is noticed")
{
    Http2World world;
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    caller.sendHeaders(3, "/");
    world.waitForRequests(2);
    world.responders[1]->sendHead(headOf(200));
    world.responders[1]->write("part");
    REQUIRE(caller.receiveUntil([&] { return caller.bodyOf(3) == "part"; }));
    caller.sendReset(1);
    REQUIRE(runUntil(world.loop, [&] { return world.closed == 1; }));
    CHECK_FALSE(world.responders[0]->isOpen());
    CHECK(world.responders[1]->isOpen());
    caller.sendReset(3);
    REQUIRE(runUntil(world.loop, [&] { return world.closed == 2; }));
    caller.sendHeaders(5, "/");
    world.waitForRequests(3);
    caller.close();
    REQUIRE(runUntil(world.loop, [&] { return world.closed == 3; }));
    REQUIRE(runUntil(world.loop, [&] { return world.server->openConnections() == 0; }));
    world.responders[0]->send(headOf(200), "too late");
}

TEST_CASE("HTTP/2 flow control holds bytes back and an abort passes them")
{
    Http2World world;
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    world.waitForRequests(1);
    auto responder = world.responders[0];
    int writable = 0;
    responder->onWritable([&] { ++writable; });
    responder->sendHead(headOf(200));
    const std::size_t size = 100'000;
    responder->write(std::string(size, 'x'));
    // The window is 65535 bytes to begin with.
    REQUIRE(caller.receiveUntil([&] { return caller.bodyOf(1).size() == 65'535; }));
    runFor(world.loop, 20ms);
    caller.receive();
    CHECK(caller.bodyOf(1).size() == 65'535);
    CHECK(writable == 0);
    CHECK(responder->pendingBytes() > 0);
    bool isAborted = GENERATE(false, true);
    if (isAborted) {
        responder->abort();
        caller.sendReset(1);
        REQUIRE(runUntil(world.loop, [&] { return responder->pendingBytes() == 0; }));
        CHECK(world.closed == 0);
        return;
    }
    caller.sendWindowUpdate(0, 100'000);
    caller.sendWindowUpdate(1, 100'000);
    REQUIRE(caller.receiveUntil([&] { return writable == 1; }));
    CHECK(responder->pendingBytes() == 0);
    responder->finish();
    REQUIRE(caller.receiveUntil([&] { return caller.hasEnded(1); }));
    CHECK(caller.bodyOf(1).size() == size);
}

TEST_CASE("an HTTP/2 caller that takes nothing of an ended answer is cut off")
{
    HttpServerOptions options;
    options.sendTimeout = 400ms;
    Http2World world(options);
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    world.waitForRequests(1);
    world.responders[0]->sendHead(headOf(200));
    world.responders[0]->write(std::string(100'000, 'x'));
    runFor(world.loop, 1s);
    caller.receive();
    CHECK_FALSE(caller.isClosed());
    if (GENERATE(false, true))
        world.responders[0]->finish();
    else
        world.responders[0]->abort();
    for (int i = 0; i < 3; ++i) {
        runFor(world.loop, 250ms);
        caller.sendWindowUpdate(1, 1000);
        caller.sendWindowUpdate(0, 1000);
        caller.receive();
        CHECK_FALSE(caller.isClosed());
    }
    REQUIRE(caller.receiveUntil([&] { return caller.isClosed(); }));
    REQUIRE(runUntil(world.loop, [&] { return world.server->openConnections() == 0; }));
}

TEST_CASE("an HTTP/2 request body too large is refused")
{
    HttpServerOptions options;
    options.maxBodyBytes = 10;
    Http2World world(options);
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/", false);
    caller.sendData(1, "01234567890", true);
    REQUIRE(caller.receiveUntil([&] { return caller.find(FrameType::ResetStream, 1) != nullptr; }));
    CHECK(world.requests.empty());
    caller.sendHeaders(3, "/");
    world.waitForRequests(1);
}

TEST_CASE("an HTTP/2 connection without requests is closed after a while")
{
    HttpServerOptions options;
    options.requestTimeout = 200ms;
    Http2World world(options);
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    world.waitForRequests(1);
    runFor(world.loop, 500ms);
    CHECK_FALSE(caller.isClosed());
    world.responders[0]->send(headOf(200), "x");
    REQUIRE(caller.receiveUntil([&] { return caller.isClosed(); }));
    CHECK(caller.hasEnded(1));
}

TEST_CASE("after stopListening HTTP/2 callers are told to go and their streams finish")
{
    Http2World world;
    Http2Caller busy(world.loop, world.server->address());
    Http2Caller idle(world.loop, world.server->address());
    Http2Caller sending(world.loop, world.server->address());
    busy.sendHeaders(1, "/");
    world.waitForRequests(1);
    sending.sendHeaders(1, "/sent", false);
    sending.sendData(1, "ha", false);
    REQUIRE(runUntil(world.loop, [&] { return world.server->openConnections() == 3; }));
    runFor(world.loop, 20ms);
    world.server->stopListening();
    runFor(world.loop, 2s);
    CHECK(world.closed == 0);
    sending.sendData(1, "lf", true);
    world.waitForRequests(2);
    REQUIRE(busy.receiveUntil([&] { return busy.find(FrameType::GoAway, 0) != nullptr; }));
    REQUIRE(idle.receiveUntil([&] { return idle.isClosed(); }));
    CHECK(idle.find(FrameType::GoAway, 0));
    CHECK(world.requests[1].body == "half");
    world.responders[1]->send(headOf(200), "two");
    REQUIRE(sending.receiveUntil([&] { return sending.hasEnded(1); }));
    world.responders[0]->send(headOf(200), "one");
    REQUIRE(busy.receiveUntil([&] { return busy.hasEnded(1); }));
    CHECK(busy.bodyOf(1) == "one");
    REQUIRE(busy.receiveUntil([&] { return busy.isClosed(); }));
    REQUIRE(runUntil(world.loop, [&] { return world.server->openConnections() == 0; }));
}

TEST_CASE("an HTTP/2 request that never arrives whole doesn't hold up a stop for good")
{
    HttpServerOptions options;
    options.requestTimeout = 300ms;
    Http2World world(options);
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/", false);
    Http2Caller busy(world.loop, world.server->address());
    busy.sendHeaders(1, "/");
    world.waitForRequests(1);
    world.server->stopListening();
    REQUIRE(busy.receiveUntil([&] {
        caller.sendData(1, "x", false);
        return busy.find(FrameType::GoAway, 0) != nullptr;
    }));
    world.responders[0]->send(headOf(200), "x");
    REQUIRE(busy.receiveUntil([&] { return busy.isClosed(); }));
    CHECK(busy.hasEnded(1));
}

TEST_CASE("a server can go with HTTP/2 streams open")
{
    Http2World world;
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    caller.sendHeaders(3, "/");
    world.waitForRequests(2);
    world.responders[0]->sendHead(headOf(200));
    world.responders[0]->write(std::string(1 << 20, 'x'));
    runFor(world.loop, 20ms);
    world.server.reset();
    REQUIRE(caller.receiveUntil([&] { return caller.isClosed(); }));
    CHECK_FALSE(caller.hasEnded(1));
    CHECK(world.closed == 0);
    world.responders[0]->finish();
    world.responders[1]->send(headOf(200), "x");
}

TEST_CASE("HTTP/2 is offered over TLS, and the caller's certificate is named")
{
    TemporaryFolder folder;
    TestAuthority authority(folder.path(), "authority");
    HttpServerOptions options;
    auto tls = TlsContext::forServer(authority.issueServer());
    REQUIRE(tls.ok());
    options.tls = *tls;
    Http2World world(options);
    TlsFiles files = authority.issueCaller("broker");
    Http2Caller caller(world.loop, world.server->address(), files.certificateFile, files.keyFile);
    CHECK(caller.negotiatedProtocol() == "h2");
    caller.sendHeaders(1, "/");
    world.waitForRequests(1);
    CHECK(world.requests[0].certificateName == "broker");
    world.responders[0]->send(headOf(200), "hello");
    REQUIRE(caller.receiveUntil([&] { return caller.hasEnded(1); }));
    CHECK(caller.bodyOf(1) == "hello");
    caller.sendHeaders(3, "/");
    world.waitForRequests(2);
    CHECK(world.requests[1].certificateName == "broker");
    world.responders[1]->abort();
    REQUIRE(caller.receiveUntil([&] { return caller.find(FrameType::ResetStream, 3) != nullptr; }));
}

TEST_CASE("a server can go right after it stopped listening")
{
    Http2World world;
    Http2Caller caller(world.loop, world.server->address());
    caller.sendHeaders(1, "/");
    world.waitForRequests(1);
    world.server->stopListening();
    runFor(world.loop, 20ms);
    world.server.reset();
    REQUIRE(caller.receiveUntil([&] { return caller.isClosed(); }));
    runFor(world.loop, 1500ms);
}
