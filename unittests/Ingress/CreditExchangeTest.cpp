// Tests that the requests of a workspace stay within its limit at all entries together, and
// that requests within the limit are served.
#include "CreditFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

using namespace catkinwing;
using namespace std::chrono_literals;

static const std::vector<std::string> threeRegions { "north", "south", "west" };
static constexpr std::size_t entriesPerRegion = 28;
/// Mean amounts of a long and a short request.
static constexpr double longAmount = 17'100;
static constexpr double shortAmount = 430;
/// Fraction of the amount that long requests make up.
static constexpr double longFraction = 0.6;
static constexpr Duration step = 10ms;

namespace {

WorkspaceLimit smallLimit()
{
    return { LimitUnit::Tokens, 47'000, 47'000, 200 };
}

WorkspaceLimit largeLimit()
{
    return { LimitUnit::Tokens, 780'000, 780'000, 200 };
}

/// Use of the limit by region, as fractions of the limit.
using Use = std::map<std::string, double>;

double drawAmount(Random& random, double mean)
{
    constexpr double maxMultiple = 5;
    return std::ceil(mean * std::min(-std::log(1 - random.unit()), maxMultiple));
}

/// Sends requests for \p span that use the given fractions of \p limit.
void load(CreditFleet& fleet, const WorkspaceLimit& limit, const Use& use, Duration span)
{
    double stepSeconds = std::chrono::duration<double>(step).count();
    for (Duration passed { 0 }; passed < span; passed += step) {
        for (const auto& [region, fraction] : use) {
            double amount = limit.perSecond * fraction * stepSeconds;
            for (auto [part, mean] : { std::pair(longFraction, longAmount), std::pair(1 - longFraction, shortAmount) }) {
                double expected = amount * part / mean;
                while (expected > 0 && fleet.random.unit() < expected) {
                    fleet.requestAnywhere(region, drawAmount(fleet.random, mean));
                    expected -= 1;
                }
            }
        }
        fleet.advance(step);
    }
}

/// Sends requests of one unit each.
void loadRequests(CreditFleet& fleet, const WorkspaceLimit& limit, const Use& use, Duration span)
{
    double stepSeconds = std::chrono::duration<double>(step).count();
    for (Duration passed { 0 }; passed < span; passed += step) {
        for (const auto& [region, fraction] : use) {
            if (fleet.random.unit() < limit.perSecond * fraction * stepSeconds)
                fleet.requestAnywhere(region, 1);
        }
        fleet.advance(step);
    }
}

} // namespace

TEST_CASE("a workspace at its usual use is served while its load moves from region to region")
{
    for (const WorkspaceLimit& limit : { smallLimit(), largeLimit() }) {
        CreditFleet fleet(3, threeRegions, entriesPerRegion, limit);
        fleet.advance(4s);
        for (int round = 0; round < 2; ++round) {
            load(fleet, limit, { { "north", 0.61 }, { "south", 0.03 }, { "west", 0.03 } }, 6s);
            load(fleet, limit, { { "north", 0.2 }, { "south", 0.3 }, { "west", 0.03 } }, 1s);
            load(fleet, limit, { { "north", 0.04 }, { "south", 0.51 }, { "west", 0.03 } }, 6s);
            load(fleet, limit, { { "north", 0.04 }, { "south", 0.2 }, { "west", 0.2 } }, 1s);
            load(fleet, limit, { { "north", 0.04 }, { "south", 0.03 }, { "west", 0.43 } }, 6s);
        }
        fleet.advance(1s);
        CAPTURE(limit.perSecond, fleet.refused, fleet.asked);
        CHECK(fleet.undecided() == 0);
        CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
        CHECK(static_cast<double>(fleet.refused) <= static_cast<double>(fleet.asked) / 500);
    }
}

TEST_CASE("fourfold load of a workspace uses its limit and no more")
{
    for (const WorkspaceLimit& limit : { smallLimit(), largeLimit() }) {
        CreditFleet fleet(5, threeRegions, entriesPerRegion, limit);
        fleet.advance(10s);
        TimePoint from = fleet.now();
        load(fleet, limit, { { "north", 3.6 }, { "south", 0.3 }, { "west", 0.3 } }, 16s);
        CAPTURE(limit.perSecond, fleet.maxGrantedInWindow(), fleet.allowedInWindow());
        CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
        CHECK(fleet.grantedSince(from) >= 0.9 * limit.perSecond * 16);
    }
}

