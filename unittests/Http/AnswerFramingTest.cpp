// Tests how clients are told where an answer ends, and that one that is cut never looks whole.
#include "AnswerFraming.h"

#include "HeldServer.h"
#include "Http2Caller.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr int http10 = 0x100;
static constexpr int http11 = 0x101;
static constexpr int http2 = 0x200;

static const std::vector<int> bodyStatuses { 200, 201, 202, 203, 205, 206, 207, 226, 299, 302, 404, 409, 429, 500, 503, 507 };

TEST_CASE("the framing of an answer depends on its head, its request and the protocol")
{
    for (int status : bodyStatuses) {
        CHECK(framingOf({ http11, status, false, false }) == AnswerFraming::Chunks);
        CHECK(framingOf({ http11, status, false, true }) == AnswerFraming::Length);
        CHECK(framingOf({ http11, status, true, true }) == AnswerFraming::NoBody);
        CHECK(framingOf({ http10, status, false, false }) == AnswerFraming::ConnectionEnd);
        CHECK(framingOf({ http10, status, false, true }) == AnswerFraming::Length);
        CHECK(framingOf({ http2, status, false, false }) == AnswerFraming::Frames);
    }
    for (int status : { 204, 304 }) {
        for (int version : { http10, http11 }) {
            CHECK(framingOf({ version, status, false, false }) == AnswerFraming::NoBody);
            CHECK(framingOf({ version, status, false, true }) == AnswerFraming::NoBody);
        }
        CHECK_FALSE(hasBody({ http2, status, false, false }));
    }
}

// Guards against bodies with neither a length nor chunks, which look whole wherever their connection ends.
TEST_CASE("an answer without a length comes in chunks, and its connection is kept, whatever its status")
{
    HeldServer held;
    auto caller = held.call();
    for (int status : bodyStatuses) {
        INFO(status);
        caller->clear();
        auto responder = held.responders.back();
        responder->sendHead(headOf(status));
        responder->write("abc");
        REQUIRE(caller->receiveUntil(held.loop, "3\r\nabc\r\n"));
        std::string head = absl::AsciiStrToLower(caller->received().substr(0, caller->received().find("\r\n\r\n")));
        CHECK(absl::StartsWith(head, absl::StrCat("http/1.1 ", status, " ")));
        CHECK(absl::StrContains(head, "\r\ntransfer-encoding: chunked"));
        CHECK(absl::StrContains(head, "\r\nconnection: keep-alive"));
        responder->write("de");
        responder->write("f");
        responder->finish();
        REQUIRE(caller->receiveUntil(held.loop, "0\r\n\r\n"));
        CHECK(absl::EndsWith(caller->received(), "\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"));
        std::size_t before = held.responders.size();
        caller->send(getRequest);
        REQUIRE(runUntil(held.loop, [&] { return held.responders.size() > before; }));
    }
}

TEST_CASE("an answer without a length or a body is its head and the last chunk, whatever its status")
{
    HeldServer held;
    bool isHeadFirst = GENERATE(false, true);
    for (int status : bodyStatuses) {
        INFO(status);
        auto caller = held.call();
        held.responders.back()->sendHead(headOf(status));
        if (isHeadFirst)
            REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\n"));
        held.responders.back()->finish();
        REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\n0\r\n\r\n"));
        CHECK_FALSE(caller->isEnded());
    }
}

TEST_CASE("an answer that has no body has no chunks, and its connection is kept")
{
    HeldServer held;
    struct Bodiless {
        const char* method;
        int status;
    };
    for (Bodiless answer : { Bodiless { "GET", 204 }, Bodiless { "GET", 304 }, Bodiless { "HEAD", 200 }, Bodiless { "HEAD", 206 }, Bodiless { "HEAD", 404 } }) {
        INFO(answer.method << " " << answer.status);
        auto caller = held.call(absl::StrCat(answer.method, " / HTTP/1.1\r\nhost: a\r\n\r\n"));
        held.responders.back()->sendHead(headOf(answer.status));
        held.responders.back()->write("not sent");
        held.responders.back()->finish();
        REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\n"));
        caller->send(getRequest);
        std::size_t before = held.responders.size();
        REQUIRE(runUntil(held.loop, [&] { return held.responders.size() > before; }));
        held.responders.back()->send(headOf(200), "next");
        REQUIRE(caller->receiveUntil(held.loop, "next"));
        std::string received = absl::AsciiStrToLower(caller->received());
        CHECK_FALSE(absl::StrContains(received, "transfer-encoding"));
        CHECK(absl::StrContains(received, "\r\n\r\nhttp/1.1 200 ok\r\n"));
    }
}

