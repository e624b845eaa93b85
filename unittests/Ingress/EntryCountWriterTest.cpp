// Tests that the store holds the number of entries of the last minutes.
#include "catkinwing/Ingress/EntryCountWriter.h"

#include "Coordination/FakeStore.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

EntryRecord entryRecord(std::uint16_t number)
{
    SocketAddress address { "10.0.0.1", number };
    return { "north", "north-a", address, address };
}

/// Entries that know each other and follow the store's key.
struct CountFixture {
    explicit CountFixture(std::uint16_t count)
    {
        for (std::uint16_t number = 1; number <= count; ++number) {
            tables.push_back(std::make_unique<EntryTable>(entryRecord(number)));
            writers.push_back(std::make_unique<EntryCountWriter>(store, scheduler, *tables.back()));
        }
        for (std::uint16_t number = 1; number <= count; ++number)
            put(number);
    }

    void put(std::uint16_t number)
    {
        for (auto& table : tables)
            table->put("entry-" + std::to_string(number), entryRecord(number));
    }

    void advance(Duration span)
    {
        for (Duration passed { 0 }; passed < span; passed += 200ms) {
            scheduler.advance(200ms);
            StoredValue stored = store.peek(entryCountKey);
            for (std::size_t i = 0; i < tables.size(); ++i) {
                tables[i]->recordStoredCount({ readEntryCount(stored.value).value_or(0), stored.revision }, scheduler.clock().now());
                writers[i]->tick();
            }
        }
    }

    std::string stored() { return store.peek(entryCountKey).value; }

    ManualScheduler scheduler;
    FakeStore store { scheduler };
    std::vector<std::unique_ptr<EntryTable>> tables;
    std::vector<std::unique_ptr<EntryCountWriter>> writers;
};

} // namespace

TEST_CASE("one entry writes the number of entries once")
{
    CountFixture fixture(30);
    fixture.advance(30s);
    CHECK(fixture.stored() == "30");
    CHECK(fixture.store.calls(StoreCallGroup::Write) == 1);
    fixture.put(31);
    fixture.advance(10s);
    CHECK(fixture.stored() == "31");
    CHECK(fixture.store.calls(StoreCallGroup::Write) == 2);
}

TEST_CASE("the number of entries falls some ten minutes after entries were removed")
{
    CountFixture fixture(3);
    fixture.advance(5s);
    for (auto& table : fixture.tables)
        table->remove("entry-3", fixture.scheduler.clock().now());
    fixture.advance(9min);
    CHECK(fixture.stored() == "3");
    fixture.advance(13min);
    CHECK(fixture.stored() == "2");
}

// Guards against entries that write an earlier number again by turns.
TEST_CASE("the number of entries falls although the entries started at different times")
{
    CountFixture fixture(3);
    fixture.scheduler.advance(1h);
    fixture.advance(5s);
    for (auto& table : fixture.tables)
        table->remove("entry-3", fixture.scheduler.clock().now());
    fixture.advance(6min);
    // The first entry restarts.
    fixture.tables[0] = std::make_unique<EntryTable>(entryRecord(1));
    fixture.writers[0] = std::make_unique<EntryCountWriter>(fixture.store, fixture.scheduler, *fixture.tables[0]);
    for (std::uint16_t number : { 1, 2 })
        fixture.tables[0]->put("entry-" + std::to_string(number), entryRecord(number));
    fixture.advance(30min);
    CHECK(fixture.stored() == "2");
    CHECK(fixture.store.calls(StoreCallGroup::Write) == 2);
}

TEST_CASE("an entry that starts counts the entries whose registrations have lapsed")
{
    EntryTable table(entryRecord(1));
    TimePoint now { 1h };
    table.recordStoredCount({ 6, 4 }, now);
    table.put("entry-1", entryRecord(1));
    CHECK(table.recentMaxAddresses(now) == 6);
    CHECK(table.recentMaxAddresses(now + 9min) == 6);
    CHECK(table.recentMaxAddresses(now + 25min) == 1);
}

TEST_CASE("the number of entries is written after an outage of the store")
{
    CountFixture fixture(3);
    fixture.store.setDown(true);
    fixture.advance(20s);
    fixture.store.setDown(false);
    fixture.advance(8s);
    CHECK(fixture.stored() == "3");
}

TEST_CASE("values that state no number of entries aren't read")
{
    for (const char* text : { "", "0", "-3", "x", "6x", "1e3", "999999999" })
        CHECK_FALSE(readEntryCount(text));
    CHECK(readEntryCount("85") == 85u);
}

// Guards against a number that stays as it is for good, since the revision that is known of it belongs to the era before.
TEST_CASE("the number of entries can be written after the store has come back from a copy that has it")
{
    CountFixture fixture(2);
    fixture.advance(5s);
    REQUIRE(fixture.stored() == "2");
    StoreRevision before = fixture.store.peek(entryCountKey).revision;
    fixture.store.restore(*fixture.store.takeCopy());
    EntryTable table(entryRecord(1));
    EntryCountWriter writer(fixture.store, fixture.scheduler, table);
    for (std::uint16_t number = 1; number <= 3; ++number)
        table.put("entry-" + std::to_string(number), entryRecord(number));
    table.recordStoredCount({ 2, before }, fixture.scheduler.clock().now());
    for (int i = 0; i < 60; ++i) {
        fixture.scheduler.advance(200ms);
        writer.tick();
    }
    CHECK(fixture.stored() == "3");
}
