#include "Coordination/FakeHttpClient.h"
#include "FuzzInput.h"
#include "catkinwing/Support/ManualScheduler.h"
#include "platform/PlatformStore.h"
#include <absl/strings/str_split.h>

using namespace catkinwing;

static constexpr StoreRevision expectedRevision = 5;
static constexpr int expectedCallbacks = 7;

namespace {

/// A store that gives one answer to all calls, and the callbacks that came. The answers name the
/// given eras in turn; an empty one is not named.
struct Bench {
    Bench(FakeHttpAnswer answer, std::vector<std::string> erasInTurn)
        : eras(std::move(erasInTurn))
    {
        answer.delay = std::chrono::milliseconds(50);
        http.handler = [this, answer](const HttpClientRequest&) { return withNextEra(answer); };
    }

    FakeHttpAnswer withNextEra(FakeHttpAnswer answer)
    {
        const std::string& era = eras[answers++ % eras.size()];
        if (!era.empty())
            answer.headers.add("Store-Era", era);
        return answer;
    }

    std::vector<std::string> eras;
    std::size_t answers { 0 };
    ManualScheduler scheduler;
    FakeHttpClient http { scheduler };
    platform::PlatformStore store { http, scheduler, { { "127.0.0.1", 1 } }, [](const char*) {} };
    int callbacks { 0 };
    int watchEnds { 0 };
};

} // namespace

static void callAll(Bench& bench)
{
    auto count = [&bench](const auto&) { ++bench.callbacks; };
    auto onSwap = [&bench](const SwapResult& result) {
        ++bench.callbacks;
        require(result.outcome == SwapOutcome::Committed || result.revision == 0, "a write that wasn't committed has no revision");
    };
    bench.store.get("foo", count);
    bench.store.list("c/", count);
    bench.store.compareAndSwap("foo", expectedRevision, "bar", 0, onSwap);
    bench.store.compareAndDelete("foo", expectedRevision, onSwap);
    bench.store.grantLease(std::chrono::seconds(3), count);
    bench.store.keepAlive(7, count);
    bench.store.revokeLease(7, count);
}

static void fuzzAnswer(int status, absl::string_view input)
{
    // The eras precede the first line break.
    std::size_t end = input.find('\n');
    bool hasEras = end != absl::string_view::npos;
    std::vector<std::string> eras { "" };
    if (hasEras)
        eras = absl::StrSplit(input.substr(0, end), ',');
    absl::string_view body = hasEras ? input.substr(end + 1) : input;

    FakeHttpAnswer answer;
    answer.status = status;
    answer.body = { std::string(body.substr(0, body.size() / 2)), std::string(body.substr(body.size() / 2)) };
    Bench bench(answer, eras);
    callAll(bench);
    auto watch = bench.store.watch("c/", expectedRevision, { [](const auto&) {}, [&bench](const auto&) { ++bench.watchEnds; } });
    bench.scheduler.advance(std::chrono::seconds(10));
    require(bench.callbacks == expectedCallbacks, "each call is answered once");
    require(bench.watchEnds <= 1, "a watch ends at most once");
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr int ok = 200;
    constexpr int conditionFailed = 412;
    fuzzAnswer(ok, textOf(data, size));
    fuzzAnswer(conditionFailed, textOf(data, size));
    return 0;
}
