// Tests of entries that receive a request which crashes the endpoints that run it, among
// requests that don't.
#include "EntryFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Entries that can reach each other know within this time that three endpoints have
/// crashed while they ran a request. The request then has at most maxLaterAttempts further
/// attempts.
static constexpr Duration propagationTime = 5s;
static constexpr std::size_t maxLaterAttempts = 3;

namespace {

/// Sends requests to random entries for \p span: a harmless request with a new body every
/// 30 ms, and the request that crashes endpoints every 0.1 s to 0.7 s.
void runWithCrashingRequest(EntryFleet& fleet, Duration span)
{
    TimePoint end = fleet.now() + span;
    TimePoint nextCrashing = fleet.now();
    TimePoint nextOther = fleet.now();
    for (int i = 0; fleet.now() < end; ++i) {
        if (fleet.now() >= nextOther) {
            fleet.sendToRandomEntry("other-" + std::to_string(i));
            nextOther += 30ms;
        }
        if (fleet.now() >= nextCrashing) {
            fleet.sendToRandomEntry(crashingBody);
            nextCrashing = fleet.now() + 100ms + std::chrono::milliseconds(fleet.random.below(600));
        }
        fleet.advance(10ms);
    }
}

std::size_t harmlessRequestsServed(const EntryFleet& fleet, TimePoint from)
{
    return static_cast<std::size_t>(std::count_if(fleet.sentRequests.begin(), fleet.sentRequests.end(),
        [&](const SentRequest& request) { return request.at >= from && request.body != crashingBody && request.responder->status() == 200; }));
}

std::size_t harmlessRequestsSent(const EntryFleet& fleet, TimePoint from)
{
    return static_cast<std::size_t>(std::count_if(fleet.sentRequests.begin(), fleet.sentRequests.end(), [&](const SentRequest& request) { return request.at >= from && request.body != crashingBody; }));
}

} // namespace

// Guards against a request that crashes one endpoint after another because each client
// sends it to a different entry.
TEST_CASE("a request that crashed three endpoints is no longer sent to endpoints by any entry")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        EntryFleet fleet(seed);
        runWithCrashingRequest(fleet, 22s);
        fleet.advance(5s);
        INFO("seed " << seed << ", " << fleet.crashes.size() << " crashes in all");
        REQUIRE(fleet.crashes.size() >= 3);
        CHECK(fleet.attemptsAfter(crashingBody, fleet.crashes[2] + propagationTime) <= maxLaterAttempts);
    }
}

// Guards against sending a request that many clients send to one endpoint after another
// before its first crash is settled.
TEST_CASE("a request that crashes endpoints and arrives ten times a second crashes at most four endpoints")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        EntryFleet fleet(seed);
        fleet.crashDelay = 100ms;
        fleet.setMaxAttempts(1);
        for (int i = 0; i < 60; ++i) {
            fleet.sendToRandomEntry(crashingBody);
            fleet.sendToRandomEntry("other-" + std::to_string(i));
            fleet.advance(100ms);
        }
        INFO("seed " << seed);
        CHECK(fleet.crashes.size() <= 4);
        CHECK(fleet.servedFraction("other-59") == 1);
    }
}

// Guards against a refusal that reaches only entries which receive every crash report.
TEST_CASE("a request that crashes endpoints is refused by entries that lose reports, start later or lose an entry that counts crashes")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        EntryFleet fleet(seed, 6, 9);
        fleet.lostFraction = 0.3;
        fleet.dropDatagrams(seed % fleet.entries());
        runWithCrashingRequest(fleet, 10s);
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
                fleet.send(entry, crashingBody);
        }
        fleet.advance(5s);
        CHECK(fleet.attemptsAfter(crashingBody, restarted) == 0);
    }
}

// Guards against crash counting that depends on entries of an unreachable region.
TEST_CASE("each of two partitioned regions refuses a request that crashes its endpoints")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        EntryFleet fleet(seed);
        fleet.setRegionsPartitioned(true);
        runWithCrashingRequest(fleet, 15s);
        TimePoint afterPropagation = fleet.now();
        runWithCrashingRequest(fleet, 10s);
        INFO("seed " << seed << ", " << fleet.crashes.size() << " crashes");
        CHECK(fleet.attemptsAfter(crashingBody, afterPropagation) == 0);
    }
}

