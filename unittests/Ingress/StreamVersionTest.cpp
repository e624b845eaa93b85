// Tests of streams that go on after a failure while endpoints of several software versions serve.
#include "StreamFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// The rule allows this many streams with events of two software versions.
static constexpr std::size_t maxJoinedStreams = 2;
/// Of the streams that clients take up, at least this share of the share of new streams that
/// begin must go on.
static constexpr double minShareGoingOn = 0.5;
/// The share is judged from this number on.
static constexpr std::size_t minTakenUp = 12;
static constexpr unsigned streamsPerSecond = 50;
/// Entries know within this time that a request has crashed three endpoints.
static constexpr Duration propagationTime = 5s;

static void checkStreams(const StreamFleet& fleet)
{
    StreamTotals totals = fleet.totals();
    double begun = static_cast<double>(totals.begun) / static_cast<double>(totals.streams);
    double wentOn = totals.takenUp > 0 ? static_cast<double>(totals.wentOn) / static_cast<double>(totals.takenUp) : 1;
    std::string refusals;
    for (const auto& [body, count] : fleet.refusedTakeUps)
        refusals += "\n  " + std::to_string(count) + " times " + body;
    INFO("streams " << totals.streams << ", begun " << begun << ", completed " << totals.completed << ", joined " << totals.joined << ", of these in one answer "
                    << totals.joinedWithinAnswer << ", taken up " << totals.takenUp << ", went on " << wentOn << refusals);
    CHECK(totals.joined <= maxJoinedStreams);
    CHECK(totals.disordered == 0);
    CHECK(totals.untrueRefusals == 0);
    if (totals.takenUp >= minTakenUp)
        CHECK(wentOn >= minShareGoingOn * begun);
}

// Guards against choosing the endpoint of a resumed stream without regard to its version.
TEST_CASE("a stream that its client takes up at another entry goes on at the version that began it")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed);
        fleet.run(20s, streamsPerSecond, 0.5);
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

// Guards against a retry within an answer at an endpoint of another version.
TEST_CASE("a stream whose endpoint crashes goes on at the version that began it")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed);
        for (int i = 0; i < 50; ++i) {
            std::size_t index = fleet.random.below(fleet.endpoints());
            fleet.crashEndpoint(index, 3s, fleet.endpoint(index).version);
            fleet.run(400ms, streamsPerSecond);
        }
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

// Guards against the refusal of streams that ran on an endpoint when it crashed. A stream that
// has brought events is unlikely to be the cause.
TEST_CASE("streams of crashed endpoints that clients take up go on while all endpoints have one version")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed, { "v1" }, 1);
        for (int i = 0; i < 50; ++i) {
            fleet.crashEndpoint(fleet.random.below(fleet.endpoints()), 3s, "v1");
            fleet.run(400ms, streamsPerSecond);
        }
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

// Guards against knowledge of a stream's version that is lost with the entry that began it.
TEST_CASE("a stream whose entry is killed goes on at the version that began it")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed);
        for (int i = 0; i < 14; ++i) {
            fleet.killEntry(fleet.random.below(fleet.entries()));
            fleet.run(1500ms, streamsPerSecond);
        }
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

// Guards against a version that is concluded from what is registered now, while the endpoints
// of the version that began the stream leave.
TEST_CASE("streams go on at their version while it is replaced by another one and entries are killed")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed, { "v1" });
        for (int i = 0; i < 16; ++i) {
            if (i % 2 == 0)
                fleet.killEntry(fleet.random.below(fleet.entries()));
            for (std::size_t index = 0; index < fleet.endpoints(); ++index) {
                if (fleet.endpoint(index).version == "v1") {
                    fleet.replaceEndpoint(index, "v2");
                    break;
                }
            }
            fleet.run(1250ms, streamsPerSecond, 0.1);
        }
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

static void killAllEntries(StreamFleet& fleet)
{
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        fleet.killEntry(entry);
}

static void replaceVersion(StreamFleet& fleet, const std::string& before, const std::string& next)
{
    std::size_t count = fleet.endpoints();
    for (std::size_t index = 0; index < count; ++index) {
        if (fleet.endpoint(index).version == before)
            fleet.replaceEndpoint(index, next);
    }
}

