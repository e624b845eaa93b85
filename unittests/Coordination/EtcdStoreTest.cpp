#include "catkinwing/Coordination/EtcdStore.h"

#include "FakeHttpClient.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace catkinwing;
using namespace std::chrono_literals;
using Json = nlohmann::json;

static SocketAddress firstServer()
{
    return { "127.0.0.1", 1 };
}

static SocketAddress secondServer()
{
    return { "127.0.0.1", 2 };
}

namespace {

struct Bench {
    ManualScheduler scheduler;
    FakeHttpClient http { scheduler };
    EtcdStoreOptions options;
    std::unique_ptr<EtcdStore> store;

    explicit Bench(const FakeHttpAnswer& answer)
        : Bench([answer](const HttpClientRequest&) { return answer; })
    {
    }

    explicit Bench(FakeHttpClient::Handler handler)
    {
        http.handler = std::move(handler);
        options.servers = { firstServer(), secondServer() };
        options.callerName = "entry-1";
        store = std::make_unique<EtcdStore>(http, scheduler, options);
    }

    SwapResult swap(StoreRevision expected = 5)
    {
        std::optional<SwapResult> result;
        store->compareAndSwap("foo", expected, "bar", 0, [&](SwapResult given) { result = given; });
        scheduler.advance(options.callTimeout);
        REQUIRE(result);
        return *result;
    }

    absl::StatusOr<StoredValue> get()
    {
        absl::StatusOr<StoredValue> result = absl::CancelledError();
        store->get("foo", [&](absl::StatusOr<StoredValue> given) { result = std::move(given); });
        scheduler.advance(options.callTimeout);
        return result;
    }

    Json lastBody() const { return Json::parse(http.requests.back().body); }
};

FakeHttpAnswer errorAnswer(int status, const std::string& body)
{
    FakeHttpAnswer answer = FakeHttpAnswer::ok(body);
    answer.status = status;
    return answer;
}

} // namespace

TEST_CASE("a key is read as the gateway gives it")
{
    Bench bench(FakeHttpAnswer::ok(R"({"header":{"revision":"9"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"7","version":"3","value":"YmFy"}],"count":"1"})"));
    auto value = bench.get();
    REQUIRE(value.ok());
    CHECK(value->value == "bar");
    CHECK(value->revision == 7);
    const HttpClientRequest& request = bench.http.requests.back();
    CHECK(request.method == "POST");
    CHECK(request.target == "/v3/kv/range");
    CHECK(*request.headers.find("Catkinwing-From") == "entry-1");
    CHECK(bench.lastBody() == Json::parse(R"({"key":"Zm9v"})"));
}

TEST_CASE("an absent key has revision zero")
{
    Bench bench(FakeHttpAnswer::ok(R"({"header":{"revision":"9"}})"));
    auto value = bench.get();
    REQUIRE(value.ok());
    CHECK(value->revision == 0);
}

TEST_CASE("an answer that does not follow the protocol is no answer")
{
    auto body = GENERATE(as<std::string> {}, "", "[]", "{}", "{\"header\":{}}", R"({"header":{"revision":"x"}})",
        R"({"header":{"revision":"9"},"kvs":{}})", R"({"header":{"revision":"9"},"kvs":[{"key":"Zm9v"}]})",
        R"({"header":{"revision":"9"},"kvs":[{"key":"Zm9v","mod_revision":"10"}]})",
        R"({"header":{"revision":"9"},"kvs":[{"key":"YmFy","mod_revision":"7"}]})",
        R"({"header":{"revision":"9"},"kvs":[{"key":"%%","mod_revision":"7"}]})");
    Bench bench(FakeHttpAnswer::ok(body));
    CHECK(absl::IsUnavailable(bench.get().status()));
    CHECK(bench.store->counters().malformed == 1);
    CHECK(bench.swap(100).outcome != SwapOutcome::Committed);
}

