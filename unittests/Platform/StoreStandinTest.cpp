// Tests the client of the platform's store against the stand-in, over real HTTP.
#include "catkinwing/PlatformStandin/StoreStandin.h"

#include "PlatformFixture.h"
#include <absl/strings/match.h>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

static std::string eraOf(const Recorded& answer)
{
    const std::string* era = answer.head.headers.find("Store-Era");
    return era ? *era : "none";
}

static StoreLease grantLease(PlatformFixture& platform, std::chrono::milliseconds timeToLive)
{
    std::optional<StoreLease> lease;
    platform.store->grantLease(timeToLive, [&](absl::StatusOr<StoreLease> granted) { lease = *granted; });
    REQUIRE(runUntil(platform.loop, [&] { return lease.has_value(); }));
    return *lease;
}

static bool isAbsent(PlatformFixture& platform, const std::string& key)
{
    return platform.get(key).revision == 0;
}

static std::shared_ptr<Recorded> watchAfter(PlatformFixture& platform, StoreRevision revision)
{
    return platform.sendAndWait(platform.storeServer->address(), "GET", "/kv-watch?prefix=&wait_ms=1&after=" + std::to_string(revision.number));
}

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

// Guards against an answer that a client can't assign to an era.
TEST_CASE("every answer of the store stand-in names its era, whatever its status")
{
    PlatformFixture platform;
    SocketAddress address = platform.storeServer->address();
    auto checkAnswers = [&](const std::string& era) {
        StoreRevision revision = platform.compareAndSwap("a", platform.get("a").revision, "x").revision;
        struct Call {
            const char* method;
            std::string target;
            std::string body;
            int status;
        };
        const std::vector<Call> calls {
            { "GET", "/kv-key?key=a", "", 200 },
            { "GET", "/kv-key?key=absent", "", 404 },
            { "GET", "/kv-range?prefix=", "", 200 },
            { "GET", "/kv-watch?prefix=&wait_ms=1&after=" + std::to_string(revision.number), "", 200 },
            { "GET", "/kv-watch?prefix=&wait_ms=1&after=" + std::to_string(revision.next().number), "", 410 },
            { "POST", "/kv-txn", R"({"expect":[{"key":"a","revision":99}],"puts":[],"deletes":[]})", 412 },
            { "POST", "/kv-txn", "not json", 400 },
            { "POST", "/kv-lease", R"({"ttl_ms":1000})", 200 },
            { "POST", "/kv-keep/7", "", 404 },
            { "DELETE", "/kv-lease-end/7", "", 404 },
            { "GET", "/other", "", 404 },
        };
        for (const Call& call : calls) {
            CAPTURE(call.method, call.target);
            auto answer = platform.sendAndWait(address, call.method, call.target, call.body);
            CHECK(answer->head.status == call.status);
            CHECK(eraOf(*answer) == era);
        }
        platform.setFaults(*platform.storeServer, { { "refuse", { { "times", 1 } } } });
        auto refused = platform.sendAndWait(address, "GET", "/kv-key?key=a");
        CHECK(refused->head.status == 503);
        CHECK(eraOf(*refused) == era);
    };
    checkAnswers("1");
    platform.storeStandin->restore(platform.storeStandin->takeCopy());
    checkAnswers("2");
}

// Guards against a stand-in that keeps some of what it should have lost, or loses what is in the copy.
TEST_CASE("a store stand-in that comes back from a copy has the keys of the copy, and its revisions go on from there")
{
    PlatformFixture platform;
    StoreRevision kept = platform.compareAndSwap("kept", 0, "first").revision;
    platform.compareAndSwap("deleted later", 0, "x");
    StoreStandin::Copy copy = platform.storeStandin->takeCopy();
    StoreRevision lost = platform.compareAndSwap("kept", kept, "second").revision;
    platform.compareAndSwap("made later", 0, "x");
    std::optional<SwapResult> deletion;
    platform.store->compareAndDelete("deleted later", platform.get("deleted later").revision, [&](SwapResult result) { deletion = result; });
    REQUIRE(runUntil(platform.loop, [&] { return deletion.has_value(); }));

    platform.storeStandin->restore(copy);
    CHECK(platform.get("kept").value == "first");
    CHECK(platform.get("kept").revision.number == kept.number);
    CHECK(isAbsent(platform, "made later"));
    CHECK(platform.get("deleted later").value == "x");
    // The revision is given out again, for another value.
    SwapResult again = platform.compareAndSwap("kept", platform.get("kept").revision, "third");
    CHECK(again.outcome == SwapOutcome::Committed);
    CHECK(again.revision.number == lost.number);
}

