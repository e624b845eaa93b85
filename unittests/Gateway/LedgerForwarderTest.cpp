#include "catkinwing/Gateway/LedgerForwarder.h"

#include "Coordination/FakeStore.h"
#include "catkinwing/Gateway/ForwardedClaims.h"
#include "catkinwing/PeerProtocol/PeerCodec.h"
#include "catkinwing/Support/ManualScheduler.h"
#include "catkinwing/Support/Random.h"
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <deque>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

enum class LinkFault {
    None,
    LostRequest,
    LostAnswer,
    /// Arrives after the claimant has given the claim up.
    LateRequest,
    /// Arrives twice.
    DoubledRequest,
};

/// Transport to one entry, through the codec.
class FakeTransport final : public PeerTransport {
public:
    explicit FakeTransport(Scheduler& timers)
        : scheduler(timers)
    {
    }

    void send(const SocketAddress& address, std::vector<PeerMessage> batch, Callback callback) override
    {
        LinkFault fault = LinkFault::None;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        ++sent;
        lastAddress = address;
        auto done = std::make_shared<Callback>(std::move(callback));
        std::string bytes = encodeBatch(batch);
        bool losesAnswer = fault == LinkFault::LostRequest || fault == LinkFault::LostAnswer || fault == LinkFault::LateRequest;
        Duration way = fault == LinkFault::LateRequest ? Duration(1500ms) : Duration(1ms);
        if (losesAnswer)
            scheduler.callAfter(2s, [done] { (*done)(absl::DeadlineExceededError("the peer did not answer in time")); });
        if (fault != LinkFault::LostRequest)
            scheduler.callAfter(way, [this, bytes, done, losesAnswer] { deliver(bytes, losesAnswer ? nullptr : done); });
        if (fault == LinkFault::DoubledRequest)
            scheduler.callAfter(20ms, [this, bytes] { deliver(bytes, nullptr); });
    }
    TransportCounters counters() const override { return {}; }

    Scheduler& scheduler;
    /// Takes what arrives.
    std::function<void(const ClaimBatch&, ForwardedClaims::DoneCallback)> receiver;
    std::deque<LinkFault> faults;
    int sent { 0 };
    SocketAddress lastAddress;

private:
    void deliver(const std::string& bytes, const std::shared_ptr<Callback>& done)
    {
        absl::StatusOr<std::vector<PeerMessage>> batch = decodeBatch(bytes);
        REQUIRE(batch.ok());
        receiver(std::get<ClaimBatch>(batch->front()), [this, done](const PeerReply& reply) {
            if (done)
                scheduler.callAfter(1ms, [done, answer = encodeReplies({ reply })] { (*done)(decodeReplies(answer, 1)); });
        });
    }
};

constexpr const char* coordinatorName = "coordinator";
constexpr std::uint64_t fingerprint = 17;

EntryDirectory directoryWith(ManualScheduler& scheduler, const std::string& name)
{
    EntryIdentity self { { name, { 1, 1 } }, "a", "north", {}, {}, {} };
    MembershipView view;
    MemberView member;
    member.state = MemberState::Live;
    member.identity = { { coordinatorName, { 1, 7 } }, "a", "north", {}, { "127.0.0.1", 7001 }, {} };
    view.members.push_back(member);
    member.identity.ref.incarnation = { 2, 3 };
    member.identity.peerAddress.port = 7002;
    view.members.push_back(member);
    EntryDirectory directory(self);
    directory.update(view, ConfigSnapshot {}, {}, scheduler.clock().now());
    return directory;
}

/// An entry with its ledger, which forwards to the coordinator.
struct Entry {
    Entry(ManualScheduler& scheduler, Store& store, const std::string& name, bool forwards)
        : directory(directoryWith(scheduler, name))
        , transport(scheduler)
        , forwarder(transport, directory, scheduler)
        , ledger(
              store, scheduler, {}, name, 3, [](unsigned) { return coordinatorName; }, forwards ? &forwarder : nullptr)
        , received(ledger, scheduler)
    {
    }

    EntryDirectory directory;
    FakeTransport transport;
    LedgerForwarder forwarder;
    IdempotencyLedger ledger;
    ForwardedClaims received;
};

/// Entries over one store; the first coordinates all shards.
struct World {
    explicit World(bool forwards, std::size_t others = 1)
        : store(scheduler)
    {
        for (std::size_t i = 0; i <= others; ++i) {
            entries.push_back(std::make_unique<Entry>(scheduler, store, i == 0 ? coordinatorName : absl::StrCat("entry-", i), forwards));
            entries.back()->transport.receiver = [this](const ClaimBatch& batch, ForwardedClaims::DoneCallback done) {
                entries.front()->received.record(batch, std::move(done));
            };
        }
    }

