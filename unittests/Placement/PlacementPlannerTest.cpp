#include "catkinwing/Placement/PlacementPlanner.h"

#include "catkinwing/Support/Random.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;

static PlannedEndpoint endpoint(const std::string& name, std::set<std::string> models = {}, std::uint64_t memoryBytes = 100)
{
    PlannedEndpoint made;
    made.name = name;
    made.memoryBytes = memoryBytes;
    made.capacity = 100;
    made.current.models = std::move(models);
    return made;
}

static PlacementInput input(std::size_t endpoints, const std::set<std::string>& models = {})
{
    PlacementInput made;
    for (std::size_t i = 0; i < endpoints; ++i)
        made.endpoints.push_back(endpoint("e" + std::to_string(i), models));
    made.models["a"] = { 60, "", 1 };
    made.models["b"] = { 60, "", 0 };
    made.adapters["a-x"] = { 10, "a", 0 };
    made.loadBudgetBytes = 1e9;
    return made;
}

static std::size_t replicas(const PlacementPlan& plan, const std::string& name)
{
    return static_cast<std::size_t>(std::count_if(plan.desired.begin(), plan.desired.end(), [&](const auto& item) {
        return item.second.models.count(name) != 0 || item.second.adapters.count(name) != 0;
    }));
}

/// Makes what was planned the current state.
static void carryOut(PlacementInput& given, const PlacementPlan& plan)
{
    for (auto& each : given.endpoints) {
        auto desired = plan.desired.find(each.name);
        if (desired != plan.desired.end())
            each.current = desired->second;
    }
}

TEST_CASE("floors and demand are met from nothing")
{
    PlacementInput given = input(5);
    given.modelDemand["b"] = 200;
    PlacementPlan plan = planPlacement(given, {});
    CHECK(replicas(plan, "a") == 1);
    CHECK(replicas(plan, "b") == 3);
    CHECK(plan.loads.size() == 4);
    CHECK(plan.unloads == 0);
    CHECK(plan.unplaced.empty());
}

TEST_CASE("demand that swings within the hysteresis moves nothing")
{
    PlacementInput given = input(6, { "a" });
    given.modelDemand = { { "a", 300 }, { "b", 120 } };
    carryOut(given, planPlacement(given, {}));
    std::size_t moves = 0;
    for (int i = 0; i < 50; ++i) {
        double swing = i % 2 == 0 ? 1.1 : 0.8;
        given.modelDemand = { { "a", 300 * swing }, { "b", 120 / swing } };
        PlacementPlan plan = planPlacement(given, {});
        carryOut(given, plan);
        moves += plan.loads.size();
    }
    CHECK(moves <= 1);
}

TEST_CASE("a spare replica makes room and floors and the last in use stay")
{
    PlacementInput given = input(3, { "a" });
    given.modelDemand["b"] = 1000;
    given.models["a"].floor = 2;
    CHECK(replicas(planPlacement(given, {}), "a") == 2);
    CHECK(replicas(planPlacement(given, {}), "b") == 1);
    given.models["a"].floor = 0;
    for (auto& each : given.endpoints)
        each.inFlight["a"] = 1;
    PlacementPlan plan = planPlacement(given, {});
    CHECK(replicas(plan, "a") == 1);
    CHECK(replicas(plan, "b") == 2);
    CHECK(plan.unloads == 2);
}

TEST_CASE("a replica that the demand needs is not taken")
{
    PlacementInput given = input(3, { "a" });
    given.modelDemand = { { "a", 150 }, { "b", 100 } };
    PlacementPlan plan = planPlacement(given, {});
    CHECK(replicas(plan, "a") == 3);
    CHECK(plan.unplaced == std::vector<std::string> { "b" });
}

TEST_CASE("loads beyond the budget are put off with what they would push out")
{
    PlacementInput given = input(4, { "a" });
    given.modelDemand["b"] = 1000;
    given.loadBudgetBytes = 61;
    PlacementPlan plan = planPlacement(given, {});
    CHECK(plan.loads.size() == 2);
    CHECK(plan.deferred == 1);
    CHECK(replicas(plan, "a") == 2);
    given.loadBudgetBytes = -1;
    CHECK(planPlacement(given, {}).unloads == 0);
}