// Guards against a stand-in that answers a watch of the old era as if nothing had happened.
TEST_CASE("a store stand-in that came back answers a watch from a revision that it doesn't have with 410")
{
    PlatformFixture platform;
    platform.compareAndSwap("a", 0, "x");
    StoreRevision copied = platform.compareAndSwap("b", 0, "x").revision;
    StoreStandin::Copy copy = platform.storeStandin->takeCopy();
    StoreRevision lost = platform.compareAndSwap("c", 0, "x").revision;
    CHECK(watchAfter(platform, copied.previous())->head.status == 200);

    platform.storeStandin->restore(copy);
    CHECK(watchAfter(platform, lost)->head.status == 410);
    CHECK(watchAfter(platform, copied.previous())->head.status == 410);
    CHECK(watchAfter(platform, copied)->head.status == 200);
}

// The case in which a client of the old era can't see from the status that it missed something.
TEST_CASE("a store stand-in whose revisions have passed the old ones answers a watch from an old revision with what came later only")
{
    PlatformFixture platform;
    StoreStandin::Copy copy = platform.storeStandin->takeCopy();
    StoreRevision lost = platform.compareAndSwap("a", 0, "x").revision;
    platform.storeStandin->restore(copy);
    for (const char* key : { "b", "c" })
        platform.compareAndSwap(key, 0, "x");
    auto answer = watchAfter(platform, lost);
    REQUIRE(answer->head.status == 200);
    CHECK(eraOf(*answer) == "2");
    auto events = nlohmann::json::parse(answer->body).at("events");
    REQUIRE(events.size() == 1);
    CHECK(events[0].at("key") == "c");
}

// Guards against a watch that waits on over the restore and reports changes of another era.
TEST_CASE("a watch that waits is cut when the store stand-in comes back from a copy")
{
    PlatformFixture platform;
    auto request = requestFor(platform.storeServer->address(), "/kv-watch?prefix=&wait_ms=20000&after=1");
    auto waiting = sendRecorded(*platform.client, std::move(request));
    REQUIRE(runUntil(platform.loop, [&] { return nlohmann::json::parse(platform.sendAndWait(platform.storeServer->address(), "GET", "/standin/counters")->body).at("open_watches") == 1; }));
    platform.storeStandin->restore(platform.storeStandin->takeCopy());
    REQUIRE(runUntil(
        platform.loop, [&] { return waiting->hasEnded(); }, 2s));
    CHECK(waiting->result.end != HttpEnd::Complete);
    CHECK(platform.compareAndSwap("a", 0, "x").outcome == SwapOutcome::Committed);
}

// Guards against lease numbers that stay unique over a restore, as the platform's don't.
TEST_CASE("a store stand-in that comes back gives out lease numbers again")
{
    PlatformFixture platform;
    StoreStandin::Copy copy = platform.storeStandin->takeCopy();
    StoreLease lost = grantLease(platform, 10s);
    REQUIRE(platform.compareAndSwap("mine", 0, "x", lost).outcome == SwapOutcome::Committed);
    platform.storeStandin->restore(copy);
    CHECK(isAbsent(platform, "mine"));
    std::string write = R"({"expect":[],"puts":[{"key":"mine","value":"eA==","lease":)" + std::to_string(lost.number) + R"(}],"deletes":[]})";
    CHECK(platform.sendAndWait(platform.storeServer->address(), "POST", "/kv-txn", write)->head.status == 404);
    CHECK(grantLease(platform, 10s).number == lost.number);
}

