#include "catkinwing/Http/DatagramSocket.h"

#include "HttpFixture.h"

using namespace catkinwing;

TEST_CASE("datagrams arrive with their sender's address")
{
    SystemClock clock;
    EventLoop loop(clock);
    std::vector<std::string> received;
    SocketAddress from;
    auto receiver = DatagramSocket::bind(loop, { "127.0.0.1", 0 }, [&](const SocketAddress& sender, absl::string_view bytes) {
        from = sender;
        received.emplace_back(bytes);
    });
    REQUIRE(receiver.ok());
    auto sender = DatagramSocket::bind(loop, { "127.0.0.1", 0 }, [](const SocketAddress&, absl::string_view) {});
    REQUIRE(sender.ok());
    for (int i = 0; i < 100; ++i)
        (*sender)->send((*receiver)->address(), std::string(static_cast<std::size_t>(i + 1), 'x'));
    REQUIRE(runUntil(loop, [&] { return received.size() == 100; }));
    CHECK(from == (*sender)->address());
    CHECK(received[99].size() == 100);
    (*sender)->send({ "not an address", 1 }, "lost");
}

TEST_CASE("an address that is taken is refused with its name")
{
    SystemClock clock;
    EventLoop loop(clock);
    auto ignore = [](const SocketAddress&, absl::string_view) {};
    auto first = DatagramSocket::bind(loop, { "127.0.0.1", 0 }, ignore);
    REQUIRE(first.ok());
    auto second = DatagramSocket::bind(loop, (*first)->address(), ignore);
    REQUIRE_FALSE(second.ok());
    CHECK(second.status().message().find((*first)->address().toString()) != absl::string_view::npos);
}
