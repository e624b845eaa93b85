#include "catkinwing/Http/EventLoop.h"

#include "EventLoopImpl.h"
#include "LoopDriver.h"
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("loop timers run in order and not before their time")
{
    SystemClock clock;
    EventLoop loop(clock);
    std::vector<int> order;
    TimePoint start = clock.now();
    TimePoint ranAt {};
    loop.callAfter(30ms, [&] { order.push_back(2); ranAt = clock.now(); });
    loop.callAfter(10ms, [&] { order.push_back(1); });
    REQUIRE(runUntil(loop, [&] { return order.size() == 2; }));
    CHECK(order == std::vector<int> { 1, 2 });
    CHECK(ranAt - start >= Duration(30ms));
}

TEST_CASE("a loop timer without delay runs neither inside the call nor in the same turn")
{
    SystemClock clock;
    EventLoop loop(clock);
    int outer = 0;
    int inner = 0;
    loop.callAfter(0ms, [&] {
        ++outer;
        loop.callAfter(0ms, [&] { ++inner; });
    });
    CHECK(outer == 0);
    loop.runOnce(0ms);
    CHECK(outer == 1);
    CHECK(inner == 0);
    loop.runOnce(0ms);
    CHECK(inner == 1);
}

TEST_CASE("a loop timer can cancel another that is due in the same turn")
{
    SystemClock clock;
    EventLoop loop(clock);
    bool ran = false;
    TimerId second = 0;
    loop.callAfter(0ms, [&] { loop.cancel(second); });
    second = loop.callAfter(0ms, [&] { ran = true; });
    runFor(loop, 20ms);
    CHECK_FALSE(ran);
}

TEST_CASE("cancelling a loop timer whose callback owns another one's handle is safe")
{
    SystemClock clock;
    EventLoop loop(clock);
    bool ran = false;
    TimerId owned = loop.callAfter(10ms, [&] { ran = true; });
    auto owner = std::shared_ptr<void>(nullptr, [&](void*) { loop.cancel(owned); });
    TimerId outer = loop.callAfter(10ms, [owner] {});
    owner.reset();
    loop.cancel(outer);
    runFor(loop, 30ms);
    CHECK_FALSE(ran);
}

TEST_CASE("the loop stops from inside a callback")
{
    SystemClock clock;
    EventLoop loop(clock);
    bool ranAfter = false;
    loop.callAfter(1ms, [&] {
        loop.stop();
        loop.callAfter(0ms, [&] { ranAfter = true; });
    });
    loop.run();
    CHECK_FALSE(ranAfter);
}

TEST_CASE("signals are called on the loop, each time")
{
    SystemClock clock;
    EventLoop loop(clock);
    int received = 0;
    loop.onSignal(SIGUSR1, [&] { ++received; });
    raise(SIGUSR1);
    CHECK(received == 0);
    REQUIRE(runUntil(loop, [&] { return received == 1; }));
    raise(SIGUSR1);
    REQUIRE(runUntil(loop, [&] { return received == 2; }));
}

TEST_CASE("a loop can be destroyed with timers pending")
{
    SystemClock clock;
    bool ran = false;
    {
        EventLoop loop(clock);
        loop.callAfter(0ms, [&] { ran = true; });
    }
    CHECK_FALSE(ran);
}

namespace {

/// A socket of h2o and the other end of it.
struct SocketPair {
    explicit SocketPair(EventLoop& loop)
    {
        std::array<int, 2> ends;
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        socket = h2o_evloop_socket_create(loop.impl().evloop, ends[0], H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
        socket->data = &endedWrites;
        other = ends[1];
    }
    ~SocketPair() { ::close(other); }
    SocketPair(const SocketPair&) = delete;
    SocketPair& operator=(const SocketPair&) = delete;

    void write(std::string& bytes)
    {
        h2o_iovec_t buffer = h2o_iovec_init(bytes.data(), bytes.size());
        h2o_socket_write(socket, &buffer, 1, [](h2o_socket_t* written, const char*) { ++*static_cast<int*>(written->data); });
    }

    void readOther() const
    {
        std::array<char, 4096> piece;
        while (::read(other, piece.data(), piece.size()) > 0) { }
    }

    h2o_socket_t* socket;
    int other;
    int endedWrites { 0 };
};

void ignoreInput(h2o_socket_t*, const char*) { }

} // namespace

// Guards against the abort of h2o that flushes a socket whose write has already ended.
TEST_CASE("a socket whose write ended in a loop callback is not polled for writing")
{
    SystemClock clock;
    EventLoop loop(clock);
    SocketPair pair(loop);
    // The kernel takes all of it, but doesn't report the socket as writable before some was read.
    std::string bytes(100'000, 'x');
    bool isDeferred = GENERATE(false, true);
    loop.callAfter(0ms, [&] {
        auto use = [&] {
            pair.write(bytes);
            h2o_socket_read_start(pair.socket, ignoreInput);
        };
        if (isDeferred)
            loop.impl().defer(use);
        else
            use();
    });
    REQUIRE(runUntil(loop, [&] { return pair.endedWrites == 1; }));
    loop.runOnce(0ms);
    pair.readOther();
    loop.runOnce(0ms);
    CHECK(pair.endedWrites == 1);
    h2o_socket_close(pair.socket);
}

// Guards against callbacks of a socket that h2o has freed.
TEST_CASE("a socket that was written to and closed in one loop callback is not pending when the loop waits")
{
    SystemClock clock;
    EventLoop loop(clock);
    SocketPair pair(loop);
    std::string bytes = "x";
    loop.callAfter(0ms, [&] {
        pair.write(bytes);
        h2o_socket_close(pair.socket);
    });
    bool wasPending = true;
    loop.callAfter(0ms, [&] { wasPending = loop.impl().hasPendingSockets(); });
    loop.runOnce(0ms);
    CHECK(wasPending);
    CHECK_FALSE(loop.impl().hasPendingSockets());
    loop.runOnce(0ms);
    CHECK(pair.endedWrites == 0);
}

// Guards against a wait while the end of a write that began between two turns is pending.
TEST_CASE("a write that began between two turns ends in the next one, which doesn't wait")
{
    SystemClock clock;
    EventLoop loop(clock);
    SocketPair pair(loop);
    std::string bytes = "x";
    pair.write(bytes);
    bool hasDeferredRun = false;
    loop.impl().retire([&] {
        bool hasEnded = pair.endedWrites == 1;
        if (hasEnded)
            loop.impl().defer([&] { hasDeferredRun = true; });
        return hasEnded;
    });
    loop.runOnce(1h);
    CHECK(pair.endedWrites == 1);
    CHECK(hasDeferredRun);
    h2o_socket_close(pair.socket);
}
