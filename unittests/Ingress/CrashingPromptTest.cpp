// Tests of entries that receive requests with a prompt segment that crashes the endpoints which
// run them. No two of these requests are alike, and sound requests share all their other segments.
#include "EntryFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Entries that can reach each other know of a segment's crashes within this time. Later than this
/// after the fifth crash at most maxLaterAttempts attempts contain the segment.
static constexpr Duration propagationTime = 5s;
static constexpr std::size_t crashesBeforeBound = 5;
static constexpr std::size_t maxLaterAttempts = 3;
/// From this time after the fifth crash on, sound requests are served at least half as often as
/// before the first one.
static constexpr Duration recoveryTime = 10s;
static constexpr double minServedFraction = 0.5;
/// Minimum time after the recovery in which sound requests are judged.
static constexpr Duration judgedTime = 3s;

static constexpr Duration soundInterval = 18ms;
/// Number of times that a client sends a request which crashes endpoints.
static constexpr unsigned triesPerClient = 3;

namespace {

/// A client of a request with a crashing segment, which sends it again after a failure.
struct CrashingClient {
    std::string body;
    std::string segments;
    std::size_t lastRequest { 0 };
    unsigned tries { 0 };
    TimePoint nextTryAt {};
};

/// Sound and crashing requests of two families. The requests of a family share the first segment
/// of their prompts; one or two of four common segments, in some of them a rare one, and an own one
/// follow.
class PromptTraffic {
public:
    PromptTraffic(EntryFleet& fleet, std::vector<std::string> badSegments, Duration badInterval)
        : m_fleet(fleet)
        , m_badSegments(std::move(badSegments))
        , m_badInterval(badInterval)
    {
        fleet.crashDelay = 85ms;
        fleet.answerDelay = 300ms;
        for (const std::string& segment : m_badSegments)
            fleet.crashingSegments[segment];
    }

    static std::string firstSegment(std::size_t family) { return "family-" + std::to_string(family); }
    void run(Duration span, bool sendsBad)
    {
        TimePoint end = m_fleet.now() + span;
        m_nextSound = std::max(m_nextSound, m_fleet.now());
        m_nextBad = std::max(m_nextBad, m_fleet.now());
        for (; m_fleet.now() < end; m_fleet.advance(10ms)) {
            for (; m_fleet.now() >= m_nextSound; m_nextSound += soundInterval)
                sendSound(m_fleet.random.below(2));
            for (; sendsBad && m_fleet.now() >= m_nextBad; m_nextBad += m_badInterval)
                startBad();
            repeatBad();
        }
    }
    void sendSound(std::size_t family)
    {
        std::string segments = firstSegment(family);
        for (std::uint64_t i = m_fleet.random.below(2); i < 2; ++i)
            segments += ",common-" + std::to_string(family) + "-" + std::to_string(m_fleet.random.below(4));
        if (m_fleet.random.below(10) == 0)
            segments += ",rare-" + std::to_string(m_fleet.random.below(40));
        send("sound", segments);
    }
    /// Sends a request with \p bad as second or third segment, or none if it is empty.
    CrashingClient makeBad(std::size_t family, const std::string& bad)
    {
        std::string common = "common-" + std::to_string(family) + "-" + std::to_string(m_fleet.random.below(4));
        std::string segments = m_fleet.random.below(2) == 0 ? common + "," + bad : bad + "," + common;
        std::string number = std::to_string(++m_lastNumber);
        return { "bad-" + number, firstSegment(family) + "," + segments + ",own-" + number };
    }

private:
    void send(const std::string& body, const std::string& segments)
    {
        std::string number = std::to_string(++m_lastNumber);
        m_fleet.sendPrompt(m_fleet.random.below(m_fleet.entries()), body + "-" + number, segments + ",own-" + number);
    }
    void startBad()
    {
        std::size_t family = m_fleet.random.below(m_badSegments.size());
        m_clients.push_back(makeBad(family, m_badSegments[family]));
        trySending(m_clients.back());
    }
    void trySending(CrashingClient& client)
    {
        client.lastRequest = m_fleet.sentRequests.size();
        ++client.tries;
        client.nextTryAt = {};
        m_fleet.sendPrompt(m_fleet.random.below(m_fleet.entries()), client.body, client.segments);
    }
    void repeatBad()
    {
        for (CrashingClient& client : m_clients) {
            const FakeResponder& responder = *m_fleet.sentRequests[client.lastRequest].responder;
            if (client.tries >= triesPerClient || responder.isOpen())
                continue;
            if (client.nextTryAt == TimePoint {})
                client.nextTryAt = m_fleet.now() + 100ms + std::chrono::milliseconds(m_fleet.random.below(400));
            else if (m_fleet.now() >= client.nextTryAt)
                trySending(client);
        }
    }

