#include "catkinwing/Ingress/RelayedStore.h"

#include "Coordination/FakeStore.h"
#include "Gateway/FakeResponder.h"
#include "catkinwing/Coordination/ConfigSource.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct PeerNetwork;

/// An entry with its own store client, which other entries reach through a PeerNetwork.
struct RelayEntry {
    RelayEntry(FakeStore& shared, ManualScheduler& scheduler, HttpClient& peers, RelayCallbacks callbacks)
        : directStore(shared.clientOn(scheduler))
        , store(*directStore, peers, scheduler, std::move(callbacks))
    {
    }

    void start()
    {
        store.list("", [this](const absl::StatusOr<StoreListing>& listing) {
            if (listing.ok())
                follow(listing->revision.next());
        });
    }

    void follow(StoreRevision first)
    {
        watch = store.watch("", first, { [this](const std::vector<StoreEvent>& events) {
                                            for (const StoreEvent& event : events)
                                                seen.push_back(event.current.key);
                                        },
                                           [this](const absl::Status&) { ++watchEndCount; } });
    }

    std::unique_ptr<Store> directStore;
    RelayedStore store;
    std::unique_ptr<StoreWatch> watch;
    std::vector<std::string> seen;
    int watchEndCount { 0 };
};

/// Delivers requests between entries; the port of an address is the index of the entry.
struct PeerNetwork final : HttpClient {
    struct Exchange final : HttpExchange {
        void cancel() override { isCancelled = true; }
        void pause() override { }
        void resume() override { }
        bool mayHaveReachedServer() const override { return true; }
        bool isCancelled { false };
    };

    explicit PeerNetwork(ManualScheduler& loop)
        : scheduler(loop)
    {
    }

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        ++requests;
        auto exchange = std::make_shared<Exchange>();
        auto responder = std::make_shared<FakeResponder>();
        RelayEntry* entry = request.server.port < entries.size() ? entries[request.server.port] : nullptr;
        if (!entry || isUnreachable) {
            scheduler.callAfter(isUnresponsive ? Duration(request.headTimeout) : Duration(1ms), [exchange, callbacks] {
                if (!exchange->isCancelled)
                    callbacks.onEnd({ HttpEnd::NoResponse, true, "unreachable" });
            });
            return exchange;
        }
        HttpRequest peerRequest;
        peerRequest.headers = request.headers;
        entry->store.answerPeer(peerRequest, responder);
        poll(exchange, responder, callbacks);
        return exchange;
    }
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

    void poll(const std::shared_ptr<Exchange>& exchange, const std::shared_ptr<FakeResponder>& responder, const HttpClientCallbacks& callbacks)
    {
        scheduler.callAfter(1ms, [this, exchange, responder, callbacks] {
            if (exchange->isCancelled)
                return;
            if (!responder->isFinished) {
                poll(exchange, responder, callbacks);
                return;
            }
            callbacks.onHead(*responder->head);
            callbacks.onBody(responder->body);
            callbacks.onEnd({ HttpEnd::Complete, true, "" });
        });
    }

    ManualScheduler& scheduler;
    std::vector<RelayEntry*> entries;
    int requests { 0 };
    bool isUnreachable { false };
    bool isUnresponsive { false };
};

/// Two entries, of which the second uses the first as its relay.
struct RelayFixture {
    RelayFixture()
    {
        network.entries = { &relay, &follower };
        relay.start();
        scheduler.advance(50ms);
        follower.start();
        scheduler.advance(50ms);
    }

    RelayCallbacks relayCallbacks(std::uint16_t port)
    {
        RelayCallbacks callbacks;
        callbacks.findRelay = [this, port]() -> std::optional<SocketAddress> {
            if (!hasRelay)
                return std::nullopt;
            return SocketAddress { "127.0.0.1", port };
        };
        callbacks.recordRelayFailure = [this](const SocketAddress&) { ++failures; };
        callbacks.recordHistoryGap = [this] { ++historyGapCount; };
        return callbacks;
    }

