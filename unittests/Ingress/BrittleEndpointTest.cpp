// Tests of endpoints that have no room for waiting requests and crash when they have to reject
// too many of them.
#include "EntryFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Crashes that are allowed while the endpoints are brittle: a number and a share of them.
static constexpr double allowedFalls = 2;
static constexpr double allowedFallShare = 0.1;
static constexpr unsigned slots = 2;
static constexpr Duration settleTime = 5s;
static constexpr Duration brittleTime = 20s;
static constexpr Duration step = 10ms;
/// Share of the slots that are used at least while more is asked for, and share of the requests
/// that are served at least while less is asked for.
static constexpr double minUsedShare = 0.5;
static constexpr double minServedShare = 0.9;

namespace {

void sendFor(EntryFleet& fleet, Duration span, double perSecond)
{
    double perStep = perSecond * std::chrono::duration<double>(step).count();
    for (Duration passed { 0 }; passed < span; passed += step) {
        double due = perStep;
        auto send = [&fleet] {
            std::size_t entry = fleet.random.below(fleet.entries());
            while (!fleet.isUp(entry))
                entry = fleet.random.below(fleet.entries());
            fleet.send(entry, "body");
        };
        for (; due >= 1; --due)
            send();
        if (fleet.random.unit() < due)
            send();
        fleet.advance(step);
    }
}

/// Returns the requests a second that use all slots.
double capacityOf(const EntryFleet& fleet)
{
    return static_cast<double>(fleet.endpoints() * slots) / std::chrono::duration<double>(fleet.answerDelay).count();
}

void checkFalls(const EntryFleet& fleet)
{
    INFO(fleet.falls.size() << " of " << fleet.endpoints() << " endpoints crashed");
    CHECK(static_cast<double>(fleet.falls.size()) <= allowedFalls + allowedFallShare * static_cast<double>(fleet.endpoints()));
}

double servedPerSecond(const EntryFleet& fleet, TimePoint from, TimePoint until)
{
    auto isServed = [&](const SentRequest& request) { return request.at >= from && request.at < until && request.responder->status() == 200; };
    auto served = std::count_if(fleet.sentRequests.begin(), fleet.sentRequests.end(), isServed);
    return static_cast<double>(served) / std::chrono::duration<double>(until - from).count();
}

} // namespace

// Guards against entries that each send to a slot which another one has taken.
TEST_CASE("brittle endpoints stay up under more load than they can take, and their slots are used")
{
    for (double rejections : { 1.0, 5.0 }) {
        EntryFleet fleet(1, 3, 12);
        fleet.answerDelay = 200ms;
        double perSecond = 1.5 * capacityOf(fleet);
        sendFor(fleet, 2s, perSecond / 3);
        fleet.setBrittle(slots, rejections);
        sendFor(fleet, settleTime, perSecond / 3);
        TimePoint settled = fleet.now();
        sendFor(fleet, brittleTime, perSecond);
        INFO(rejections << " rejections a second");
        checkFalls(fleet);
        CHECK(servedPerSecond(fleet, settled, fleet.now()) >= minUsedShare * capacityOf(fleet));
        fleet.advance(2s);
    }
}

TEST_CASE("brittle endpoints serve nearly all of a load below what they can take")
{
    for (std::size_t entriesPerRegion : { 1, 3, 10 }) {
        EntryFleet fleet(2, entriesPerRegion, 12);
        fleet.answerDelay = 200ms;
        double perSecond = 0.6 * capacityOf(fleet);
        sendFor(fleet, 2s, perSecond);
        fleet.setBrittle(slots, 5);
        sendFor(fleet, settleTime, perSecond);
        TimePoint settled = fleet.now();
        sendFor(fleet, brittleTime, perSecond);
        TimePoint ended = fleet.now();
        fleet.advance(2s);
        INFO(entriesPerRegion << " entries in each region");
        checkFalls(fleet);
        CHECK(servedPerSecond(fleet, settled, ended) >= minServedShare * perSecond);
    }
}

TEST_CASE("brittle endpoints stay up while entries are killed and restarted")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        EntryFleet fleet(seed, 3, 12);
        fleet.answerDelay = 200ms;
        double perSecond = 0.9 * capacityOf(fleet);
        sendFor(fleet, 2s, perSecond / 2);
        fleet.setBrittle(slots, 5);
        sendFor(fleet, settleTime, perSecond / 2);
        for (std::size_t entry : { 0, 3, 1 }) {
            fleet.killEntry(entry);
            sendFor(fleet, 2s, perSecond);
            fleet.restartEntry(entry);
            sendFor(fleet, 3s, perSecond);
        }
        fleet.advance(4s);
        INFO("seed " << seed);
        checkFalls(fleet);
    }
}

// Guards against entries that go on sending one by one after the endpoints have recovered.
TEST_CASE("endpoints that are no longer brittle get requests from all entries")
{
    EntryFleet fleet(3, 3, 12);
    fleet.answerDelay = 200ms;
    double perSecond = 0.6 * capacityOf(fleet);
    sendFor(fleet, 2s, perSecond);
    fleet.setBrittle(slots, 5);
    sendFor(fleet, settleTime + 2s, perSecond);
    fleet.endBrittle();
    sendFor(fleet, 3s, perSecond);
    TimePoint settled = fleet.now();
    sendFor(fleet, 3s, 2 * perSecond);
    TimePoint ended = fleet.now();
    fleet.advance(2s);
    CHECK(servedPerSecond(fleet, settled, ended) >= minServedShare * 2 * perSecond);
}
