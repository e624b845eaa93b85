#include "platform/PlatformStore.h"

#include "Coordination/FakeHttpClient.h"
#include "catkinwing/Coordination/ConfigSource.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <absl/strings/match.h>
#include <catch2/catch.hpp>
#include <optional>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

namespace {

/// A store client whose HTTP requests are answered by a handler function.
struct StoreClientFixture {
    explicit StoreClientFixture(FakeHttpClient::Handler handler) { http.handler = std::move(handler); }

    SwapResult compareAndSwap()
    {
        SwapResult result;
        store.compareAndSwap("k", 0, "v", 1, [&](SwapResult swapped) { result = swapped; });
        scheduler.advance(5s);
        return result;
    }

    ManualScheduler scheduler;
    FakeHttpClient http { scheduler };
    PlatformStore store { http, scheduler, { { "127.0.0.1", 1 } }, [this](const char* kind) { calls.emplace_back(kind); } };
    std::vector<std::string> calls;
};

} // namespace

static FakeHttpAnswer withStatus(int status, std::string body)
{
    FakeHttpAnswer answer = FakeHttpAnswer::ok(std::move(body));
    answer.status = status;
    return answer;
}

TEST_CASE("the outcome of a swap follows from the store's response")
{
    auto outcomeOf = [](const FakeHttpAnswer& answer) {
        StoreClientFixture fixture([answer](const HttpClientRequest&) { return answer; });
        return fixture.compareAndSwap().outcome;
    };
    CHECK(outcomeOf(withStatus(200, R"({"revision":9})")) == SwapOutcome::Committed);
    CHECK(outcomeOf(withStatus(412, R"({"items":[]})")) == SwapOutcome::Conflict);
    CHECK(outcomeOf(withStatus(503, "")) == SwapOutcome::NotSent);
    CHECK(outcomeOf(withStatus(429, "")) == SwapOutcome::NotSent);
    CHECK(outcomeOf(withStatus(200, "half")) == SwapOutcome::Unknown);
    CHECK(outcomeOf(FakeHttpAnswer::failed(HttpEnd::NoResponse, true)) == SwapOutcome::Unknown);
    CHECK(outcomeOf(FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false)) == SwapOutcome::NotSent);
}

TEST_CASE("a write without a response is not sent again")
{
    StoreClientFixture fixture([](const HttpClientRequest&) { return FakeHttpAnswer::failed(HttpEnd::NoResponse, true); });
    fixture.compareAndSwap();
    CHECK(fixture.http.requests.size() == 1);
}

TEST_CASE("a listing reads all pages and has the revision of the first page")
{
    StoreClientFixture fixture([](const HttpClientRequest& request) {
        if (absl::StrContains(request.target, "after"))
            return FakeHttpAnswer::ok(R"({"items":[{"key":"p/2","value":"","revision":12}],"truncated":false,"current_rev":14})");
        return FakeHttpAnswer::ok(R"({"items":[{"key":"p/1","value":"","revision":8}],"truncated":true,"current_rev":10})");
    });
    std::optional<StoreListing> listing;
    fixture.store.list("p/", [&](absl::StatusOr<StoreListing> listed) { listing = *listed; });
    fixture.scheduler.advance(1s);
    REQUIRE(listing);
    CHECK(listing->values.size() == 2);
    CHECK(listing->revision == 10);
}

TEST_CASE("a watch continues from the revision of each response and ends when the store no longer has the history")
{
    int answers = 0;
    StoreClientFixture fixture([&](const HttpClientRequest&) {
        ++answers;
        FakeHttpAnswer answer = answers == 1 ? FakeHttpAnswer::ok(R"({"events":[{"key":"a","value":"","revision":6}],"current_rev":8})")
            : answers == 2                   ? FakeHttpAnswer::ok(R"({"events":[],"current_rev":8})")
                                             : withStatus(410, "");
        answer.delay = 100ms;
        return answer;
    });
    int events = 0;
    absl::Status end;
    auto watch = fixture.store.watch("", 5, { [&](const std::vector<StoreEvent>& changes) { events += static_cast<int>(changes.size()); }, [&](const absl::Status& status) { end = status; } });
    fixture.scheduler.advance(5s);
    CHECK(events == 1);
    CHECK(absl::IsOutOfRange(end));
    REQUIRE(fixture.http.requests.size() == 3);
    CHECK(absl::StrContains(fixture.http.requests[0].target, "after=4&"));
    CHECK(absl::StrContains(fixture.http.requests[1].target, "after=8&"));
}