// Guards against a refusal of requests that merely ran at the same endpoint as the request
// which crashes endpoints.
TEST_CASE("other requests are served while one that crashes endpoints is refused")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        EntryFleet fleet(seed);
        runWithCrashingRequest(fleet, 8s);
        TimePoint after = fleet.now();
        runWithCrashingRequest(fleet, 10s);
        fleet.advance(5s);
        INFO("seed " << seed);
        CHECK(harmlessRequestsServed(fleet, after) == harmlessRequestsSent(fleet, after));
        for (const SentRequest& request : fleet.sentRequests) {
            if (request.body != crashingBody)
                CHECK(request.responder->body.find("crashes_endpoints") == std::string::npos);
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
            fleet.sendToRandomEntry(i % 2 == 0 ? "popular" : "other");
            if (i % 40 == 0)
                fleet.crashOne(fleet.random.below(2) == 0 ? "north" : "south");
            fleet.advance(10ms);
        }
        fleet.advance(5s);
        INFO("seed " << seed << ", popular " << fleet.servedFraction("popular") << ", other " << fleet.servedFraction("other"));
        for (const SentRequest& request : fleet.sentRequests)
            REQUIRE(request.responder->body.find("crash") == std::string::npos);
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
            TimePoint recovered = fleet.now();
            fleet.sendToRandomEntry("popular");
            fleet.advance(2s);
            INFO("seed " << seed << ", outage " << outage);
            CHECK(fleet.servedFraction("popular", recovered) == 1);
        }
    }
}

// Guards against records of a request outside the regions that its residency allows.
TEST_CASE("entries outside the allowed regions of a request receive no notices of its crashes")
{
    EntryFleet fleet(1, 3, 8, { "north" });
    for (int i = 0; i < 40; ++i) {
        fleet.send(fleet.random.below(3), crashingBody);
        fleet.advance(300ms);
    }
    REQUIRE(fleet.crashes.size() >= 3);
    CHECK(fleet.attemptsAfter(crashingBody, fleet.crashes[2] + propagationTime) <= maxLaterAttempts);
    for (std::size_t entry = 0; entry < 3; ++entry)
        CHECK(fleet.partsOf(entry).crashSuspects.size() == 1);
    for (std::size_t entry = 3; entry < 6; ++entry)
        CHECK(fleet.partsOf(entry).crashSuspects.isEmpty());
}

// Guards against an entry outside a request's allowed regions that forwards the request
// and keeps a record of its answers.
TEST_CASE("an entry outside the allowed regions of a request doesn't record its answers")
{
    EntryFleet fleet(1, 3, 8, { "north" });
    fleet.send(4, "bound");
    fleet.advance(1s);
    CHECK(fleet.servedFraction("bound") == 1);
    CHECK(fleet.partsOf(4).crashSuspects.answeredCount() == 0);
    std::size_t atNorth = 0;
    for (std::size_t entry = 0; entry < 3; ++entry)
        atNorth += fleet.partsOf(entry).crashSuspects.answeredCount();
    CHECK(atNorth == 1);
}

// Guards against a refusal that never expires, and against many attempts when it expires.
TEST_CASE("a refused request has one more attempt minutes later, and is refused for longer if it still crashes endpoints")
{
    EntryFleet fleet(3);
    runWithCrashingRequest(fleet, 8s);
    std::size_t crashes = fleet.crashes.size();
    REQUIRE(crashes >= 3);
    // Long enough for the refusal to expire at each entry.
    for (int i = 0; i < 8 * 60 * 2; ++i) {
        fleet.sendToRandomEntry(crashingBody);
        fleet.advance(500ms);
    }
    CHECK(fleet.crashes.size() > crashes);
    CHECK(fleet.crashes.size() <= crashes + 4);
}

// Guards against a refusal that persists after the fault of the endpoints was repaired.
TEST_CASE("a refused request is served by every entry once an endpoint has answered it")
{
    EntryFleet fleet(4);
    runWithCrashingRequest(fleet, 8s);
    REQUIRE(fleet.crashes.size() >= 3);
    fleet.isRepaired = true;
    for (int i = 0; i < 8 * 60; ++i) {
        fleet.sendToRandomEntry(crashingBody);
        fleet.advance(500ms);
    }
    TimePoint afterRepair = fleet.now();
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        fleet.send(entry, crashingBody);
    fleet.advance(2s);
    CHECK(fleet.servedFraction(crashingBody, afterRepair) == 1);
}

// Guards against crash reports that grow while a request is refused.
TEST_CASE("crash reports of an entry are small, and none is sent unless a request crashes endpoints")
{
    EntryFleet idle(1);
    for (int i = 0; i < 200; ++i) {
        idle.sendToRandomEntry("other");
        idle.advance(10ms);
    }
    EntryFleet fleet(1, 20, 9);
    runWithCrashingRequest(fleet, 6s);
    std::vector<std::size_t> before = fleet.reportBytesSent;
    fleet.advance(60s);
    constexpr std::size_t maxBytesInAMinute = 30'000;
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        CHECK(fleet.reportBytesSent[entry] - before[entry] < maxBytesInAMinute);
    for (std::size_t bytes : idle.reportBytesSent)
        CHECK(bytes == 0);
}
