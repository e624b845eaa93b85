#include "catkinwing/Routing/PrefixIndex.h"

#include "catkinwing/Support/Random.h"
#include <catch2/catch.hpp>

using namespace catkinwing;

using Hashes = std::vector<std::uint64_t>;

static Hashes makeHashes(std::size_t count, std::uint64_t from = 1)
{
    Hashes hashes;
    for (std::size_t i = 0; i < count; ++i)
        hashes.push_back(from + i);
    return hashes;
}

static double tokensAt(const PrefixIndex& index, EndpointHandle endpoint, const Hashes& hashes)
{
    for (const CachedPrefix& prefix : index.cachedTokens(hashes)) {
        if (prefix.endpoint == endpoint)
            return prefix.tokens;
    }
    return 0;
}

static CacheEvent storedEvent(std::uint64_t sequence, Hashes hashes)
{
    return { "a", sequence, CacheEventKind::Stored, std::move(hashes), std::nullopt };
}

/// Returns a policy with ten tokens per block and clearly distinct weights.
static PrefixIndexPolicy testPolicy()
{
    PrefixIndexPolicy policy;
    policy.tokensPerBlock = 10;
    policy.dispatchedWeight = 0.8;
    policy.gapFactor = 0.5;
    return policy;
}

TEST_CASE("own dispatches have less weight until an event confirms them")
{
    PrefixIndex index(testPolicy());
    Hashes prompt = makeHashes(4);
    index.recordDispatch(3, prompt);
    CHECK(tokensAt(index, 3, prompt) == Approx(32));
    index.applyEvent(3, storedEvent(1, prompt));
    CHECK(tokensAt(index, 3, prompt) == Approx(40));
    index.recordDispatch(3, prompt);
    CHECK(tokensAt(index, 3, prompt) == Approx(40));
}

TEST_CASE("some depths of a long prompt are kept, and its cached depth is known to within an eighth")
{
    // Depths 1 to 15, eight for each of four doublings, and depth 256.
    constexpr std::size_t keptDepths = 15 + 4 * 8 + 1;
    PrefixIndex index(testPolicy());
    Hashes prompt = makeHashes(256);
    for (std::size_t length = 1; length <= 256; ++length) {
        CacheEvent event = storedEvent(length, Hashes(prompt.begin(), prompt.begin() + static_cast<std::ptrdiff_t>(length)));
        event.firstBlock = 0;
        index.applyEvent(0, event);
        double exact = 10.0 * static_cast<double>(length);
        REQUIRE(tokensAt(index, 0, prompt) <= exact);
        REQUIRE(tokensAt(index, 0, prompt) > exact * 7 / 8);
    }
    CHECK(index.size() == keptDepths);
    PrefixIndex dispatched(testPolicy());
    dispatched.recordDispatch(0, prompt);
    CHECK(dispatched.size() == keptDepths);
    CacheEvent tail = storedEvent(1, Hashes(prompt.begin() + 200, prompt.end()));
    tail.firstBlock = 200;
    dispatched.applyEvent(0, tail);
    CHECK(dispatched.size() == keptDepths);
}

TEST_CASE("one lookup returns the cached depth of each endpoint")
{
    PrefixIndex index(testPolicy());
    Hashes prompt = makeHashes(4);
    index.applyEvent(0, storedEvent(1, prompt));
    index.applyEvent(1, storedEvent(1, Hashes(prompt.begin(), prompt.begin() + 2)));
    index.applyEvent(2, storedEvent(1, makeHashes(4, 1000)));
    CHECK(index.cachedTokens(prompt).size() == 2);
    CHECK(tokensAt(index, 0, prompt) == Approx(40));
    CHECK(tokensAt(index, 1, prompt) == Approx(20));
}

