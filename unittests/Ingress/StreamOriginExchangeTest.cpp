// Tests of the exchange between entries of the software versions at which streams began.
#include "catkinwing/Ingress/StreamOriginExchange.h"
#include "catkinwing/PeerProtocol/RegionReport.h"
#include "catkinwing/Support/ManualScheduler.h"

#include <catch2/catch.hpp>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

RequestFingerprint streamOf(std::uint32_t number)
{
    RequestFingerprint result;
    for (std::size_t i = 0; i < 4; ++i)
        result.bytes[i] = static_cast<unsigned char>(number >> (8 * i));
    return result;
}

/// Entries in regions that exchange their messages. No message to or from an entry in \c lost arrives.
struct Entries {
    struct Entry {
        Entry(Entries& entries, const EntryRecord& entryRecord)
            : record(entryRecord)
            , endpoints(record.region, { { "zone-0", "region-0" }, { "zone-1", "region-1" } })
            , entryTable(record)
            , exchange(endpoints, entryTable, record, entries.scheduler, [&entries, this](const OutgoingDatagram& datagram) { entries.deliver(record.peerAddress, datagram); })
        {
        }

        EntryRecord record;
        EndpointTable endpoints;
        EntryTable entryTable;
        StreamOriginExchange exchange;
    };

    Entries(std::size_t regions, std::size_t entriesPerRegion)
    {
        for (std::size_t region = 0; region < regions; ++region) {
            for (std::size_t i = 0; i < entriesPerRegion; ++i) {
                SocketAddress address { "10.0.0.1", static_cast<std::uint16_t>(entries.size() + 1) };
                EntryRecord record { "region-" + std::to_string(region), "zone-" + std::to_string(region), address, address };
                entries.push_back(std::make_unique<Entry>(*this, record));
            }
        }
        for (const auto& entry : entries) {
            for (const auto& other : entries)
                entry->entryTable.put(other->record.peerAddress.toString(), other->record);
        }
    }

    void deliver(const SocketAddress& from, const OutgoingDatagram& datagram)
    {
        ++datagrams;
        bytes += datagram.bytes.size();
        receivers.insert(datagram.to.port);
        if (lost.count(from.port) > 0 || lost.count(datagram.to.port) > 0)
            return;
        scheduler.callAfter(1ms, [this, from, datagram] {
            entries[datagram.to.port - 1U]->exchange.handleMessage(from, *decodeStreamOriginMessage(datagram.bytes));
        });
    }

    void putEndpoint(const std::string& incarnation, const std::string& version)
    {
        EndpointRecord record;
        record.incarnation = incarnation;
        record.service = "service";
        record.softwareVersion = version;
        record.availabilityZone = "zone-0";
        for (const auto& entry : entries)
            entry->endpoints.put(record, scheduler.clock().now());
    }

    std::optional<BuildId> resolve(std::size_t entry, std::uint32_t stream, const std::vector<std::string>& regions = {})
    {
        std::optional<BuildId> result;
        bool isDone = false;
        entries[entry]->exchange.resolve(streamOf(stream), "service", regions, [&](std::optional<BuildId> build) {
            result = build;
            isDone = true;
        });
        scheduler.advance(200ms);
        CHECK(isDone);
        return result;
    }

    void state(std::size_t entry, std::uint32_t stream, BuildId build, std::uint32_t endpoint = 0, std::vector<std::string> regions = {})
    {
        entries[entry]->exchange.state({ streamOf(stream), "service", build, endpoint, std::move(regions) });
        scheduler.advance(2ms);
    }

    ManualScheduler scheduler;
    std::vector<std::unique_ptr<Entry>> entries;
    std::set<std::uint16_t> lost;
    std::set<std::uint16_t> receivers;
    std::size_t datagrams { 0 };
    std::size_t bytes { 0 };
};

constexpr BuildId v1 = 11;
constexpr BuildId v2 = 12;

} // namespace

TEST_CASE("every entry finds the version of a stream that another one has stated")
{
    Entries fleet(4, 5);
    for (std::uint32_t stream = 0; stream < 20; ++stream)
        fleet.state(stream, stream, stream % 2 == 0 ? v1 : v2);
    for (std::uint32_t stream = 0; stream < 20; ++stream) {
        for (std::size_t entry = 0; entry < fleet.entries.size(); ++entry)
            CHECK(fleet.resolve(entry, stream) == (stream % 2 == 0 ? v1 : v2));
    }
}

