#include "catkinwing/Dispatch/IdempotencyLedger.h"

#include "Coordination/FakeStore.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// Hands claims to another ledger in the same process, unless it is cut off.
class DirectForwarder final : public ClaimForwarder {
public:
    void forward(const std::string&, const ClaimRecord& claim, DoneCallback done) override
    {
        ++forwards;
        if (answer)
            done(*answer);
        else if (target)
            target->handleForwarded(claim, [done](const ClaimResult& result) { done(result); });
    }

    IdempotencyLedger* target { nullptr };
    absl::optional<ClaimResult> answer;
    int forwards { 0 };
};

struct Fixture {
    ManualScheduler scheduler;
    FakeStore store { scheduler };
    DirectForwarder forwarder;
    LedgerOptions options;
    IdempotencyLedger a { store, scheduler, options, "a", 1, nullptr, nullptr };
    IdempotencyLedger b { store, scheduler, options, "b", 1, [](unsigned) { return "a"; }, &forwarder };

    absl::optional<ClaimResult> result;
    Duration waited {};

    ClaimResult claim(IdempotencyLedger& ledger, const std::string& key, std::uint64_t fingerprint = 1)
    {
        result.reset();
        TimePoint start = scheduler.clock().now();
        ledger.claim("team", key, fingerprint, [this, start](const ClaimResult& settled) {
            REQUIRE_FALSE(result);
            result = settled;
            waited = scheduler.clock().now() - start;
        });
        REQUIRE_FALSE(result);
        scheduler.advance(5s);
        REQUIRE(result);
        return *result;
    }
};

} // namespace

TEST_CASE("a key is won once, whichever entry is asked")
{
    Fixture fixture;
    ClaimResult won = fixture.claim(fixture.a, "k");
    CHECK(won.verdict == ClaimVerdict::Won);
    for (IdempotencyLedger* ledger : { &fixture.a, &fixture.b }) {
        ClaimResult repeat = fixture.claim(*ledger, "k");
        CHECK(repeat.verdict == ClaimVerdict::AlreadyClaimed);
        CHECK(repeat.holder == won.holder);
        CHECK_FALSE(repeat.isOtherRequest);
        CHECK(fixture.claim(*ledger, "k", 2).isOtherRequest);
    }
    CHECK(fixture.claim(fixture.b, "l").verdict == ClaimVerdict::Won);
}

TEST_CASE("a released key is won anew under another id, through its claimant only")
{
    Fixture fixture;
    ClaimId first = fixture.claim(fixture.a, "k").holder;
    fixture.a.release(first);
    CHECK(fixture.claim(fixture.b, "k").verdict == ClaimVerdict::AlreadyClaimed);
    CHECK(fixture.claim(fixture.a, "k", 2).isOtherRequest);
    ClaimResult second = fixture.claim(fixture.a, "k");
    CHECK(second.verdict == ClaimVerdict::Won);
    CHECK(second.holder != first);
    CHECK(fixture.claim(fixture.a, "k").holder == second.holder);
}

TEST_CASE("lost answers are settled by the claim's id")
{
    for (StoreFault fault : { StoreFault::LostAnswer, StoreFault::LostRequest }) {
        Fixture fixture;
        fixture.store.setCallTimeout(100ms);
        fixture.store.failNext(StoreCallGroup::Write, fault);
        ClaimResult result = fixture.claim(fixture.a, "k");
        CHECK(result.verdict == ClaimVerdict::Won);
        CHECK(fixture.a.counters().swapsUnknown == 1);
        CHECK(fixture.claim(fixture.b, "k").holder == result.holder);
    }
}

TEST_CASE("a claim given up may land, and its key can still be used through its claimant")
{
    Fixture fixture;
    fixture.store.setCallTimeout(2s);
    fixture.store.failNext(StoreCallGroup::Write, StoreFault::AppliedLate);
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::NotAvailable);
    CHECK(fixture.waited == Duration(fixture.options.claimTimeout));
    CHECK(fixture.claim(fixture.b, "k").verdict == ClaimVerdict::AlreadyClaimed);
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::Won);
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::AlreadyClaimed);
}

