#include "catkinwing/Admission/RegionalShares.h"

#include "RegionFake.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Team, the daemons where it is backlogged, and its fair share of the region.
struct ExpectedShare {
    std::string team;
    std::vector<std::string> daemons;
    double share;
};

static void startBacklogs(RegionFake& region, const std::vector<ExpectedShare>& expected)
{
    for (const ExpectedShare& entry : expected) {
        for (const std::string& daemon : entry.daemons)
            region.setBacklogged(entry.team, daemon, true);
    }
}

/// Runs for \p span and returns the largest shortfall of a team, as a
/// fraction of its share.
static double maxShortfall(RegionFake& region, const std::vector<ExpectedShare>& expected, Duration span)
{
    region.resetServed();
    region.run(span);
    double total = 0;
    for (const ExpectedShare& entry : expected)
        total += region.served(entry.team);
    double maximum = 0;
    for (const ExpectedShare& entry : expected)
        maximum = std::max(maximum, 1 - region.served(entry.team) / total / entry.share);
    return maximum;
}

static std::vector<DaemonSpec> daemonsNamed(const std::vector<std::string>& names)
{
    std::vector<DaemonSpec> specs;
    specs.reserve(names.size());
    for (const std::string& name : names)
        specs.push_back({ name });
    return specs;
}

TEST_CASE("a team that uses two daemons gets its share once")
{
    for (std::uint64_t seed : { 1, 2, 3 }) {
        INFO("seed " << seed);
        RegionFake region(daemonsNamed({ "x", "y" }), { teamOf("a", 1), teamOf("b", 1), teamOf("c", 1) }, seed);
        std::vector<ExpectedShare> expected { { "a", { "x", "y" }, 1.0 / 3 }, { "b", { "x" }, 1.0 / 3 }, { "c", { "y" }, 1.0 / 3 } };
        startBacklogs(region, expected);
        CHECK(maxShortfall(region, expected, 30s) < 0.05);
        CHECK(maxShortfall(region, expected, 30s) < 0.05);
    }
}

TEST_CASE("teams get their shares from daemons of very different capacity")
{
    for (std::uint64_t seed : { 1, 2, 3 }) {
        INFO("seed " << seed);
        RegionFake region({ { "x", 20, 20000 }, { "y", 2, 2000 } }, { teamOf("a", 1), teamOf("b", 1), teamOf("c", 1) }, seed);
        // The share of c is limited by the capacity of the small daemon.
        std::vector<ExpectedShare> expected { { "a", { "x", "y" }, 5.0 / 11 }, { "b", { "x" }, 5.0 / 11 }, { "c", { "y" }, 1.0 / 11 } };
        startBacklogs(region, expected);
        CHECK(maxShortfall(region, expected, 30s) < 0.05);
        CHECK(maxShortfall(region, expected, 30s) < 0.05);
    }
}

TEST_CASE("teams get their shares from many daemons with slow heartbeats")
{
    std::vector<std::string> allDaemons { "d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8" };
    for (std::uint64_t seed : { 1, 2, 3 }) {
        INFO("seed " << seed);
        RegionFake region(daemonsNamed(allDaemons), { teamOf("a", 1), teamOf("b", 2), teamOf("c", 7) }, seed);
        region.heartbeatInterval = 1s;
        region.heartbeatDelay = 1s;
        std::vector<ExpectedShare> expected { { "a", allDaemons, 0.1 }, { "b", allDaemons, 0.2 }, { "c", allDaemons, 0.7 } };
        startBacklogs(region, expected);
        for (int window = 0; window < 4; ++window)
            CHECK(maxShortfall(region, expected, 30s) < 0.05);
    }
}

TEST_CASE("a team that has one daemon to itself leaves the other daemon to the second team")
{
    for (std::uint64_t seed : { 1, 2, 3 }) {
        INFO("seed " << seed);
        RegionFake region(daemonsNamed({ "x", "y" }), { teamOf("a", 1), teamOf("b", 1) }, seed);
        std::vector<ExpectedShare> expected { { "a", { "x", "y" }, 0.5 }, { "b", { "x" }, 0.5 } };
        startBacklogs(region, expected);
        CHECK(maxShortfall(region, expected, 30s) < 0.1);
        CHECK(maxShortfall(region, expected, 30s) < 0.05);
        CHECK(maxShortfall(region, expected, 30s) < 0.05);
    }
}

