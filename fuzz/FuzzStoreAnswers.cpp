#include "Coordination/FakeHttpClient.h"
#include "FuzzInput.h"
#include "catkinwing/Coordination/EtcdStore.h"
#include "catkinwing/Support/ManualScheduler.h"

using namespace catkinwing;

static constexpr StoreRevision expectedRevision = 5;

namespace {

/// A store that gives one answer to all calls, and the callbacks that came.
struct Bench {
    ManualScheduler scheduler;
    FakeHttpClient http { scheduler };
    std::unique_ptr<EtcdStore> store;
    int callbacks { 0 };
    int watchEnds { 0 };

    explicit Bench(const FakeHttpAnswer& answer)
    {
        http.handler = [answer](const HttpClientRequest&) { return answer; };
        EtcdStoreOptions options;
        options.servers = { { "127.0.0.1", 1 } };
        store = std::make_unique<EtcdStore>(http, scheduler, options);
    }
};

} // namespace

static void checkSwap(Bench& bench, const SwapResult& result)
{
    ++bench.callbacks;
    bool isCommitted = result.outcome == SwapOutcome::Committed;
    require(!isCommitted || result.revision > expectedRevision, "a write that was committed has a later revision");
    require(isCommitted || result.revision == 0, "a write that wasn't committed has no revision");
}

// Returns the number of calls made.
static int callAll(Bench& bench)
{
    auto count = [&bench](const auto&) { ++bench.callbacks; };
    auto onSwap = [&bench](const SwapResult& result) { checkSwap(bench, result); };
    bench.store->get("foo", [&bench](const absl::StatusOr<StoredValue>& value) {
        ++bench.callbacks;
        require(!value.ok() || value->key == "foo", "an answer is about the key that was asked for");
    });
    bench.store->list("c/", count);
    bench.store->compareAndSwap("foo", expectedRevision, "bar", 0, onSwap);
    bench.store->compareAndDelete("foo", expectedRevision, onSwap);
    bench.store->grantLease(std::chrono::seconds(3), count);
    bench.store->keepAlive(7, count);
    bench.store->revokeLease(7, count);
    return 7;
}

static void fuzzAnswer(int status, absl::string_view body)
{
    FakeHttpAnswer answer;
    answer.status = status;
    answer.body = { std::string(body.substr(0, body.size() / 2)), std::string(body.substr(body.size() / 2)) };
    Bench bench(answer);
    int calls = callAll(bench);
    auto watch = bench.store->watch("c/", expectedRevision, { [](const auto&) {}, [&bench](const auto&) { ++bench.watchEnds; } });
    bench.scheduler.advance(std::chrono::seconds(10));
    require(bench.callbacks == calls, "each call is answered once");
    require(bench.watchEnds == 1, "a watch ends once");
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr int ok = 200;
    constexpr int badRequest = 400;
    fuzzAnswer(ok, textOf(data, size));
    fuzzAnswer(badRequest, textOf(data, size));
    return 0;
}
