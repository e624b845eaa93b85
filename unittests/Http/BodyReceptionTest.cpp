// Bodies of requests from their first byte to the handler, and the account of what is held for them.
#include "HeldServer.h"
#include "Http2Caller.h"
#include "catkinwing/Support/Random.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

std::string headFor(std::size_t length)
{
    return absl::StrCat("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ", length, "\r\n\r\n");
}

const std::string chunkedHead = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";

HttpServerOptions optionsWith(const std::shared_ptr<ClientMemory>& memory)
{
    HttpServerOptions options;
    options.memory = memory;
    return options;
}

/// Sends all of \p bytes while the loop runs, or as many as the server takes.
void sendAll(EventLoop& loop, RawConnection& caller, absl::string_view bytes)
{
    std::size_t sent = 0;
    REQUIRE(runUntil(loop, [&] {
        sent += caller.sendSome(bytes.substr(sent));
        caller.receive();
        return sent == bytes.size() || caller.isEnded();
    }));
}

std::size_t heldBodies(const ClientMemory& memory)
{
    return memory.used(HeldFor::Body) + memory.used(HeldFor::Attempt);
}

} // namespace

TEST_CASE("a body above the limit is refused at its head")
{
    auto memory = std::make_shared<ClientMemory>();
    HttpServerOptions options = optionsWith(memory);
    options.maxBodyBytes = 100'000;
    HeldServer held(options);
    auto caller = RawConnection::connect(held.server->address());
    caller->send(headFor(100'001));
    REQUIRE(caller->receiveUntil(held.loop, "\r\n\r\n"));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 413 "));
    CHECK(heldBodies(*memory) == 0);
    CHECK(memory->refusals().tooLarge == 1);
    // The connection isn't reset while the client still sends, so that it can read the answer.
    sendAll(held.loop, *caller, std::string(50'000, 'x'));
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK_FALSE(caller->wasReset());
    held.server->setMaxBodyBytes(100'001);
    auto larger = RawConnection::connect(held.server->address());
    sendAll(held.loop, *larger, headFor(100'001) + std::string(100'001, 'x'));
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 1; }));
}

TEST_CASE("the answer to a refused body reaches a client that sends all of it slowly first")
{
    HttpServerOptions options;
    options.maxBodyBytes = 100'000;
    HeldServer held(options);
    auto caller = RawConnection::connect(held.server->address());
    caller->send(headFor(100'001));
    for (int i = 0; i < 5; ++i) {
        runFor(held.loop, 400ms);
        caller->send("x");
    }
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK_FALSE(caller->wasReset());
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 413 "));
}

TEST_CASE("a chunked body is refused when it goes beyond the limit")
{
    HttpServerOptions options;
    options.maxBodyBytes = 100'000;
    HeldServer held(options);
    auto caller = RawConnection::connect(held.server->address());
    sendAll(held.loop, *caller, absl::StrCat(chunkedHead, "80000000\r\n", std::string(100'001, 'x')));
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 413 "));
    CHECK(held.requests.empty());
}

TEST_CASE("a body without room is refused at its head, and what it has been refused for isn't held")
{
    auto memory = std::make_shared<ClientMemory>(1'000'000);
    HttpServerOptions options = optionsWith(memory);
    options.makeRefusal = [](int status) { return HttpRefusal { { status, { { "retry-after", "0.5" } } }, "no room" }; };
    HeldServer held(options);
    auto first = RawConnection::connect(held.server->address());
    sendAll(held.loop, *first, headFor(400'000) + std::string(399'999, 'x'));
    REQUIRE(runUntil(held.loop, [&] { return heldBodies(*memory) > 0; }));
    auto second = RawConnection::connect(held.server->address());
    second->send(headFor(200'000));
    REQUIRE(second->receiveUntil(held.loop, "no room"));
    CHECK(absl::StartsWith(second->received(), "HTTP/1.1 503 "));
    CHECK(absl::StrContains(second->received(), "retry-after: 0.5"));
    CHECK(memory->refusals().noRoom == 1);
    auto small = RawConnection::connect(held.server->address());
    small->send(headFor(16'000) + std::string(16'000, 'x'));
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 1; }));
    sendAll(held.loop, *first, "x");
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 2; }));
    CHECK(held.requests[1].body == std::string(400'000, 'x'));
    CHECK(heldBodies(*memory) >= 832'000);
    held.requests.clear();
    CHECK(heldBodies(*memory) == 0);
}

TEST_CASE("a stalled body yields to a new one, and its request is answered as not run")
{
    auto memory = std::make_shared<ClientMemory>(1'000'000);
    HeldServer held(optionsWith(memory));
    auto stalled = RawConnection::connect(held.server->address());
    sendAll(held.loop, *stalled, headFor(400'000) + std::string(399'999, 'x'));
    runFor(held.loop, 1200ms);
    auto caller = RawConnection::connect(held.server->address());
    sendAll(held.loop, *caller, headFor(400'000) + std::string(400'000, 'y'));
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 1; }));
    CHECK(held.requests[0].body[0] == 'y');
    REQUIRE(stalled->receiveToEnd(held.loop));
    CHECK(absl::StartsWith(stalled->received(), "HTTP/1.1 503 "));
    CHECK(memory->refusals().yielded == 1);
}

TEST_CASE("a body that is late is answered 408")
{
    HttpServerOptions options;
    options.requestTimeout = 200ms;
    HeldServer held(options);
    auto caller = RawConnection::connect(held.server->address());
    caller->send(headFor(10) + "12345");
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 408 "));
    CHECK(held.requests.empty());
}

TEST_CASE("a client that waits to be asked for its body is asked, unless the body is refused")
{
    HttpServerOptions options;
    options.maxBodyBytes = 10;
    HeldServer held(options);
    auto caller = RawConnection::connect(held.server->address());
    caller->send("POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n");
    REQUIRE(caller->receiveUntil(held.loop, "HTTP/1.1 100 Continue\r\n\r\n"));
    caller->send("12345");
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 1; }));
    CHECK(held.requests[0].body == "12345");
    CHECK_FALSE(held.requests[0].headers.find("expect"));
    held.responders[0]->send(headOf(200), "done");
    REQUIRE(caller->receiveUntil(held.loop, "done"));
    auto refused = RawConnection::connect(held.server->address());
    refused->send("POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 50\r\n\r\n");
    REQUIRE(refused->receiveToEnd(held.loop));
    CHECK(absl::StartsWith(refused->received(), "HTTP/1.1 413 "));
}

