#include "catkinwing/Routing/Placement.h"

#include "catkinwing/Routing/PlacementExplanation.h"
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

static const TimePoint start { 1h };

static EndpointView makeEndpoint(int number)
{
    EndpointView endpoint;
    endpoint.name = "e" + std::to_string(number);
    endpoint.models = { "m" };
    endpoint.slots = 16;
    endpoint.credits = 16;
    return endpoint;
}

static CellView makeCell(int endpoints)
{
    CellView cell("caldas", "caldas-1");
    for (int i = 0; i < endpoints; ++i)
        cell.upsert(makeEndpoint(i));
    return cell;
}

static RoutingRequest makeRequest(double promptTokens = 1000)
{
    RoutingRequest request;
    request.model = "m";
    request.residency = Residency::within({ "caldas" });
    request.promptTokens = promptTokens;
    return request;
}

static NoPlacementReason reasonOf(const PlacementResult& result)
{
    REQUIRE(std::holds_alternative<NoPlacement>(result));
    return std::get<NoPlacement>(result).reason;
}

/// Requires that an endpoint is chosen at \c start, and returns its handle.
static EndpointHandle chooseHandle(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, Random& random, const RoutingPolicy& policy = {})
{
    PlacementResult result = choosePlacement(request, cell, prefixes, policy, random, start);
    REQUIRE(std::holds_alternative<Placement>(result));
    return std::get<Placement>(result).endpoint;
}

static const RoutingAlgorithm allAlgorithms[] = { RoutingAlgorithm::PredictedTimeToFirstToken, RoutingAlgorithm::RoundRobin,
    RoutingAlgorithm::LeastInFlight, RoutingAlgorithm::PowerOfTwoChoices };

TEST_CASE("the endpoint that has the prompt cached is chosen until its queue costs more than the hit saves")
{
    Random random(1);
    CellView cell = makeCell(5);
    PrefixIndex prefixes;
    RoutingRequest request = makeRequest(4000);
    request.prefixHashes.resize(60);
    for (std::size_t i = 0; i < 60; ++i)
        request.prefixHashes[i] = i + 1;
    prefixes.recordDispatch(2, request.prefixHashes);
    CHECK(chooseHandle(request, cell, prefixes, random) == 2);
    cell.recordReport(2, { start, 10, 0, 8000 });
    CHECK(chooseHandle(request, cell, prefixes, random) != 2);
}

TEST_CASE("own dispatches after a load report count before the next report")
{
    Random random(2);
    CellView cell = makeCell(2);
    cell.recordReport(0, { start - 1s, 4, 0, 0 });
    cell.recordReport(1, { start - 1s, 4, 0, 3000 });
    REQUIRE(chooseHandle(makeRequest(), cell, {}, random) <= 1);
    cell.recordDispatch(0, 9000, start - 500ms);
    CHECK(chooseHandle(makeRequest(), cell, {}, random) == 1);
}

TEST_CASE("endpoints with the adapter loaded are preferred, and those in slow start avoided")
{
    Random random(3);
    CellView cell = makeCell(4);
    cell.modify(1, [](EndpointView& view) { view.adapters = { "x", "a" }; });
    RoutingRequest request = makeRequest();
    request.adapter = "a";
    CHECK(chooseHandle(request, cell, {}, random) == 1);
    request.adapter.clear();
    cell.modify(2, [](EndpointView& view) { view.slowStartWeight = 0.2; });
    for (int i = 0; i < 50; ++i)
        CHECK(chooseHandle(request, cell, {}, random) != 2);
}

TEST_CASE("each reason for no placement is reported")
{
    Random random(4);
    CellView cell = makeCell(2);
    auto place = [&](const RoutingRequest& request) { return choosePlacement(request, cell, {}, {}, random, start); };
    RoutingRequest request = makeRequest();
    RoutingRequest other = request;
    other.model = "none";
    CHECK(reasonOf(place(other)) == NoPlacementReason::UnknownModel);
    request.triedEndpoints = { "e0", "e1" };
    CHECK(reasonOf(place(request)) == NoPlacementReason::AllTried);
    cell.modify(0, [](EndpointView& view) { view.ownInFlight = 16; });
    cell.modify(1, [](EndpointView& view) { view.state = EndpointState::Leaving; });
    CHECK(reasonOf(place(request)) == NoPlacementReason::NoSlot);
    cell.modify(0, [](EndpointView& view) { view.state = EndpointState::Ejected; });
    CHECK(reasonOf(place(request)) == NoPlacementReason::AllUnhealthy);
    cell.modify(0, [](EndpointView& view) { view.state = EndpointState::Leaving; });
    CHECK(reasonOf(place(request)) == NoPlacementReason::AllLeaving);
    request.residency = Residency::within({ "perth" });
    CHECK(reasonOf(place(request)) == NoPlacementReason::OutsideResidency);
}

