#include "catkinwing/Routing/EndpointChoice.h"

#include <catch2/catch.hpp>
#include <map>

using namespace catkinwing;
using namespace std::chrono_literals;

static std::vector<EndpointCandidate> makeCandidates(const std::vector<std::string>& names)
{
    std::vector<EndpointCandidate> list;
    for (std::size_t i = 0; i < names.size(); ++i)
        list.push_back({ i, names[i], 0s, 0s, false, false, false });
    return list;
}

static const std::vector<std::string> names { "a", "b", "c", "d", "e" };

TEST_CASE("all entries choose the same endpoint for a shared segment")
{
    std::vector<EndpointCandidate> list = makeCandidates(names);
    std::map<std::size_t, int> counts;
    for (int segment = 0; segment < 500; ++segment) {
        Random firstRandom(1);
        Random secondRandom(2);
        EndpointDemand demand { std::to_string(segment) };
        std::optional<std::size_t> chosen = chooseEndpoint(list, demand, firstRandom);
        CHECK(chosen == chooseEndpoint(list, demand, secondRandom));
        ++counts[*chosen];
    }
    for (const auto& [index, count] : counts)
        CHECK(count > 60);
    CHECK(counts.size() == names.size());
}

TEST_CASE("removing an endpoint moves only the shared segments that it owned")
{
    Random random(1);
    std::vector<EndpointCandidate> all = makeCandidates(names);
    std::vector<EndpointCandidate> fewer(all.begin(), all.end() - 1);
    for (int segment = 0; segment < 200; ++segment) {
        EndpointDemand demand { std::to_string(segment) };
        std::size_t before = *chooseEndpoint(all, demand, random);
        if (before != all.back().index)
            CHECK(*chooseEndpoint(fewer, demand, random) == before);
    }
}

// The owner by hash may have been in slow start or unavailable when the segment was
// prefilled, so that another endpoint caches it.
TEST_CASE("a request goes to the least busy endpoint that caches its shared segment")
{
    Random random(1);
    std::vector<EndpointCandidate> list = makeCandidates(names);
    EndpointDemand demand { "part", 200ms };
    std::size_t owner = *chooseEndpoint(list, demand, random);
    std::size_t holder = (owner + 1) % list.size();
    std::size_t other = (owner + 2) % list.size();
    list[holder].cachesSegment = true;
    list[holder].wait = 300ms;
    CHECK(chooseEndpoint(list, demand, random) == holder);
    list[other].cachesSegment = true;
    list[other].wait = 100ms;
    CHECK(chooseEndpoint(list, demand, random) == other);
    list[other].isSuspect = true;
    CHECK(chooseEndpoint(list, demand, random) == holder);
    list[holder].wait = 1'500ms;
    CHECK(chooseEndpoint(list, demand, random) == owner);
}

TEST_CASE("an owner whose wait is far above the mean is not chosen")
{
    Random random(1);
    std::vector<EndpointCandidate> list = makeCandidates(names);
    EndpointDemand demand { "part", 200ms };
    std::size_t owner = *chooseEndpoint(list, demand, random);
    list[owner].wait = 700ms;
    CHECK(*chooseEndpoint(list, demand, random) == owner);
    list[owner].wait = 1'500ms;
    CHECK(*chooseEndpoint(list, demand, random) != owner);
    for (EndpointCandidate& candidate : list)
        candidate.wait = 1'500ms;
    CHECK(*chooseEndpoint(list, demand, random) == owner);
}

TEST_CASE("the wait for an owner may exceed the maximum by at most twice the segment's prefill time")
{
    Random random(1);
    std::vector<EndpointCandidate> list = makeCandidates(names);
    EndpointDemand demand { "part", 200ms, 500ms };
    std::size_t owner = *chooseEndpoint(list, demand, random);
    for (EndpointCandidate& candidate : list) {
        candidate.wait = 899ms;
        candidate.isTooBusy = true;
    }
    CHECK(chooseEndpoint(list, demand, random) == owner);
    list[owner].wait = 901ms;
    CHECK(chooseEndpoint(list, demand, random) != owner);
    for (EndpointCandidate& candidate : list)
        candidate.wait = 901ms;
    CHECK_FALSE(chooseEndpoint(list, demand, random));
}

TEST_CASE("an endpoint that is too busy is not chosen, even if it is the only candidate")
{
    Random random(1);
    std::vector<EndpointCandidate> list = makeCandidates({ "a" });
    list[0].isTooBusy = true;
    CHECK_FALSE(chooseEndpoint(list, {}, random));
}

TEST_CASE("suspects are chosen only if all candidates are suspects")
{
    Random random(1);
    std::vector<EndpointCandidate> list = makeCandidates(names);
    for (EndpointCandidate& candidate : list)
        candidate.isSuspect = candidate.index != 3;
    for (int i = 0; i < 50; ++i)
        CHECK(chooseEndpoint(list, {}, random) == 3u);
    list[3].isSuspect = true;
    CHECK(chooseEndpoint(list, {}, random).has_value());
    CHECK_FALSE(chooseEndpoint({}, {}, random).has_value());
}

TEST_CASE("without a shared segment the less loaded of two random candidates is chosen")
{
    Random random(1);
    std::vector<EndpointCandidate> list = makeCandidates(names);
    list[0].load = 100ms;
    for (int i = 0; i < 200; ++i)
        CHECK(chooseEndpoint(list, {}, random) != 0u);
}