// Guards against credit that is lost to rounding when it is moved: with a limit of some tens
// of requests a second, each grant is of few units.
TEST_CASE("most of a small limit of requests is used in any window above it, and requests below it are served")
{
    const WorkspaceLimit limit { LimitUnit::Requests, 40, 40, 1 };
    for (unsigned seed = 1; seed <= 8; ++seed) {
        for (auto [north, south] : { std::pair(1.0, 1.0), std::pair(2.0, 0.0), std::pair(1.8, 0.2) }) {
            CreditFleet fleet(seed, { "north", "south" }, 3, limit, { 8s, 0.1, 10 });
            fleet.advance(4s);
            loadRequests(fleet, limit, { { "north", 0.25 }, { "south", 0.2 } }, 10s);
            CAPTURE(seed, north, south, fleet.refused, fleet.asked);
            CHECK(fleet.refused == 0);
            loadRequests(fleet, limit, { { "north", north }, { "south", south } }, 4s);
            TimePoint from = fleet.now();
            loadRequests(fleet, limit, { { "north", north }, { "south", south } }, 24s);
            CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
            CHECK(fleet.minGrantedInWindow(from) >= 0.9 * limit.perSecond * 8);
        }
    }
}

namespace {

constexpr std::size_t manyRegions = 22;
constexpr std::size_t entriesOfManyRegions = 25;

std::vector<std::string> regionNames()
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < manyRegions; ++i)
        names.push_back("region-" + std::to_string(i));
    return names;
}

Use evenUse(double sum)
{
    Use use;
    for (const std::string& region : regionNames())
        use[region] = sum / manyRegions;
    return use;
}

} // namespace

// Guards against pools that ask a few regions only: with many regions each has accrued a
// small part of the limit, and the rest expires there.
TEST_CASE("a workspace at its usual use is served wherever its load is among 550 entries in 22 regions")
{
    for (const WorkspaceLimit& limit : { smallLimit(), largeLimit() }) {
        CreditFleet fleet(3, regionNames(), entriesOfManyRegions, limit);
        fleet.advance(4s);
        load(fleet, limit, evenUse(0.6), 4s);
        Use moved = evenUse(0.1);
        moved["region-5"] = 0.5;
        load(fleet, limit, moved, 6s);
        fleet.advance(1s);
        CAPTURE(limit.perSecond, fleet.refused, fleet.asked);
        CHECK(fleet.undecided() == 0);
        CHECK(static_cast<double>(fleet.refused) <= static_cast<double>(fleet.asked) / 500);
        CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
    }
}

TEST_CASE("fourfold load of a workspace in one of 22 regions uses its limit and no more")
{
    CreditFleet fleet(3, regionNames(), entriesOfManyRegions, smallLimit());
    fleet.advance(10s);
    Use overload = evenUse(0.4);
    overload["region-3"] = 3.6;
    load(fleet, smallLimit(), overload, 4s);
    TimePoint from = fleet.now();
    load(fleet, smallLimit(), overload, 12s);
    CHECK(fleet.minGrantedInWindow(from) >= 0.9 * smallLimit().perSecond * 8);
    CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
}

TEST_CASE("fourfold load of a workspace while its region is cut off stays within its limit")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        CreditFleet fleet(seed, threeRegions, entriesPerRegion, smallLimit());
        fleet.advance(10s);
        load(fleet, smallLimit(), { { "north", 2.4 }, { "south", 0.9 }, { "west", 0.9 } }, 3s);
        fleet.setCutOff("north", true);
        load(fleet, smallLimit(), { { "north", 2.4 }, { "south", 0.9 }, { "west", 0.9 } }, 6s);
        fleet.setCutOff("north", false);
        load(fleet, smallLimit(), { { "north", 0.9 }, { "south", 2.4 }, { "west", 0.9 } }, 6s);
        fleet.advance(1s);
        CAPTURE(seed);
        CHECK(fleet.undecided() == 0);
        CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
    }
}

TEST_CASE("a region that is cut off still serves a workspace within its own part of the limit")
{
    CreditFleet fleet(9, threeRegions, entriesPerRegion, largeLimit());
    fleet.advance(10s);
    fleet.setCutOff("west", true);
    fleet.advance(2s);
    load(fleet, largeLimit(), { { "west", 0.25 } }, 8s);
    CHECK(static_cast<double>(fleet.refused) <= static_cast<double>(fleet.asked) / 100);
}

TEST_CASE("kills of half of the entries at fourfold load leave a workspace within its limit")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        CreditFleet fleet(seed, threeRegions, entriesPerRegion, smallLimit());
        fleet.advance(10s);
        load(fleet, smallLimit(), { { "north", 1.4 }, { "south", 1.4 }, { "west", 1.4 } }, 2s);
        for (int round = 0; round < 2; ++round) {
            std::vector<std::size_t> killed;
            for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
                if (fleet.random.unit() < 0.5)
                    killed.push_back(entry);
            }
            for (std::size_t entry : killed)
                fleet.kill(entry);
            load(fleet, smallLimit(), { { "north", 1.4 }, { "south", 1.4 }, { "west", 1.4 } }, 1s);
            for (std::size_t entry : killed)
                fleet.restart(entry);
            load(fleet, smallLimit(), { { "north", 4.2 } }, 4s);
        }
        CAPTURE(seed);
        CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
    }
}

