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
    RelayEntry(FakeStore& shared, ManualScheduler& scheduler, HttpClient& peers, RelayChoice choice)
        : direct(shared.clientOn(scheduler))
        , store(*direct, peers, scheduler, std::move(choice))
    {
    }

    void start()
    {
        store.list("", [this](const absl::StatusOr<StoreListing>& listing) {
            if (listing.ok())
                follow(listing->revision + 1);
        });
    }

    void follow(StoreRevision first)
    {
        watch = store.watch("", first, { [this](const std::vector<StoreEvent>& events) {
                                            for (const StoreEvent& event : events)
                                                seen.push_back(event.current.key);
                                        },
                                           [this](const absl::Status&) { ++ends; } });
    }

    std::unique_ptr<Store> direct;
    RelayedStore store;
    std::unique_ptr<StoreWatch> watch;
    std::vector<std::string> seen;
    int ends { 0 };
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
        ++questions;
        auto exchange = std::make_shared<Exchange>();
        auto responder = std::make_shared<FakeResponder>();
        RelayEntry* entry = request.server.port < entries.size() ? entries[request.server.port] : nullptr;
        if (!entry || isCut) {
            scheduler.callAfter(isSilent ? Duration(request.headTimeout) : Duration(1ms), [exchange, callbacks] {
                if (!exchange->isCancelled)
                    callbacks.onEnd({ HttpEnd::NoResponse, true, "cut" });
            });
            return exchange;
        }
        HttpRequest asked;
        asked.headers = request.headers;
        entry->store.answerPeer(asked, responder);
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
    int questions { 0 };
    bool isCut { false };
    bool isSilent { false };
};

/// Two entries, of which the second uses the first as its relay.
struct RelayWorld {
    RelayWorld()
    {
        network.entries = { &relay, &follower };
        relay.start();
        scheduler.advance(50ms);
        follower.start();
        scheduler.advance(50ms);
    }

    RelayChoice asking(std::uint16_t port)
    {
        RelayChoice choice;
        choice.relay = [this, port]() -> std::optional<SocketAddress> {
            if (!hasRelay)
                return std::nullopt;
            return SocketAddress { "127.0.0.1", port };
        };
        choice.noteFailure = [this](const SocketAddress&) { ++failures; };
        choice.noteTrouble = [this] { ++troubles; };
        return choice;
    }

    static RelayChoice askingNobody()
    {
        RelayChoice choice;
        choice.relay = [] { return std::nullopt; };
        choice.noteFailure = [](const SocketAddress&) {};
        return choice;
    }

    ManualScheduler scheduler;
    FakeStore shared { scheduler };
    PeerNetwork network { scheduler };
    bool hasRelay { true };
    int failures { 0 };
    int troubles { 0 };
    RelayEntry relay { shared, scheduler, network, askingNobody() };
    RelayEntry follower { shared, scheduler, network, asking(0) };
};

} // namespace

TEST_CASE("changes reach an entry through its relay in order and once")
{
    RelayWorld world;
    for (int i = 0; i < 20; ++i) {
        world.shared.put("key-" + std::to_string(i), "value");
        world.scheduler.advance(i % 3 == 0 ? 700ms : 5ms);
    }
    world.scheduler.advance(2s);
    CHECK(world.relay.store.isDirect());
    CHECK_FALSE(world.follower.store.isDirect());
    CHECK(world.follower.seen.size() == 20);
    CHECK(world.follower.seen == world.relay.seen);
    CHECK(world.failures == 0);
}

