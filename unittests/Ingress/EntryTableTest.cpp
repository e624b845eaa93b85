#include "catkinwing/Ingress/EntryTable.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static SocketAddress loopback(int port)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(port) };
}

static EntryRecord makeRecord(const std::string& region, const std::string& zone, int port)
{
    return { region, zone, loopback(port), loopback(port + 1'000) };
}

static EntryTable makeTable()
{
    EntryTable table(makeRecord("north", "north-a", 1));
    table.put("n1", makeRecord("north", "north-a", 1));
    table.put("n2", makeRecord("north", "north-b", 2));
    table.put("s1", makeRecord("south", "south-a", 3));
    table.put("w1", makeRecord("west", "west-a", 4));
    return table;
}

TEST_CASE("clients get entries of their zone, else of their region, else of a home region, else of all regions")
{
    EntryTable table = makeTable();
    using Addresses = std::vector<SocketAddress>;
    CHECK(table.entriesFor("north", "north-b", {}, TimePoint { 10s }) == Addresses { loopback(2) });
    CHECK(table.entriesFor("north", "north-c", {}, TimePoint { 10s }) == Addresses { loopback(1), loopback(2) });
    CHECK(table.entriesFor("east", "east-a", { { "south" } }, TimePoint { 10s }) == Addresses { loopback(3) });
    CHECK(table.entriesFor("east", "east-a", { { "nowhere" } }, TimePoint { 10s }).size() == 4);
    CHECK(table.entriesFor("east", "east-a", {}, TimePoint { 10s }).size() == 4);
}

TEST_CASE("a restarted entry with two registrations is listed once")
{
    EntryTable table = makeTable();
    table.put("n2-again", makeRecord("north", "north-b", 2));
    CHECK(table.entriesFor("north", "north-b", {}, TimePoint { 10s }).size() == 1);
    CHECK(table.keysOfRegion("north").size() == 2);
}

TEST_CASE("an entry that was removed shares the limits of endpoints for ten minutes")
{
    EntryTable table = makeTable();
    TimePoint now { 10s };
    auto listed = [&](TimePoint at) {
        std::vector<bool> isListed;
        for (const RateSharer& sharer : table.rateSharers("north", at))
            isListed.push_back(sharer.isListed);
        return isListed;
    };
    CHECK(listed(now) == std::vector<bool> { true, true });
    table.remove("n2", now);
    CHECK(listed(now + 9min) == std::vector<bool> { true, false });
    table.put("n2-again", makeRecord("north", "north-b", 2));
    CHECK(listed(now + 9min) == std::vector<bool> { true, true });
    table.remove("n2-again", now + 10min);
    CHECK(listed(now + 21min) == std::vector<bool> { true });
}

TEST_CASE("a peer that didn't answer isn't chosen for a while, and the entry never chooses itself")
{
    EntryTable table = makeTable();
    Random random(1);
    TimePoint now { 10s };
    CHECK(table.choosePeer("south", now, random) == loopback(1'003));
    table.recordPeerFailure(loopback(1'003), now);
    CHECK_FALSE(table.choosePeer("south", now, random));
    CHECK(table.choosePeer("south", now + 2s, random));
    for (int i = 0; i < 20; ++i)
        CHECK(table.choosePeer("north", now, random) == loopback(1'002));
}

TEST_CASE("a missing entry stays in the table until removeMissing()")
{
    EntryTable table = makeTable();
    table.recordMissing("s1");
    CHECK(table.size() == 4);
    table.removeMissing(TimePoint { 10s });
    CHECK(table.size() == 3);
}

TEST_CASE("a written registration is parsed back unchanged, and invalid text is rejected")
{
    EntryRecord record = makeRecord("north", "north-a", 5);
    absl::StatusOr<EntryRecord> read = readEntryRecord(writeEntryRecord(record));
    REQUIRE(read.ok());
    CHECK(read->region == "north");
    CHECK(read->availabilityZone == "north-a");
    CHECK(read->clientAddress == loopback(5));
    CHECK(read->peerAddress == loopback(1'005));
    CHECK_FALSE(readEntryRecord("").ok());
    CHECK_FALSE(readEntryRecord("{\"clients\":5}").ok());
    CHECK_FALSE(readEntryRecord("[]").ok());
}

TEST_CASE("clients with home regions get an entry that was removed a moment ago rather than one elsewhere")
{
    EntryTable table = makeTable();
    TimePoint now { 10s };
    table.remove("n1", now - 8s);
    table.remove("n2", now);
    using Addresses = std::vector<SocketAddress>;
    CHECK(table.entriesFor("north", "north-a", { { "north" } }, now + 1s) == Addresses { loopback(2) });
    CHECK(table.entriesFor("north", "north-a", { { "north" } }, now + 4s).size() == 2);
    CHECK(table.entriesFor("north", "north-a", {}, now + 1s).size() == 2);
    CHECK(table.entriesFor("north", "north-a", { { "south" } }, now + 1s) == Addresses { loopback(3) });
}

TEST_CASE("if the home regions bind every request, no entry of another region is returned")
{
    EntryTable table = makeTable();
    TimePoint now { 10s };
    HostHomes homes { { "south" }, true };
    CHECK(table.entriesFor("east", "east-a", homes, now) == std::vector<SocketAddress> { loopback(3) });
    CHECK(table.entriesFor("north", "north-a", homes, now) == std::vector<SocketAddress> { loopback(1) });
    table.remove("s1", now);
    CHECK(table.entriesFor("east", "east-a", homes, now + 1s) == std::vector<SocketAddress> { loopback(3) });
    CHECK(table.entriesFor("east", "east-a", homes, now + 4s).empty());
}

TEST_CASE("an entry whose registration was removed remains a departed peer for a while or until it doesn't answer")
{
    EntryTable table = makeTable();
    Random random(1);
    TimePoint now { 10s };
    CHECK_FALSE(table.chooseDepartedPeer("south", now, random));
    table.remove("s1", now);
    CHECK_FALSE(table.choosePeer("south", now + 10s, random));
    CHECK(table.chooseDepartedPeer("south", now + 10s, random) == loopback(1'003));
    CHECK_FALSE(table.chooseDepartedPeer("north", now + 10s, random));
    CHECK_FALSE(table.chooseDepartedPeer("south", now + 20s, random));
    table.recordPeerFailure(loopback(1'003), now + 10s);
    CHECK_FALSE(table.chooseDepartedPeer("south", now + 11s, random));
}

// Two entries of a zone that had nine got all of its clients, and their links were full.
TEST_CASE("a zone that has lost most of its entries leaves clients with tight targets to its region")
{
    EntryTable table(makeRecord("north", "north-a", 1));
    TimePoint now { 10s };
    for (int i = 1; i <= 5; ++i)
        table.put("a" + std::to_string(i), makeRecord("north", "north-a", i));
    for (int i = 11; i <= 14; ++i)
        table.put("b" + std::to_string(i), makeRecord("north", "north-b", i));
    table.put("s1", makeRecord("south", "south-a", 21));
    HostHomes tight;
    tight.hasTightTargets = true;
    CHECK(table.entriesFor("north", "north-a", tight, now).size() == 5);
    table.remove("a1", now);
    table.remove("a2", now);
    CHECK(table.entriesFor("north", "north-a", tight, now).size() == 3);
    table.remove("a3", now);
    CHECK(table.entriesFor("north", "north-a", tight, now).size() == 6);
    CHECK(table.entriesFor("north", "north-a", {}, now).size() == 2);
    CHECK(table.entriesFor("north", "north-b", tight, now).size() == 4);
    // They come back, or are gone for good.
    table.put("a1-again", makeRecord("north", "north-a", 1));
    CHECK(table.entriesFor("north", "north-a", tight, now + 1min).size() == 3);
    table.remove("a1-again", now + 1min);
    CHECK(table.entriesFor("north", "north-a", tight, now + 1min).size() == 6);
    CHECK(table.entriesFor("north", "north-a", tight, now + 30min).size() == 2);
}
