// Tests that workspaces below their limits are served while entries start, and that starts
// never let a workspace exceed its limit.
#include "CreditFleet.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr Duration step = 10ms;

namespace {

WorkspaceLimit requestLimit()
{
    return { LimitUnit::Requests, 40, 40, 1 };
}

LimitTolerance requestTolerance()
{
    return { 8s, 0.1, 10 };
}

/// Sends requests of one unit each to random entries that are up.
void loadAnywhere(CreditFleet& fleet, double perSecond, Duration span)
{
    double perStep = perSecond * std::chrono::duration<double>(step).count();
    for (Duration passed { 0 }; passed < span; passed += step) {
        for (double expected = perStep; expected > 0; expected -= 1) {
            if (fleet.random.unit() >= expected)
                continue;
            std::size_t entry = fleet.random.below(fleet.entries());
            while (!fleet.isUp(entry))
                entry = fleet.random.below(fleet.entries());
            fleet.request(entry, 1);
        }
        fleet.advance(step);
    }
}

std::vector<std::size_t> killHalf(CreditFleet& fleet, std::size_t parity)
{
    std::vector<std::size_t> killed;
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
        if ((entry / 2) % 2 == parity)
            killed.push_back(entry);
    }
    for (std::size_t entry : killed)
        fleet.kill(entry);
    return killed;
}

} // namespace

namespace {

/// Ends all entries, starts them after \p downTime, and checks that no request is refused.
void checkStartOfAll(Duration downTime, Duration listingDelay)
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        CreditFleet fleet(seed, { "north", "south" }, 3, requestLimit(), requestTolerance());
        fleet.listingDelay = listingDelay;
        fleet.advance(10s);
        fleet.killAll();
        fleet.advance(downTime);
        fleet.restartAll();
        loadAnywhere(fleet, 12, 5s);
        fleet.advance(1s);
        CAPTURE(seed, downTime.count(), listingDelay.count(), fleet.asked);
        CHECK(fleet.refused == 0);
        CHECK(fleet.undecided() == 0);
    }
}

/// Kills half of the entries twice, and checks that few requests are refused.
void checkKillsOfHalf(Duration downTime)
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        CreditFleet fleet(seed, { "north", "south" }, 3, requestLimit(), requestTolerance());
        fleet.advance(4s);
        loadAnywhere(fleet, 18, 6s);
        for (std::size_t parity : { 0, 1 }) {
            std::vector<std::size_t> killed = killHalf(fleet, parity);
            loadAnywhere(fleet, 18, downTime);
            for (std::size_t entry : killed)
                fleet.restart(entry);
            loadAnywhere(fleet, 18, 4s);
        }
        fleet.advance(1s);
        CAPTURE(seed, downTime.count(), fleet.refused, fleet.asked);
        CHECK(static_cast<double>(fleet.refused) <= static_cast<double>(fleet.asked) / 100);
        CHECK(fleet.undecided() == 0);
    }
}

} // namespace

TEST_CASE("a workspace below its limit is served from the moment at which all entries have started")
{
    checkStartOfAll(0ms, 0ms);
    checkStartOfAll(0ms, 200ms);
    checkStartOfAll(6'000ms, 0ms);
}

TEST_CASE("a workspace below its limit is served while entries that start hear of each other late")
{
    checkStartOfAll(6'000ms, 200ms);
}

TEST_CASE("a workspace below its limit is served after kills of half of the entries")
{
    checkKillsOfHalf(300ms);
    checkKillsOfHalf(1'000ms);
}

TEST_CASE("a workspace below its limit is served while half of the entries are down for seconds")
{
    checkKillsOfHalf(4'000ms);
}

namespace {

constexpr double overload = 160;

void checkWindows(const CreditFleet& fleet)
{
    CHECK(fleet.maxGrantedInWindow() <= fleet.allowedInWindow());
}

} // namespace

TEST_CASE("restarts of all entries, however often, leave a workspace within its limit")
{
    for (Duration interval : { 300ms, 1'000ms, 2'500ms, 4'500ms, 7'900ms }) {
        for (Duration downTime : { 0ms, 4'100ms }) {
            for (Duration listingDelay : { 0ms, 300ms }) {
                CreditFleet fleet(1, { "north", "south" }, 3, requestLimit(), requestTolerance());
                fleet.listingDelay = listingDelay;
                fleet.advance(4s);
                loadAnywhere(fleet, overload, 9s);
                for (Duration passed { 0 }; passed < 17s; passed += interval + downTime) {
                    fleet.killAll();
                    fleet.advance(downTime);
                    fleet.restartAll();
                    loadAnywhere(fleet, overload, interval);
                }
                CAPTURE(interval.count(), downTime.count(), listingDelay.count());
                checkWindows(fleet);
            }
        }
    }
}

// The store has dropped the registrations of a region that it doesn't reach.
TEST_CASE("restarts beside a region that is cut off leave a workspace within its limit")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        CreditFleet fleet(seed, { "north", "south" }, 3, requestLimit(), requestTolerance());
        fleet.advance(4s);
        loadAnywhere(fleet, overload, 9s);
        fleet.setCutOff("south", true);
        loadAnywhere(fleet, overload, 4s);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            if (fleet.regionOf(entry) == "south")
                fleet.removeRegistration(entry);
        }
        loadAnywhere(fleet, overload, 1s);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            if (fleet.regionOf(entry) == "north")
                fleet.restart(entry);
        }
        loadAnywhere(fleet, overload, 12s);
        checkWindows(fleet);
    }
}

TEST_CASE("an entry that starts beside others that it doesn't know leaves a workspace within its limit")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        CreditFleet fleet(seed, { "north", "south" }, 3, requestLimit(), requestTolerance());
        fleet.advance(4s);
        loadAnywhere(fleet, overload, 9s);
        fleet.removeAllRegistrations();
        fleet.setEntryCutOff(0, true);
        fleet.restart(0);
        loadAnywhere(fleet, overload, 12s);
        checkWindows(fleet);
    }
}

