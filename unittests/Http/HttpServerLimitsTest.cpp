#include "catkinwing/Http/HttpServer.h"

#include "HeldServer.h"
#include <absl/strings/match.h>
#include <ctime>
#include <sys/resource.h>
#include <unistd.h>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a caller that takes nothing of an ended answer is cut off, a slow one is not")
{
    HttpServerOptions options;
    options.sendTimeout = 1s;
    HeldServer held(options);
    auto caller = held.call();
    bool isSlow = GENERATE(false, true);
    held.responders[0]->send(headOf(200), std::string(32 << 20, 'x'));
    TimePoint start = held.clock.now();
    REQUIRE(runUntil(held.loop, [&] {
        if (isSlow)
            caller->receiveAtMost(16 << 10);
        return held.server->openConnections() == 0 || held.clock.now() - start > Duration(4s);
    }));
    CHECK(held.server->openConnections() == (isSlow ? 1 : 0));
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

TEST_CASE("where there are too many connections a stalled one gives way, and first one that has begun a request")
{
    HttpServerOptions options;
    (GENERATE(false, true) ? options.maxConnectionsPerCaller : options.maxConnections) = 3;
    HeldServer held(options);
    auto busy = held.call();
    auto idle = held.call();
    held.responders[1]->send(headOf(200), "done");
    REQUIRE(idle->receiveUntil(held.loop, "done"));
    auto begun = RawConnection::connect(held.server->address());
    begun->send("GET / HTTP/1.1\r\n");
    runFor(held.loop, 1100ms);
    auto newcomer = held.call();
    REQUIRE(begun->receiveToEnd(held.loop));
    auto second = held.call();
    REQUIRE(idle->receiveToEnd(held.loop));
    CHECK(held.closed == 0);
    held.responders[0]->send(headOf(200), "late");
    CHECK(busy->receiveUntil(held.loop, "late"));
}

namespace {

/// Lets the process open no further descriptor while it lives.
class NoMoreDescriptors {
public:
    NoMoreDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        int lowestFree = dup(STDERR_FILENO);
        close(lowestFree);
        rlimit lowered { static_cast<rlim_t>(lowestFree), m_before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~NoMoreDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    NoMoreDescriptors(const NoMoreDescriptors&) = delete;
    NoMoreDescriptors& operator=(const NoMoreDescriptors&) = delete;

private:
    rlimit m_before {};
};

} // namespace

TEST_CASE("a server out of descriptors waits without spinning and accepts later")
{
    HeldServer held;
    auto caller = RawConnection::connect(held.server->address());
    caller->send(getRequest);
    std::clock_t before = std::clock();
    {
        // No check in here: the sanitizers need descriptors for theirs.
        NoMoreDescriptors none;
        runFor(held.loop, 500ms);
    }
    double seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    CHECK(seconds < 0.25);
    CHECK(held.server->openConnections() == 0);
    REQUIRE(runUntil(held.loop, [&] { return held.responders.size() == 1; }));
    held.responders[0]->send(headOf(200), "late");
    CHECK(caller->receiveUntil(held.loop, "late"));
}