TEST_CASE("an entry whose relay is unreachable or unresponsive watches the store directly in time, and uses the relay again later")
{
    for (bool isSilent : { false, true }) {
        RelayWorld world;
        world.network.isSilent = isSilent;
        world.network.isCut = true;
        world.scheduler.advance(3'500ms);
        CHECK(world.follower.store.isDirect());
        world.shared.put("while-cut", "value");
        world.scheduler.advance(100ms);
        CHECK(world.follower.seen == std::vector<std::string> { "while-cut" });
        world.network.isCut = false;
        world.scheduler.advance(5s);
        CHECK_FALSE(world.follower.store.isDirect());
        world.shared.put("after", "value");
        world.scheduler.advance(100ms);
        CHECK(world.follower.seen.back() == "after");
        CHECK(world.follower.ends == 0);
    }
}

TEST_CASE("an entry that starts while the store is unreachable fetches all keys from another entry")
{
    RelayWorld world;
    world.shared.put("key", "value");
    world.scheduler.advance(1s);
    world.shared.setDown(true);
    world.scheduler.advance(3s);
    RelayChoice choice = RelayWorld::askingNobody();
    choice.bootstrap = [] { return SocketAddress { "127.0.0.1", 1 }; };
    RelayEntry late(world.shared, world.scheduler, world.network, choice);
    std::optional<absl::StatusOr<StoreListing>> listing;
    late.store.list("", [&](const absl::StatusOr<StoreListing>& listed) { listing = listed; });
    world.scheduler.advance(3s);
    REQUIRE(listing.has_value());
    REQUIRE(listing->ok());
    CHECK((*listing)->values.size() == 1);
    CHECK((*listing)->values[0].value == "value");
    // The entry has data now, so the next listing asks only the store.
    int questions = world.network.questions;
    late.store.list("", [&](const absl::StatusOr<StoreListing>& listed) { listing = listed; });
    world.scheduler.advance(3s);
    CHECK_FALSE(listing->ok());
    CHECK(world.network.questions == questions);
}

// The data of another entry may be as old as the store's last answer to that entry.
TEST_CASE("data fetched from another entry does not count as reaching the store")
{
    RelayWorld world;
    world.shared.put("key", "value");
    world.scheduler.advance(1s);
    world.shared.setSilent(true);
    world.scheduler.advance(3s);
    RelayChoice choice = RelayWorld::askingNobody();
    choice.bootstrap = [] { return SocketAddress { "127.0.0.1", 1 }; };
    RelayEntry late(world.shared, world.scheduler, world.network, choice);
    Random random(1);
    ConfigSourceOptions options;
    options.prefix = "";
    ConfigSource source(late.store, world.scheduler, random, options, [](const std::vector<ConfigChange>&) {});
    source.start();
    for (int i = 0; i < 50; ++i) {
        world.scheduler.advance(100ms);
        CHECK_FALSE(source.reachedAt());
    }
    CHECK(source.revision() == world.shared.revision());
    CHECK(late.store.age() > 5s);
    world.shared.setSilent(false);
    world.scheduler.advance(10s);
    CHECK(source.reachedAt());
    CHECK(late.store.age() < 2s);
}

TEST_CASE("the followers of a relay that lost its store watch watch the store directly")
{
    RelayWorld world;
    world.relay.watch.reset();
    world.scheduler.advance(2s);
    CHECK(world.follower.store.isDirect());
    CHECK(world.failures > 0);
    world.shared.put("key", "value");
    world.scheduler.advance(100ms);
    CHECK(world.follower.seen == std::vector<std::string> { "key" });
}

// ConfigSource closes a broken watch only after it has opened the next one.
TEST_CASE("a relay whose watch broke and was opened again remains a relay")
{
    RelayWorld world;
    for (int i = 0; i < 5; ++i) {
        world.relay.follow(world.shared.revision() + 1);
        world.scheduler.advance(2s);
    }
    CHECK(world.relay.store.isDirect());
    CHECK_FALSE(world.follower.store.isDirect());
    CHECK(world.failures == 0);
    world.shared.put("key", "value");
    world.scheduler.advance(100ms);
    CHECK(world.follower.seen == std::vector<std::string> { "key" });
    world.relay.watch.reset();
    world.scheduler.advance(2s);
    CHECK_FALSE(world.relay.store.isDirect());
    CHECK(world.follower.store.isDirect());
}

TEST_CASE("after a compaction the followers of a relay receive the net effect of the lost events from it")
{
    RelayWorld world;
    world.shared.put("stays", "1");
    world.shared.put("goes", "1");
    world.scheduler.advance(100ms);
    std::size_t reads = world.shared.calls(StoreCallGroup::Read);
    // The relay's watch is closed, so it misses these changes.
    world.relay.watch.reset();
    world.shared.put("stays", "2");
    world.shared.erase("goes");
    world.shared.put("new", "1");
    world.shared.compact();
    world.relay.start();
    world.scheduler.advance(3s);
    CHECK(world.follower.seen == std::vector<std::string> { "stays", "goes", "stays", "new", "goes" });
    CHECK(world.troubles > 0);
    CHECK_FALSE(world.follower.store.isDirect());
    CHECK(world.follower.ends == 0);
    // One listing and one watch, both by the relay.
    CHECK(world.shared.calls(StoreCallGroup::Read) == reads + 2);
}

// If a key was created and deleted in the relay's gap, no change in the answer has the
// answer's own revision. The follower must still advance to it, or it would repeat
// its request at once, without end.
TEST_CASE("a follower does not repeat its request for a revision without remaining changes")
{
    RelayWorld world;
    world.shared.put("stays", "1");
    world.scheduler.advance(100ms);
    world.relay.watch.reset();
    world.shared.put("passes", "1");
    world.shared.erase("passes");
    world.shared.compact();
    world.relay.start();
    world.scheduler.advance(1s);
    int questions = world.network.questions;
    world.scheduler.advance(6s);
    CHECK(world.network.questions - questions <= 6);
    CHECK_FALSE(world.follower.store.isDirect());
}

TEST_CASE("the followers of a relay that stops relaying watch the store directly at once")
{
    RelayWorld world;
    world.relay.store.stopRelaying();
    world.scheduler.advance(400ms);
    CHECK(world.follower.store.isDirect());
}

TEST_CASE("a mirror refuses a revision before its oldest change and answers a later one than its own with no changes")
{
    RelayWorld world;
    StoreMirror mirror(4);
    StoreListing listing;
    listing.revision = 10;
    listing.values = { { "a", "1", 9 } };
    mirror.takeListing(listing);
    CHECK_FALSE(mirror.changesAfter(9));
    REQUIRE(mirror.changesAfter(10));
    CHECK(mirror.changesAfter(10)->changes.empty());
    CHECK(mirror.changesAfter(25)->revision == 25);
    for (StoreRevision revision = 11; revision <= 16; ++revision)
        mirror.takeEvents({ { false, { "b", "2", revision } } });
    CHECK_FALSE(mirror.changesAfter(11));
    CHECK(mirror.changesAfter(12)->changes.size() == 4);
    mirror.takeEvents({ { true, { "a", "", 17 } } });
    std::optional<StoreChanges> everything = mirror.changesAfter(0);
    REQUIRE(everything);
    CHECK(everything->revision == 17);
    REQUIRE(everything->changes.size() == 1);
    CHECK(everything->changes[0].key == "b");
}

TEST_CASE("a mirror that receives another listing returns the differences and ignores earlier events")
{
    StoreMirror mirror;
    mirror.takeListing({ { { "a", "1", 9 }, { "b", "1", 10 } }, 10 });
    mirror.takeEvents({ { false, { "c", "1", 12 } } });
    mirror.takeListing({ { { "a", "2", 15 }, { "c", "1", 12 } }, 20 });
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
    // Event from a resumed watch that is older than the listing, and an old listing.
    mirror.takeEvents({ { false, { "b", "1", 18 } } });
    mirror.takeListing({ {}, 15 });
    CHECK(mirror.changesAfter(0)->changes.size() == 2);
    CHECK(mirror.changesAfter(20)->changes.empty());
    CHECK_FALSE(mirror.changesAfter(20)->spansListing);
}

TEST_CASE("a mirror with a gap in its history refuses a revision inside the gap")
{
    StoreMirror mirror;
    mirror.takeListing({ { { "a", "1", 9 } }, 10 });
    // "b" was created at 13 and deleted at 16; the mirror received neither event.
    mirror.takeListing({ { { "a", "2", 18 } }, 20 });
    CHECK(mirror.changesAfter(10));
    CHECK_FALSE(mirror.changesAfter(11));
    CHECK_FALSE(mirror.changesAfter(13));
    CHECK_FALSE(mirror.changesAfter(19));
    CHECK(mirror.changesAfter(20));
    // A second gap doesn't make the first one known.
    mirror.takeEvents({ { false, { "c", "1", 22 } } });
    mirror.takeListing({ { { "a", "2", 18 } }, 30 });
    CHECK_FALSE(mirror.changesAfter(13));
    CHECK(mirror.changesAfter(22));
    CHECK_FALSE(mirror.changesAfter(25));
    CHECK(mirror.changesAfter(30));
}
