// Tests of entries that receive a request which crashes the endpoints that run it, among
// requests that don't.
#include "EntryFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Entries that can reach each other know within this time that three endpoints have
/// crashed while they ran a request. The request then has at most mostSentLater further
/// attempts.
static constexpr Duration knownWithin = 5s;
static constexpr std::size_t mostSentLater = 3;

namespace {

/// Sends requests to random entries for \p span: another request every 30 ms and the
/// request that crashes endpoints every 0.1 s to 0.7 s.
void runWithDeadly(EntryFleet& fleet, Duration span)
{
    TimePoint end = fleet.now() + span;
    TimePoint nextDeadly = fleet.now();
    TimePoint nextOther = fleet.now();
    for (int i = 0; fleet.now() < end; ++i) {
        if (fleet.now() >= nextOther) {
            fleet.sendToAny("other-" + std::to_string(i));
            nextOther += 30ms;
        }
        if (fleet.now() >= nextDeadly) {
            fleet.sendToAny(deadlyBody);
            nextDeadly = fleet.now() + 100ms + std::chrono::milliseconds(fleet.random.below(600));
        }
        fleet.advance(10ms);
    }
}

std::size_t othersServed(const EntryFleet& fleet, TimePoint from)
{
    return static_cast<std::size_t>(std::count_if(fleet.sent.begin(), fleet.sent.end(),
        [&](const SentRequest& request) { return request.at >= from && request.body != deadlyBody && request.answer->status() == 200; }));
}

std::size_t othersSent(const EntryFleet& fleet, TimePoint from)
{
    return static_cast<std::size_t>(std::count_if(fleet.sent.begin(), fleet.sent.end(), [&](const SentRequest& request) { return request.at >= from && request.body != deadlyBody; }));
}

} // namespace

// Guards against a request that crashes one endpoint after another because each client
// sends it to a different entry.
TEST_CASE("a request that crashed three endpoints is no longer sent to endpoints by any entry")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        EntryFleet fleet(seed);
        runWithDeadly(fleet, 22s);
        fleet.advance(5s);
        INFO("seed " << seed << ", " << fleet.crashes.size() << " crashes in all");
        REQUIRE(fleet.crashes.size() >= 3);
        CHECK(fleet.arrivalsAfter(deadlyBody, fleet.crashes[2] + knownWithin) <= mostSentLater);
    }
}

// Guards against sending a request that many clients send to one endpoint after another
// before its first crash is settled.
TEST_CASE("a request that crashes endpoints and arrives ten times a second crashes at most four endpoints")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        EntryFleet fleet(seed);
        fleet.crashesAfter = 100ms;
        fleet.setAttempts(1);
        for (int i = 0; i < 60; ++i) {
            fleet.sendToAny(deadlyBody);
            fleet.sendToAny("other-" + std::to_string(i));
            fleet.advance(100ms);
        }
        INFO("seed " << seed);
        CHECK(fleet.crashes.size() <= 4);
        CHECK(fleet.servedShare("other-59") == 1);
    }
}

// Guards against a refusal that reaches only entries which receive every crash report.
TEST_CASE("a request that crashes endpoints is refused by entries that lose reports, start later or lose an entry that counts crashes")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        EntryFleet fleet(seed, 6, 9);
        fleet.lost = 0.3;
        fleet.silence(seed % fleet.entries());
        runWithDeadly(fleet, 10s);
        fleet.advance(5s);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            if (entry % 4 == seed % 4)
                fleet.restartEntry(entry);
        }
        fleet.advance(5s);
        TimePoint restarted = fleet.now();
        INFO("seed " << seed);
        REQUIRE(fleet.crashes.size() >= 3);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            if (entry != seed % fleet.entries())
                fleet.send(entry, deadlyBody);
        }
        fleet.advance(5s);
        CHECK(fleet.arrivalsAfter(deadlyBody, restarted) == 0);
    }
}

// Guards against crash counting that depends on entries of an unreachable region.
TEST_CASE("each of two partitioned regions refuses a request that crashes its endpoints")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        EntryFleet fleet(seed);
        fleet.cutRegions(true);
        runWithDeadly(fleet, 15s);
        TimePoint known = fleet.now();
        runWithDeadly(fleet, 10s);
        INFO("seed " << seed << ", " << fleet.crashes.size() << " crashes");
        CHECK(fleet.arrivalsAfter(deadlyBody, known) == 0);
    }
}

// Guards against a refusal of requests that merely ran at the same endpoint as the request
// which crashes endpoints.
TEST_CASE("other requests are served while one that crashes endpoints is refused")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        EntryFleet fleet(seed);
        runWithDeadly(fleet, 8s);
        TimePoint after = fleet.now();
        runWithDeadly(fleet, 10s);
        fleet.advance(5s);
        INFO("seed " << seed);
        CHECK(othersServed(fleet, after) == othersSent(fleet, after));
        for (const SentRequest& request : fleet.sent) {
            if (request.body != deadlyBody)
                CHECK(request.answer->body.find("crashes_endpoints") == std::string::npos);
        }
    }
}