TEST_CASE("teams with the same backlog at all daemons get the same rate from each daemon")
{
    std::vector<std::string> allDaemons { "x", "y", "z" };
    RegionFake region(daemonsNamed(allDaemons), { teamOf("a", 1), teamOf("b", 1), teamOf("c", 1) }, 6);
    startBacklogs(region, { { "a", allDaemons, 1.0 / 3 }, { "b", allDaemons, 1.0 / 3 }, { "c", allDaemons, 1.0 / 3 } });
    region.run(30min);
    region.resetServed();
    region.run(60s);
    for (const char* team : { "a", "b", "c" }) {
        for (const std::string& daemon : allDaemons)
            CHECK(region.served(team, daemon) == Approx(60 * 8000 / 3.0).epsilon(0.2));
    }
}

TEST_CASE("teams keep their shares after the heartbeats were blocked for an hour")
{
    RegionFake region(daemonsNamed({ "x", "y" }), { teamOf("a", 1), teamOf("b", 1) }, 7);
    std::vector<ExpectedShare> expected { { "a", { "x", "y" }, 0.5 }, { "b", { "x" }, 0.5 } };
    startBacklogs(region, expected);
    region.run(30s);
    region.setPartitioned("x", "y", true);
    region.run(60min);
    // Each daemon divides its own capacity among the teams that it serves.
    region.resetServed();
    region.run(30s);
    CHECK(region.served("a", "x") / region.served("b", "x") == Approx(1).epsilon(0.05));

    region.setPartitioned("x", "y", false);
    region.setBacklogged("a", "y", false);
    region.run(10s);
    region.resetServed();
    region.run(30s);
    CHECK(region.served("a", "x") / region.served("b", "x") == Approx(1).epsilon(0.1));
}

TEST_CASE("a team whose daemon fails gets its share from the other daemon within seconds")
{
    RegionFake region(daemonsNamed({ "x", "y" }), { teamOf("a", 1), teamOf("b", 1) }, 8);
    region.setBacklogged("a", "y", true);
    region.setBacklogged("b", "x", true);
    region.run(60s);
    // Daemon y becomes unreachable without notice, and the clients of team a use
    // daemon x instead.
    region.setPartitioned("x", "y", true);
    region.setBacklogged("a", "y", false);
    region.setBacklogged("a", "x", true);
    region.run(10s);
    region.resetServed();
    region.run(10s);
    CHECK(region.served("a", "x") / region.served("b", "x") == Approx(1).epsilon(0.1));
}

TEST_CASE("teams keep their shares after a daemon restarts")
{
    RegionFake region(daemonsNamed({ "x", "y" }), { teamOf("a", 1), teamOf("b", 1), teamOf("c", 1) }, 9);
    std::vector<ExpectedShare> expected { { "a", { "x", "y" }, 1.0 / 3 }, { "b", { "x" }, 1.0 / 3 }, { "c", { "y" }, 1.0 / 3 } };
    startBacklogs(region, expected);
    region.run(30s);
    region.restart("y");
    CHECK(maxShortfall(region, expected, 30s) < 0.05);
}

TEST_CASE("counters that decrease, repeat or belong to an older incarnation are ignored")
{
    SharePolicy policy;
    RegionalShares shares(policy);
    TimePoint now {};
    LocalServiceRates localRates { 1000, 1000, 2000 };
    auto receive = [&](std::uint64_t incarnation, std::uint64_t tokens) {
        shares.apply({ "peer", incarnation }, { "a", "m", tokens }, now);
    };
    auto remoteRate = [&] {
        RegionalStanding standing = shares.standing("a", localRates, now);
        return standing.isShared ? localRates.fairRate * std::exp(-standing.logDeficit) - localRates.teamRate : 0;
    };
    receive(2, 1000000);
    // The first counter only sets the baseline.
    CHECK(remoteRate() == 0);
    now += 10s;
    receive(2, 1010000);
    double rateBefore = remoteRate();
    CHECK(rateBefore == Approx(1000).epsilon(0.05));
    receive(2, 1005000);
    receive(1, 9000000);
    receive(2, 1010000);
    CHECK(remoteRate() == Approx(rateBefore));
    // A new incarnation counts from zero.
    now += 10s;
    receive(3, 10000);
    CHECK(remoteRate() == Approx(1000).epsilon(0.05));
    // A total that grew over an hour without reports counts as the mean rate of that hour.
    now += 1h;
    receive(3, 10000 + 3600 * 1000);
    CHECK(remoteRate() == Approx(1000).epsilon(0.05));
    // Without reports the rate decays.
    now += 30s;
    CHECK(remoteRate() == 0);
}