TEST_CASE("a prefix is listed by its range")
{
    Bench bench(FakeHttpAnswer::ok(R"({"header":{"revision":"9"},"kvs":[{"key":"Yy9h","mod_revision":"7"},{"key":"Yy9i","mod_revision":"8","value":"YmFy"}]})"));
    absl::StatusOr<StoreListing> listing = absl::CancelledError();
    bench.store->list("c/", [&](absl::StatusOr<StoreListing> given) { listing = std::move(given); });
    bench.scheduler.advance(1s);
    REQUIRE(listing.ok());
    CHECK(listing->revision == 9);
    REQUIRE(listing->values.size() == 2);
    CHECK(listing->values[1].key == "c/b");
    CHECK(bench.lastBody() == Json::parse(R"({"key":"Yy8=","range_end":"YzA="})"));
}

TEST_CASE("a swap compares the revision of its key")
{
    Bench bench(FakeHttpAnswer::ok(R"({"header":{"revision":"10"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"10"}}}]})"));
    SwapResult result = bench.swap(7);
    CHECK(result.outcome == SwapOutcome::Committed);
    CHECK(result.revision == 10);
    CHECK(bench.lastBody() == Json::parse(R"({"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL","mod_revision":"7"}],
        "success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]})"));
}

TEST_CASE("the outcome of a swap says no more than is known")
{
    struct Row {
        FakeHttpAnswer answer;
        SwapOutcome outcome;
    };
    const std::vector<Row> rows {
        { FakeHttpAnswer::ok(R"({"header":{"revision":"10"}})"), SwapOutcome::Conflict },
        { FakeHttpAnswer::ok("{}"), SwapOutcome::Unknown },
        { FakeHttpAnswer::ok(R"({"header":{"revision":"5"},"succeeded":true})"), SwapOutcome::Unknown },
        { FakeHttpAnswer::ok(R"({"header":{"revision":"6"},"succeeded":"yes"})"), SwapOutcome::Unknown },
        { FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false), SwapOutcome::NotSent },
        { FakeHttpAnswer::failed(HttpEnd::NoResponse, true), SwapOutcome::Unknown },
        { FakeHttpAnswer::failed(HttpEnd::Truncated, true), SwapOutcome::Unknown },
        { FakeHttpAnswer::failed(HttpEnd::TimedOut, true), SwapOutcome::Unknown },
        { errorAnswer(404, R"({"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"})"), SwapOutcome::NotSent },
        { errorAnswer(400, R"({"error":"etcdserver: request is too large","code":3,"message":"etcdserver: request is too large"})"), SwapOutcome::NotSent },
        { errorAnswer(503, R"({"error":"etcdserver: leader changed","code":14,"message":"etcdserver: leader changed"})"), SwapOutcome::Unknown },
        { errorAnswer(503, R"({"error":"etcdserver: request timed out","code":14})"), SwapOutcome::Unknown },
        { errorAnswer(500, "oops"), SwapOutcome::Unknown },
    };
    for (const auto& row : rows) {
        Bench bench(row.answer);
        CHECK(bench.swap().outcome == row.outcome);
    }
}

TEST_CASE("the next server is tried and kept when one can't be connected to")
{
    Bench bench([](const HttpClientRequest& request) {
        if (request.server == firstServer())
            return FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false);
        return FakeHttpAnswer::ok(R"({"header":{"revision":"10"},"succeeded":true})");
    });
    CHECK(bench.swap().outcome == SwapOutcome::Committed);
    CHECK(bench.http.requests.size() == 2);
    CHECK(bench.swap().outcome == SwapOutcome::Committed);
    CHECK(bench.http.requests.size() == 3);
    CHECK(bench.store->counters().of(StoreCall::Swap).sent == 3);
}

TEST_CASE("a read is repeated when its answer is lost and a swap is not")
{
    Bench bench([](const HttpClientRequest& request) {
        if (request.server == firstServer())
            return FakeHttpAnswer::failed(HttpEnd::NoResponse, true);
        return FakeHttpAnswer::ok(R"({"header":{"revision":"10"}})");
    });
    CHECK(bench.swap().outcome == SwapOutcome::Unknown);
    CHECK(bench.http.requests.size() == 1);
    CHECK(bench.get().ok());
    CHECK(bench.http.requests.size() == 3);
}