    void claim(Entry& entry, const std::string& key)
    {
        entry.ledger.claim("team", key, fingerprint, [this, key](const ClaimResult& result) {
            ++answered;
            won[key] += result.verdict == ClaimVerdict::Won ? 1 : 0;
        });
    }
    std::uint64_t sum(std::uint64_t LedgerCounters::*counter) const
    {
        std::uint64_t total = 0;
        for (const auto& entry : entries)
            total += entry->ledger.counters().*counter;
        return total;
    }

    ManualScheduler scheduler;
    FakeStore store;
    std::vector<std::unique_ptr<Entry>> entries;
    /// Claims that were won, by key.
    std::map<std::string, int> won;
    int answered { 0 };
};

/// A forwarder by itself, whose coordinator answers as told.
struct Lone {
    Lone()
        : directory(directoryWith(scheduler, "self"))
        , transport(scheduler)
        , forwarder(std::make_unique<LedgerForwarder>(transport, directory, scheduler))
    {
    }

    void forward(const std::string& entry = coordinatorName)
    {
        forwarder->forward(entry, { { 1, 2 }, 3, { "self", 4, ++serial } }, [this](const absl::StatusOr<ClaimResult>& result) { results.push_back(result); });
    }
    void answerWith(const PeerReply& reply)
    {
        transport.receiver = [reply](const ClaimBatch&, const ForwardedClaims::DoneCallback& done) { done(reply); };
    }

    ManualScheduler scheduler;
    EntryDirectory directory;
    FakeTransport transport;
    std::unique_ptr<LedgerForwarder> forwarder;
    std::uint64_t serial { 0 };
    std::vector<absl::StatusOr<ClaimResult>> results;
};

} // namespace

static ClaimAnswer wonBy(std::uint64_t serial)
{
    return { serial, ClaimOutcome::Won, ClaimRef { "self", 4, serial }, false, {} };
}

TEST_CASE("claims through lost, late and doubled messages give one winner for each key")
{
    constexpr int keys = 40;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        World world(true);
        for (int i = 0; i < keys; ++i)
            world.entries[1]->transport.faults.push_back(static_cast<LinkFault>(random.below(5)));
        for (int i = 0; i < keys; ++i) {
            std::string key = absl::StrCat("key-", i);
            world.claim(*world.entries[1], key);
            if (random.below(2) == 0)
                world.claim(*world.entries[0], key);
            world.scheduler.advance(std::chrono::milliseconds(random.below(400)));
            world.claim(*world.entries[random.below(2)], key);
        }
        world.scheduler.advance(10s);
        REQUIRE(world.won.size() == keys);
        for (const auto& [key, winners] : world.won) {
            INFO(key);
            CHECK(winners == 1);
        }
        CHECK(world.entries[1]->ledger.counters().forwardsFailed > 0);
        CHECK(world.entries[1]->ledger.counters().forwarded > world.entries[1]->ledger.counters().forwardsFailed);
    }
}

TEST_CASE("a lost answer never leads to a second run, also when the store loses answers")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        World world(true);
        for (int i = 0; i < 20; ++i) {
            std::string key = absl::StrCat("key-", i);
            world.store.failNext(StoreCallGroup::Write, static_cast<StoreFault>(random.below(5)));
            for (int attempt = 0; attempt < 4; ++attempt) {
                world.entries[1]->transport.faults.assign(1, LinkFault::LostAnswer);
                world.claim(*world.entries[random.below(2)], key);
                world.scheduler.advance(std::chrono::milliseconds(random.below(1500)));
            }
        }
        world.scheduler.advance(10s);
        CHECK(world.answered == 80);
        for (const auto& [key, winners] : world.won) {
            INFO(key);
            CHECK(winners <= 1);
        }
    }
}

TEST_CASE("forwarding makes fewer swaps and no conflicts")
{
    std::map<bool, std::uint64_t> swaps;
    std::map<bool, std::uint64_t> conflicts;
    constexpr std::size_t others = 5;
    for (bool forwards : { false, true }) {
        World world(forwards, others);
        Random random(5);
        for (int i = 0; i < 2000; ++i) {
            world.claim(*world.entries[random.below(others + 1)], absl::StrCat("key-", i));
            world.scheduler.advance(std::chrono::milliseconds(random.below(5)));
        }
        world.scheduler.advance(2s);
        CHECK(world.sum(&LedgerCounters::won) == 2000);
        swaps[forwards] = world.sum(&LedgerCounters::swaps);
        conflicts[forwards] = world.sum(&LedgerCounters::swapConflicts);
    }
    INFO("2,000 claims of 6 entries: " << swaps[false] << " swaps, " << conflicts[false] << " conflicts alone; " << swaps[true] << " and " << conflicts[true] << " forwarded");
    CHECK(conflicts[true] == 0);
    CHECK(swaps[true] * 2 < swaps[false]);
}

