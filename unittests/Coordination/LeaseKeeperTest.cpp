#include "catkinwing/Coordination/LeaseKeeper.h"

#include "FakeStore.h"
#include "FreezableScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// Two candidates that can be frozen apart from the store and each other.
struct Bench {
    struct Candidate {
        FreezableScheduler process;
        std::unique_ptr<Store> client;
        Random random { 1 };
        std::unique_ptr<LeaseKeeper> keeper;

        bool isHeld() const { return keeper->isHeld(process.now()); }
    };

    ManualScheduler storeScheduler;
    FakeStore store { storeScheduler };
    std::array<Candidate, 2> candidates;
    Candidate& a { candidates[0] };
    Candidate& b { candidates[1] };

    Bench()
    {
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            LeaseKeeperOptions options;
            options.key = "lease";
            options.holder = i == 0 ? "a" : "b";
            options.retryEvery = i == 0 ? 3s : 500ms;
            candidates[i].random = Random(i);
            ManualScheduler& scheduler = candidates[i].process.scheduler();
            candidates[i].client = store.clientOn(scheduler);
            candidates[i].keeper = std::make_unique<LeaseKeeper>(*candidates[i].client, scheduler, candidates[i].random, options);
        }
    }

    void advance(Duration span, bool isAFrozen = false, bool isBFrozen = false)
    {
        constexpr auto step = 50ms;
        for (Duration done {}; done < span; done += step) {
            storeScheduler.advance(step);
            a.process.move(step, isAFrozen);
            b.process.move(step, isBFrozen);
            REQUIRE_FALSE((a.isHeld() && b.isHeld()));
        }
    }

    static StoreRevision fencing(const Candidate& candidate) { return candidate.keeper->held(candidate.process.now())->fencing; }
};

} // namespace

TEST_CASE("one candidate holds the lease and the next gets a higher fencing number")
{
    Bench bench;
    bench.a.keeper->start();
    bench.advance(1s);
    bench.b.keeper->start();
    bench.advance(60s);
    REQUIRE(bench.a.isHeld());
    StoreRevision first = Bench::fencing(bench.a);
    CHECK(bench.b.keeper->state() == LeaseState::Acquiring);
    bench.a.keeper->stop();
    bench.advance(10s);
    REQUIRE(bench.b.isHeld());
    CHECK(Bench::fencing(bench.b) > first);
    CHECK(bench.a.keeper->state() == LeaseState::Idle);
}

TEST_CASE("a holder that was frozen finds its lease gone before a timer runs")
{
    Bench bench;
    bench.a.keeper->start();
    bench.advance(1s);
    bench.b.keeper->start();
    REQUIRE(bench.a.isHeld());
    bench.advance(20s, true);
    CHECK_FALSE(bench.a.isHeld());
    REQUIRE(bench.b.isHeld());
    StoreRevision second = Bench::fencing(bench.b);
    bench.advance(20s);
    CHECK(bench.a.keeper->counters().lost == 1);
    CHECK(bench.b.isHeld());
    CHECK(Bench::fencing(bench.b) == second);
}

TEST_CASE("a freeze within the margin is over for good when told so")
{
    Bench bench;
    bench.a.keeper->start();
    bench.advance(1s);
    StoreRevision first = Bench::fencing(bench.a);
    bench.a.keeper->dropAfterFreeze();
    CHECK_FALSE(bench.a.isHeld());
    bench.advance(10s);
    REQUIRE(bench.a.isHeld());
    CHECK(Bench::fencing(bench.a) > first);
}

TEST_CASE("a lost answer to the election is settled by reading back")
{
    Bench bench;
    bench.store.failNext(StoreCallGroup::Write, StoreFault::LostAnswer);
    bench.a.keeper->start();
    bench.advance(4s);
    REQUIRE(bench.a.isHeld());
    CHECK(Bench::fencing(bench.a) == bench.store.peek("lease").revision);
}

TEST_CASE("an election that lands late holds for nobody")
{
    Bench bench;
    bench.store.failNext(StoreCallGroup::Write, StoreFault::AppliedLate);
    bench.a.keeper->start();
    bench.advance(20s);
    REQUIRE(bench.a.isHeld());
    CHECK(Bench::fencing(bench.a) == bench.store.peek("lease").revision);
    CHECK(bench.a.keeper->counters().acquired == 1);
}

TEST_CASE("the lease is given up before the store forgets it in an outage")
{
    bool isSilent = GENERATE(true, false);
    Bench bench;
    bench.a.keeper->start();
    bench.advance(1s);
    REQUIRE(bench.a.isHeld());
    isSilent ? bench.store.setSilent(true) : bench.store.setDown(true);
    while (bench.a.isHeld())
        bench.advance(50ms);
    CHECK(bench.store.peek("lease").revision != 0);
    bench.advance(30s);
    bench.store.setSilent(false);
    bench.store.setDown(false);
    bench.advance(10s);
    CHECK(bench.a.isHeld());
}

TEST_CASE("a slow store keeps its holder")
{
    Bench bench;
    bench.store.setLatency(1s);
    bench.a.keeper->start();
    bench.advance(120s);
    CHECK(bench.a.isHeld());
    CHECK(bench.a.keeper->counters().lost == 0);
}

TEST_CASE("a holder whose key was deleted lets go")
{
    Bench bench;
    bench.a.keeper->start();
    bench.advance(1s);
    bench.store.erase("lease");
    bench.advance(3s);
    CHECK(bench.a.keeper->counters().lost == 1);
}

/// Freezes the first candidate while its next lease call is being answered,
/// wakes it for long enough to take the answer, and freezes it again.
static void freezeInsideLeaseCall(Bench& bench, Duration span)
{
    std::size_t before = bench.store.calls(StoreCallGroup::Lease);
    while (bench.store.calls(StoreCallGroup::Lease) == before)
        bench.advance(50ms);
    bench.advance(span, true);
    bench.advance(1s);
    bench.b.keeper->start();
    bench.advance(30s, true);
    CHECK(bench.b.isHeld());
}

TEST_CASE("a grant counts from when it was asked for")
{
    Bench bench;
    bench.store.setLatency(500ms);
    bench.a.keeper->start();
    freezeInsideLeaseCall(bench, 5s);
}

TEST_CASE("a renewal counts from when it was asked for")
{
    Bench bench;
    bench.store.setLatency(500ms);
    bench.a.keeper->start();
    while (!bench.a.isHeld())
        bench.advance(50ms);
    freezeInsideLeaseCall(bench, 3s);
}

TEST_CASE("two candidates never hold the lease at once under random faults")
{
    std::uint64_t acquired = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        INFO("seed " << seed);
        Bench bench;
        Random random(seed);
        bench.a.keeper->start();
        bench.b.keeper->start();
        for (int i = 0; i < 30; ++i) {
            auto group = random.below(2) == 0 ? StoreCallGroup::Write : StoreCallGroup::Lease;
            bench.store.failNext(group, static_cast<StoreFault>(random.below(5)));
            bench.store.setSilent(random.below(6) == 0);
            auto span = std::chrono::milliseconds(random.below(12'000));
            bench.advance(span, random.below(4) == 0, random.below(4) == 0);
        }
        acquired += bench.a.keeper->counters().acquired + bench.b.keeper->counters().acquired;
    }
    CHECK(acquired > 300);
}