    EntryFleet& m_fleet;
    std::vector<std::string> m_badSegments;
    Duration m_badInterval;
    std::vector<CrashingClient> m_clients;
    TimePoint m_nextSound {};
    TimePoint m_nextBad {};
    std::size_t m_lastNumber { 0 };
};

bool isSoundOf(const SentRequest& request, std::size_t family)
{
    return request.body.rfind("sound", 0) == 0 && request.segments.rfind(PromptTraffic::firstSegment(family) + ",", 0) == 0;
}

/// Returns the fraction of the sound requests of a family that were served, of those that were sent
/// in the time from \p from to \p to at entries that were up.
double servedSound(const EntryFleet& fleet, std::size_t family, TimePoint from, TimePoint to)
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const SentRequest& request : fleet.sentRequests) {
        if (!isSoundOf(request, family) || request.at < from || request.at >= to || request.responder->isGone)
            continue;
        ++sent;
        served += request.responder->status() == 200 ? 1 : 0;
    }
    REQUIRE(sent >= 20);
    return static_cast<double>(served) / static_cast<double>(sent);
}

/// Returns the crash from which the bounds hold: the fifth one, or the last of fewer.
TimePoint countedCrash(const std::vector<TimePoint>& crashes)
{
    return crashes.size() >= crashesBeforeBound ? crashes[crashesBeforeBound - 1] : crashes.back();
}

/// Checks the bounds for one crashing segment of \p family. That crash may be a trial long after the others,
/// so the traffic goes on until sound requests have been sent for long enough after the recovery.
void checkBounds(EntryFleet& fleet, PromptTraffic& traffic, const std::string& segment, std::size_t family)
{
    const std::vector<TimePoint>& crashes = fleet.crashingSegments.at(segment);
    REQUIRE(crashes.size() >= 3);
    while (fleet.now() < countedCrash(crashes) + recoveryTime + judgedTime)
        traffic.run(1s, true);
    TimePoint end = fleet.now();
    bool hasFive = crashes.size() >= crashesBeforeBound;
    TimePoint counted = countedCrash(crashes);
    std::size_t later = hasFive ? fleet.attemptsWithSegmentAfter(segment, counted + propagationTime) : 0;
    double served = servedSound(fleet, family, counted + recoveryTime, end);
    INFO(segment << ": " << crashes.size() << " crashes, " << later << " later attempts, " << served << " of the sound requests served");
    CHECK(later <= maxLaterAttempts);
    CHECK(served >= minServedFraction);
}

/// Returns the number of entries that refuse a segment.
std::size_t entriesRefusingSegments(EntryFleet& fleet)
{
    std::size_t count = 0;
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        count += fleet.partsOf(entry).crashSuspects.refusedCount(SuspectKind::PromptSegment, fleet.now()) > 0 ? 1 : 0;
    return count;
}

} // namespace

// Guards against a prompt segment that crashes one endpoint after another because each request with
// it counts as a new request.
TEST_CASE("requests with a segment that crashed five endpoints are no longer sent to endpoints by any entry")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        traffic.run(30s, true);
        INFO("seed " << seed);
        checkBounds(fleet, traffic, "bad", 0);
    }
}

