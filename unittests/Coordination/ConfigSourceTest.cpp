#include "catkinwing/Coordination/ConfigSource.h"

#include "FakeStore.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct Bench {
    ManualScheduler scheduler;
    FakeStore store { scheduler };
    Random random { 7 };
    std::map<std::string, ConfigChange> current;
    std::vector<ConfigChange> changes;
    ConfigSource source { store, scheduler, random, options(), [this](const auto& given) { take(given); } };

    static ConfigSourceOptions options()
    {
        ConfigSourceOptions options;
        options.prefix = "c/";
        return options;
    }

    void take(const std::vector<ConfigChange>& given)
    {
        for (const auto& change : given) {
            REQUIRE(change.revision > current[change.path].revision);
            current[change.path] = change;
            changes.push_back(change);
        }
    }

    bool doesMatchStore(const std::vector<std::string>& paths)
    {
        for (const auto& path : paths) {
            StoredValue stored = store.peek("c/" + path);
            const auto& text = current[path].text;
            bool matches = stored.revision == 0 ? !text : (text && *text == stored.value && current[path].revision == stored.revision);
            if (!matches)
                return false;
        }
        return true;
    }
};

} // namespace

TEST_CASE("a source emits the listing and then each change in order")
{
    Bench bench;
    bench.store.put("c/b", "1");
    bench.store.put("c/a", "2");
    bench.source.start();
    bench.scheduler.advance(1s);
    bench.store.put("c/b", "3");
    bench.store.erase("c/a");
    bench.store.put("other", "4");
    bench.scheduler.advance(1s);
    REQUIRE(bench.changes.size() == 4);
    CHECK(bench.changes[0].path == "b");
    CHECK(bench.changes[1].path == "a");
    CHECK(bench.changes[2].text == "3");
    CHECK_FALSE(bench.changes[3].text);
    CHECK(bench.source.isFollowing());
}

TEST_CASE("a deletion during an outage is found after a compaction")
{
    bool isCompacted = GENERATE(true, false);
    Bench bench;
    bench.store.put("c/a", "1");
    bench.source.start();
    bench.scheduler.advance(1s);
    bench.store.setDown(true);
    bench.scheduler.advance(20s);
    CHECK_FALSE(bench.source.isFollowing());
    bench.store.erase("c/a");
    StoreRevision deletedAt = bench.store.revision();
    bench.store.put("c/b", "2");
    if (isCompacted)
        bench.store.compact();
    bench.store.setDown(false);
    bench.scheduler.advance(30s);
    CHECK(bench.source.isFollowing());
    CHECK(bench.doesMatchStore({ "a", "b" }));
    CHECK(bench.current["a"].revision == (isCompacted ? bench.store.revision() : deletedAt));
}

TEST_CASE("a document known from a peer that the store has lost becomes a tombstone")
{
    Bench bench;
    StoreRevision madeAt = bench.store.put("c/a", "1");
    bench.store.erase("c/a");
    bench.store.put("c/b", "2");
    bench.source.noteKnown("a", madeAt, false);
    bench.source.start();
    bench.scheduler.advance(1s);
    REQUIRE(bench.current.count("a") == 1);
    CHECK_FALSE(bench.current["a"].text);
    CHECK(bench.current["a"].revision == bench.store.revision());
}

TEST_CASE("a document known at a later revision than the listing stays")
{
    Bench bench;
    bench.store.put("c/a", "1");
    bench.source.noteKnown("a", 100, false);
    bench.source.noteKnown("b", 101, false);
    bench.source.start();
    bench.scheduler.advance(1s);
    CHECK(bench.changes.empty());
}

TEST_CASE("a silent cut is caught up with after the heal")
{
    Bench bench;
    bench.source.start();
    bench.scheduler.advance(1s);
    bench.store.setSilent(true);
    bench.store.put("c/a", "1");
    bench.scheduler.advance(3600s);
    CHECK(bench.changes.empty());
    bench.store.setSilent(false);
    bench.scheduler.advance(20s);
    CHECK(bench.doesMatchStore({ "a" }));
}

TEST_CASE("a list that the watch overtook is dropped and no failure")
{
    Bench bench;
    bench.source.start();
    bench.scheduler.advance(1s);
    bench.store.setLatency(1s);
    std::size_t before = bench.store.calls(StoreCallGroup::Read);
    while (bench.source.counters().lists < 2)
        bench.scheduler.advance(10ms);
    REQUIRE(bench.store.calls(StoreCallGroup::Read) > before);
    bench.scheduler.advance(510ms);
    bench.store.setLatency(2ms);
    bench.store.put("c/a", "1");
    bench.scheduler.advance(1s);
    CHECK(bench.source.counters().staleDropped == 1);
    CHECK(bench.source.counters().failures == 0);
    CHECK(bench.doesMatchStore({ "a" }));
}

TEST_CASE("a source that stopped emits nothing and may start again")
{
    Bench bench;
    bench.source.start();
    bench.scheduler.advance(1s);
    bench.source.stop();
    bench.store.put("c/a", "1");
    bench.scheduler.advance(60s);
    CHECK(bench.changes.empty());
    bench.source.start();
    bench.scheduler.advance(1s);
    CHECK(bench.changes.size() == 1);
}

