#include "catkinwing/Ingress/CrashExchange.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Max bytes of crash reports that an entry may send in a second.
static constexpr std::size_t maxBytesPerSecond = 3'000;

namespace {

struct SimulatedEntry {
    SimulatedEntry(EntryRecord entryRecord, Random& random)
        : record(std::move(entryRecord))
        , entries(record)
        , exchange(requests, entries, record, random)
    {
    }

    EntryRecord record;
    EntryTable entries;
    CrashSuspectTable requests;
    CrashExchange exchange;
    std::size_t bytesSent { 0 };
};

/// Entries of several regions and the datagrams between them.
struct SimulatedEntries {
    SimulatedEntries(std::size_t count, std::size_t regions)
    {
        for (std::size_t i = 0; i < count; ++i) {
            std::string region = "region-" + std::to_string(i % regions);
            SocketAddress address { "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1), 7 };
            entries.push_back(std::make_unique<SimulatedEntry>(EntryRecord { region, region + "-a", address, address }, random));
            byAddress[address] = entries.back().get();
        }
        for (const auto& entry : entries) {
            for (std::size_t i = 0; i < count; ++i)
                entry->entries.put("entry-" + std::to_string(i), entries[i]->record);
        }
    }

    /// Adds an entry that knows nothing of earlier crashes.
    SimulatedEntry& addEntry(const std::string& region)
    {
        SocketAddress address { "10.9.9.9", 7 };
        entries.push_back(std::make_unique<SimulatedEntry>(EntryRecord { region, region + "-a", address, address }, random));
        byAddress[address] = entries.back().get();
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i]->entries.put("started-later", entries.back()->record);
            entries.back()->entries.put("entry-" + std::to_string(i), entries[i]->record);
        }
        return *entries.back();
    }
    /// Delivers the datagrams of the last round and runs one tick of each entry.
    void runRound()
    {
        now += 100ms;
        for (const auto& [from, datagram] : std::exchange(inFlight, {})) {
            absl::StatusOr<CrashReport> report = decodeCrashReport(datagram.bytes);
            REQUIRE(report.ok());
            byAddress.at(datagram.to)->exchange.handleReport(from, *report, now);
        }
        for (const auto& entry : entries) {
            for (OutgoingDatagram& datagram : entry->exchange.tick(now)) {
                entry->bytesSent += datagram.bytes.size();
                inFlight.emplace_back(entry->record.peerAddress, std::move(datagram));
            }
        }
    }
    void runRounds(int count)
    {
        for (int i = 0; i < count; ++i)
            runRound();
    }

    void recordCrash(std::size_t entry, unsigned char request, std::uint32_t endpoint)
    {
        RequestFingerprint fingerprint;
        fingerprint.bytes[0] = request;
        entries[entry]->requests.recordBrokenConnection({ fingerprint }, endpoint, {}, now);
    }
    std::size_t refusingEntries() const
    {
        RequestFingerprint fingerprint;
        fingerprint.bytes[0] = 1;
        return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [&](const auto& entry) { return entry->requests.refusalOf(RequestSuspects { fingerprint }, now).has_value(); }));
    }
    /// Returns the max number of bytes that one entry has sent since the last call.
    std::size_t maxBytesSent()
    {
        std::size_t maxBytes = 0;
        for (const auto& entry : entries)
            maxBytes = std::max(maxBytes, std::exchange(entry->bytesSent, 0));
        return maxBytes;
    }

    TimePoint now { 100s };
    Random random { 5 };
    std::vector<std::unique_ptr<SimulatedEntry>> entries;
    std::map<SocketAddress, SimulatedEntry*> byAddress;
    std::vector<std::pair<SocketAddress, OutgoingDatagram>> inFlight;
};

} // namespace

// Guards against traffic of one entry that grows with the number of entries.
TEST_CASE("crashes recorded by three entries reach all entries in time, and the bytes that an entry sends don't grow with their number")
{
    for (std::size_t count : { 7, 30, 295, 550 }) {
        SimulatedEntries world(count, 3);
        for (std::uint32_t i = 0; i < crashesBeforeRefusal; ++i) {
            world.recordCrash(i * count / crashesBeforeRefusal, 1, 100 + i);
            world.runRounds(4);
        }
        // The last crash is settled after half a second; its notice reaches all entries
        // within another second.
        world.runRounds(12);
        INFO(count << " entries");
        CHECK(world.refusingEntries() == count);
        CHECK(world.maxBytesSent() <= maxBytesPerSecond * 2);
        world.runRounds(100);
        CHECK(world.maxBytesSent() <= maxBytesPerSecond);
    }
}

// Guards against notices to all entries for each request that ran at an endpoint which
// crashed once.
TEST_CASE("a single crash of an endpoint with many requests is sent to few entries only, and no request is refused for it")
{
    SimulatedEntries world(295, 3);
    for (unsigned char i = 0; i < 64; ++i)
        world.recordCrash(static_cast<std::size_t>(i) * 4, i, 100);
    world.runRounds(10);
    CHECK(world.maxBytesSent() <= maxBytesPerSecond);
    CHECK(world.refusingEntries() == 0);
    world.runRounds(50);
    CHECK(world.maxBytesSent() == 0);
}

// Guards against traffic that grows with the number of segments that crash endpoints.
TEST_CASE("an entry sends little however many segments are refused, and one that starts later knows them within seconds")
{
    SimulatedEntries world(550, 22);
    constexpr int refused = 40;
    for (int segment = 0; segment < refused; ++segment) {
        for (std::uint32_t i = 0; i < crashesBeforeRefusal; ++i) {
            SuspectId suspect = suspectId(SuspectKind::PromptSegment, std::to_string(segment));
            world.entries[static_cast<std::size_t>(segment)]->requests.recordBrokenConnection({ suspect }, static_cast<std::uint32_t>(segment) * 100 + i, {}, world.now - 4s + i * 1s);
            world.entries[static_cast<std::size_t>(segment)]->requests.settleAndExpire(world.now);
        }
    }
    world.runRounds(100);
    world.maxBytesSent();
    world.runRounds(10);
    CHECK(world.maxBytesSent() <= maxBytesPerSecond);
    SimulatedEntry& started = world.addEntry("north");
    world.runRounds(150);
    CHECK(started.requests.refusedCount(SuspectKind::PromptSegment, world.now) == refused);
}
