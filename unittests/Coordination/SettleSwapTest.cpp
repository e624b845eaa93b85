#include "catkinwing/Coordination/SettleSwap.h"

#include "FakeStore.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const char* const writeId = "id-1";

namespace {

struct Bench {
    ManualScheduler scheduler;
    FakeStore store { scheduler };
    LostSwap lost;

    explicit Bench(SettleIntent intent, bool doesKeyExist = true)
    {
        lost.key = "k";
        lost.value = std::string("old ") + writeId;
        lost.expected = doesKeyExist ? store.put("k", "old") : 0;
        lost.holdsWrite = [](absl::string_view stored) { return stored.find(writeId) != absl::string_view::npos; };
        lost.intent = intent;
        lost.valueToBlockAbsentKey = "blocked";
    }

    void loseWrite(StoreFault fault)
    {
        store.failNext(StoreCallGroup::Write, fault);
        std::optional<SwapResult> result;
        store.compareAndSwap(lost.key, lost.expected, lost.value, 0, [&](SwapResult given) { result = given; });
        scheduler.advance(2s);
        REQUIRE(result);
        REQUIRE(result->outcome == SwapOutcome::Unknown);
    }

    SettleResult settle(Duration patience = 60s)
    {
        std::optional<SettleResult> result;
        settleSwap(store, scheduler, lost, {}, [&](SettleResult given) { result = given; });
        scheduler.advance(patience);
        REQUIRE(result);
        return *result;
    }

    bool doesStoreHoldWrite() { return lost.holdsWrite(store.peek("k").value); }
};

} // namespace

TEST_CASE("a read-back alone would be wrong about a late write")
{
    Bench bench(SettleIntent::Abandon);
    bench.loseWrite(StoreFault::AppliedLate);
    CHECK_FALSE(bench.doesStoreHoldWrite());
    bench.scheduler.advance(2s);
    CHECK(bench.doesStoreHoldWrite());
}

TEST_CASE("an abandoned late write never takes effect")
{
    bool doesKeyExist = GENERATE(true, false);
    Bench bench(SettleIntent::Abandon, doesKeyExist);
    bench.loseWrite(StoreFault::AppliedLate);
    CHECK(bench.settle().outcome == SettledOutcome::NotCommitted);
    CHECK_FALSE(bench.doesStoreHoldWrite());
}

TEST_CASE("a completed late write takes effect once")
{
    Bench bench(SettleIntent::Complete);
    bench.loseWrite(StoreFault::AppliedLate);
    StoreRevision before = bench.store.revision();
    SettleResult result = bench.settle();
    CHECK(result.outcome == SettledOutcome::Committed);
    CHECK(bench.doesStoreHoldWrite());
    CHECK(bench.store.revision() == before.next());
    CHECK(result.revision == before.next());
}

TEST_CASE("a value that another writer left is proof only if it keeps the ids")
{
    bool keepsIds = GENERATE(true, false);
    Bench bench(SettleIntent::Complete);
    bench.lost.laterValuesKeepId = keepsIds;
    bench.loseWrite(StoreFault::LostRequest);
    bench.store.put("k", "another's");
    auto expected = keepsIds ? SettledOutcome::NotCommitted : SettledOutcome::StillUnknown;
    CHECK(bench.settle().outcome == expected);
}

TEST_CASE("without the store a lost write stays unknown")
{
    Bench bench(SettleIntent::Complete);
    bench.loseWrite(StoreFault::LostRequest);
    bench.store.setDown(true);
    CHECK(bench.settle(20s).outcome == SettledOutcome::StillUnknown);
}

TEST_CASE("a verdict holds under every run of three faults")
{
    constexpr std::array<StoreFault, 5> faults { StoreFault::None, StoreFault::NotSent, StoreFault::LostRequest, StoreFault::LostAnswer, StoreFault::AppliedLate };
    std::size_t decided = 0;
    std::size_t runs = 0;
    for (StoreFault first : { StoreFault::LostRequest, StoreFault::LostAnswer, StoreFault::AppliedLate }) {
        for (std::size_t code = 0; code < 750U; ++code) {
            Bench bench(code % 2 == 0 ? SettleIntent::Complete : SettleIntent::Abandon);
            bench.lost.laterValuesKeepId = true;
            bench.store.setLateBy(std::chrono::milliseconds(2001 + 1500 * (code / 2 % 3)));
            bench.loseWrite(first);
            std::size_t rest = code / 6;
            for (int i = 0; i < 3; ++i, rest /= faults.size())
                bench.store.failNext(StoreCallGroup::Write, faults[rest % faults.size()]);
            SettleResult result = bench.settle();
            ++runs;
            if (result.outcome == SettledOutcome::StillUnknown)
                continue;
            ++decided;
            REQUIRE(bench.doesStoreHoldWrite() == (result.outcome == SettledOutcome::Committed));
        }
    }
    CHECK(runs == 2250);
    CHECK(decided == runs);
}