static FakeHttpAnswer longerThanAllowed()
{
    FakeHttpAnswer answer;
    answer.body.assign(9, std::string(1u << 20, ' '));
    return answer;
}

TEST_CASE("a watch with more changes than one response may hold ends as out of range, and a failure of that length doesn't")
{
    for (int status : { 200, 503 }) {
        StoreClientFixture fixture([status](const HttpClientRequest&) {
            FakeHttpAnswer answer = longerThanAllowed();
            answer.status = status;
            return answer;
        });
        std::vector<absl::Status> ends;
        auto watch = fixture.store.watch("", 5, { {}, [&](const absl::Status& end) { ends.push_back(end); } });
        fixture.scheduler.advance(5s);
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].code() == (status == 200 ? absl::StatusCode::kOutOfRange : absl::StatusCode::kUnavailable));
    }
}

// Guards against a configuration that stays old while the store works, as the same watch fails again and again.
TEST_CASE("a source whose watch has more changes than one response may hold lists the store instead")
{
    bool isChanged = false;
    StoreClientFixture fixture([&](const HttpClientRequest& request) {
        bool isListing = absl::StrContains(request.target, "kv-range");
        if (isListing && isChanged)
            return FakeHttpAnswer::ok(R"({"items":[{"key":"op/config","value":"bmV3","revision":60}],"truncated":false,"current_rev":60})");
        if (isListing)
            return FakeHttpAnswer::ok(R"({"items":[{"key":"op/config","value":"b2xk","revision":8}],"truncated":false,"current_rev":10})");
        if (isChanged && absl::StrContains(request.target, "after=10&"))
            return longerThanAllowed();
        FakeHttpAnswer answer = FakeHttpAnswer::ok(R"({"events":[],"current_rev":)" + std::string(isChanged ? "60" : "10") + "}");
        answer.delay = 1200ms;
        return answer;
    });
    Random random(7);
    std::string text;
    ConfigSourceOptions options;
    options.prefix = "op/";
    ConfigSource source(fixture.store, fixture.scheduler, random, options, [&](const std::vector<ConfigChange>& changes) { text = changes.back().text.value_or(""); });
    source.start();
    fixture.scheduler.advance(5s);
    REQUIRE(text == "old");
    isChanged = true;
    fixture.scheduler.advance(3s);
    CHECK(text == "new");
    CHECK(source.counters().lists == 2);
    CHECK(source.reachedAt());
}