TEST_CASE("a call ends in time at a server that never answers")
{
    bool mayHaveReached = GENERATE(true, false);
    FakeHttpAnswer silence;
    silence.mayHaveReachedServer = mayHaveReached;
    silence.body = { "{" };
    silence.isLeftOpen = true;
    Bench bench(silence);
    CHECK(bench.swap().outcome == (mayHaveReached ? SwapOutcome::Unknown : SwapOutcome::NotSent));
    CHECK(bench.http.exchanges.back()->isCancelled);
    CHECK(absl::IsUnavailable(bench.get().status()));
}

TEST_CASE("calls beyond the rate are refused without being sent")
{
    Bench bench(FakeHttpAnswer::ok(R"({"header":{"revision":"10"},"succeeded":true})"));
    bench.options.writes = { 1, 2 };
    bench.store = std::make_unique<EtcdStore>(bench.http, bench.scheduler, bench.options);
    std::vector<SwapOutcome> outcomes;
    for (int i = 0; i < 3; ++i)
        bench.store->compareAndSwap("foo", 5, "bar", 0, [&](SwapResult given) { outcomes.push_back(given.outcome); });
    bench.scheduler.advance(2s);
    CHECK(std::count(outcomes.begin(), outcomes.end(), SwapOutcome::NotSent) == 1);
    CHECK(bench.http.requests.size() == 2);
    CHECK(bench.store->counters().of(StoreCall::Swap).refused == 1);
    CHECK(bench.swap().outcome == SwapOutcome::Committed);
}

TEST_CASE("a lease is asked for in whole seconds and a shorter one is refused")
{
    auto granted = GENERATE(as<std::string> {}, "3", "2");
    Bench bench(FakeHttpAnswer::ok(R"({"header":{},"ID":"7587848390","TTL":")" + granted + "\"}"));
    absl::StatusOr<StoreLease> lease = absl::CancelledError();
    bench.store->grantLease(2500ms, [&](absl::StatusOr<StoreLease> given) { lease = std::move(given); });
    bench.scheduler.advance(1s);
    CHECK(bench.lastBody()["TTL"] == "3");
    CHECK(lease.ok() == (granted == "3"));
}

TEST_CASE("a renewal tells what is left or that the lease has lapsed")
{
    Bench bench(FakeHttpAnswer::ok("{\"result\":{\"header\":{},\"ID\":\"4\",\"TTL\":\"9\"}}\n"));
    absl::StatusOr<std::chrono::milliseconds> left = absl::CancelledError();
    auto done = [&](absl::StatusOr<std::chrono::milliseconds> given) { left = std::move(given); };
    bench.store->keepAlive(4, done);
    bench.scheduler.advance(1s);
    REQUIRE(left.ok());
    CHECK(*left == 9s);
    bench.http.handler = [](const HttpClientRequest&) { return FakeHttpAnswer::ok("{\"result\":{\"header\":{},\"ID\":\"4\"}}\n"); };
    bench.store->keepAlive(4, done);
    bench.scheduler.advance(1s);
    CHECK(absl::IsNotFound(left.status()));
}

TEST_CASE("a renewal with a time to live that can't be is no answer")
{
    auto timeToLive = GENERATE(as<std::string> {}, "9223372036854775807", "9223372036854776");
    Bench bench(FakeHttpAnswer::ok(R"({"result":{"header":{},"ID":"4","TTL":")" + timeToLive + "\"}}\n"));
    absl::StatusOr<std::chrono::milliseconds> left = absl::CancelledError();
    bench.store->keepAlive(4, [&](absl::StatusOr<std::chrono::milliseconds> given) { left = std::move(given); });
    bench.scheduler.advance(1s);
    CHECK(absl::IsUnavailable(left.status()));
    CHECK(bench.store->counters().malformed == 1);
}