TEST_CASE("a source ends equal to the store after random faults")
{
    const std::vector<std::string> paths { "a", "b", "teams/c" };
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        INFO("seed " << seed);
        Bench bench;
        Random random(seed);
        bench.source.start();
        for (int i = 0; i < 60; ++i) {
            std::string key = "c/" + paths[random.below(paths.size())];
            random.below(3) == 0 ? bench.store.erase(key) : static_cast<void>(bench.store.put(key, std::to_string(i)));
            bench.store.setDown(random.below(4) == 0);
            bench.store.setSilent(random.below(4) == 0);
            bench.store.failNext(StoreCallGroup::Read, static_cast<StoreFault>(random.below(4)));
            if (random.below(5) == 0)
                bench.store.compact();
            bench.scheduler.advance(std::chrono::milliseconds(random.below(8'000)));
        }
        bench.store.setDown(false);
        bench.store.setSilent(false);
        // Each fault that is still laid takes a call's timeout and a pause.
        while (bench.store.faultsLeft(StoreCallGroup::Read) > 0 && !bench.doesMatchStore(paths))
            bench.scheduler.advance(1s);
        bench.scheduler.advance(30s);
        REQUIRE(bench.doesMatchStore(paths));
    }
}

TEST_CASE("a store that has forgotten the history is listed at once, however long it was away before")
{
    Bench bench;
    bench.store.put("c/a", "1");
    bench.source.start();
    bench.scheduler.advance(1s);
    bench.store.setDown(true);
    bench.scheduler.advance(60s);
    CHECK_FALSE(bench.source.reachedAt());
    bench.store.erase("c/a");
    bench.store.compact();
    bench.store.setDown(false);
    while (!bench.source.reachedAt())
        bench.scheduler.advance(10ms);
    CHECK_FALSE(bench.source.isFollowing());
    ConfigSourceOptions usual;
    bench.scheduler.advance(usual.retryDelay + 100ms);
    CHECK(bench.source.isFollowing());
    CHECK(bench.doesMatchStore({ "a" }));
}

TEST_CASE("an attempt that took until its timeout leaves no second pause before the next")
{
    Bench bench;
    bench.store.setCallTimeout(8s);
    bench.store.setSilent(true);
    bench.source.start();
    // Retry pauses have grown to more than the call's timeout.
    bench.scheduler.advance(120s);
    std::size_t lists = bench.source.counters().lists;
    bench.scheduler.advance(60s);
    // Each attempt takes its timeout, and at most what the pause is longer.
    CHECK(bench.source.counters().lists - lists >= 5);
    CHECK(bench.source.counters().lists - lists <= 8);
}

namespace {

/// Reports a new era when the test says so, as a store does whose answer to another call shows it.
class ReportingStore final : public Store {
public:
    explicit ReportingStore(Store& store)
        : m_store(store)
    {
    }
    void get(const std::string& key, GetCallback done) override { m_store.get(key, std::move(done)); }
    void list(const std::string& prefix, ListCallback done) override { m_store.list(prefix, std::move(done)); }
    void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) override
    {
        m_store.compareAndSwap(key, expected, value, lease, std::move(done));
    }
    void compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done) override { m_store.compareAndDelete(key, expected, std::move(done)); }
    std::unique_ptr<StoreWatch> watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks) override
    {
        return m_store.watch(prefix, firstRevision, std::move(callbacks));
    }
    void grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done) override { m_store.grantLease(timeToLive, std::move(done)); }
    void keepAlive(StoreLease lease, KeepAliveCallback done) override { m_store.keepAlive(lease, std::move(done)); }
    void revokeLease(StoreLease lease, DoneCallback done) override { m_store.revokeLease(lease, std::move(done)); }
    void setEraCallback(const std::function<void()>& given) override { onNewEra = given; }

    std::function<void()> onNewEra;

private:
    Store& m_store;
};

} // namespace

// Guards against an entry that has lost the store and hears of its return by another call, but takes up to 10 s more until its source asks.
TEST_CASE("a source that has lost the store lists it as soon as another call shows a new era")
{
    Bench bench;
    ReportingStore reporting(bench.store);
    std::vector<std::string> texts;
    ConfigSource source(reporting, bench.scheduler, bench.random, Bench::options(), [&](const std::vector<ConfigChange>& changes) {
        for (const ConfigChange& change : changes)
            texts.push_back(change.text.value_or(""));
    });
    std::shared_ptr<const FakeStore::Copy> copy = bench.store.takeCopy();
    source.start();
    bench.scheduler.advance(1s);
    bench.store.setDown(true);
    bench.scheduler.advance(30s);
    REQUIRE_FALSE(source.isFollowing());
    bench.store.restore(*copy);
    bench.store.setDown(false);
    bench.store.put("c/a", "1");
    reporting.onNewEra();
    bench.scheduler.advance(10ms);
    CHECK(texts == std::vector<std::string> { "1" });
    CHECK(source.isFollowing());
}
