#include "catkinwing/Routing/PromptPlacement.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// Endpoints that prefill 50 tokens a millisecond and decode for 200 ms.
struct Fleet {
    std::vector<std::string> names;
    std::vector<Duration> backlog;
    std::vector<double> requests;
    std::vector<bool> caches;

    explicit Fleet(std::size_t size)
        : backlog(size, 0ms)
        , requests(size, 0)
        , caches(size, false)
    {
        for (std::size_t i = 0; i < size; ++i)
            names.push_back("endpoint-" + std::to_string(i));
    }

    std::vector<PlacementCandidate> candidatesFor(std::int64_t promptTokens, std::int64_t sharedTokens, Duration maxWait) const
    {
        std::vector<PlacementCandidate> candidates;
        for (std::size_t i = 0; i < names.size(); ++i) {
            std::int64_t tokens = promptTokens - (caches[i] ? sharedTokens : 0);
            PlacementCandidate candidate;
            candidate.index = i;
            candidate.incarnation = names[i];
            candidate.wait = backlog[i];
            candidate.prefill = std::chrono::milliseconds(tokens / 50);
            candidate.evicted = caches[i] ? 0ms : std::chrono::milliseconds(sharedTokens / 50);
            candidate.decode = 200ms;
            candidate.requests = requests[i];
            candidate.isTooBusy = backlog[i] > maxWait;
            candidate.cachesSegment = caches[i];
            candidates.push_back(candidate);
        }
        return candidates;
    }
};

} // namespace

TEST_CASE("a burst of long prompts over short ones: short ones keep away from endpoints that prefill")
{
    Fleet fleet(8);
    for (std::size_t i = 0; i < 4; ++i)
        fleet.backlog[i] = 400ms;
    Random random(1);
    int behindPrompts = 0;
    constexpr int draws = 1'000;
    for (int i = 0; i < draws; ++i)
        behindPrompts += *choosePlacement(fleet.candidatesFor(400, 0, 450ms), "", random) < 4 ? 1 : 0;
    // Both of two random endpoints prefill in a quarter of the draws.
    CHECK(behindPrompts < draws * 3 / 10);
}

TEST_CASE("a burst of long prompts over short ones: long prompts gather where few streams run")
{
    Fleet fleet(8);
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.requests[i] = i < 2 ? 1 : 10;
        fleet.backlog[i] = i < 2 ? 300ms : 0ms;
    }
    Random random(2);
    // The prompt takes 340 ms: ten streams that each lose that weigh more than a wait of 300 ms.
    int gathered = 0;
    int possible = 0;
    for (int i = 0; i < 200; ++i) {
        std::string segment = "segment-" + std::to_string(i);
        auto candidates = fleet.candidatesFor(17'000, 13'000, 1'000ms);
        std::size_t chosen = *choosePlacement(candidates, segment, random);
        gathered += chosen < 2 ? 1 : 0;
        ++possible;
    }
    // Two owners and two random endpoints of eight include one of the two in about seven of ten cases.
    CHECK(gathered > possible * 6 / 10);
}

TEST_CASE("long prompts leave an endpoint whose backlog exceeds their longest wait")
{
    Fleet fleet(3);
    fleet.caches[1] = true;
    fleet.backlog[1] = 600ms;
    Random random(3);
    for (int i = 0; i < 100; ++i)
        CHECK(*choosePlacement(fleet.candidatesFor(17'000, 13'000, 500ms), "segment", random) != 1);
}

TEST_CASE("a long prompt goes to the endpoint that caches its segment while that is idle")
{
    Fleet fleet(20);
    fleet.caches[7] = true;
    Random random(4);
    for (int i = 0; i < 100; ++i)
        CHECK(*choosePlacement(fleet.candidatesFor(17'000, 13'000, 500ms), "segment", random) == 7);
}

TEST_CASE("a prefill weighs as much at a full endpoint with many slots as at one with few")
{
    PlacementCandidate few;
    few.prefill = 100ms;
    few.requests = few.slots = 12;
    PlacementCandidate many = few;
    many.requests = many.slots = 128;
    CHECK(placementCost(few) == placementCost(many));
    many.requests = 64;
    CHECK(placementCost(many) < placementCost(few));
}

TEST_CASE("the largest prompts go to the fastest endpoints")
{
    Random random(5);
    std::array<int, 2> chosen {};
    for (int i = 0; i < 200; ++i) {
        std::vector<PlacementCandidate> candidates;
        PlacementCandidate slow { 0, "slow", 0ms, 340ms, 260ms, 800ms, 2, 0 };
        PlacementCandidate fast { 1, "fast", 0ms, 140ms, 110ms, 330ms, 2, 0 };
        candidates = { slow, fast };
        ++chosen[*choosePlacement(candidates, "segment", random)];
    }
    CHECK(chosen[1] == 200);
}

TEST_CASE("a request finds an endpoint among suspects only if there are no others")
{
    Random random(6);
    PlacementCandidate suspect { 0, "a", 0ms, 10ms, 0ms, 10ms, 0, 0, true };
    PlacementCandidate sound { 1, "b", 90ms, 10ms, 0ms, 10ms, 4, 0 };
    for (int i = 0; i < 20; ++i)
        CHECK(*choosePlacement(std::vector<PlacementCandidate> { suspect, sound }, "", random) == 1);
    CHECK(*choosePlacement(std::vector<PlacementCandidate> { suspect }, "", random) == 0);
    sound.isTooBusy = true;
    CHECK_FALSE(choosePlacement(std::vector<PlacementCandidate> { sound }, "", random));
    CHECK_FALSE(choosePlacement(std::vector<PlacementCandidate> {}, "segment", random));
}
