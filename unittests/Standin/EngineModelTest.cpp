#include "catkinwing/Standin/EngineModel.h"
#include "catkinwing/Support/ManualScheduler.h"
#include "catkinwing/Support/PrefixHash.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

static EngineSettings smallEngine()
{
    EngineSettings settings;
    settings.slots = 2;
    settings.maxWaiting = 3;
    settings.prefillTokensPerSecond = 1'000;
    settings.decodeTokensPerSecond = 10;
    settings.batchSlowdown = 0.5;
    settings.prefillChunkTokens = 100;
    settings.loadLag = 1s;
    settings.events.lag = 200ms;
    return settings;
}

/// What one job told its owner, and when.
struct Observed {
    bool isStarted { false };
    bool isFinished { false };
    std::size_t cachedTokens { 0 };
    std::vector<std::string> tokens;
    std::vector<std::size_t> indexes;
    TimePoint firstToken;
    TimePoint finished;
};

class Engine {
public:
    explicit Engine(EngineSettings settings = smallEngine())
        : model(scheduler, settings)
    {
    }

    JobId submit(Observed& observed, EngineJob job)
    {
        auto id = trySubmit(observed, std::move(job));
        REQUIRE(id.ok());
        return *id;
    }
    absl::StatusOr<JobId> trySubmit(Observed& observed, EngineJob job)
    {
        EngineJobCallbacks callbacks;
        callbacks.onStart = [&observed](std::size_t cached) {
            observed.isStarted = true;
            observed.cachedTokens = cached;
        };
        callbacks.onToken = [this, &observed](std::size_t index, const std::string& text) {
            if (observed.tokens.empty())
                observed.firstToken = scheduler.clock().now();
            observed.indexes.push_back(index);
            observed.tokens.push_back(text);
        };
        callbacks.onFinish = [this, &observed] {
            observed.isFinished = true;
            observed.finished = scheduler.clock().now();
        };
        return model.submit(std::move(job), std::move(callbacks));
    }

    ManualScheduler scheduler;
    EngineModel model;
};

static EngineJob job(const std::string& prompt, std::size_t outputTokens, int priority = 0)
{
    return { prompt, outputTokens, 0, priority };
}

static std::string promptOf(std::size_t tokens, char letter = 'p')
{
    return std::string(tokens * bytesPerToken, letter);
}

TEST_CASE("one stream takes its prefill and then a step for each token")
{
    Engine engine;
    Observed observed;
    engine.submit(observed, job(promptOf(200), 3));
    engine.scheduler.advance(5s);
    // 200 tokens at 1,000 a second, then two steps of a tenth of a second.
    CHECK(observed.firstToken.time_since_epoch() == 200ms);
    CHECK(observed.finished.time_since_epoch() == 400ms);
    CHECK(observed.indexes == std::vector<std::size_t> { 0, 1, 2 });
}

TEST_CASE("streams in one batch slow each other")
{
    Engine engine;
    Observed first;
    Observed second;
    engine.submit(first, job(promptOf(10, 'a'), 11));
    engine.submit(second, job(promptOf(10, 'b'), 11));
    engine.scheduler.advance(10s);
    // Both prefills share a step; ten steps of 1.5 times a tenth follow.
    CHECK(first.finished.time_since_epoch() == 1520ms);
    CHECK(second.finished == first.finished);
}

TEST_CASE("a slot goes to the lowest priority number, then to the first")
{
    Engine engine;
    Observed running[2];
    engine.submit(running[0], job(promptOf(10, 'a'), 5));
    engine.submit(running[1], job(promptOf(10, 'b'), 50));
    engine.scheduler.advance(30ms);
    Observed late;
    Observed urgent;
    Observed next;
    engine.submit(late, job(promptOf(10, 'c'), 1, 5));
    engine.submit(urgent, job(promptOf(10, 'd'), 100, 1));
    engine.submit(next, job(promptOf(10, 'e'), 1, 5));
    Observed refused;
    CHECK(absl::IsResourceExhausted(engine.trySubmit(refused, job("x", 1)).status()));
    engine.scheduler.advance(2s);
    CHECK(running[0].isFinished);
    CHECK(urgent.isStarted);
    CHECK_FALSE(late.isStarted);
    engine.scheduler.advance(20s);
    REQUIRE(late.isFinished);
    CHECK(late.finished < next.finished);
}

