#include "FakeStore.h"

#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static SwapResult swapNow(FakeStore& store, ManualScheduler& scheduler, StoreRevision expected, const std::string& value)
{
    SwapResult result;
    store.compareAndSwap("k", expected, value, 0, [&](SwapResult given) { result = given; });
    scheduler.advance(5s);
    return result;
}

TEST_CASE("a swap wins only on the expected revision")
{
    ManualScheduler scheduler;
    FakeStore store(scheduler);
    SwapResult first = swapNow(store, scheduler, 0, "a");
    REQUIRE(first.outcome == SwapOutcome::Committed);
    CHECK(swapNow(store, scheduler, 0, "b").outcome == SwapOutcome::Conflict);
    CHECK(swapNow(store, scheduler, first.revision, "b").outcome == SwapOutcome::Committed);
    CHECK(store.peek("k").value == "b");
}

TEST_CASE("faults leave the store as they say")
{
    ManualScheduler scheduler;
    FakeStore store(scheduler);
    store.failNext(StoreCallGroup::Write, StoreFault::NotSent);
    CHECK(swapNow(store, scheduler, 0, "a").outcome == SwapOutcome::NotSent);
    store.failNext(StoreCallGroup::Write, StoreFault::LostRequest);
    CHECK(swapNow(store, scheduler, 0, "a").outcome == SwapOutcome::Unknown);
    CHECK(store.peek("k").revision == 0);
    store.failNext(StoreCallGroup::Write, StoreFault::LostAnswer);
    CHECK(swapNow(store, scheduler, 0, "a").outcome == SwapOutcome::Unknown);
    CHECK(store.peek("k").value == "a");
}

TEST_CASE("a late write takes effect after the caller gave up")
{
    ManualScheduler scheduler;
    FakeStore store(scheduler);
    store.failNext(StoreCallGroup::Write, StoreFault::AppliedLate);
    std::optional<SwapResult> result;
    store.compareAndSwap("k", 0, "a", 0, [&](SwapResult given) { result = given; });
    scheduler.advance(2500ms);
    REQUIRE(result);
    CHECK(result->outcome == SwapOutcome::Unknown);
    CHECK(store.peek("k").revision == 0);
    scheduler.advance(1s);
    CHECK(store.peek("k").value == "a");
}

TEST_CASE("a key bound to a lease goes with it and its watch sees that")
{
    ManualScheduler scheduler;
    FakeStore store(scheduler);
    StoreLease lease = 0;
    store.grantLease(3s, [&](absl::StatusOr<StoreLease> granted) { lease = granted.value(); });
    scheduler.advance(10ms);
    store.compareAndSwap("k", 0, "a", lease, [](SwapResult) {});
    std::vector<StoreEvent> seen;
    auto watch = store.watch("k", 1, { [&](const auto& events) { seen.insert(seen.end(), events.begin(), events.end()); }, nullptr });
    scheduler.advance(5s);
    REQUIRE(seen.size() == 2);
    CHECK_FALSE(seen[0].isDeletion);
    CHECK(seen[1].isDeletion);
    CHECK(store.peek("k").revision == 0);
}

TEST_CASE("a client on a frozen scheduler gets its answer when it wakes")
{
    ManualScheduler storeScheduler;
    ManualScheduler clientScheduler;
    FakeStore store(storeScheduler);
    auto client = store.clientOn(clientScheduler);
    bool isAnswered = false;
    client->get("k", [&](const absl::StatusOr<StoredValue>&) { isAnswered = true; });
    storeScheduler.advance(10s);
    CHECK_FALSE(isAnswered);
    clientScheduler.freeze(10s);
    CHECK(isAnswered);
}
