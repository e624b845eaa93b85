#include "catkinwing/Http/HttpServer.h"

#include "HeldServer.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

using namespace catkinwing;
using namespace std::chrono_literals;

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

TEST_CASE("a target in absolute form arrives as its path, with its host")
{
    HeldServer held;
    auto caller = held.call("GET http://b:81/abs?q HTTP/1.1\r\nhost: a\r\n\r\n");
    CHECK(held.requests[0].path == "/abs");
    CHECK(held.requests[0].query == "q");
    REQUIRE(held.requests[0].headers.find("host"));
    CHECK(*held.requests[0].headers.find("host") == "b:81");
}

TEST_CASE("the path arrives as sent, also with dots and escapes")
{
    HeldServer held;
    auto caller = held.call("GET /a/../b/%2e%2E/c%2f?x=../y HTTP/1.1\r\nhost: a\r\n\r\n");
    CHECK(held.requests[0].path == "/a/../b/%2e%2E/c%2f");
    CHECK(held.requests[0].query == "x=../y");
}