TEST_CASE("the version of a stream is found after the loss of its entry, and of its region")
{
    for (std::uint32_t stream = 0; stream < 20; ++stream) {
        Entries fleet(3, 3);
        fleet.state(0, stream, v1);
        fleet.lost = { 1 };
        CHECK(fleet.resolve(1, stream) == v1);
        fleet.lost = { 1, 2, 3 };
        CHECK(fleet.resolve(4, stream) == v1);
        CHECK(fleet.resolve(8, stream) == v1);
    }
}

TEST_CASE("the version of a stream is found in its region while the regions are partitioned")
{
    for (std::uint32_t stream = 0; stream < 20; ++stream) {
        Entries fleet(3, 3);
        fleet.lost = { 4, 5, 6, 7, 8, 9 };
        fleet.state(0, stream, v1);
        CHECK(fleet.resolve(1, stream) == v1);
        CHECK(fleet.resolve(2, stream) == v1);
    }
}

TEST_CASE("only entries of the allowed regions are told of a stream")
{
    Entries fleet(4, 3);
    for (std::uint32_t stream = 0; stream < 50; ++stream)
        fleet.state(0, stream, v1, 0, { "region-0", "region-2" });
    for (std::uint16_t receiver : fleet.receivers)
        CHECK((receiver <= 3 || (receiver >= 7 && receiver <= 9)));
}

TEST_CASE("a name that nobody has stated has no version")
{
    Entries fleet(3, 3);
    CHECK_FALSE(fleet.resolve(0, 1));
    CHECK(fleet.entries[0]->exchange.totals().unknown == 1);
}

TEST_CASE("the version of a stream isn't certain if two entries state different ones")
{
    Entries fleet(1, 3);
    fleet.state(0, 1, v1);
    fleet.state(1, 1, v2);
    CHECK_FALSE(fleet.resolve(2, 1));
    fleet.state(0, 2, v1);
    fleet.state(1, 2, v1);
    CHECK(fleet.resolve(2, 2) == v1);
}

TEST_CASE("the later statement of an entry counts, in whichever order they arrive")
{
    Entries fleet(1, 2);
    fleet.state(0, 1, v1);
    fleet.state(0, 1, v2);
    CHECK(fleet.resolve(1, 1) == v2);
    StreamOrigins origins;
    SocketAddress sender { "10.0.0.1", 1 };
    origins.record(streamOf(1), { v2, sender, 2 }, TimePoint());
    origins.record(streamOf(1), { v1, sender, 1 }, TimePoint());
    CHECK(origins.find(streamOf(1)) == v2);
}

TEST_CASE("the streams of an endpoint that has started again at another version aren't certain any more")
{
    Entries fleet(1, 3);
    fleet.state(0, 1, v1, 77);
    fleet.state(0, 2, v1, 78);
    RoutedEndpoint replaced;
    replaced.hash = 77;
    replaced.wasReplacedByOtherVersion = true;
    fleet.entries[0]->exchange.withdrawAfterRestart(replaced);
    fleet.scheduler.advance(2ms);
    CHECK_FALSE(fleet.resolve(1, 1));
    CHECK_FALSE(fleet.resolve(0, 1));
    CHECK(fleet.resolve(1, 2) == v1);
}

TEST_CASE("streams that began before the connection to the endpoint was lost stay certain")
{
    Entries fleet(1, 3);
    fleet.state(0, 1, v1, 77);
    RoutedEndpoint replaced;
    replaced.hash = 77;
    replaced.wasReplacedByOtherVersion = true;
    replaced.connectionLostAt = fleet.scheduler.clock().now() + 1ms;
    fleet.scheduler.advance(10ms);
    fleet.state(0, 2, v1, 77);
    fleet.entries[0]->exchange.withdrawAfterRestart(replaced);
    fleet.scheduler.advance(2ms);
    CHECK(fleet.resolve(1, 1) == v1);
    CHECK_FALSE(fleet.resolve(1, 2));
}

