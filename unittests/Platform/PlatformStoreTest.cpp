#include "platform/PlatformStore.h"

#include "Coordination/FakeHttpClient.h"
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