TEST_CASE("a cancelled job frees its slot and says nothing more")
{
    Engine engine;
    Observed long1;
    Observed long2;
    JobId first = engine.submit(long1, job(promptOf(10, 'a'), 1'000));
    engine.submit(long2, job(promptOf(10, 'b'), 1'000));
    Observed waiting;
    engine.submit(waiting, job(promptOf(10, 'c'), 1));
    engine.scheduler.advance(1s);
    CHECK_FALSE(waiting.isStarted);
    std::size_t seen = long1.tokens.size();
    engine.model.cancel(first);
    engine.scheduler.advance(1s);
    CHECK(waiting.isFinished);
    CHECK(long1.tokens.size() == seen);
    CHECK_FALSE(long1.isFinished);
}

TEST_CASE("a job may be cancelled by its own token")
{
    Engine engine;
    JobId id = 0;
    int tokens = 0;
    EngineJobCallbacks callbacks;
    callbacks.onToken = [&](std::size_t, const std::string&) {
        ++tokens;
        engine.model.cancel(id);
    };
    callbacks.onFinish = [] { FAIL("a cancelled job finished"); };
    id = engine.model.submit(job(promptOf(10), 5), callbacks).value();
    engine.scheduler.advance(5s);
    CHECK(tokens == 1);
}

TEST_CASE("every engine gives a prompt the same answer, with its marker first")
{
    Engine one;
    EngineSettings other = smallEngine();
    other.seed = 99;
    Engine two(other);
    Observed first;
    Observed second;
    one.submit(first, job("size? marker=SWAN-7 please", 6));
    two.submit(second, job("size? marker=SWAN-7 please", 6));
    one.scheduler.advance(5s);
    two.scheduler.advance(5s);
    CHECK(first.tokens == second.tokens);
    CHECK(first.tokens.at(0) == "SWAN-7");
    Observed different;
    one.submit(different, job("size? marker=SWAN-7 thanks", 6));
    one.scheduler.advance(5s);
    CHECK(different.tokens != first.tokens);
}

TEST_CASE("a resumed job goes on with the same tokens")
{
    Engine engine;
    Observed whole;
    Observed rest;
    engine.submit(whole, job("a prompt", 8));
    EngineJob resumed = job("a prompt", 8);
    resumed.resumeFrom = 5;
    engine.submit(rest, resumed);
    engine.scheduler.advance(5s);
    CHECK(rest.indexes == std::vector<std::size_t> { 5, 6, 7 });
    CHECK(rest.tokens == std::vector<std::string>(whole.tokens.begin() + 5, whole.tokens.end()));
}

TEST_CASE("a cached prefix shortens the prefill, an evicted one does not")
{
    EngineSettings settings = smallEngine();
    settings.cacheBlocks = 4;
    Engine engine(settings);
    std::string shared(4 * prefixBlockBytes, 's');
    Observed cold;
    engine.submit(cold, job(shared, 1));
    engine.scheduler.advance(1s);
    CHECK(cold.cachedTokens == 0);
    Observed warm;
    engine.submit(warm, job(shared + "and more", 1));
    engine.scheduler.advance(1s);
    CHECK(warm.cachedTokens == 256);
    Observed pushing;
    engine.submit(pushing, job(std::string(2 * prefixBlockBytes, 'z'), 1));
    engine.scheduler.advance(1s);
    Observed half;
    engine.submit(half, job(shared, 1));
    engine.scheduler.advance(1s);
    CHECK(half.cachedTokens == 128);
}

TEST_CASE("cache events are published late, in order, with the shared hashes")
{
    EngineSettings settings = smallEngine();
    settings.cacheBlocks = 2;
    Engine engine(settings);
    std::string first(2 * prefixBlockBytes, 'a');
    std::string second(prefixBlockBytes, 'b');
    Observed observed[2];
    engine.submit(observed[0], job(first, 1));
    engine.scheduler.advance(250ms);
    REQUIRE(observed[0].isFinished);
    CHECK(engine.model.cacheEvents(0).events.empty());
    engine.scheduler.advance(200ms);
    engine.submit(observed[1], job(second, 1));
    engine.scheduler.advance(1s);
    CacheEventPage page = engine.model.cacheEvents(0);
    REQUIRE(page.events.size() == 3);
    CHECK(page.first == 1);
    CHECK(page.next == 4);
    CHECK(page.events[0].hashes == prefixHashes(first));
    CHECK(page.events[1].hashes == prefixHashes(second));
    CHECK(page.events[2].kind == CacheEventKind::Evicted);
    CHECK(page.events[2].hashes == std::vector<std::uint64_t> { prefixHashes(first)[1] });
    CHECK(engine.model.cacheEvents(2).events.size() == 1);
}

TEST_CASE("a lost cache event shows as a gap in the sequence")
{
    CacheEventLog log({ 0s, 0.5, 10 }, 3);
    for (std::uint64_t i = 0; i < 20; ++i)
        log.append(CacheEventKind::Stored, { i }, TimePoint {});
    CacheEventPage page = log.read(0, TimePoint {});
    CHECK(page.first == 11);
    CHECK(page.next == 21);
    CHECK_FALSE(page.events.empty());
    CHECK(page.events.size() < 10);
}

TEST_CASE("the load is as old as its last sample")
{
    Engine engine;
    Observed observed[3];
    for (Observed& one : observed)
        engine.submit(one, job("x", 1'000));
    engine.scheduler.advance(900ms);
    CHECK(engine.model.load().running == 0);
    engine.scheduler.advance(200ms);
    CHECK(engine.model.load().running == 2);
    CHECK(engine.model.load().waiting == 1);
    CHECK(engine.model.load().sampledAt.time_since_epoch() == 1s);
}

TEST_CASE("a slow engine takes longer for each step")
{
    Engine engine;
    engine.model.setSlowFactor(3);
    Observed observed;
    engine.submit(observed, job(promptOf(100), 2));
    engine.scheduler.advance(5s);
    CHECK(observed.finished.time_since_epoch() == 600ms);
}