TEST_CASE("no algorithm chooses an endpoint that is outside the residency, not open or already tried")
{
    constexpr std::uint64_t seed = 4711;
    CAPTURE(seed);
    Random random(seed);
    const std::vector<std::string> regions = { "caldas", "antioquia", "perth" };
    for (int round = 0; round < 2000; ++round) {
        CellView cell(regions[random.below(3)], "z");
        auto count = static_cast<int>(1 + random.below(80));
        for (int i = 0; i < count; ++i) {
            EndpointView endpoint = makeEndpoint(i);
            endpoint.state = static_cast<EndpointState>(random.below(3));
            endpoint.ownInFlight = static_cast<unsigned>(random.below(20));
            endpoint.slowStartWeight = 0.1 + 0.9 * random.unit();
            endpoint.report = EndpointLoadReport { start - random.below(5000) * 1ms, 3, 3, random.unit() * 9000 };
            cell.upsert(endpoint);
        }
        RoutingRequest request = makeRequest(random.unit() * 10000);
        request.residency = Residency::within({ regions[random.below(3)], regions[random.below(3)] });
        request.triedEndpoints = { "e" + std::to_string(random.below(5)) };
        request.sequence = random.bits();
        RoutingPolicy policy;
        policy.algorithm = allAlgorithms[random.below(4)];
        PlacementResult result = choosePlacement(request, cell, {}, policy, random, start);
        if (!isAllowed(request.residency, cell.region())) {
            REQUIRE(reasonOf(result) == NoPlacementReason::OutsideResidency);
            continue;
        }
        if (const auto* placement = std::get_if<Placement>(&result)) {
            REQUIRE(acceptsRequest(cell.endpoint(placement->endpoint)));
            REQUIRE_FALSE(wasTried(request, cell.endpoint(placement->endpoint).name));
        }
    }
}

TEST_CASE("entries with the same outdated view choose different endpoints")
{
    constexpr std::uint64_t seed = 99;
    CAPTURE(seed);
    Random random(seed);
    CellView cell = makeCell(12);
    for (int i = 0; i < 12; ++i)
        cell.recordReport(static_cast<EndpointHandle>(i), { start - 2s, 4, 0, 20000.0 + 40 * i });
    std::map<EndpointHandle, int> picks;
    for (int entry = 0; entry < 20; ++entry)
        picks[chooseHandle(makeRequest(), cell, {}, random)] += 1;
    CHECK(picks.size() >= 5);
    for (const auto& [endpoint, count] : picks)
        CHECK(count <= 6);
}

TEST_CASE("the choice among equal endpoints reaches all of them, also by sampling")
{
    Random random(5);
    CellView cell = makeCell(100);
    std::set<EndpointHandle> seen;
    for (int i = 0; i < 2000; ++i)
        seen.insert(chooseHandle(makeRequest(), cell, {}, random));
    CHECK(seen.size() == 100);
}

TEST_CASE("a sample always includes the endpoint that has the prompt cached")
{
    Random random(6);
    CellView cell = makeCell(500);
    PrefixIndex prefixes;
    RoutingRequest request = makeRequest(4000);
    request.prefixHashes = { 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 };
    prefixes.recordDispatch(321, request.prefixHashes);
    for (int i = 0; i < 20; ++i)
        CHECK(chooseHandle(request, cell, prefixes, random) == 321);
}

TEST_CASE("round robin chooses the endpoints in turn and skips closed ones")
{
    Random random(7);
    CellView cell = makeCell(3);
    cell.modify(1, [](EndpointView& view) { view.state = EndpointState::Leaving; });
    RoutingPolicy policy;
    policy.algorithm = RoutingAlgorithm::RoundRobin;
    std::vector<EndpointHandle> order;
    for (std::uint64_t sequence = 0; sequence < 6; ++sequence) {
        RoutingRequest request = makeRequest();
        request.sequence = sequence;
        order.push_back(chooseHandle(request, cell, {}, random, policy));
    }
    CHECK(order == std::vector<EndpointHandle> { 0, 2, 2, 0, 2, 2 });
}

TEST_CASE("least in flight chooses the least loaded endpoint, and power of two choices never the most loaded")
{
    Random random(8);
    CellView cell = makeCell(10);
    for (unsigned i = 0; i < 10; ++i)
        cell.modify(i, [i](EndpointView& view) { view.ownInFlight = 9 - i; });
    RoutingPolicy policy;
    policy.algorithm = RoutingAlgorithm::LeastInFlight;
    CHECK(chooseHandle(makeRequest(), cell, {}, random, policy) == 9);
    policy.algorithm = RoutingAlgorithm::PowerOfTwoChoices;
    std::map<EndpointHandle, int> picks;
    for (int i = 0; i < 2000; ++i)
        picks[chooseHandle(makeRequest(), cell, {}, random, policy)] += 1;
    CHECK(picks.count(0) == 0);
    CHECK(picks[9] > 300);
}

TEST_CASE("the explanation contains the choice, the cost terms and the exclusions")
{
    CellView cell = makeCell(4);
    cell.recordReport(1, { start, 4, 0, 5000 });
    cell.modify(2, [](EndpointView& view) { view.state = EndpointState::Leaving; });
    cell.modify(3, [](EndpointView& view) { view.ownInFlight = 16; });
    PlacementExplanation explanation = explainPlacement(makeRequest(), cell, {}, {}, start);
    REQUIRE(explanation.candidates.size() == 4);
    CHECK_FALSE(explanation.noPlacement);
    CHECK(explanation.candidates[0].endpoint == "e0");
    CHECK(explanation.candidates[0].nearBest);
    CHECK_FALSE(explanation.candidates[1].nearBest);
    CHECK(explanation.candidates[1].terms.queue > 500ms);
    CHECK(explanation.candidates[2].exclusion == ExclusionReason::Leaving);
    CHECK(explanation.candidates[3].exclusion == ExclusionReason::NoSlot);
    Random random(9);
    PlacementResult result = choosePlacement(makeRequest(), cell, {}, {}, random, start);
    CHECK(std::get<Placement>(result).predictedTimeToFirstToken == explanation.candidates[0].terms.total);
}

TEST_CASE("the explanation of a request that residency forbids lists no endpoint")
{
    RoutingRequest request = makeRequest();
    request.residency = Residency();
    PlacementExplanation explanation = explainPlacement(request, makeCell(3), {}, {}, start);
    CHECK(explanation.noPlacement == NoPlacementReason::OutsideResidency);
    CHECK(explanation.candidates.empty());
}