TEST_CASE("a gap in an endpoint's events reduces the weight of its blocks without removing them")
{
    PrefixIndex index(testPolicy());
    Hashes prompt = makeHashes(4);
    Hashes other = makeHashes(2, 500);
    index.applyEvent(0, storedEvent(1, prompt));
    index.applyEvent(1, storedEvent(1, prompt));
    index.applyEvent(0, storedEvent(3, other));
    CHECK(tokensAt(index, 0, prompt) == Approx(20));
    CHECK(tokensAt(index, 0, other) == Approx(20));
    CHECK(tokensAt(index, 1, prompt) == Approx(40));
    index.applyEvent(0, storedEvent(7, other));
    CHECK(tokensAt(index, 0, prompt) == Approx(10));
    index.applyEvent(0, storedEvent(8, prompt));
    CHECK(tokensAt(index, 0, prompt) == Approx(40));
}

TEST_CASE("a repeated event changes nothing")
{
    PrefixIndex index(testPolicy());
    Hashes prompt = makeHashes(2);
    index.applyEvent(0, storedEvent(4, prompt));
    index.applyEvent(0, { "a", 5, CacheEventKind::Evicted, prompt, {} });
    index.applyEvent(0, storedEvent(4, prompt));
    CHECK(tokensAt(index, 0, prompt) == 0);
    CHECK(index.size() == 0);
}

TEST_CASE("evicted and cleared events remove blocks of their endpoint only")
{
    PrefixIndex index(testPolicy());
    Hashes prompt = makeHashes(4);
    index.applyEvent(0, storedEvent(1, prompt));
    index.applyEvent(1, storedEvent(1, prompt));
    index.applyEvent(0, { "a", 2, CacheEventKind::Evicted, { prompt[2], prompt[3] }, {} });
    CHECK(tokensAt(index, 0, prompt) == Approx(20));
    index.applyEvent(0, { "a", 3, CacheEventKind::Cleared, {}, {} });
    CHECK(tokensAt(index, 0, prompt) == 0);
    CHECK(tokensAt(index, 1, prompt) == Approx(40));
}

TEST_CASE("a new incarnation discards the blocks, and late events of the previous one are ignored")
{
    PrefixIndex index(testPolicy());
    Hashes prompt = makeHashes(4);
    index.setIncarnation(0, "a");
    index.applyEvent(0, storedEvent(9, prompt));
    index.setIncarnation(0, "b");
    CHECK(tokensAt(index, 0, prompt) == 0);
    index.applyEvent(0, storedEvent(10, prompt));
    CHECK(tokensAt(index, 0, prompt) == 0);
    index.applyEvent(0, { "b", 1, CacheEventKind::Stored, prompt, {} });
    CHECK(tokensAt(index, 0, prompt) == Approx(40));
    index.remove(0);
    CHECK(tokensAt(index, 0, prompt) == 0);
}

TEST_CASE("scoped hashes of different models or adapters differ")
{
    Hashes prompt = makeHashes(2);
    CHECK(scopedPrefixHashes(prompt, "m", "") != scopedPrefixHashes(prompt, "n", ""));
    CHECK(scopedPrefixHashes(prompt, "m", "") != scopedPrefixHashes(prompt, "m", "a"));
    CHECK(scopedPrefixHashes(prompt, "m", "a") == scopedPrefixHashes(prompt, "m", "a"));
}

TEST_CASE("the memory limit holds, and the ends of old prompts are evicted first")
{
    PrefixIndexPolicy policy = testPolicy();
    policy.maxBytes = std::size_t { 1024 } * 1024;
    PrefixIndex index(policy);
    Hashes shared = makeHashes(8);
    for (std::uint64_t prompt = 0; prompt < 3000; ++prompt) {
        Hashes hashes = shared;
        for (std::uint64_t hash : makeHashes(20, 1000 * (prompt + 1)))
            hashes.push_back(hash);
        index.recordDispatch(static_cast<EndpointHandle>(prompt % 100), hashes);
        REQUIRE(index.memoryBytes() <= policy.maxBytes);
    }
    CHECK(index.cachedTokens(shared).size() > 10);
    CHECK(index.size() > 5000);
}