// Guards against a version that entries which have all lost their state conclude from the endpoints
// registered now, though streams of another version can still be resumed.
TEST_CASE("no stream is joined from two versions after all entries are killed at once")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        bool replacesVersion = GENERATE(false, true);
        StreamFleet fleet(seed, replacesVersion ? std::vector<std::string> { "v0" } : std::vector<std::string> { "v0", "v1" });
        // Streams outlast the time that leaving endpoints are registered for.
        fleet.eventsPerStream = 60;
        fleet.entryDownTime = 400ms;
        for (int round = 1; round <= 6; ++round) {
            if (replacesVersion)
                replaceVersion(fleet, "v" + std::to_string(round - 1), "v" + std::to_string(round));
            fleet.run(2800ms, streamsPerSecond);
            killAllEntries(fleet);
            fleet.run(6s, streamsPerSecond);
        }
        fleet.finish();
        StreamTotals totals = fleet.totals();
        std::size_t refused = fleet.refusedTakeUps.empty() ? 0 : fleet.refusedTakeUps.begin()->second;
        INFO("seed " << seed << ", versions replaced " << replacesVersion << ", taken up " << totals.takenUp << ", went on " << totals.wentOn << ", refused " << refused);
        CHECK((replacesVersion || totals.takenUp >= minTakenUp));
        CHECK(totals.joined <= maxJoinedStreams);
        CHECK(totals.disordered == 0);
        CHECK(totals.untrueRefusals == 0);
    }
}

// Guards against entries that can't conclude the only version there has ever been after a loss of
// all of them, and refuse every stream that was under way for as long as clients come back.
TEST_CASE("streams of a single version go on after all entries are killed at once")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed, { "v1" });
        fleet.eventsPerStream = 60;
        for (int round = 0; round < 6; ++round) {
            fleet.run(std::chrono::milliseconds(3000 + fleet.random.below(4000)), streamsPerSecond);
            fleet.entryDownTime = std::chrono::milliseconds(200 + fleet.random.below(300));
            killAllEntries(fleet);
        }
        fleet.run(6s, streamsPerSecond);
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
        CHECK(fleet.totals().takenUp >= minTakenUp);
    }
}

// Guards against the version of an endpoint's earlier start, which entries hold until the new
// start's registration reaches them.
TEST_CASE("streams don't go on at an endpoint that has started again under its name at another version")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed);
        for (int i = 0; i < 25; ++i) {
            std::size_t index = fleet.random.below(fleet.endpoints());
            fleet.crashEndpoint(index, 500ms, fleet.endpoint(index).version == "v1" ? "v2" : "v1", true);
            fleet.run(800ms, streamsPerSecond, 0.2);
        }
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

// Guards against a version that is concluded from old knowledge while the store is silent.
TEST_CASE("streams don't change their version while the store is silent and endpoints start again")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed, { "v1" });
        fleet.run(5s, streamsPerSecond, 0.5);
        fleet.silenceStore();
        for (int i = 0; i < 10; ++i) {
            fleet.crashEndpoint(fleet.random.below(fleet.endpoints()), 500ms, "v2", true);
            fleet.run(800ms, streamsPerSecond, 0.3);
        }
        fleet.restoreStore();
        fleet.run(5s, streamsPerSecond, 0.5);
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

// Guards against knowledge that only entries of another region hold.
TEST_CASE("streams go on at their version while the regions are partitioned")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        StreamFleet fleet(seed);
        fleet.run(5s, streamsPerSecond, 0.5);
        fleet.setRegionsPartitioned(true);
        fleet.run(10s, streamsPerSecond, 0.5);
        fleet.setRegionsPartitioned(false);
        fleet.run(5s, streamsPerSecond, 0.5);
        fleet.finish();
        INFO("seed " << seed);
        checkStreams(fleet);
    }
}

// Guards against trusting a stream that crashes endpoints because it has brought events.
TEST_CASE("a stream that brings events and crashes its endpoint each time is refused after three crashes")
{
    for (std::uint64_t events : { 1, 3 }) {
        for (unsigned seed = 1; seed <= 8; ++seed) {
            StreamFleet fleet(seed, { "v1" });
            for (int i = 0; i < 40; ++i) {
                fleet.startDeadlyStream(events);
                fleet.run(100ms + std::chrono::milliseconds(fleet.random.below(600)), streamsPerSecond);
            }
            fleet.finish();
            INFO("events " << events << ", seed " << seed << ", " << fleet.deadlyCrashes.size() << " crashes");
            REQUIRE(fleet.deadlyCrashes.size() >= 3);
            TimePoint isKnown = fleet.deadlyCrashes[2] + propagationTime;
            CHECK(std::none_of(fleet.deadlyCrashes.begin(), fleet.deadlyCrashes.end(), [isKnown](TimePoint at) { return at > isKnown; }));
        }
    }
}
