// A request that crashes the endpoints which run it, among others that don't.
#include "CrashWorld.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Entries that are in touch know within this time that three endpoints have
/// crashed under a request, and so send it no more often than this later.
static constexpr Duration knownWithin = 5s;
static constexpr std::size_t mostSentLater = 3;

namespace {

/// Lets clients send for a while: other requests each 30 ms, and the deadly one
/// each 0.1 s to 0.7 s, at any entry.
void runWithDeadly(CrashWorld& world, Duration span)
{
    TimePoint end = world.now() + span;
    TimePoint nextDeadly = world.now();
    TimePoint nextOther = world.now();
    for (int i = 0; world.now() < end; ++i) {
        if (world.now() >= nextOther) {
            world.sendToAny("other-" + std::to_string(i));
            nextOther += 30ms;
        }
        if (world.now() >= nextDeadly) {
            world.sendToAny(deadlyBody);
            nextDeadly = world.now() + 100ms + std::chrono::milliseconds(world.random.below(600));
        }
        world.advance(10ms);
    }
}

std::size_t othersServed(const CrashWorld& world, TimePoint from)
{
    return static_cast<std::size_t>(std::count_if(world.sent.begin(), world.sent.end(),
        [&](const SentRequest& request) { return request.at >= from && request.body != deadlyBody && request.answer->status() == 200; }));
}

std::size_t othersSent(const CrashWorld& world, TimePoint from)
{
    return static_cast<std::size_t>(std::count_if(world.sent.begin(), world.sent.end(), [&](const SentRequest& request) { return request.at >= from && request.body != deadlyBody; }));
}

} // namespace

// Guards against a request that crashes one endpoint after another because it
// comes at another entry each time.
TEST_CASE("a request under which three endpoints crashed is no longer sent, at whichever entry it comes")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        CrashWorld world(seed);
        runWithDeadly(world, 22s);
        world.advance(5s);
        INFO("seed " << seed << ", " << world.crashes.size() << " crashes in all");
        REQUIRE(world.crashes.size() >= 3);
        CHECK(world.arrivalsAfter(deadlyBody, world.crashes[2] + knownWithin) <= mostSentLater);
    }
}

// Guards against a refusal that only those learn of that hear every report.
TEST_CASE("a request that crashes endpoints is refused by entries that lose reports, start later or lose those who count")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        CrashWorld world(seed, 6, 9);
        world.lost = 0.3;
        world.silence(seed % world.entries());
        runWithDeadly(world, 10s);
        world.advance(5s);
        for (std::size_t entry = 0; entry < world.entries(); ++entry) {
            if (entry % 4 == seed % 4)
                world.restartEntry(entry);
        }
        world.advance(5s);
        TimePoint restarted = world.now();
        INFO("seed " << seed);
        REQUIRE(world.crashes.size() >= 3);
        for (std::size_t entry = 0; entry < world.entries(); ++entry) {
            if (entry != seed % world.entries())
                world.send(entry, deadlyBody);
        }
        world.advance(5s);
        CHECK(world.arrivalsAfter(deadlyBody, restarted) == 0);
    }
}

// Guards against counting that needs a region which is cut off.
TEST_CASE("each of two regions that are cut off from each other refuses a request that crashes its endpoints")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        CrashWorld world(seed);
        world.cutRegions(true);
        runWithDeadly(world, 15s);
        TimePoint known = world.now();
        runWithDeadly(world, 10s);
        INFO("seed " << seed << ", " << world.crashes.size() << " crashes");
        CHECK(world.arrivalsAfter(deadlyBody, known) == 0);
    }
}

// Guards against a refusal of what merely ran beside the request that crashes endpoints.
TEST_CASE("other requests are served while one that crashes endpoints is refused")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        CrashWorld world(seed);
        runWithDeadly(world, 8s);
        TimePoint after = world.now();
        runWithDeadly(world, 10s);
        world.advance(5s);
        INFO("seed " << seed);
        CHECK(othersServed(world, after) == othersSent(world, after));
        for (const SentRequest& request : world.sent) {
            if (request.body != deadlyBody)
                CHECK(request.answer->body.find("crashes_endpoints") == std::string::npos);
        }
    }
}