// Guards against a lease of the copy that never lapses, or that has lapsed at the return.
TEST_CASE("a lease in the copy has at the return the time left that it had in the copy, and its keys end with it")
{
    PlatformFixture platform;
    StoreLease lease = grantLease(platform, 1s);
    REQUIRE(platform.compareAndSwap("mine", 0, "x", lease).outcome == SwapOutcome::Committed);
    StoreStandin::Copy copy = platform.storeStandin->takeCopy();
    REQUIRE(runUntil(platform.loop, [&] { return isAbsent(platform, "mine"); }));
    platform.storeStandin->restore(copy);
    TimePoint returned = platform.clock.now();
    CHECK_FALSE(isAbsent(platform, "mine"));
    REQUIRE(runUntil(platform.loop, [&] { return isAbsent(platform, "mine"); }));
    CHECK(platform.clock.now() - returned > 700ms);
}

// Guards against a copy that can be used once only, and against an era that goes back.
TEST_CASE("a store stand-in comes back from an older copy again, each time in a new era")
{
    PlatformFixture platform;
    SocketAddress address = platform.storeServer->address();
    auto control = [&](const char* path, const nlohmann::json& body) {
        return platform.sendAndWait(address, "POST", path, body.dump());
    };
    CHECK(nlohmann::json::parse(control("/standin/copy", {})->body).at("copy") == 1);
    platform.compareAndSwap("a", 0, "x");
    CHECK(nlohmann::json::parse(control("/standin/copy", {})->body).at("copy") == 2);
    platform.compareAndSwap("b", 0, "x");

    CHECK(nlohmann::json::parse(control("/standin/restore", { { "copy", 2 } })->body).at("era") == 2);
    CHECK_FALSE(isAbsent(platform, "a"));
    CHECK(isAbsent(platform, "b"));
    CHECK(nlohmann::json::parse(control("/standin/restore", { { "copy", 1 } })->body).at("era") == 3);
    CHECK(isAbsent(platform, "a"));
    CHECK(nlohmann::json::parse(control("/standin/restore", { { "copy", 2 } })->body).at("era") == 4);
    CHECK_FALSE(isAbsent(platform, "a"));
    CHECK(control("/standin/restore", { { "copy", 3 } })->head.status == 400);
    CHECK(control("/standin/restore", nlohmann::json::object())->head.status == 400);
    CHECK(platform.storeStandin->era() == 4);
}

// Guards against a silence that drops, repeats or reorders what came in it.
TEST_CASE("the stand-in for an endpoint loses nothing in a silence and goes on where it was")
{
    PlatformFixture platform;
    auto endpoint = platform.startEndpoint({ "i-1", 0ms, 20, 20ms, false, {}, {}, {} });
    auto ask = [&] {
        HttpClientRequest request = requestFor(endpoint->address(), "/stream");
        request.method = "POST";
        request.headers = { { "Attempt-Id", "a" } };
        return sendRecorded(*platform.client, std::move(request));
    };
    auto running = ask();
    REQUIRE(runUntil(platform.loop, [&] { return absl::StrContains(running->body, "id: 3\n"); }));
    CHECK(platform.sendAndWait(endpoint->address(), "POST", "/standin/silence", R"({"span_ms":600})")->head.status == 200);
    TimePoint began = platform.clock.now();
    std::size_t received = running->body.size();
    auto arriving = ask();
    runFor(platform.loop, 400ms);
    CHECK(running->body.size() == received);
    CHECK(arriving->heads == 0);
    REQUIRE(runUntil(platform.loop, [&] { return running->hasEnded() && arriving->hasEnded(); }));
    CHECK(platform.clock.now() - began >= 600ms);
    CHECK(running->result.end == HttpEnd::Complete);
    CHECK(arriving->result.end == HttpEnd::Complete);
    std::string whole;
    for (int number = 1; number <= 20; ++number)
        whole += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
    CHECK(running->body == whole);
    CHECK(arriving->body == whole);
}