// Guards against crashes of two segments that count for what their requests have in common.
TEST_CASE("two segments that crash endpoints at the same time are both refused")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, { "bad-0", "bad-1" }, 400ms);
        traffic.run(4s, false);
        traffic.run(30s, true);
        INFO("seed " << seed);
        checkBounds(fleet, traffic, "bad-0", 0);
        checkBounds(fleet, traffic, "bad-1", 1);
    }
}

// Guards against refusing the segments that all requests share, since no endpoint is left to answer
// them.
TEST_CASE("a segment that crashes endpoints twelve times a second is refused, and sound requests are served again")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, { "bad" }, 83ms);
        traffic.run(4s, false);
        traffic.run(30s, true);
        INFO("seed " << seed);
        checkBounds(fleet, traffic, "bad", 0);
    }
}

// Guards against a refusal that depends on registrations in the store.
TEST_CASE("a segment that crashes endpoints is refused while the store is silent")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        fleet.silenceStore(4s);
        traffic.run(30s, true);
        INFO("seed " << seed);
        checkBounds(fleet, traffic, "bad", 0);
    }
}

// Guards against crash counting that depends on single entries.
TEST_CASE("a segment that crashes endpoints is refused while entries are killed and started again")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        fleet.lostFraction = 0.1;
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        for (std::size_t killed = 0; killed < 3; ++killed) {
            std::size_t entry = (seed + 2 * killed) % fleet.entries();
            traffic.run(1s, true);
            fleet.killEntry(entry);
            traffic.run(5s, true);
            fleet.restartEntry(entry);
        }
        traffic.run(14s, true);
        INFO("seed " << seed);
        checkBounds(fleet, traffic, "bad", 0);
    }
}

// Guards against refusals that are known only to entries which were there when the crashes came.
TEST_CASE("an entry that starts after the crashes of a segment refuses it")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        traffic.run(10s, true);
        fleet.advance(5s);
        fleet.restartEntry(seed % fleet.entries());
        fleet.advance(5s);
        TimePoint restarted = fleet.now();
        for (int i = 0; i < 4; ++i) {
            CrashingClient client = traffic.makeBad(0, "bad");
            fleet.sendPrompt(seed % fleet.entries(), client.body, client.segments);
            fleet.advance(200ms);
        }
        INFO("seed " << seed);
        CHECK(fleet.attemptsWithSegmentAfter("bad", restarted) == 0);
    }
}

// Guards against an entry that heard nothing of the crashes and takes no part in the refusal later.
TEST_CASE("an entry that others couldn't reach during the crashes of a segment refuses it once they reach it again")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        std::size_t cutOff = seed % fleet.entries();
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        fleet.dropDatagrams(cutOff);
        traffic.run(10s, true);
        fleet.restoreDatagrams(cutOff);
        traffic.run(propagationTime, false);
        TimePoint reached = fleet.now();
        for (int i = 0; i < 4; ++i) {
            CrashingClient client = traffic.makeBad(0, "bad");
            fleet.sendPrompt(cutOff, client.body, client.segments);
            fleet.advance(200ms);
        }
        INFO("seed " << seed);
        // It may be the entry's turn to try one.
        CHECK(fleet.attemptsWithSegmentAfter("bad", reached) <= 1);
    }
}

// Guards against crashes that are counted at the entry that the client connected to instead of at
// the one that ran the request.
TEST_CASE("a segment that crashes endpoints is refused while entries forward their requests")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        for (std::size_t entry : { 0u, 1u, 3u })
            fleet.setPath(entry, PathState::RefusingNew);
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        traffic.run(30s, true);
        INFO("seed " << seed);
        checkBounds(fleet, traffic, "bad", 0);
    }
}

// Guards against crash counting that depends on entries of an unreachable region.
TEST_CASE("each of two partitioned regions refuses a segment that crashes endpoints")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        fleet.setRegionsPartitioned(true);
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        traffic.run(15s, true);
        TimePoint propagated = fleet.now();
        traffic.run(15s, true);
        INFO("seed " << seed);
        CHECK(fleet.attemptsWithSegmentAfter("bad", propagated) <= maxLaterAttempts);
        CHECK(servedSound(fleet, 0, propagated, fleet.now()) >= minServedFraction);
    }
}