TEST_CASE("the first request of a watch does not wait, and later ones are as frequent with changes as without")
{
    int answers = 0;
    StoreClientFixture fixture([&](const HttpClientRequest&) {
        ++answers;
        FakeHttpAnswer answer = answers == 2 ? FakeHttpAnswer::ok(R"({"events":[{"key":"a","value":"","revision":6}],"current_rev":8})")
                                             : FakeHttpAnswer::ok(R"({"events":[],"current_rev":8})");
        answer.delay = 10ms;
        return answer;
    });
    int confirmations = 0;
    StoreWatchCallbacks callbacks;
    callbacks.onEvents = [](const std::vector<StoreEvent>&) {};
    callbacks.onEnd = [](const absl::Status&) {};
    callbacks.onCurrent = [&] { ++confirmations; };
    auto watch = fixture.store.watch("", 5, std::move(callbacks));
    while (answers < 4)
        fixture.scheduler.advance(5ms);
    watch.reset();
    CHECK(confirmations == 3);
    CHECK(absl::StrContains(fixture.http.requests[0].target, "wait_ms=0"));
    CHECK(fixture.http.requests[0].headTimeout == 1'000ms);
    CHECK(absl::StrContains(fixture.http.requests[1].target, "wait_ms=1200"));
    CHECK(absl::StrContains(fixture.http.requests[2].target, "wait_ms=1000"));
    CHECK(absl::StrContains(fixture.http.requests[3].target, "wait_ms=1200"));
}

TEST_CASE("a destroyed watch cancels its request and sends no more")
{
    StoreClientFixture fixture([](const HttpClientRequest&) {
        FakeHttpAnswer answer = FakeHttpAnswer::ok(R"({"events":[],"current_rev":8})");
        answer.delay = 100ms;
        return answer;
    });
    auto watch = fixture.store.watch("", 5, {});
    fixture.scheduler.advance(50ms);
    watch.reset();
    fixture.scheduler.advance(5s);
    CHECK(fixture.http.requests.size() == 1);
    CHECK(fixture.http.exchanges[0]->isCancelled);
}

TEST_CASE("keepAlive reports an expired lease as NotFound and an unavailable store as Unavailable")
{
    StoreClientFixture expired([](const HttpClientRequest&) { return withStatus(404, ""); });
    StoreClientFixture unavailable([](const HttpClientRequest&) { return withStatus(503, ""); });
    absl::Status first;
    absl::Status second;
    expired.store.keepAlive(7, [&](const absl::StatusOr<std::chrono::milliseconds>& remaining) { first = remaining.status(); });
    unavailable.store.keepAlive(7, [&](const absl::StatusOr<std::chrono::milliseconds>& remaining) { second = remaining.status(); });
    expired.scheduler.advance(1s);
    unavailable.scheduler.advance(1s);
    CHECK(absl::IsNotFound(first));
    CHECK(absl::IsUnavailable(second));
}

namespace {

FakeHttpAnswer inEra(FakeHttpAnswer answer, int era)
{
    answer.headers.set("Store-Era", std::to_string(era));
    return answer;
}

/// A store client, and the era that the store states.
struct EraFixture {
    FakeHttpAnswer answer(const HttpClientRequest& request) const
    {
        if (absl::StrContains(request.target, "/kv-lease-end/"))
            return inEra(withStatus(200, "{}"), era);
        if (absl::StrContains(request.target, "/kv-lease") || absl::StrContains(request.target, "/kv-keep/"))
            return inEra(withStatus(200, R"({"lease":7,"ttl_ms":4000})"), era);
        if (absl::StrContains(request.target, "/kv-range"))
            return inEra(withStatus(200, R"({"items":[{"key":"k","value":"","revision":8,"lease":7}],"truncated":false,"current_rev":10})"), era);
        if (absl::StrContains(request.target, "/kv-watch"))
            return inEra(withStatus(200, R"({"events":[{"key":"k","value":"","revision":12}],"current_rev":12})"), era);
        return inEra(withStatus(200, R"({"revision":11})"), era);
    }
    StoreLease grant()
    {
        std::optional<StoreLease> lease;
        client.store.grantLease(4s, [&](absl::StatusOr<StoreLease> granted) { lease = *granted; });
        client.scheduler.advance(1s);
        return lease.value_or(0);
    }
    SwapResult swap()
    {
        SwapResult result;
        client.store.compareAndSwap("k", 0, "v", 0, [&](SwapResult swapped) { result = swapped; });
        client.scheduler.advance(5s);
        return result;
    }
    std::size_t countCalls(const std::string& kind) const { return static_cast<std::size_t>(std::count(client.calls.begin(), client.calls.end(), kind)); }

    int era { 1 };
    StoreClientFixture client { [this](const HttpClientRequest& request) { return answer(request); } };
};

} // namespace

TEST_CASE("values, revisions and leases are of the era that the store states")
{
    EraFixture fixture;
    fixture.era = 3;
    CHECK((fixture.grant() == StoreLease { 3, 7 }));
    std::optional<StoreListing> listing;
    fixture.client.store.list("", [&](absl::StatusOr<StoreListing> listed) { listing = *listed; });
    fixture.client.scheduler.advance(1s);
    REQUIRE(listing);
    CHECK((listing->revision == StoreRevision { 3, 10 }));
    CHECK((listing->values[0].revision == StoreRevision { 3, 8 }));
    CHECK((listing->values[0].lease == StoreLease { 3, 7 }));
    CHECK((fixture.swap().revision == StoreRevision { 3, 11 }));
}

// The revision that the watch asked from may exist in the new era too, with other changes behind it.
TEST_CASE("a watch ends as out of range, and delivers nothing, when the store answers from a later era")
{
    EraFixture fixture;
    std::vector<StoreEvent> events;
    std::optional<absl::Status> end;
    std::unique_ptr<StoreWatch> watch = fixture.client.store.watch("", { 1, 11 }, { [&](const std::vector<StoreEvent>& given) { events = given; }, [&](const absl::Status& status) { end = status; } });
    fixture.client.scheduler.advance(5ms);
    CHECK(events.size() == 1);
    events.clear();
    fixture.era = 2;
    fixture.client.scheduler.advance(2s);
    REQUIRE(end);
    CHECK(absl::IsOutOfRange(*end));
    CHECK(events.empty());
}

TEST_CASE("a lease of an earlier era is neither renewed nor revoked, since its number may name another one")
{
    EraFixture fixture;
    StoreLease lease = fixture.grant();
    fixture.era = 2;
    absl::Status renewed;
    fixture.client.store.keepAlive(lease, [&](const absl::StatusOr<std::chrono::milliseconds>& left) { renewed = left.status(); });
    fixture.client.scheduler.advance(1s);
    CHECK(absl::IsNotFound(renewed));
    CHECK(fixture.countCalls("renew") == 1);
    renewed = absl::OkStatus();
    fixture.client.store.keepAlive(lease, [&](const absl::StatusOr<std::chrono::milliseconds>& left) { renewed = left.status(); });
    absl::Status revoked = absl::UnknownError("");
    fixture.client.store.revokeLease(lease, [&](const absl::Status& status) { revoked = status; });
    std::optional<SwapOutcome> written;
    fixture.client.store.compareAndSwap("k", 0, "", lease, [&](SwapResult result) { written = result.outcome; });
    fixture.client.scheduler.advance(1s);
    CHECK(absl::IsNotFound(renewed));
    CHECK(revoked.ok());
    CHECK(written == SwapOutcome::NotSent);
    CHECK(fixture.countCalls("renew") == 1);
    CHECK(fixture.countCalls("revoke") == 0);
    CHECK(fixture.countCalls("write") == 0);
}

// An entry that hears of the era from another one may revoke its lease before it has called the store.
TEST_CASE("a lease isn't revoked if the store turns out to be in a later era")
{
    EraFixture fixture;
    StoreLease lease = fixture.grant();
    fixture.era = 2;
    absl::Status revoked = absl::UnknownError("");
    fixture.client.store.revokeLease(lease, [&](const absl::Status& status) { revoked = status; });
    fixture.client.scheduler.advance(1s);
    CHECK(revoked.ok());
    CHECK(fixture.countCalls("revoke") == 0);
    lease = fixture.grant();
    fixture.client.store.revokeLease(lease, [&](const absl::Status& status) { revoked = status; });
    fixture.client.scheduler.advance(1s);
    CHECK(revoked.ok());
    CHECK(fixture.countCalls("revoke") == 1);
}

TEST_CASE("a conditional write on a revision of an earlier era is a conflict")
{
    EraFixture fixture;
    fixture.era = 2;
    fixture.grant();
    std::optional<SwapOutcome> swapped;
    std::optional<SwapOutcome> deleted;
    fixture.client.store.compareAndSwap("k", { 1, 8 }, "", 0, [&](SwapResult result) { swapped = result.outcome; });
    fixture.client.store.compareAndDelete("k", { 1, 8 }, [&](SwapResult result) { deleted = result.outcome; });
    fixture.client.scheduler.advance(1s);
    CHECK(swapped == SwapOutcome::Conflict);
    CHECK(deleted == SwapOutcome::Conflict);
    CHECK(fixture.countCalls("write") == 0);
}

TEST_CASE("a response of an earlier era that arrives late counts as none")
{
    EraFixture fixture;
    fixture.era = 2;
    fixture.grant();
    fixture.era = 1;
    std::optional<absl::Status> listed;
    fixture.client.store.list("", [&](const absl::StatusOr<StoreListing>& listing) { listed = listing.status(); });
    fixture.client.scheduler.advance(5s);
    REQUIRE(listed);
    CHECK(absl::IsUnavailable(*listed));
    CHECK(fixture.swap().outcome == SwapOutcome::Unknown);
}

TEST_CASE("a listing whose pages are of two eras fails")
{
    int era = 1;
    StoreClientFixture fixture([&era](const HttpClientRequest& request) {
        bool isFirst = !absl::StrContains(request.target, "after");
        return inEra(withStatus(200, isFirst ? R"({"items":[{"key":"p/1","value":"","revision":8}],"truncated":true,"current_rev":10})" : R"({"items":[],"truncated":false,"current_rev":14})"),
            era++);
    });
    std::optional<absl::Status> listed;
    fixture.store.list("p/", [&](const absl::StatusOr<StoreListing>& listing) { listed = listing.status(); });
    fixture.scheduler.advance(1s);
    REQUIRE(listed);
    CHECK(absl::IsUnavailable(*listed));
}

// Guards against an entry that hears of a new era by its renewals and yet waits for its next attempt to watch.
TEST_CASE("a new era in the answer to any call is reported once, and the first era isn't")
{
    EraFixture fixture;
    int reports = 0;
    fixture.client.store.setEraCallback([&] { ++reports; });
    StoreLease lease = fixture.grant();
    CHECK(reports == 0);
    fixture.era = 2;
    fixture.client.store.keepAlive(lease, [](const absl::StatusOr<std::chrono::milliseconds>&) {});
    fixture.client.scheduler.advance(1s);
    fixture.grant();
    CHECK(reports == 1);
}