TEST_CASE("a deeply nested answer is read like any other")
{
    constexpr std::size_t depth = 300'000;
    std::string nested = std::string(depth, '[') + std::string(depth, ']');
    Bench bench(FakeHttpAnswer::ok(R"({"header":{"revision":"9"},"more":)" + nested + "}"));
    auto value = bench.get();
    REQUIRE(value.ok());
    CHECK(value->revision == 0);
}

static constexpr const char* watchStream = R"({"result":{"header":{"revision":"9"},"created":true}}
{"result":{"header":{"revision":"10"},"events":[{"kv":{"key":"Yy9h","mod_revision":"10","value":"YmFy"}}]}}
{"result":{"header":{"revision":"12"},"events":[{"type":"DELETE","kv":{"key":"Yy9h","mod_revision":"11"}},{"type":"PUT","kv":{"key":"Yy9i","mod_revision":"12"}}]}}
)";

TEST_CASE("a watch gives the same events wherever its stream is split")
{
    const std::string stream = watchStream;
    for (std::size_t split = 0; split <= stream.size(); ++split) {
        FakeHttpAnswer answer;
        answer.body = { stream.substr(0, split), stream.substr(split) };
        answer.isLeftOpen = true;
        Bench bench(answer);
        std::vector<StoreEvent> events;
        auto watch = bench.store->watch("c/", 10, { [&](const auto& given) { events.insert(events.end(), given.begin(), given.end()); }, nullptr });
        bench.scheduler.advance(1s);
        REQUIRE(events.size() == 3);
        CHECK(events[0].current.value == "bar");
        CHECK(events[1].isDeletion);
        CHECK(events[2].current.key == "c/b");
        CHECK(bench.lastBody() == Json::parse(R"({"create_request":{"key":"Yy8=","range_end":"YzA=","start_revision":"10"}})"));
        watch.reset();
        CHECK(bench.http.exchanges.back()->isCancelled);
    }
}

TEST_CASE("a watch ends once and says why")
{
    struct Row {
        FakeHttpAnswer answer;
        absl::StatusCode code;
    };
    const std::vector<Row> rows {
        { FakeHttpAnswer::ok("{\"result\":{\"canceled\":true,\"compact_revision\":\"20\"}}\n{}\n"), absl::StatusCode::kOutOfRange },
        { FakeHttpAnswer::ok("{\"result\":{\"canceled\":true}}\n"), absl::StatusCode::kUnavailable },
        { FakeHttpAnswer::ok("garbage\nmore\n"), absl::StatusCode::kUnavailable },
        { FakeHttpAnswer::ok("{\"result\":{\"events\":[{\"type\":\"MOVE\"}]}}\n"), absl::StatusCode::kUnavailable },
        { FakeHttpAnswer::ok(""), absl::StatusCode::kUnavailable },
        { FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false), absl::StatusCode::kUnavailable },
        { errorAnswer(403, R"({"code":7,"message":"etcdserver: permission denied"})"), absl::StatusCode::kPermissionDenied },
    };
    for (const auto& row : rows) {
        Bench bench(row.answer);
        std::vector<absl::Status> ends;
        auto watch = bench.store->watch("c/", 10, { [](const auto&) {}, [&](const absl::Status& status) { ends.push_back(status); } });
        bench.scheduler.advance(1s);
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].code() == row.code);
    }
}

TEST_CASE("a watch whose next message is too long to read ends as out of range")
{
    Bench bench(FakeHttpAnswer::ok(std::string(2'000, 'x')));
    bench.options.maxAnswerBytes = 1'000;
    bench.store = std::make_unique<EtcdStore>(bench.http, bench.scheduler, bench.options);
    absl::Status end;
    auto watch = bench.store->watch("c/", 10, { {}, [&](const absl::Status& status) { end = status; } });
    bench.scheduler.advance(1s);
    CHECK(absl::IsOutOfRange(end));
}

TEST_CASE("a store that is gone calls nobody back")
{
    Bench bench(FakeHttpAnswer::ok("{}"));
    bool isCalled = false;
    bench.store->get("foo", [&](const auto&) { isCalled = true; });
    bench.store.reset();
    bench.scheduler.advance(5s);
    CHECK_FALSE(isCalled);
}