// Guards against a part of a body that ends in an orderly way.
TEST_CASE("an answer that is cut looks cut to HTTP/1 clients, whatever its status")
{
    HeldServer held;
    bool isHttp11 = GENERATE(true, false);
    for (int status : bodyStatuses) {
        INFO(status << " HTTP/1." << isHttp11);
        auto caller = held.call(isHttp11 ? getRequest : "GET / HTTP/1.0\r\n\r\n");
        held.responders.back()->sendHead(headOf(status));
        held.responders.back()->write("part");
        REQUIRE(caller->receiveUntil(held.loop, "part"));
        held.responders.back()->abort();
        REQUIRE(caller->receiveToEnd(held.loop));
        bool isChunked = absl::StrContains(caller->received(), "\r\n\r\n4\r\npart");
        CHECK(isChunked == isHttp11);
        CHECK((isChunked || caller->wasReset()));
        CHECK_FALSE(absl::StrContains(caller->received(), "0\r\n\r\n"));
    }
}

TEST_CASE("an answer that is cut looks cut to HTTP/2 clients, whatever its status")
{
    HeldServer held;
    Http2Caller caller(held.loop, held.server->address());
    std::uint32_t stream = 1;
    for (int status : bodyStatuses) {
        INFO(status);
        std::size_t before = held.responders.size();
        caller.sendHeaders(stream, "/");
        REQUIRE(caller.receiveUntil([&] { return held.responders.size() > before; }));
        held.responders.back()->sendHead(headOf(status));
        held.responders.back()->write("part");
        REQUIRE(caller.receiveUntil([&] { return caller.bodyOf(stream) == "part"; }));
        held.responders.back()->abort();
        REQUIRE(caller.receiveUntil([&] { return caller.find(FrameType::ResetStream, stream) != nullptr; }));
        CHECK_FALSE(caller.hasEnded(stream));
        stream += 2;
    }
    CHECK_FALSE(caller.isClosed());
}

static const std::string http10Request = "GET / HTTP/1.0\r\n\r\n";

// Guards against a server that ends its connections in an orderly way when it goes.
TEST_CASE("an answer that ends with the connection is reset when its server goes")
{
    HeldServer held;
    auto caller = held.call(http10Request);
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write("part");
    bool isSent = GENERATE(true, false);
    if (isSent)
        REQUIRE(caller->receiveUntil(held.loop, "part"));
    else
        held.responders[0]->write(std::string(32 << 20, 'x'));
    runFor(held.loop, 20ms);
    held.server.reset();
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(caller->wasReset());
}

// Guards against an answer whose rest is dropped for want of memory.
TEST_CASE("an answer that ends with the connection is reset when its connection has to yield")
{
    HttpServerOptions options;
    options.memory = std::make_shared<ClientMemory>(1 << 20);
    HeldServer held(options);
    auto caller = held.call(http10Request);
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write("part");
    REQUIRE(caller->receiveUntil(held.loop, "part"));
    held.responders[0]->write(std::string(32 << 20, 'x'));
    held.responders[0]->finish();
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(caller->received().size() < (32u << 20));
    CHECK(caller->wasReset());
}

// Guards against a reset that discards the last bytes of a whole answer.
TEST_CASE("a whole answer that ends with the connection reaches a slow caller, which sees an orderly end")
{
    HeldServer held;
    auto caller = held.call(http10Request);
    const std::size_t bytes = 4u << 20;
    held.responders[0]->sendHead(headOf(200));
    held.responders[0]->write(std::string(bytes, 'x'));
    bool isEndedLate = GENERATE(false, true);
    if (isEndedLate)
        runFor(held.loop, 20ms);
    held.responders[0]->finish();
    REQUIRE(runUntil(held.loop, [&] {
        caller->receiveAtMost(32 << 10);
        return caller->isEnded();
    }));
    CHECK(caller->received().size() - caller->received().find("\r\n\r\n") - 4 == bytes);
    CHECK_FALSE(caller->wasReset());
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
}