TEST_CASE("entries state nothing and conclude the version while a service has had a single one")
{
    Entries fleet(2, 3);
    fleet.putEndpoint("e1", "v1");
    fleet.scheduler.advance(31s);
    BuildId only = buildIdOf("service", "v1");
    fleet.state(0, 1, only);
    CHECK(fleet.datagrams == 0);
    CHECK(fleet.resolve(1, 1) == only);
    SECTION("an entry that has just started takes the word of one that knows")
    {
        fleet.entries[1]->endpoints = EndpointTable("region-0", { { "zone-0", "region-0" } });
        CHECK(fleet.resolve(1, 2) == only);
    }
    SECTION("an entry whose knowledge is old concludes nothing")
    {
        for (const auto& entry : fleet.entries)
            entry->endpoints.setKnowledgeAge(4s);
        CHECK_FALSE(fleet.resolve(1, 2));
        fleet.state(0, 3, only);
        CHECK(fleet.resolve(1, 3) == only);
    }
    SECTION("a statement goes before what the versions of the service let conclude")
    {
        fleet.state(0, 4, v2);
        CHECK(fleet.resolve(1, 4) == v2);
        fleet.state(0, 5, uncertainBuild);
        CHECK_FALSE(fleet.resolve(1, 5));
    }
    SECTION("with a second version the streams are stated again")
    {
        fleet.putEndpoint("e2", "v2");
        fleet.state(0, 6, only);
        CHECK(fleet.datagrams > 0);
        CHECK_FALSE(fleet.resolve(1, 7));
    }
}

// Guards against an entry that is cut off from the store and the other entries during a release and
// concludes the version that it knows for a stream that has begun at a new one.
TEST_CASE("an entry that no other one confirms concludes no version")
{
    Entries fleet(2, 3);
    for (const auto& entry : fleet.entries)
        entry->endpoints.recordFirstStart();
    fleet.putEndpoint("old", "v1");
    fleet.scheduler.advance(200s);
    BuildId old = buildIdOf("service", "v1");
    CHECK(fleet.resolve(0, 1) == old);
    EndpointRecord joining;
    joining.incarnation = "new";
    joining.service = "service";
    joining.softwareVersion = "v2";
    joining.availabilityZone = "zone-0";
    for (std::size_t entry = 1; entry < fleet.entries.size(); ++entry)
        fleet.entries[entry]->endpoints.put(joining, fleet.scheduler.clock().now());
    SECTION("none answers")
    {
        fleet.lost = { 1 };
        fleet.state(1, 1, buildIdOf("service", "v2"));
        CHECK(fleet.resolve(0, 1) == std::nullopt);
    }
    SECTION("those that answer know of another version")
    {
        fleet.lost = { 1 };
        fleet.state(1, 1, buildIdOf("service", "v2"));
        fleet.lost.clear();
        for (std::uint32_t stream = 2; stream < 20; ++stream)
            CHECK(fleet.resolve(0, stream) == std::nullopt);
    }
}

TEST_CASE("messages of senders that aren't entries are ignored")
{
    Entries fleet(1, 3);
    StreamOriginMessage statement;
    statement.rows.push_back({ streamOf(1), v1, 1 });
    for (const auto& entry : fleet.entries)
        entry->exchange.handleMessage({ "10.9.9.9", 1 }, statement);
    CHECK_FALSE(fleet.resolve(0, 1));
}

TEST_CASE("what entries keep of streams is bounded and expires")
{
    Entries fleet(1, 2);
    for (std::uint32_t stream = 0; stream < 100'000; ++stream)
        fleet.entries[0]->exchange.state({ streamOf(stream), "service", v1, 0, {} });
    fleet.scheduler.advance(1s);
    CHECK(fleet.entries[0]->exchange.size() == 32'768);
    CHECK(fleet.entries[1]->exchange.size() == 32'768);
    CHECK(fleet.resolve(1, 99'999) == v1);
    CHECK_FALSE(fleet.resolve(1, 1));
    fleet.scheduler.advance(30s);
    for (const auto& entry : fleet.entries) {
        entry->exchange.tick();
        CHECK(entry->exchange.size() == 0);
    }
}

// The cost at the size to come: 550 entries in 22 regions, 35,000 streams a second.
TEST_CASE("a statement is three datagrams of under 50 bytes among 550 entries")
{
    Entries fleet(22, 25);
    constexpr std::size_t streams = 1'000;
    for (std::uint32_t stream = 0; stream < streams; ++stream)
        fleet.state(stream % fleet.entries.size(), stream, UINT64_MAX);
    CHECK(fleet.datagrams <= 3 * streams);
    CHECK(fleet.bytes <= 50 * fleet.datagrams);
    std::size_t most = 0;
    for (const auto& entry : fleet.entries)
        most = std::max(most, entry->exchange.size());
    CHECK(most <= 24);
}