TEST_CASE("pipelined requests are read one after the other")
{
    auto memory = std::make_shared<ClientMemory>();
    HeldServer held(optionsWith(memory));
    auto caller = RawConnection::connect(held.server->address());
    std::string requests;
    for (int i = 0; i < 100; ++i)
        absl::StrAppend(&requests, headFor(4'000), std::string(4'000, 'x'));
    std::size_t sent = 0;
    for (std::size_t answered = 0; answered < 100; ++answered) {
        REQUIRE(runUntil(held.loop, [&] {
            sent += caller->sendSome(absl::string_view(requests).substr(sent));
            return held.responders.size() == answered + 1;
        }));
        CHECK(held.requests.back().body.size() == 4'000);
        CHECK(memory->used(HeldFor::Input) < 64'000);
        held.responders.back()->send(headOf(200), "done");
    }
}

TEST_CASE("a server without HTTP/2 answers its preface as a request it doesn't understand")
{
    HttpServerOptions options;
    options.allowsHttp2 = false;
    HeldServer held(options);
    auto caller = RawConnection::connect(held.server->address());
    caller->send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    REQUIRE(caller->receiveToEnd(held.loop));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 400 "));
    CHECK(held.requests.empty());
}

TEST_CASE("HTTP/2 streams are counted, and a connection that goes beyond the memory is closed")
{
    auto memory = std::make_shared<ClientMemory>(1'000'000);
    HeldServer held(optionsWith(memory));
    Http2Caller caller(held.loop, held.server->address());
    caller.sendHeaders(1, "/", false);
    caller.sendData(1, std::string(16'000, 'x'), false);
    REQUIRE(runUntil(held.loop, [&] { return memory->used(HeldFor::Input) > 32'000; }));
    caller.sendReset(1);
    caller.sendHeaders(3, "/");
    REQUIRE(runUntil(held.loop, [&] { return held.requests.size() == 1; }));
    caller.sendHeaders(5, "/", false);
    REQUIRE(runUntil(held.loop, [&] {
        caller.sendData(5, std::string(16'000, 'x'), false);
        caller.receive();
        return caller.isClosed();
    }));
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
    held.requests.clear();
    held.responders.clear();
    runFor(held.loop, 10ms);
    CHECK(memory->used() == 0);
}

TEST_CASE("answers that have ended are counted until clients have taken them, and stalled ones yield")
{
    static constexpr std::size_t answerBytes = 32u << 20;
    auto memory = std::make_shared<ClientMemory>(answerBytes + answerBytes / 4);
    HeldServer held(optionsWith(memory));
    auto stalled = held.call();
    held.responders[0]->send(headOf(200), std::string(answerBytes, 'x'));
    CHECK(memory->used(HeldFor::Answer) == answerBytes);
    runFor(held.loop, 1500ms);
    auto reading = held.call();
    held.responders[1]->send(headOf(200), std::string(answerBytes, 'x'));
    REQUIRE(runUntil(held.loop, [&] {
        reading->receiveAtMost(256 << 10);
        return reading->received().size() > answerBytes;
    }));
    REQUIRE(stalled->receiveToEnd(held.loop));
    CHECK(stalled->received().size() < answerBytes);
    runFor(held.loop, 10ms);
    CHECK(memory->used(HeldFor::Answer) == 0);
    CHECK(memory->refusals().yielded == 1);
}

// Any order of arrivals, answers, refusals, time-outs and closes must release what was counted.
TEST_CASE("the account ends at zero whatever clients and handlers do")
{
    Random random(20261206);
    auto memory = std::make_shared<ClientMemory>(300'000);
    HttpServerOptions options = optionsWith(memory);
    options.maxBodyBytes = 120'000;
    options.requestTimeout = 300ms;
    HeldServer held(options);
    std::vector<std::unique_ptr<RawConnection>> callers;
    auto sendOne = [&](RawConnection& caller) {
        std::size_t size = 1 + random.below(150'000);
        std::size_t part = random.below(2) ? size : random.below(size);
        std::string head = random.below(2) ? headFor(size) : absl::StrCat(chunkedHead, absl::Hex(size), "\r\n");
        caller.sendSome(head + std::string(part, 'x') + (absl::StartsWith(head, chunkedHead) && part == size ? "\r\n0\r\n\r\n" : ""));
    };
    for (int step = 0; step < 3'000; ++step) {
        std::size_t index = callers.empty() ? 0 : random.below(callers.size());
        switch (random.below(7)) {
        case 0:
        case 1:
            if (callers.size() < 20)
                callers.push_back(RawConnection::connect(held.server->address()));
            break;
        case 2:
        case 3:
            if (!callers.empty())
                sendOne(*callers[index]);
            break;
        case 4:
            if (!held.responders.empty()) {
                std::size_t answered = random.below(held.responders.size());
                if (random.below(3))
                    held.responders[answered]->send(headOf(200), std::string(random.below(100'000), 'y'));
                held.responders.erase(held.responders.begin() + static_cast<std::ptrdiff_t>(answered));
                held.requests.erase(held.requests.begin() + static_cast<std::ptrdiff_t>(answered));
            }
            break;
        case 5:
            if (!callers.empty()) {
                if (random.below(2))
                    callers[index]->reset();
                callers.erase(callers.begin() + static_cast<std::ptrdiff_t>(index));
            }
            break;
        default:
            if (!callers.empty())
                callers[index]->receive();
            break;
        }
        held.loop.runOnce(0ms);
        if (random.below(500) == 0)
            runFor(held.loop, 350ms);
    }
    callers.clear();
    held.responders.clear();
    held.requests.clear();
    REQUIRE(runUntil(held.loop, [&] { return held.server->openConnections() == 0; }));
    runFor(held.loop, 10ms);
    CHECK(memory->used() == 0);
    CHECK(memory->refusals().noRoom > 0);
    CHECK(memory->refusals().tooLarge > 0);
    CHECK(memory->refusals().timedOut > 0);
}