    static RelayCallbacks withoutRelay()
    {
        RelayCallbacks callbacks;
        callbacks.findRelay = [] { return std::nullopt; };
        callbacks.recordRelayFailure = [](const SocketAddress&) {};
        return callbacks;
    }

    ManualScheduler scheduler;
    FakeStore shared { scheduler };
    PeerNetwork network { scheduler };
    bool hasRelay { true };
    int failures { 0 };
    int historyGapCount { 0 };
    RelayEntry relay { shared, scheduler, network, withoutRelay() };
    RelayEntry follower { shared, scheduler, network, relayCallbacks(0) };
};

} // namespace

TEST_CASE("changes reach an entry through its relay in order and once")
{
    RelayFixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.shared.put("key-" + std::to_string(i), "value");
        fixture.scheduler.advance(i % 3 == 0 ? 700ms : 5ms);
    }
    fixture.scheduler.advance(2s);
    CHECK(fixture.relay.store.watchesDirectly());
    CHECK_FALSE(fixture.follower.store.watchesDirectly());
    CHECK(fixture.follower.seen.size() == 20);
    CHECK(fixture.follower.seen == fixture.relay.seen);
    CHECK(fixture.failures == 0);
}

TEST_CASE("an entry whose relay is unreachable or unresponsive watches the store directly in time, and uses the relay again later")
{
    for (bool isUnresponsive : { false, true }) {
        RelayFixture fixture;
        fixture.network.isUnresponsive = isUnresponsive;
        fixture.network.isUnreachable = true;
        fixture.scheduler.advance(3'500ms);
        CHECK(fixture.follower.store.watchesDirectly());
        fixture.shared.put("while-cut", "value");
        fixture.scheduler.advance(100ms);
        CHECK(fixture.follower.seen == std::vector<std::string> { "while-cut" });
        fixture.network.isUnreachable = false;
        fixture.scheduler.advance(5s);
        CHECK_FALSE(fixture.follower.store.watchesDirectly());
        fixture.shared.put("after", "value");
        fixture.scheduler.advance(100ms);
        CHECK(fixture.follower.seen.back() == "after");
        CHECK(fixture.follower.watchEndCount == 0);
    }
}

TEST_CASE("an entry that starts while the store is unreachable fetches all keys from another entry")
{
    RelayFixture fixture;
    fixture.shared.put("key", "value");
    fixture.scheduler.advance(1s);
    fixture.shared.setDown(true);
    fixture.scheduler.advance(3s);
    RelayCallbacks callbacks = RelayFixture::withoutRelay();
    callbacks.findBootstrapPeer = [] { return SocketAddress { "127.0.0.1", 1 }; };
    RelayEntry lateEntry(fixture.shared, fixture.scheduler, fixture.network, callbacks);
    std::optional<absl::StatusOr<StoreListing>> listing;
    lateEntry.store.list("", [&](const absl::StatusOr<StoreListing>& listed) { listing = listed; });
    fixture.scheduler.advance(3s);
    REQUIRE(listing.has_value());
    REQUIRE(listing->ok());
    CHECK((*listing)->values.size() == 1);
    CHECK((*listing)->values[0].value == "value");
    // The entry has data now, so the next listing asks only the store.
    int requests = fixture.network.requests;
    lateEntry.store.list("", [&](const absl::StatusOr<StoreListing>& listed) { listing = listed; });
    fixture.scheduler.advance(3s);
    CHECK_FALSE(listing->ok());
    CHECK(fixture.network.requests == requests);
}

// The data of another entry may be as old as the store's last answer to that entry.
TEST_CASE("data fetched from another entry does not count as reaching the store")
{
    RelayFixture fixture;
    fixture.shared.put("key", "value");
    fixture.scheduler.advance(1s);
    fixture.shared.setSilent(true);
    fixture.scheduler.advance(3s);
    RelayCallbacks callbacks = RelayFixture::withoutRelay();
    callbacks.findBootstrapPeer = [] { return SocketAddress { "127.0.0.1", 1 }; };
    RelayEntry lateEntry(fixture.shared, fixture.scheduler, fixture.network, callbacks);
    Random random(1);
    ConfigSourceOptions options;
    options.prefix = "";
    ConfigSource source(lateEntry.store, fixture.scheduler, random, options, [](const std::vector<ConfigChange>&) {});
    source.start();
    for (int i = 0; i < 50; ++i) {
        fixture.scheduler.advance(100ms);
        CHECK_FALSE(source.reachedAt());
    }
    CHECK(source.revision() == fixture.shared.revision());
    CHECK(lateEntry.store.dataAge() > 5s);
    fixture.shared.setSilent(false);
    fixture.scheduler.advance(10s);
    CHECK(source.reachedAt());
    CHECK(lateEntry.store.dataAge() < 2s);
}

TEST_CASE("the followers of a relay that lost its store watch watch the store directly")
{
    RelayFixture fixture;
    fixture.relay.watch.reset();
    fixture.scheduler.advance(2s);
    CHECK(fixture.follower.store.watchesDirectly());
    CHECK(fixture.failures > 0);
    fixture.shared.put("key", "value");
    fixture.scheduler.advance(100ms);
    CHECK(fixture.follower.seen == std::vector<std::string> { "key" });
}

// ConfigSource closes a broken watch only after it has opened the next one.
TEST_CASE("a relay whose watch broke and was opened again remains a relay")
{
    RelayFixture fixture;
    for (int i = 0; i < 5; ++i) {
        fixture.relay.follow(fixture.shared.revision().next());
        fixture.scheduler.advance(2s);
    }
    CHECK(fixture.relay.store.watchesDirectly());
    CHECK_FALSE(fixture.follower.store.watchesDirectly());
    CHECK(fixture.failures == 0);
    fixture.shared.put("key", "value");
    fixture.scheduler.advance(100ms);
    CHECK(fixture.follower.seen == std::vector<std::string> { "key" });
    fixture.relay.watch.reset();
    fixture.scheduler.advance(2s);
    CHECK_FALSE(fixture.relay.store.watchesDirectly());
    CHECK(fixture.follower.store.watchesDirectly());
}

TEST_CASE("after a compaction the followers of a relay receive the net effect of the lost events from it")
{
    RelayFixture fixture;
    fixture.shared.put("stays", "1");
    fixture.shared.put("goes", "1");
    fixture.scheduler.advance(100ms);
    std::size_t reads = fixture.shared.calls(StoreCallGroup::Read);
    // The relay's watch is closed, so it misses these changes.
    fixture.relay.watch.reset();
    fixture.shared.put("stays", "2");
    fixture.shared.erase("goes");
    fixture.shared.put("new", "1");
    fixture.shared.compact();
    fixture.relay.start();
    fixture.scheduler.advance(3s);
    CHECK(fixture.follower.seen == std::vector<std::string> { "stays", "goes", "stays", "new", "goes" });
    CHECK(fixture.historyGapCount > 0);
    CHECK_FALSE(fixture.follower.store.watchesDirectly());
    CHECK(fixture.follower.watchEndCount == 0);
    // The store received one listing and one watch, both from the relay.
    CHECK(fixture.shared.calls(StoreCallGroup::Read) == reads + 2);
}

// If a key was created and deleted in the relay's gap, no change in the answer has the
// answer's own revision. The follower must still advance to it, or it would repeat
// its request at once, without end.
TEST_CASE("a follower does not repeat its request for a revision without remaining changes")
{
    RelayFixture fixture;
    fixture.shared.put("stays", "1");
    fixture.scheduler.advance(100ms);
    fixture.relay.watch.reset();
    fixture.shared.put("passes", "1");
    fixture.shared.erase("passes");
    fixture.shared.compact();
    fixture.relay.start();
    fixture.scheduler.advance(1s);
    int requests = fixture.network.requests;
    fixture.scheduler.advance(6s);
    CHECK(fixture.network.requests - requests <= 6);
    CHECK_FALSE(fixture.follower.store.watchesDirectly());
}

TEST_CASE("the followers of a relay that stops relaying watch the store directly at once")
{
    RelayFixture fixture;
    fixture.relay.store.stopRelaying();
    fixture.scheduler.advance(400ms);
    CHECK(fixture.follower.store.watchesDirectly());
}

TEST_CASE("a mirror refuses a revision before its oldest change and answers a later one than its own with no changes")
{
    RelayFixture fixture;
    StoreMirror mirror(4);
    StoreListing listing;
    listing.revision = 10;
    listing.values = { { "a", "1", 9 } };
    mirror.applyListing(listing);
    CHECK_FALSE(mirror.changesAfter(9));
    REQUIRE(mirror.changesAfter(10));
    CHECK(mirror.changesAfter(10)->changes.empty());
    CHECK(mirror.changesAfter(25)->revision == 25);
    for (StoreRevision revision = 11; revision <= 16; revision = revision.next())
        mirror.applyEvents({ { false, { "b", "2", revision } } });
    CHECK_FALSE(mirror.changesAfter(11));
    CHECK(mirror.changesAfter(12)->changes.size() == 4);
    mirror.applyEvents({ { true, { "a", "", 17 } } });
    std::optional<StoreChanges> everything = mirror.changesAfter(0);
    REQUIRE(everything);
    CHECK(everything->revision == 17);
    REQUIRE(everything->changes.size() == 1);
    CHECK(everything->changes[0].key == "b");
}

TEST_CASE("a mirror that receives another listing returns the differences and ignores earlier events")
{
    StoreMirror mirror;
    mirror.applyListing({ { { "a", "1", 9 }, { "b", "1", 10 } }, 10 });
    mirror.applyEvents({ { false, { "c", "1", 12 } } });
    mirror.applyListing({ { { "a", "2", 15 }, { "c", "1", 12 } }, 20 });
    std::optional<StoreChanges> changes = mirror.changesAfter(10);
    REQUIRE(changes);
    CHECK(changes->revision == 20);
    CHECK(changes->spansListing);
    REQUIRE(changes->changes.size() == 3);
    CHECK(changes->changes[0].key == "c");
    CHECK(changes->changes[1].key == "a");
    CHECK(changes->changes[1].value == "2");
    CHECK(changes->changes[2].key == "b");
    CHECK(changes->changes[2].isDeletion);
    CHECK(changes->changes[2].revision == 20);
    CHECK_FALSE(mirror.changesAfter(9));
    // The mirror ignores an event from a resumed watch that is older than the listing, and
    // an old listing.
    mirror.applyEvents({ { false, { "b", "1", 18 } } });
    mirror.applyListing({ {}, 15 });
    CHECK(mirror.changesAfter(0)->changes.size() == 2);
    CHECK(mirror.changesAfter(20)->changes.empty());
    CHECK_FALSE(mirror.changesAfter(20)->spansListing);
}

TEST_CASE("a mirror with a gap in its history refuses a revision inside the gap")
{
    StoreMirror mirror;
    mirror.applyListing({ { { "a", "1", 9 } }, 10 });
    // "b" was created at 13 and deleted at 16; the mirror received neither event.
    mirror.applyListing({ { { "a", "2", 18 } }, 20 });
    CHECK(mirror.changesAfter(10));
    CHECK_FALSE(mirror.changesAfter(11));
    CHECK_FALSE(mirror.changesAfter(13));
    CHECK_FALSE(mirror.changesAfter(19));
    CHECK(mirror.changesAfter(20));
    // After a second gap, revisions inside the first one are still refused.
    mirror.applyEvents({ { false, { "c", "1", 22 } } });
    mirror.applyListing({ { { "a", "2", 18 } }, 30 });
    CHECK_FALSE(mirror.changesAfter(13));
    CHECK(mirror.changesAfter(22));
    CHECK_FALSE(mirror.changesAfter(25));
    CHECK(mirror.changesAfter(30));
}