TEST_CASE("a workspace is served again soon after the entry with its region's pool was killed")
{
    CreditFleet fleet(11, threeRegions, entriesPerRegion, largeLimit());
    fleet.advance(10s);
    // Each entry in turn, as the test doesn't know which one has the pool.
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
        fleet.kill(entry);
        load(fleet, largeLimit(), { { "north", 0.2 }, { "south", 0.2 }, { "west", 0.1 } }, 200ms);
        fleet.restart(entry);
    }
    fleet.advance(1s);
    CAPTURE(fleet.refused, fleet.asked);
    CHECK(fleet.undecided() == 0);
    CHECK(static_cast<double>(fleet.refused) <= static_cast<double>(fleet.asked) / 50);
}

TEST_CASE("entries that are added, lost registrations and lost datagrams leave a workspace within its limit")
{
    CreditFleet fleet(13, threeRegions, entriesPerRegion, smallLimit());
    fleet.lostFraction = 0.1;
    fleet.repeatedFraction = 0.1;
    fleet.advance(10s);
    Use use { { "north", 2 }, { "south", 1.2 }, { "west", 1 } };
    load(fleet, smallLimit(), use, 3s);
    for (int i = 0; i < 14; ++i)
        fleet.addEntry(threeRegions[static_cast<std::size_t>(i) % 3]);
    load(fleet, smallLimit(), use, 5s);
    for (std::size_t entry = 0; entry < fleet.entries(); entry += 2)
        fleet.removeRegistration(entry);
    load(fleet, smallLimit(), use, 10s);
    fleet.advance(1s);
    CHECK(fleet.undecided() == 0);
    CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
}

TEST_CASE("a lower limit binds one window after it is known")
{
    CreditFleet fleet(17, threeRegions, entriesPerRegion, largeLimit());
    fleet.advance(10s);
    Use use { { "north", 1.4 }, { "south", 1.4 }, { "west", 1.4 } };
    load(fleet, largeLimit(), use, 4s);
    fleet.setLimit(smallLimit());
    load(fleet, smallLimit(), use, 8s);
    fleet.granted.clear();
    load(fleet, smallLimit(), use, 12s);
    CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
}

TEST_CASE("an entry that reaches no other uses its own part of the limit")
{
    CreditFleet fleet(19, { "north" }, 10, largeLimit());
    fleet.advance(10s);
    fleet.setEntryCutOff(3, true);
    fleet.advance(2s);
    TimePoint from = fleet.now();
    for (int i = 0; i < 800; ++i) {
        fleet.request(3, shortAmount);
        fleet.advance(step);
    }
    double own = largeLimit().perSecond / 10 * 8;
    CHECK(fleet.grantedSince(from) >= 0.4 * std::min(own, 800 * shortAmount));
    CHECK(fleet.grantedSince(from) <= 1.5 * own);
}

// Entries that always use all credit that they can get never use more together than has
// accrued, whatever happens to them and to their messages, in every order of events.
TEST_CASE("a few entries never use more than has accrued in any order of events")
{
    enum Event {
        Advance,
        KillFirst,
        RestartFirst,
        RestartSecond,
        CutSecond,
        HealSecond,
        Events,
    };
    constexpr int depth = 5;
    constexpr Duration eventInterval = 300ms;
    const WorkspaceLimit limit { LimitUnit::Requests, 100, 100, 1 };
    int orders = 1;
    for (int i = 0; i < depth; ++i)
        orders *= Events;
    for (std::size_t entries : { 2u, 3u }) {
        for (int order = 0; order < orders; ++order) {
            CreditFleet fleet(static_cast<unsigned>(order), { "north" }, entries, limit);
            TimePoint from = fleet.now();
            int rest = order;
            for (int i = 0; i < depth; ++i, rest /= Events) {
                switch (rest % Events) {
                case KillFirst:
                    if (fleet.isUp(0))
                        fleet.kill(0);
                    break;
                case RestartFirst:
                    fleet.restart(0);
                    break;
                case RestartSecond:
                    fleet.restart(1);
                    break;
                case CutSecond:
                    fleet.setEntryCutOff(1, true);
                    break;
                case HealSecond:
                    fleet.setEntryCutOff(1, false);
                    break;
                default:
                    fleet.advance(700ms);
                    break;
                }
                fleet.advance(eventInterval);
                for (std::size_t entry = 0; entry < entries; ++entry)
                    fleet.requestUntilRefused(entry, 1);
            }
            double accrued = limit.perSecond * std::chrono::duration<double>(fleet.now() - from).count();
            if (fleet.grantedSince(from) > accrued) {
                CAPTURE(entries, order, accrued);
                FAIL("more was granted than has accrued: " << fleet.grantedSince(from));
            }
        }
    }
}
