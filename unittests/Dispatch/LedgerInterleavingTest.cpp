#include "LedgerWorld.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace catkinwing;
using namespace std::chrono_literals;

// Two entries with real ledgers share one shard. Every run is tried that departs
// at most a stated number of times from the run in which all goes well. A
// departure is: another operation or message overtakes the next one; an answer
// of the store is lost, with the write applied, applied later, or never; a write
// isn't sent; a reading fails; an answer of the store takes its time; a message is lost; an entry freezes, or wakes with
// its timers or its inbox first; an entry's process is replaced; an entry takes
// the other for the coordinator; time passes to the next timeout; a run turns out not to have happened.

namespace {

struct Exploration {
    std::size_t runs { 0 };
    std::size_t longest { 0 };
    std::size_t executions { 0 };
    std::string violation;
};

} // namespace

static constexpr auto testRetention = 60s;

static LedgerLayout smallLayout()
{
    LedgerLayout layout;
    layout.shards = 1;
    layout.slots = 2;
    layout.retention = testRetention;
    layout.retentionMargin = 1s;
    return layout;
}

static Exploration explore(const Scenario& scenario, unsigned departures)
{
    Exploration result;
    ScheduleExplorer explorer(departures);
    do {
        LedgerWorld world(scenario, explorer);
        world.run();
        ++result.runs;
        result.longest = std::max(result.longest, world.steps());
        result.executions += world.executions();
        result.violation = world.violation();
    } while (result.violation.empty() && explorer.advance());
    return result;
}

static void report(const std::string& name, unsigned departures, const Exploration& result)
{
    std::cout << name << ": " << result.runs << " interleavings with at most " << departures << " departures, longest "
              << result.longest << " steps, " << result.executions << " executions"
              << (result.violation.empty() ? "" : ", found: " + result.violation) << "\n";
}

static void requireKept(const std::string& name, const Scenario& scenario, unsigned departures)
{
    Exploration result = explore(scenario, departures);
    report(name, departures, result);
    CHECK(result.violation.empty());
    CHECK(result.executions > 0);
}

static void requireFound(const std::string& name, const Scenario& scenario, unsigned departures)
{
    Exploration result = explore(scenario, departures);
    report(name, departures, result);
    CHECK(result.violation.find("executed twice") != std::string::npos);
}

static ScriptStep request(std::size_t entry, const std::string& key)
{
    return { ScriptStep::Kind::Request, entry, key, {} };
}

static ScriptStep wait(Duration span)
{
    return { ScriptStep::Kind::Wait, 0, "", span };
}

static Scenario concurrentClaims()
{
    Scenario scenario;
    scenario.layout = smallLayout();
    scenario.script = { request(0, "k"), request(1, "k") };
    return scenario;
}

static Scenario successiveClaims()
{
    Scenario scenario = concurrentClaims();
    scenario.script.push_back(request(0, "k"));
    scenario.quietSteps = scenario.script.size();
    return scenario;
}

/// The third claim fills the generation, and each entry swaps by itself.
static Scenario rotatingClaims()
{
    LedgerGeneration full;
    for (std::uint64_t serial = 1; serial <= 3; ++serial)
        full.add({ {}, 0, { "a", 1, serial } });
    Scenario scenario;
    scenario.layout = smallLayout();
    scenario.layout.targetDocumentBytes = maxEncodedBytes(full);
    scenario.coordinators = { 0, 1 };
    scenario.script = { request(0, "first"), request(0, "k"), request(1, "other"), request(1, "k") };
    scenario.quietSteps = 1;
    scenario.fixedSteps = 1;
    scenario.repeats = 1;
    return scenario;
}

/// The key's generation is sealed, and dropped when it is old enough; the key
/// is used again before and after.
static Scenario expiringClaims()
{
    Scenario scenario;
    scenario.layout = smallLayout();
    scenario.repeats = 1;
    scenario.coordinators = { 0, 1 };
    scenario.script = {
        request(0, "k"),
        request(1, "first"),
        wait(testRetention),
        request(1, "seals 0"),
        request(1, "opens 1"),
        request(1, "k"),
        wait(testRetention + 2s),
        request(1, "seals 1"),
        request(1, "opens 2"),
        request(1, "k"),
        request(0, "k"),
    };
    scenario.quietSteps = scenario.script.size();
    return scenario;
}

TEST_CASE("without departures each key runs exactly once")
{
    for (const Scenario& scenario : { concurrentClaims(), successiveClaims(), rotatingClaims() }) {
        ScheduleExplorer explorer(0);
        LedgerWorld world(scenario, explorer);
        world.run();
        CHECK(world.violation().empty());
        CHECK(world.executionsOf("k") == 1);
    }
}

TEST_CASE("an expired key runs once more, and not before")
{
    ScheduleExplorer explorer(0);
    Scenario scenario = expiringClaims();
    LedgerWorld world(scenario, explorer);
    world.run();
    CHECK(world.violation().empty());
    CHECK(world.executionsOf("k") == 2);
}

TEST_CASE("no interleaving of concurrent claims runs a key twice")
{
    requireKept("concurrent claims", concurrentClaims(), 3);
}

TEST_CASE("no interleaving of successive claims runs a key twice")
{
    requireKept("successive claims", successiveClaims(), 3);
}

TEST_CASE("no interleaving of claims during a change of generation runs a key twice")
{
    requireKept("change of generation", rotatingClaims(), 3);
}

TEST_CASE("no interleaving of claims and expiry runs a key twice while it is kept")
{
    requireKept("expiry", expiringClaims(), 2);
}

TEST_CASE("the check finds the double run if a lost answer counts as won")
{
    Scenario scenario = concurrentClaims();
    scenario.faults.takesUnknownForCommitted = true;
    requireFound("lost answer taken for won", scenario, 2);
}

TEST_CASE("the check finds the double run if the coordinator grants before its swap")
{
    Scenario scenario = concurrentClaims();
    scenario.faults.grantsBeforeSwap = true;
    requireFound("coordinator's word is enough", scenario, 2);
}

TEST_CASE("the check finds the double run if a generation opens without sealing the last")
{
    Scenario scenario = rotatingClaims();
    scenario.faults.opensWithoutSealing = true;
    requireFound("generation not sealed", scenario, 2);
}

TEST_CASE("the check finds the double run if a late win is still run")
{
    Scenario scenario = expiringClaims();
    scenario.faults.ignoresClaimTimeout = true;
    requireFound("late win is run", scenario, 2);
}

TEST_CASE("the check finds the double run if a generation is dropped early")
{
    Scenario scenario = rotatingClaims();
    scenario.faults.dropsEarly = true;
    scenario.layout.targetDocumentBytes = 1;
    scenario.script = { request(0, "k"), request(0, "1"), request(0, "2"), request(0, "3"), request(0, "4"), request(1, "k") };
    scenario.quietSteps = scenario.script.size();
    requireFound("generation dropped early", scenario, 1);
}
