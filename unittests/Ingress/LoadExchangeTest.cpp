#include "catkinwing/Ingress/LoadExchange.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// An entry of a region with one endpoint.
struct ExchangeEntry {
    ExchangeEntry(std::string entryKey, EntryRecord entryRecord, const std::vector<std::pair<std::string, EntryRecord>>& others)
        : key(std::move(entryKey))
        , record(std::move(entryRecord))
        , entries(record)
    {
        for (const auto& [name, other] : others)
            entries.put(name, other);
        EndpointRecord endpoint;
        endpoint.incarnation = "e1";
        endpoint.service = "service";
        endpoint.availabilityZone = "zone-0";
        endpoints.put(endpoint, TimePoint { 100s });
        endpoints.forEach([this](RoutedEndpoint& known) { hash = known.hash; });
    }

    std::string key;
    EntryRecord record;
    EntryTable entries;
    EndpointTable endpoints { "north", { { "zone-0", "north" }, { "zone-1", "north" } } };
    LoadExchange exchange { endpoints, entries, record };
    std::uint32_t hash { 0 };
    std::size_t datagramsSent { 0 };
    std::size_t datagramsReceived { 0 };
};

/// The entries of a region in two zones and the datagrams between them.
struct SimulatedRegion {
    explicit SimulatedRegion(std::size_t count)
    {
        std::vector<std::pair<std::string, EntryRecord>> records;
        for (std::size_t i = 0; i < count; ++i) {
            auto port = static_cast<std::uint16_t>(i + 1);
            EntryRecord record { "north", "zone-" + std::to_string(i % 2), { "10.0.0.1", port }, { "10.0.0.2", port } };
            records.emplace_back("entry-" + std::to_string(i), record);
        }
        for (const auto& [key, record] : records) {
            entries.push_back(std::make_unique<ExchangeEntry>(key, record, records));
            byAddress[record.peerAddress] = entries.back().get();
        }
    }

    /// Runs one tick of each entry that isn't dead and delivers its datagrams immediately.
    void runRound()
    {
        now += 100ms;
        for (const auto& entry : entries) {
            if (deadEntries.count(entry->key) > 0)
                continue;
            for (const OutgoingDatagram& datagram : entry->exchange.tick(entry->key, now))
                deliver(*entry, datagram);
        }
    }

    void deliver(ExchangeEntry& from, const OutgoingDatagram& datagram)
    {
        ++from.datagramsSent;
        ExchangeEntry& to = *byAddress.at(datagram.to);
        bool isPartitioned = areZonesPartitioned && from.record.availabilityZone != to.record.availabilityZone;
        if (isPartitioned || deadEntries.count(to.key) > 0)
            return;
        ++to.datagramsReceived;
        absl::StatusOr<LoadReport> report = decodeLoadReport(datagram.bytes);
        if (report.ok()) {
            to.exchange.handleReport(*report, now);
            return;
        }
        absl::StatusOr<LoadDigest> digest = decodeLoadDigest(datagram.bytes);
        REQUIRE(digest.ok());
        to.exchange.handleDigest(*digest, now);
    }

    /// Starts a request of each entry at the endpoint.
    void startRequests()
    {
        for (const auto& entry : entries)
            entry->endpoints.forEach([&](RoutedEndpoint& endpoint) { entry->endpoints.recordAttemptStarted(endpoint, now); });
    }

    std::uint32_t knownRequests(const ExchangeEntry& entry) const
    {
        return const_cast<ExchangeEntry&>(entry).endpoints.peerLoads().sumFor(entry.hash).requests;
    }

    /// Returns the keys of the collectors: the entries that send more than four datagrams
    /// in a tick.
    std::set<std::string> collectors() const
    {
        std::set<std::string> keys;
        for (const auto& entry : entries) {
            std::vector<OutgoingDatagram> out = entry->exchange.tick(entry->key, now);
            if (out.size() > 4)
                keys.insert(entry->key);
        }
        return keys;
    }

    TimePoint now { 100s };
    std::vector<std::unique_ptr<ExchangeEntry>> entries;
    std::map<SocketAddress, ExchangeEntry*> byAddress;
    /// Keys of the entries that neither send nor receive datagrams.
    std::set<std::string> deadEntries;
    bool areZonesPartitioned { false };
};

} // namespace