// Guards against records of a prompt outside the regions that its residency allows.
TEST_CASE("entries outside the allowed regions of a prompt know nothing of its segments")
{
    EntryFleet fleet(1, 3, 8, { "north" });
    PromptTraffic traffic(fleet, { "bad" }, 400ms);
    traffic.run(4s, false);
    traffic.run(30s, true);
    checkBounds(fleet, traffic, "bad", 0);
    for (std::size_t entry = 3; entry < 6; ++entry) {
        CHECK(fleet.partsOf(entry).crashSuspects.isEmpty());
        CHECK(fleet.partsOf(entry).crashSuspects.answeredCount() == 0);
    }
}

// Guards against a refusal of segments that were running when endpoints crashed by chance.
TEST_CASE("no segment is refused while endpoints crash by chance")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, {}, 1s);
        traffic.run(4s, false);
        TimePoint begin = fleet.now();
        INFO("seed " << seed);
        for (int i = 0; i < 30; ++i) {
            traffic.run(500ms, false);
            fleet.crashOne(fleet.random.below(2) == 0 ? "north" : "south");
            CHECK(entriesRefusingSegments(fleet) == 0);
        }
        fleet.advance(5s);
        CHECK(servedSound(fleet, 0, begin, fleet.now()) >= 0.9);
        CHECK(servedSound(fleet, 1, begin, fleet.now()) >= 0.9);
    }
}

// Guards against a sound segment that is refused for good because no request without the bad one
// had it before.
TEST_CASE("a segment that only crashing requests had so far is served soon after")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, { "bad" }, 400ms);
        traffic.run(4s, false);
        for (int i = 0; i < 30; ++i) {
            CrashingClient client = traffic.makeBad(0, "bad,beside");
            fleet.sendPrompt(fleet.random.below(fleet.entries()), client.body, client.segments);
            traffic.run(300ms, false);
        }
        INFO("seed " << seed);
        REQUIRE(entriesRefusingSegments(fleet) == fleet.entries());
        for (int i = 0; i < 150; ++i) {
            fleet.sendPrompt(fleet.random.below(fleet.entries()), "beside-" + std::to_string(i), PromptTraffic::firstSegment(0) + ",beside,own");
            traffic.run(100ms, false);
        }
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
            fleet.sendPrompt(entry, "last", PromptTraffic::firstSegment(0) + ",beside,own");
        fleet.advance(2s);
        CHECK(fleet.servedFraction("last") == 1);
        CHECK(fleet.crashingSegments.at("bad").size() <= crashesBeforeBound + maxLaterAttempts);
    }
}

// Guards against refusing what all requests share where no entry knows that it was ever answered.
TEST_CASE("sound requests are served soon although all entries start while a segment crashes endpoints")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        PromptTraffic traffic(fleet, { "bad" }, 83ms);
        traffic.run(30s, true);
        INFO("seed " << seed);
        checkBounds(fleet, traffic, "bad", 0);
    }
}

// Guards against a refusal that outlasts the fault of the endpoints.
TEST_CASE("a refused segment is served by every entry once an endpoint has answered it")
{
    EntryFleet fleet(4);
    PromptTraffic traffic(fleet, { "bad" }, 400ms);
    traffic.run(4s, false);
    traffic.run(10s, true);
    REQUIRE(entriesRefusingSegments(fleet) == fleet.entries());
    fleet.isRepaired = true;
    for (int i = 0; i < 6 * 60; ++i) {
        fleet.sendPrompt(fleet.random.below(fleet.entries()), "repaired", "family-0,bad,own");
        fleet.advance(1s);
    }
    TimePoint repaired = fleet.now();
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        fleet.sendPrompt(entry, "repaired", "family-0,bad,own");
    fleet.advance(2s);
    CHECK(fleet.servedFraction("repaired", repaired) == 1);
}