TEST_CASE("claims to one coordinator share a message to its latest run")
{
    Lone lone;
    lone.answerWith(ClaimReply { { wonBy(1), wonBy(2) } });
    lone.forward();
    lone.scheduler.advance(1ms);
    lone.forward();
    CHECK(lone.results.empty());
    lone.scheduler.advance(10ms);
    CHECK(lone.transport.sent == 1);
    CHECK(lone.transport.lastAddress.port == 7002);
    REQUIRE(lone.results.size() == 2);
    REQUIRE(lone.results[1].ok());
    CHECK(lone.results[1]->verdict == ClaimVerdict::Won);
    CHECK(lone.results[1]->holder == ClaimId { "self", 4, 2 });
}

TEST_CASE("an entry that isn't known gives NotFound")
{
    Lone lone;
    lone.forward("nobody");
    CHECK(lone.results.empty());
    lone.scheduler.advance(10ms);
    REQUIRE(lone.results.size() == 1);
    CHECK(absl::IsNotFound(lone.results[0].status()));
    CHECK(lone.transport.sent == 0);
}

TEST_CASE("a silent coordinator is given up and left alone for a while")
{
    Lone lone;
    lone.answerWith(ClaimReply { { wonBy(3) } });
    lone.transport.faults = { LinkFault::LostRequest };
    lone.forward();
    lone.scheduler.advance(LedgerOptions {}.forwardTimeout - 1ms);
    REQUIRE(lone.results.size() == 1);
    CHECK(absl::IsDeadlineExceeded(lone.results[0].status()));
    lone.forward();
    lone.scheduler.advance(1ms);
    REQUIRE(lone.results.size() == 2);
    CHECK(absl::IsUnavailable(lone.results[1].status()));
    CHECK(lone.transport.sent == 1);
    lone.scheduler.advance(LedgerForwarderOptions {}.retryInterval);
    lone.forward();
    lone.scheduler.advance(10ms);
    REQUIRE(lone.results.size() == 3);
    CHECK(lone.results[2].ok());
    lone.scheduler.advance(5s);
    CHECK(lone.results.size() == 3);
}

TEST_CASE("replies that don't fit the claim are errors")
{
    std::vector<PeerReply> replies { ClaimReply {}, ClaimReply { { wonBy(2) } }, ClaimReply { { wonBy(1), wonBy(1) } }, Acknowledgement {}, PeerError {} };
    for (const PeerReply& reply : replies) {
        INFO("reply " << reply.index());
        Lone lone;
        lone.answerWith(reply);
        lone.forward();
        lone.scheduler.advance(10ms);
        REQUIRE(lone.results.size() == 1);
        CHECK_FALSE(lone.results[0].ok());
    }
}

TEST_CASE("nothing is called after the forwarder is gone")
{
    Lone lone;
    lone.answerWith(ClaimReply { { wonBy(1) } });
    lone.forward();
    lone.scheduler.advance(3ms);
    REQUIRE(lone.transport.sent == 1);
    lone.forwarder.reset();
    lone.scheduler.advance(5s);
    CHECK(lone.results.empty());
}

TEST_CASE("a coordinator refuses claims beyond its bound")
{
    World world(true);
    ForwardedClaims bounded(world.entries[0]->ledger, world.scheduler, { 200ms, 2 });
    std::vector<PeerReply> replies;
    auto record = [&](std::uint64_t key, std::size_t claims) {
        ClaimBatch batch;
        for (std::size_t i = 0; i < claims; ++i)
            batch.claims.push_back({ key, i, fingerprint, { "entry-1", 3, key + i } });
        bounded.record(batch, [&replies](const PeerReply& reply) { replies.push_back(reply); });
    };
    record(10, 2);
    CHECK(replies.empty());
    record(20, 1);
    REQUIRE(replies.size() == 1);
    CHECK(std::get<PeerError>(replies[0]).code == PeerErrorCode::Unavailable);
    world.scheduler.advance(100ms);
    REQUIRE(replies.size() == 2);
    CHECK(std::get<ClaimReply>(replies[1]).answers.at(1).outcome == ClaimOutcome::Won);
    record(30, 1);
    world.scheduler.advance(200ms);
    REQUIRE(replies.size() == 3);
    CHECK(std::get<ClaimReply>(replies[2]).answers.at(0).outcome == ClaimOutcome::Won);
}