TEST_CASE("every entry receives the loads of all others, with two to 300 entries")
{
    for (std::size_t count : { 2, 7, 12, 13, 30, 100, 300 }) {
        SimulatedRegion world(count);
        world.startRequests();
        for (int i = 0; i < 5; ++i)
            world.runRound();
        for (const auto& entry : world.entries)
            CHECK(world.knownRequests(*entry) == count - 1);
    }
}

// Guards against reports of each entry to all others, which would be 10,000 datagrams a
// second from each of 1,000 entries.
TEST_CASE("the datagrams of an entry don't grow with the number of entries of its region")
{
    for (std::size_t count : { 30, 100, 300, 1'000 }) {
        SimulatedRegion world(count);
        world.startRequests();
        constexpr std::size_t rounds = 3;
        for (std::size_t i = 0; i < rounds; ++i)
            world.runRound();
        std::size_t nonCollectors = 0;
        for (const auto& entry : world.entries) {
            CHECK(entry->datagramsSent <= rounds * 120);
            CHECK(entry->datagramsReceived <= rounds * 120);
            nonCollectors += entry->datagramsSent <= rounds * 2 ? 1 : 0;
        }
        CHECK(nonCollectors + 40 >= count);
    }
}

TEST_CASE("loads stay known if one collector is dead, and expire if all collectors are dead")
{
    SimulatedRegion probe(100);
    probe.startRequests();
    std::set<std::string> collectors = probe.collectors();
    REQUIRE(collectors.size() == 4);
    for (const std::string& deadCollector : collectors) {
        SimulatedRegion world(100);
        world.startRequests();
        for (int i = 0; i < 5; ++i)
            world.runRound();
        world.deadEntries = { deadCollector };
        for (int i = 0; i < 15; ++i)
            world.runRound();
        for (const auto& entry : world.entries) {
            if (entry->key != deadCollector)
                CHECK(world.knownRequests(*entry) == 98);
        }
    }
    SimulatedRegion world(100);
    world.startRequests();
    world.runRound();
    world.deadEntries = collectors;
    for (int i = 0; i < 15; ++i)
        world.runRound();
    for (const auto& entry : world.entries) {
        if (collectors.count(entry->key) == 0)
            CHECK(world.knownRequests(*entry) == 0);
    }
}

TEST_CASE("entries know the loads of their own zone while the zones are partitioned")
{
    SimulatedRegion world(100);
    world.startRequests();
    for (int i = 0; i < 5; ++i)
        world.runRound();
    world.areZonesPartitioned = true;
    for (int i = 0; i < 15; ++i)
        world.runRound();
    for (const auto& entry : world.entries)
        CHECK(world.knownRequests(*entry) == 49);
    world.areZonesPartitioned = false;
    for (int i = 0; i < 5; ++i)
        world.runRound();
    for (const auto& entry : world.entries)
        CHECK(world.knownRequests(*entry) == 99);
}

TEST_CASE("a prompt segment that one of 100 entries has sent is known to all")
{
    for (std::size_t sender : { 0, 1, 57, 99 }) {
        SimulatedRegion world(100);
        ExchangeEntry& from = *world.entries[sender];
        std::shared_ptr<RoutedEndpoint> none;
        from.endpoints.forEach([&](RoutedEndpoint& endpoint) { from.endpoints.recordSegmentAndGetPrefillTokens(endpoint, 17'000, 13'000, "part", world.now); });
        ServiceSettings service;
        service.name = "service";
        for (int i = 0; i < 5; ++i)
            world.runRound();
        for (const auto& entry : world.entries)
            CHECK(entry->endpoints.minWaitForSegment(service, "part", world.now));
    }
}

TEST_CASE("idle entries stop sending datagrams")
{
    SimulatedRegion world(100);
    for (int i = 0; i < 5; ++i)
        world.runRound();
    std::size_t before = 0;
    for (const auto& entry : world.entries)
        before += entry->datagramsSent;
    world.runRound();
    std::size_t after = 0;
    for (const auto& entry : world.entries)
        after += entry->datagramsSent;
    CHECK(after == before);
}
