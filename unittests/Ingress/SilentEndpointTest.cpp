// Tests of requests at sound endpoints that fall silent for a while and go on where they were.
#include "EntryFleet.h"
#include "IngressFixture.h"
#include "StreamFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr Duration step = 10ms;
static constexpr Duration testTime = 12s;
static constexpr unsigned seeds = 4;
/// Time after which all requests of the fleets have ended.
static constexpr Duration endTime = 9s;

namespace {

/// Lets the endpoints of a fleet fall silent for 0.8 to 1.6 s, one every 0.05 to 0.3 s.
class Silences {
public:
    template <typename Fleet>
    void tick(Fleet& fleet)
    {
        if (fleet.now() < m_next)
            return;
        std::size_t endpoint = fleet.random.below(fleet.endpoints());
        if (!fleet.isSilent(endpoint))
            fleet.silence(endpoint, 800ms + step * fleet.random.below(81));
        m_next = fleet.now() + 50ms + step * fleet.random.below(26);
    }

private:
    TimePoint m_next {};
};

/// Conditions that may come with the silences.
struct Circumstances {
    /// The retry budget of all entries together is a few retries.
    bool isBudgetSmall { false };
    /// Configurations come into force every 1.2 to 2.4 s.
    bool hasConfigurations { false };
    /// The first entry begins to stop in the middle of the test.
    bool drainsEntry { false };
};

class CircumstancePlayer {
public:
    template <typename Fleet>
    CircumstancePlayer(Fleet& fleet, const Circumstances& circumstances)
        : m_circumstances(circumstances)
        , m_drainAt(fleet.now() + testTime / 2)
    {
        for (std::size_t entry = 0; circumstances.isBudgetSmall && entry < fleet.entries(); ++entry)
            fleet.partsOf(entry).retryLimits = { 0.01, 6, 10s };
    }

    template <typename Fleet>
    void tick(Fleet& fleet)
    {
        m_silences.tick(fleet);
        if (m_circumstances.hasConfigurations && fleet.now() >= m_nextConfiguration) {
            fleet.applyConfiguration();
            m_nextConfiguration = fleet.now() + 1200ms + step * fleet.random.below(121);
        }
        std::optional<PlannedStop>& stop = fleet.partsOf(0).plannedStop;
        if (m_circumstances.drainsEntry && !stop && fleet.now() >= m_drainAt)
            stop = PlannedStop { fleet.now(), fleet.now() + 12s };
    }

private:
    Circumstances m_circumstances;
    Silences m_silences;
    TimePoint m_nextConfiguration {};
    TimePoint m_drainAt;
};

/// Sends plain requests while endpoints fall silent, and checks that each ends with its answer,
/// or with the refusal of a request that hasn't run.
void checkPlain(unsigned seed, const Circumstances& circumstances, const std::vector<std::string>& homeRegions = {})
{
    EntryFleet fleet(seed, 3, 9, homeRegions);
    CircumstancePlayer player(fleet, circumstances);
    for (Duration passed { 0 }; passed < testTime; passed += step) {
        player.tick(fleet);
        fleet.sendToRandomEntry("body");
        fleet.advance(step);
    }
    fleet.advance(endTime);
    std::size_t failed = 0;
    for (const SentRequest& request : fleet.sentRequests) {
        bool isRefused = request.responder->status() == 503 && request.responder->outcome() == "not-run";
        failed += request.responder->status() == 200 || isRefused ? 0 : 1;
    }
    INFO("seed " << seed);
    CHECK(failed == 0);
    CHECK(fleet.servedFraction("body") >= 0.98);
}

/// The same with streams, none of which may be broken off.
void checkStreams(unsigned seed, const Circumstances& circumstances, const std::vector<std::string>& homeRegions = {})
{
    StreamFleet fleet(seed, { "v1" }, 2, homeRegions);
    CircumstancePlayer player(fleet, circumstances);
    for (Duration passed { 0 }; passed < testTime; passed += step) {
        player.tick(fleet);
        if (passed % (step * 2) == Duration::zero())
            fleet.startStream();
        fleet.advance(step);
    }
    fleet.finish();
    StreamTotals totals = fleet.totals();
    INFO("seed " << seed);
    CHECK(totals.brokenOff == 0);
    CHECK(totals.failed == 0);
    CHECK(totals.disordered == 0);
    CHECK(static_cast<double>(totals.completed) >= 0.98 * static_cast<double>(totals.streams));
}

/// Looks for silent endpoints every 0.1 s for 2.5 s.
void watchSilence(IngressFixture& fixture)
{
    for (Duration passed { 0 }; passed < 2500ms; passed += 100ms) {
        fixture.scheduler.advance(100ms);
        fixture.parts.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
    }
}

} // namespace

// Guards against an attempt that is given up, though its endpoint goes on, for a retry that the
// budget then denies.
TEST_CASE("requests at endpoints that fall silent get their answers though the retry budget is used up")
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        checkPlain(seed, { true, false, false });
        checkStreams(seed, { true, false, false });
    }
}

TEST_CASE("requests at endpoints that fall silent get their answers while there is a retry budget")
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        checkPlain(seed, {});
        checkStreams(seed, {});
    }
}

TEST_CASE("requests at endpoints that fall silent get their answers beside new configurations and a stopping entry")
{
    for (bool isBudgetSmall : { false, true }) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            checkPlain(seed, { isBudgetSmall, true, true });
            checkStreams(seed, { isBudgetSmall, true, true });
        }
    }
}

// Guards against the same mistake at an entry that another one has forwarded the request to.
TEST_CASE("requests that are forwarded to the only region allowed get their answers while its endpoints fall silent")
{
    for (bool isBudgetSmall : { false, true }) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            checkPlain(seed, { isBudgetSmall, true, false }, { "south" });
            checkStreams(seed, { isBudgetSmall, true, false }, { "south" });
        }
    }
}

// Guards against an answer that is taken for silence because it isn't a stream.
TEST_CASE("an endpoint that sends a plain answer piece by piece for two seconds isn't silent")
{
    IngressFixture fixture;
    Route route = IngressFixture::unaryRoute(RequestKind::Idempotent);
    route.timeout = 5s;
    fixture.configure(route);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 200, "a");
        answer.body = { "a", "b", "c", "d" };
        answer.pieceInterval = 400ms;
        return answer;
    } };
    auto client = fixture.start();
    watchSilence(fixture);
    CHECK(fixture.endpointClient.requests.size() == 1);
    CHECK(client->body == "abcd");
}

// Guards against a silence of the entry's own making.
TEST_CASE("an endpoint from which the entry doesn't read, since its client is slow, keeps the stream")
{
    IngressFixture fixture;
    Route route = IngressFixture::streamRoute(true);
    route.timeout = 5s;
    fixture.configure(route);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = streamAnswer(request, { 1 });
        answer.isLeftOpen = true;
        return answer;
    } };
    auto client = fixture.start();
    client->pending = 1u << 20;
    watchSilence(fixture);
    CHECK(fixture.endpointClient.requests.size() == 1);
    CHECK(client->isOpen());
    client->writable();
    fixture.scheduler.advance(10s);
    CHECK(fixture.parts.openRequestCount == 0);
}
