// Tests the client of the platform's store against the stand-in, over real HTTP.
#include "catkinwing/PlatformStandin/StoreStandin.h"

#include "PlatformFixture.h"

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

TEST_CASE("only the first of two swaps from the same revision is committed")
{
    PlatformFixture platform;
    SwapResult made = platform.compareAndSwap("a", 0, "first");
    REQUIRE(made.outcome == SwapOutcome::Committed);
    CHECK(platform.compareAndSwap("a", 0, "second").outcome == SwapOutcome::Conflict);
    CHECK(platform.compareAndSwap("a", made.revision, "third").outcome == SwapOutcome::Committed);
    CHECK(platform.get("a").value == "third");
}

TEST_CASE("a refused write is reported as not sent, and a write whose response is lost as unknown")
{
    PlatformFixture platform;
    platform.setFaults(*platform.storeServer, { { "refuse", { { "times", 1 } } } });
    CHECK(platform.compareAndSwap("a", 0, "refused").outcome == SwapOutcome::NotSent);
    platform.setFaults(*platform.storeServer, { { "loseAnswer", { { "times", 1 } } } });
    CHECK(platform.compareAndSwap("a", 0, "lost").outcome == SwapOutcome::Unknown);
    CHECK(platform.get("a").value == "lost");
}

TEST_CASE("a key is deleted when its lease expires, and a watch reports the write and the deletion")
{
    PlatformFixture platform;
    std::optional<StoreLease> lease;
    platform.store->grantLease(1s, [&](absl::StatusOr<StoreLease> granted) { lease = *granted; });
    REQUIRE(runUntil(platform.loop, [&] { return lease.has_value(); }));
    SwapResult made = platform.compareAndSwap("entries/one", 0, "here", *lease);
    std::vector<StoreEvent> seen;
    auto watch = platform.store->watch("entries/", made.revision, { [&](const std::vector<StoreEvent>& events) { seen.insert(seen.end(), events.begin(), events.end()); }, [](const absl::Status&) {} });
    REQUIRE(runUntil(platform.loop, [&] { return seen.size() == 2; }));
    CHECK(seen[0].current.value == "here");
    CHECK(seen[1].isDeletion);
    CHECK(platform.compareAndSwap("entries/one", 0, "late", *lease).outcome == SwapOutcome::NotSent);
}

TEST_CASE("a watch from a revision that the store no longer keeps ends with OutOfRange")
{
    standin::StoreLimits limits;
    limits.maxHistory = 2;
    PlatformFixture platform(limits);
    for (const char* key : { "a", "b", "c", "d" })
        platform.compareAndSwap(key, 0, "x");
    std::optional<absl::Status> end;
    auto watch = platform.store->watch("", 2, { [](const std::vector<StoreEvent>&) {}, [&](const absl::Status& status) { end = status; } });
    REQUIRE(runUntil(platform.loop, [&] { return end.has_value(); }));
    CHECK(absl::IsOutOfRange(*end));
}

TEST_CASE("a listing of several pages contains every key once")
{
    PlatformFixture platform;
    for (int number = 0; number < 120; ++number)
        platform.compareAndSwap("many/" + std::to_string(1000 + number), 0, "x");
    platform.compareAndSwap("others", 0, "x");
    std::optional<StoreListing> listing;
    platform.store->list("many/", [&](absl::StatusOr<StoreListing> listed) { listing = *std::move(listed); });
    REQUIRE(runUntil(platform.loop, [&] { return listing.has_value(); }));
    CHECK(listing->values.size() == 120);
}

TEST_CASE("the store stand-in rejects invalid requests and continues to serve")
{
    PlatformFixture platform;
    SocketAddress address = platform.storeServer->address();
    CHECK(platform.sendAndWait(address, "POST", "/kv-txn", "not json")->head.status == 400);
    CHECK(platform.sendAndWait(address, "POST", "/kv-txn", R"({"expect":[1],"puts":{}})")->head.status == 400);
    CHECK(platform.sendAndWait(address, "POST", "/kv-keep/none")->head.status == 404);
    CHECK(platform.sendAndWait(address, "GET", "/other")->head.status == 404);
    CHECK(platform.compareAndSwap("a", 0, "x").outcome == SwapOutcome::Committed);
}