// Entries that reach no other, and use at once what they may.
TEST_CASE("restarts of entries that are alone leave a workspace within its limit")
{
    for (Duration interval : { 100ms, 300ms, 1'000ms, 4'500ms }) {
        CreditFleet fleet(1, { "north", "south" }, 3, requestLimit(), requestTolerance());
        fleet.advance(4s);
        loadAnywhere(fleet, overload, 9s);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
            fleet.setEntryCutOff(entry, true);
        fleet.removeAllRegistrations();
        fleet.listingDelay = 10s;
        for (Duration passed { 0 }; passed < 17s; passed += interval) {
            fleet.restartAll();
            for (Duration slice { 0 }; slice < interval; slice += 20ms) {
                fleet.advance(20ms);
                for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
                    fleet.requestUntilRefused(entry, 1);
            }
        }
        CAPTURE(interval.count());
        checkWindows(fleet);
    }
}

TEST_CASE("many entries that are added at once leave a workspace within its limit")
{
    for (std::size_t added : { 6u, 30u, 78u }) {
        CreditFleet fleet(1, { "north", "south" }, 3, requestLimit(), requestTolerance());
        fleet.advance(4s);
        loadAnywhere(fleet, overload, 9s);
        fleet.listingDelay = 300ms;
        for (std::size_t i = 0; i < added; ++i)
            fleet.addEntry(i % 2 == 0 ? "north" : "south");
        loadAnywhere(fleet, overload, 10s);
        CAPTURE(added);
        checkWindows(fleet);
    }
}

TEST_CASE("restarts of all of 84 entries leave a workspace within its limit")
{
    const LimitTolerance tolerance { 8s, 0.1, 190'000 };
    for (double perSecond : { 47'000.0, 780'000.0 }) {
        for (Duration listingDelay : { 0ms, 300ms }) {
            const WorkspaceLimit limit { LimitUnit::Tokens, perSecond, perSecond, 200 };
            CreditFleet fleet(1, { "north", "south", "west" }, 28, limit, tolerance);
            fleet.listingDelay = listingDelay;
            fleet.advance(10s);
            auto use = [&](Duration span) {
                for (Duration passed { 0 }; passed < span; passed += 20ms) {
                    for (int i = 0; i < 8; ++i)
                        fleet.request(fleet.random.below(fleet.entries()), perSecond / 100);
                    fleet.advance(20ms);
                }
            };
            use(6s);
            for (int round = 0; round < 4; ++round) {
                fleet.restartAll();
                use(1s);
            }
            use(8s);
            CAPTURE(perSecond, listingDelay.count());
            checkWindows(fleet);
        }
    }
}

// Processes that don't run for seconds and go on.
TEST_CASE("entries that are suspended and go on leave a workspace within its limit")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        CreditFleet fleet(seed, { "north", "south" }, 3, requestLimit(), requestTolerance());
        fleet.advance(4s);
        loadAnywhere(fleet, overload, 9s);
        for (Duration span : { 300ms, 1'000ms, 3'000ms }) {
            for (std::size_t entry : { 0, 1, 2 })
                fleet.setSuspended(entry, true);
            loadAnywhere(fleet, overload, span);
            for (std::size_t entry : { 0, 1, 2 })
                fleet.setSuspended(entry, false);
            fleet.restart(3);
            loadAnywhere(fleet, overload, 2s);
        }
        CAPTURE(seed);
        checkWindows(fleet);
    }
}
