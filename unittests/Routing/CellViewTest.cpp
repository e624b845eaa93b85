#include "catkinwing/Routing/CellView.h"

#include "catkinwing/Support/Random.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static EndpointView makeEndpoint(const std::string& name, std::vector<std::string> models)
{
    EndpointView endpoint;
    endpoint.name = name;
    endpoint.models = std::move(models);
    endpoint.credits = 2;
    return endpoint;
}

TEST_CASE("an endpoint is removed from the open list at its limit and added again below it")
{
    CellView cell("caldas", "caldas-1");
    EndpointHandle handle = cell.upsert(makeEndpoint("e1", { "m", "m", "n" }));
    REQUIRE(cell.openEndpointsFor("m").size() == 1);
    cell.recordDispatch(handle, 10, TimePoint(1s));
    CHECK(cell.freeCredits("n") == 1);
    cell.recordDispatch(handle, 10, TimePoint(1s));
    CHECK(cell.openEndpointsFor("m").empty());
    CHECK(cell.endpointsFor("n").size() == 1);
    cell.recordRequestEnded(handle, TimePoint(2s));
    CHECK(cell.openEndpointsFor("n").size() == 1);
}

TEST_CASE("a removed endpoint is in no list, and its handle is reused")
{
    CellView cell("caldas", "caldas-1");
    EndpointHandle handle = cell.upsert(makeEndpoint("e1", { "m" }));
    cell.remove("e1");
    cell.remove("unknown");
    CHECK(cell.endpointsFor("m").empty());
    CHECK_FALSE(cell.contains(handle));
    CHECK_FALSE(cell.find("e1"));
    CHECK(cell.upsert(makeEndpoint("e2", { "m" })) == handle);
}

static std::size_t countOpen(const CellView& cell, const std::string& model)
{
    std::size_t count = 0;
    for (EndpointHandle handle : cell.endpointsFor(model))
        count += acceptsRequest(cell.endpoint(handle)) ? 1 : 0;
    return count;
}

static void modifyAtRandom(CellView& cell, EndpointHandle handle, Random& random)
{
    cell.modify(handle, [&random](EndpointView& view) {
        view.state = random.below(3) == 0 ? EndpointState::Leaving : EndpointState::Live;
        view.credits = static_cast<unsigned>(random.below(4));
        if (random.below(4) == 0)
            view.models = random.below(2) == 0 ? std::vector<std::string> { "m" } : std::vector<std::string> { "n", "m" };
    });
}

TEST_CASE("after random changes the open lists contain exactly the open endpoints")
{
    constexpr std::uint64_t seed = 20261;
    CAPTURE(seed);
    Random random(seed);
    CellView cell("caldas", "caldas-1");
    for (int step = 0; step < 4000; ++step) {
        std::string name = "e" + std::to_string(random.below(30));
        std::optional<EndpointHandle> handle = cell.find(name);
        std::uint64_t action = random.below(6);
        if (!handle)
            cell.upsert(makeEndpoint(name, { "m", "n" }));
        else if (action == 0)
            cell.remove(name);
        else if (action == 1)
            modifyAtRandom(cell, *handle, random);
        else if (action < 4)
            cell.recordDispatch(*handle, 1, TimePoint(1s));
        else
            cell.recordRequestEnded(*handle, TimePoint(2s));
        for (const char* model : { "m", "n" }) {
            REQUIRE(cell.openEndpointsFor(model).size() == countOpen(cell, model));
            for (EndpointHandle open : cell.openEndpointsFor(model))
                REQUIRE(cell.isOpenFor(open, model));
        }
    }
}
