#include "catkinwing/Http/HttpServer.h"

#include "HeldServer.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

using namespace catkinwing;
using namespace std::chrono_literals;

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

// Timers run in the order of their times after the turn's input was read, so
// what the first one sends lies in the kernel's buffer when the second closes.
TEST_CASE("a request that arrives as an idle connection is about to be closed is answered")
{
    HeldServer held;
    auto caller = held.call();
    held.responders[0]->send(headOf(200), "first");
    REQUIRE(caller->receiveUntil(held.loop, "first"));
    held.server->discourage();
    held.loop.callAfter(1'490ms, [&] { caller->send(getRequest); });
    auto lastTurn = held.clock.now() + 1'470ms;
    runUntil(held.loop, [&] { return held.clock.now() >= lastTurn; });
    while (held.clock.now() < lastTurn + 40ms) { }
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 2; }));
    runFor(held.loop, 100ms);
    CHECK(held.closed == 0);
    held.responders[1]->send(headOf(200), "second");
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::EndsWith(caller->received(), "second"));
}

TEST_CASE("a discouraged server goes on listening and closes each connection after its answer")
{
    HeldServer held;
    held.server->discourage();
    auto caller = held.call();
    held.responders[0]->send(headOf(200), "answer");
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::StrContains(absl::AsciiStrToLower(caller->received()), "connection: close\r\n"));
}