TEST_CASE("a claim that can't be read back is given up, and its key can still be used")
{
    Fixture fixture;
    fixture.store.setCallTimeout(100ms);
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::Won);
    for (int index = 0; index < 64; ++index) {
        // Keys of shards that have been read, so that the write comes first.
        std::string key = "key " + std::to_string(index);
        if (fixture.a.shardOf(digestOfKey("team", key)) != fixture.a.shardOf(digestOfKey("team", "k")))
            continue;
        fixture.store.failNext(StoreCallGroup::Write, StoreFault::LostAnswer);
        fixture.store.failNext(StoreCallGroup::Read, StoreFault::NotSent);
        CHECK(fixture.claim(fixture.a, key).verdict == ClaimVerdict::NotAvailable);
        CHECK(fixture.claim(fixture.b, key).verdict == ClaimVerdict::AlreadyClaimed);
        CHECK(fixture.claim(fixture.a, key).verdict == ClaimVerdict::Won);
        return;
    }
    FAIL("no key fell in the same shard");
}

TEST_CASE("without the store claims are refused at once, and known keys still answered")
{
    Fixture fixture;
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::Won);
    fixture.store.setDown(true);
    ClaimResult refused = fixture.claim(fixture.a, "l");
    CHECK(refused.verdict == ClaimVerdict::NotAvailable);
    CHECK(refused.retryAfter > 0ms);
    CHECK(fixture.waited < Duration(50ms));
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::AlreadyClaimed);
    fixture.store.setDown(false);
    CHECK(fixture.claim(fixture.a, "l").verdict == ClaimVerdict::Won);
}

TEST_CASE("a store that doesn't answer holds a claim no longer than its timeout")
{
    Fixture fixture;
    fixture.store.setSilent(true);
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::NotAvailable);
    CHECK(fixture.waited == Duration(fixture.options.claimTimeout));
}

TEST_CASE("a coordinator that can't be reached is done without")
{
    Fixture fixture;
    CHECK(fixture.claim(fixture.b, "k").verdict == ClaimVerdict::Won);
    CHECK(fixture.forwarder.forwards == 1);
    CHECK(fixture.b.counters().swaps == 1);
    fixture.forwarder.target = &fixture.a;
    CHECK(fixture.claim(fixture.b, "l").verdict == ClaimVerdict::Won);
    CHECK(fixture.b.counters().swaps == 1);
    CHECK(fixture.claim(fixture.b, "k").verdict == ClaimVerdict::AlreadyClaimed);
}

TEST_CASE("a coordinator's answer about another claim gives no right to run")
{
    Fixture fixture;
    ClaimId first = fixture.claim(fixture.a, "k").holder;
    fixture.forwarder.answer = ClaimResult { ClaimVerdict::Won, first, false, {} };
    ClaimResult result = fixture.claim(fixture.b, "k");
    CHECK(result.verdict == ClaimVerdict::AlreadyClaimed);
    CHECK(result.holder == first);
}

TEST_CASE("claims of one shard share swaps")
{
    Fixture fixture;
    std::size_t won = 0;
    constexpr std::size_t claims = 1'600;
    for (std::size_t index = 0; index < claims; ++index) {
        fixture.a.claim("team", std::to_string(index), 1, [&won](const ClaimResult& result) {
            won += result.verdict == ClaimVerdict::Won ? 1 : 0;
        });
    }
    fixture.scheduler.advance(1s);
    CHECK(won == claims);
    CHECK(fixture.a.counters().swaps == fixture.options.layout.shards);
}

TEST_CASE("claims beyond the bound are refused, and all are settled")
{
    Fixture fixture;
    fixture.store.setSilent(true);
    std::size_t refused = 0;
    std::size_t claims = fixture.options.maxPendingClaims + 10;
    for (std::size_t index = 0; index < claims; ++index) {
        fixture.a.claim("team", std::to_string(index), 1, [&refused](const ClaimResult& result) {
            refused += result.verdict == ClaimVerdict::NotAvailable ? 1 : 0;
        });
    }
    fixture.scheduler.advance(1ms);
    CHECK(refused == 10);
    fixture.scheduler.advance(2s);
    CHECK(refused == claims);
}

TEST_CASE("entries with another layout don't claim")
{
    Fixture fixture;
    LedgerOptions other;
    other.layout.slots = 4;
    IdempotencyLedger c { fixture.store, fixture.scheduler, other, "c", 1, nullptr, nullptr };
    CHECK(fixture.claim(fixture.a, "k").verdict == ClaimVerdict::Won);
    CHECK(fixture.claim(c, "k").verdict == ClaimVerdict::NotAvailable);
    CHECK(c.counters().unreadableShards == 1);
}

TEST_CASE("a team's keys are its own")
{
    CHECK_FALSE(digestOfKey("ab", "c") == digestOfKey("a", "bc"));
    CHECK_FALSE(digestOfKey("a", "c") == digestOfKey("b", "c"));
    CHECK(requestFingerprint("POST", "/a", "b") != requestFingerprint("POST", "/ab", ""));
}