// Guards against a refusal of a frequent request, which is running at most endpoints when
// they crash.
TEST_CASE("a request that is half of the traffic isn't refused while endpoints crash at random")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        EntryFleet fleet(seed);
        for (int i = 0; i < 2'000; ++i) {
            fleet.sendToAny(i % 2 == 0 ? "popular" : "other");
            if (i % 40 == 0)
                fleet.crashOne(fleet.random.below(2) == 0 ? "north" : "south");
            fleet.advance(10ms);
        }
        fleet.advance(5s);
        INFO("seed " << seed << ", popular " << fleet.servedShare("popular") << ", other " << fleet.servedShare("other"));
        for (const SentRequest& request : fleet.sent)
            REQUIRE(request.answer->body.find("crash") == std::string::npos);
    }
}

// Guards against a refusal of requests that were running when all endpoints failed at once,
// for example by a power failure.
TEST_CASE("a request that ran at several endpoints when all crashed at once is served afterwards")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        EntryFleet fleet(seed);
        for (int outage = 0; outage < 3; ++outage) {
            for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
                for (int i = 0; i < 3; ++i)
                    fleet.send(entry, "popular");
            }
            fleet.advance(20ms);
            fleet.crashAll();
            fleet.advance(6s);
            TimePoint back = fleet.now();
            fleet.sendToAny("popular");
            fleet.advance(2s);
            INFO("seed " << seed << ", outage " << outage);
            CHECK(fleet.servedShare("popular", back) == 1);
        }
    }
}

// Guards against records of a request outside the regions that its residency allows.
TEST_CASE("entries outside the allowed regions of a request receive no notices of its crashes")
{
    EntryFleet fleet(1, 3, 8, { "north" });
    for (int i = 0; i < 40; ++i) {
        fleet.send(fleet.random.below(3), deadlyBody);
        fleet.advance(300ms);
    }
    REQUIRE(fleet.crashes.size() >= 3);
    CHECK(fleet.arrivalsAfter(deadlyBody, fleet.crashes[2] + knownWithin) <= mostSentLater);
    for (std::size_t entry = 0; entry < 3; ++entry)
        CHECK(fleet.partsOf(entry).crashing.size() == 1);
    for (std::size_t entry = 3; entry < 6; ++entry)
        CHECK(fleet.partsOf(entry).crashing.isEmpty());
}

// Guards against records of a request at an entry that only forwarded it to an allowed
// region.
TEST_CASE("an entry outside the allowed regions of a request doesn't record its answers")
{
    EntryFleet fleet(1, 3, 8, { "north" });
    fleet.send(4, "bound");
    fleet.advance(1s);
    CHECK(fleet.servedShare("bound") == 1);
    CHECK(fleet.partsOf(4).crashing.answered() == 0);
    std::size_t atNorth = 0;
    for (std::size_t entry = 0; entry < 3; ++entry)
        atNorth += fleet.partsOf(entry).crashing.answered();
    CHECK(atNorth == 1);
}

// Guards against a refusal that never expires, and against many attempts when it expires.
TEST_CASE("a refused request has one more attempt minutes later, and is refused for longer if it still crashes endpoints")
{
    EntryFleet fleet(3);
    runWithDeadly(fleet, 8s);
    std::size_t crashes = fleet.crashes.size();
    REQUIRE(crashes >= 3);
    // Long enough for the refusal to expire at each entry.
    for (int i = 0; i < 8 * 60 * 2; ++i) {
        fleet.sendToAny(deadlyBody);
        fleet.advance(500ms);
    }
    CHECK(fleet.crashes.size() > crashes);
    CHECK(fleet.crashes.size() <= crashes + 4);
}

// Guards against a refusal that persists after the fault of the endpoints was repaired.
TEST_CASE("a refused request is served by every entry once an endpoint has answered it")
{
    EntryFleet fleet(4);
    runWithDeadly(fleet, 8s);
    REQUIRE(fleet.crashes.size() >= 3);
    fleet.isRepaired = true;
    for (int i = 0; i < 8 * 60; ++i) {
        fleet.sendToAny(deadlyBody);
        fleet.advance(500ms);
    }
    TimePoint late = fleet.now();
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        fleet.send(entry, deadlyBody);
    fleet.advance(2s);
    CHECK(fleet.servedShare(deadlyBody, late) == 1);
}

// Guards against crash reports that grow while a request is refused.
TEST_CASE("crash reports of an entry are small, and none is sent unless a request crashes endpoints")
{
    EntryFleet quiet(1);
    for (int i = 0; i < 200; ++i) {
        quiet.sendToAny("other");
        quiet.advance(10ms);
    }
    EntryFleet fleet(1, 20, 9);
    runWithDeadly(fleet, 6s);
    std::vector<std::size_t> before = fleet.bytesTold;
    fleet.advance(60s);
    constexpr std::size_t bytesInAMinute = 30'000;
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        CHECK(fleet.bytesTold[entry] - before[entry] < bytesInAMinute);
    for (std::size_t bytes : quiet.bytesTold)
        CHECK(bytes == 0);
}
