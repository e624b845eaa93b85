#include "PeerChannel.h"

#include "ServedTracker.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static SentContent contentOf(std::uint64_t sequence, std::vector<NamedCount> served)
{
    SentContent content;
    content.sequence = sequence;
    content.sentAt = TimePoint(sequence * 1s);
    content.servedTokens = std::move(served);
    return content;
}

TEST_CASE("the largest changes are returned first, and removed names count as zero")
{
    CountTable acknowledged { { "same", 5 }, { "grown", 10 }, { "gone", 30 } };
    std::vector<NamedCount> current { { "same", 5 }, { "grown", 30 }, { "new", 7 } };
    TopChanges top = topChanges(current, acknowledged, 2);
    REQUIRE(top.items.size() == 2);
    CHECK(top.items[0].name == "gone");
    CHECK(top.items[0].count == 0);
    CHECK(top.items[1].name == "grown");
    CHECK(top.hasMore);
    CHECK(topChanges(current, acknowledged, 3).items.size() == 3);
    CHECK_FALSE(topChanges(current, acknowledged, 3).hasMore);
}

TEST_CASE("only acknowledged content counts as known to the peer")
{
    PeerChannel channel;
    channel.record(contentOf(1, { { "a", 10 } }));
    channel.record(contentOf(2, { { "b", 20 } }));
    CHECK_FALSE(channel.isKnown());
    CHECK(channel.acknowledge(2) == TimePoint(2s));
    CHECK(channel.isKnown());
    CHECK(channel.served().count("a") == 0);
    CHECK(channel.served().at("b") == 20);
    CHECK_FALSE(channel.acknowledge(1).has_value());
    CHECK_FALSE(channel.acknowledge(3).has_value());
}

TEST_CASE("hashes count as known only while no message with other hashes may have arrived")
{
    PeerChannel channel;
    SentContent first = contentOf(1, {});
    first.hashes = { 1, 1, 1 };
    SentContent second = contentOf(2, {});
    second.hashes = { 2, 1, 1 };
    channel.record(first);
    CHECK_FALSE(channel.peerHasExactly(first.hashes));
    channel.acknowledge(1);
    CHECK(channel.peerHasExactly(first.hashes));
    channel.record(second);
    CHECK_FALSE(channel.peerHasExactly(first.hashes));
    CHECK_FALSE(channel.peerHasExactly(second.hashes));
    channel.acknowledge(2);
    CHECK(channel.peerHasExactly(second.hashes));
}

TEST_CASE("after a reset nothing counts as known to the member")
{
    PeerChannel channel;
    channel.record(contentOf(1, { { "a", 10 } }));
    channel.acknowledge(1);
    channel.reset();
    CHECK_FALSE(channel.isKnown());
    CHECK(channel.served().empty());
    CHECK_FALSE(channel.acknowledge(1).has_value());
}

TEST_CASE("running totals give increments through gaps and restarts")
{
    ServedTracker tracker;
    CHECK(tracker.increment({ "team", 100 }) == 0);
    CHECK(tracker.increment({ "team", 150 }) == 50);
    CHECK(tracker.increment({ "team", 150 }) == 0);
    CHECK(tracker.increment({ "team", 20 }) == 0);
    CHECK(tracker.increment({ "team", 25 }) == 5);
    CHECK(tracker.increment({ "unseen", 70 }) == 0);
    tracker.recordComplete();
    CHECK(tracker.increment({ "begun", 70 }) == 70);
    tracker.reset();
    CHECK(tracker.increment({ "begun", 90 }) == 0);
}