TEST_CASE("what a leaving endpoint has is loaded elsewhere")
{
    PlacementInput given = input(2);
    given.endpoints[0].current.models = { "a" };
    given.endpoints[0].isLeaving = true;
    PlacementPlan plan = planPlacement(given, {});
    CHECK(plan.desired.count("e0") == 0);
    CHECK(plan.desired["e1"].models == std::set<std::string> { "a" });
}

TEST_CASE("an adapter goes where its base model is and not elsewhere")
{
    PlacementInput given = input(3);
    given.endpoints[1].current.models = { "a" };
    given.adapterDemand["a-x"] = 10;
    PlacementPlan plan = planPlacement(given, {});
    CHECK(plan.desired["e1"].adapters == std::set<std::string> { "a-x" });
    CHECK(replicas(plan, "a-x") == 1);
}

TEST_CASE("demand that moves to a new version replaces the old one")
{
    PlacementInput given = input(4, { "m@2" });
    given.models = { { "m@2", { 60, "", 0 } }, { "m@3", { 60, "", 1 } } };
    given.modelDemand = { { "m@2", 100 }, { "m@3", 50 } };
    carryOut(given, planPlacement(given, {}));
    given.modelDemand = { { "m@3", 150 } };
    PlacementPlan plan = planPlacement(given, {});
    CHECK(replicas(plan, "m@3") == 2);
    CHECK(replicas(plan, "m@2") == 2);
}

TEST_CASE("what the configuration does not know is left alone")
{
    PlacementInput given = input(1, { "unknown" });
    given.models.clear();
    PlacementPlan plan = planPlacement(given, {});
    CHECK(plan.desired["e0"].models == std::set<std::string> { "unknown" });
}

namespace {

/// A random input with four models and eight adapters.
PlacementInput randomInput(Random& random)
{
    PlacementInput given;
    for (std::size_t i = 0; i < 4; ++i) {
        std::string model = "m" + std::to_string(i);
        given.models[model] = { 20 + random.below(60), "", random.below(3) };
        given.modelDemand[model] = static_cast<double>(random.below(600));
        for (const char* suffix : { "-x", "-y" }) {
            given.adapters[model + suffix] = { 1 + random.below(10), model, random.below(2) };
            given.adapterDemand[model + suffix] = static_cast<double>(random.below(100));
        }
    }
    for (std::size_t i = 0; i < 8; ++i) {
        std::string model = "m" + std::to_string(random.below(4));
        PlannedEndpoint made = endpoint("e" + std::to_string(i), { model }, 90 + random.below(100));
        made.capacity = static_cast<double>(50 + random.below(200));
        made.current.adapters = { model + "-x" };
        made.inFlight[model] = random.below(2);
        given.endpoints.push_back(std::move(made));
    }
    given.loadBudgetBytes = 1e9;
    return given;
}

std::size_t replicasBefore(const PlacementInput& given, const std::string& name)
{
    return static_cast<std::size_t>(std::count_if(given.endpoints.begin(), given.endpoints.end(), [&](const auto& each) {
        return each.current.models.count(name) != 0 || each.current.adapters.count(name) != 0;
    }));
}

} // namespace

TEST_CASE("every plan keeps to memory and floors and planning again settles")
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        PlacementInput given = randomInput(random);
        PlacementPlan plan = planPlacement(given, {});
        for (const auto& each : given.endpoints) {
            std::uint64_t bytes = 0;
            for (const auto& model : plan.desired[each.name].models)
                bytes += given.models[model].bytes;
            for (const auto& adapter : plan.desired[each.name].adapters) {
                bytes += given.adapters[adapter].bytes;
                REQUIRE(plan.desired[each.name].models.count(given.adapters[adapter].model) == 1);
            }
            REQUIRE(bytes <= each.memoryBytes);
        }
        for (const auto& [model, facts] : given.models)
            REQUIRE(replicas(plan, model) >= std::min(replicasBefore(given, model), facts.floor));
        for (const auto& [adapter, facts] : given.adapters)
            REQUIRE(replicas(plan, adapter) >= std::min(replicasBefore(given, adapter), facts.floor));
        // A plan takes away nothing that it added; the next may, once.
        carryOut(given, plan);
        PlacementPlan second = planPlacement(given, {});
        REQUIRE(second.loads.size() <= 1);
        carryOut(given, second);
        PlacementPlan third = planPlacement(given, {});
        REQUIRE(third.loads.empty());
        REQUIRE(third.unloads == 0);
    }
}