// Guards against blaming a request because it is always there when an endpoint crashes.
TEST_CASE("a request that half of the clients send is served like the others while endpoints crash by chance")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        CrashWorld world(seed);
        for (int i = 0; i < 2'000; ++i) {
            world.sendToAny(i % 2 == 0 ? "popular" : "other");
            if (i % 40 == 0)
                world.crashOne(world.random.below(2) == 0 ? "north" : "south");
            world.advance(10ms);
        }
        world.advance(5s);
        INFO("seed " << seed << ", popular " << world.servedShare("popular") << ", other " << world.servedShare("other"));
        for (const SentRequest& request : world.sent)
            REQUIRE(request.answer->body.find("crashes_endpoints") == std::string::npos);
    }
}

// Guards against blaming what was under way when all endpoints lost their power.
TEST_CASE("a request that was at several endpoints when all crashed at once is served afterwards")
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        CrashWorld world(seed);
        for (int outage = 0; outage < 3; ++outage) {
            for (std::size_t entry = 0; entry < world.entries(); ++entry) {
                for (int i = 0; i < 3; ++i)
                    world.send(entry, "popular");
            }
            world.advance(20ms);
            world.crashAll();
            world.advance(6s);
            TimePoint back = world.now();
            world.sendToAny("popular");
            world.advance(2s);
            INFO("seed " << seed << ", outage " << outage);
            CHECK(world.servedShare("popular", back) == 1);
        }
    }
}

// Guards against traces of a request outside the regions to which it is bound.
TEST_CASE("entries outside the regions of a bound request learn nothing of its crashes")
{
    CrashWorld world(1, 3, 8, { "north" });
    for (int i = 0; i < 40; ++i) {
        world.send(world.random.below(3), deadlyBody);
        world.advance(300ms);
    }
    REQUIRE(world.crashes.size() >= 3);
    CHECK(world.arrivalsAfter(deadlyBody, world.crashes[2] + knownWithin) <= mostSentLater);
    for (std::size_t entry = 0; entry < 3; ++entry)
        CHECK(world.partsOf(entry).crashing.size() == 1);
    for (std::size_t entry = 3; entry < 6; ++entry)
        CHECK(world.partsOf(entry).crashing.isEmpty());
}

// Guards against a refusal without an end, and against many trials at its end.
TEST_CASE("a refused request is tried again once minutes later, and refused for longer if it still crashes endpoints")
{
    CrashWorld world(3);
    runWithDeadly(world, 8s);
    std::size_t crashes = world.crashes.size();
    REQUIRE(crashes >= 3);
    // Past the end of the refusal at each entry.
    for (int i = 0; i < 8 * 60 * 2; ++i) {
        world.sendToAny(deadlyBody);
        world.advance(500ms);
    }
    CHECK(world.crashes.size() > crashes);
    CHECK(world.crashes.size() <= crashes + 4);
}

// Guards against a refusal of a request after its endpoints were repaired.
TEST_CASE("a refused request that an endpoint answers is served by every entry from then on")
{
    CrashWorld world(4);
    runWithDeadly(world, 8s);
    REQUIRE(world.crashes.size() >= 3);
    world.isRepaired = true;
    for (int i = 0; i < 8 * 60; ++i) {
        world.sendToAny(deadlyBody);
        world.advance(500ms);
    }
    TimePoint late = world.now();
    for (std::size_t entry = 0; entry < world.entries(); ++entry)
        world.send(entry, deadlyBody);
    world.advance(2s);
    CHECK(world.servedShare(deadlyBody, late) == 1);
}

// Guards against reports that cost more the longer a request is refused.
TEST_CASE("an entry tells little of requests that crash endpoints, and nothing without one")
{
    CrashWorld quiet(1);
    for (int i = 0; i < 200; ++i) {
        quiet.sendToAny("other");
        quiet.advance(10ms);
    }
    CrashWorld world(1, 20, 9);
    runWithDeadly(world, 6s);
    std::vector<std::size_t> before = world.bytesTold;
    world.advance(60s);
    constexpr std::size_t bytesInAMinute = 30'000;
    for (std::size_t entry = 0; entry < world.entries(); ++entry)
        CHECK(world.bytesTold[entry] - before[entry] < bytesInAMinute);
    for (std::size_t bytes : quiet.bytesTold)
        CHECK(bytes == 0);
}
