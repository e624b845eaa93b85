// Tests the number of retries of all entries together while endpoints refuse requests.
#include "EntryFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <unordered_set>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr double ratio = 0.2;
static constexpr double allowance = 50;
static constexpr Duration window = 10s;
static constexpr Duration step = 10ms;
static constexpr Duration timeBeforeRefusals = 10s;

namespace {

/// The window of ten seconds in which the number of retries exceeds the allowed number
/// the most. Every attempt of a request at an endpoint but the first is a retry.
struct WorstWindow {
    std::size_t retries { 0 };
    double allowed { 0 };
    double excess() const { return static_cast<double>(retries) - allowed; }
};

std::size_t countWithin(const std::vector<TimePoint>& times, TimePoint from)
{
    auto first = std::lower_bound(times.begin(), times.end(), from);
    auto last = std::lower_bound(times.begin(), times.end(), from + window);
    return static_cast<std::size_t>(last - first);
}

std::vector<TimePoint> retriesOf(const EntryFleet& fleet)
{
    std::unordered_set<std::string> arrived;
    std::vector<TimePoint> retries;
    for (const EndpointAttempt& attempt : fleet.endpointAttempts) {
        if (!arrived.insert(attempt.request).second)
            retries.push_back(attempt.at);
    }
    return retries;
}

WorstWindow worstWindow(const EntryFleet& fleet)
{
    std::vector<TimePoint> retries = retriesOf(fleet);
    std::vector<TimePoint> requests;
    for (const SentRequest& request : fleet.sentRequests)
        requests.push_back(request.at);
    WorstWindow worst;
    for (TimePoint from = requests.front(); from < fleet.now(); from += step) {
        std::size_t countedRequests = std::max({ countWithin(requests, from), countWithin(requests, from - window / 2), countWithin(requests, from - window) });
        WorstWindow seen { countWithin(retries, from), ratio * static_cast<double>(countedRequests) + allowance };
        if (seen.retries > 0 && (worst.retries == 0 || seen.excess() > worst.excess()))
            worst = seen;
    }
    return worst;
}

using EntryChoice = std::function<std::size_t(EntryFleet&)>;

std::size_t anyEntry(EntryFleet& fleet)
{
    return fleet.random.below(fleet.entries());
}

/// Entries of the first region have the lower indices.
std::size_t anyOfFirstRegion(EntryFleet& fleet)
{
    return fleet.random.below(fleet.entries() / 2);
}

std::size_t anyOfSecondRegion(EntryFleet& fleet)
{
    return fleet.entries() / 2 + fleet.random.below(fleet.entries() / 2);
}

void sendFor(EntryFleet& fleet, Duration span, double perSecond, const EntryChoice& choose)
{
    double perStep = perSecond * std::chrono::duration<double>(step).count();
    for (Duration passed { 0 }; passed < span; passed += step) {
        double due = perStep;
        for (; due >= 1; --due)
            fleet.send(choose(fleet), "body");
        if (fleet.random.unit() < due)
            fleet.send(choose(fleet), "body");
        fleet.advance(step);
    }
}

void beginRefusals(EntryFleet& fleet)
{
    fleet.refusedFraction = 0.55 + 0.2 * fleet.random.unit();
}

void checkWithinBudget(const EntryFleet& fleet, unsigned seed)
{
    WorstWindow worst = worstWindow(fleet);
    INFO("seed " << seed);
    CHECK(static_cast<double>(worst.retries) <= worst.allowed);
}

} // namespace

// Guards against using the same budget twice. When clients move to entries of another
// region, their earlier requests still count at the old entries, and their new requests
// add to the budget of the new entries.
TEST_CASE("retries stay within the budget of all requests while clients move to entries of another region")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        sendFor(fleet, timeBeforeRefusals, 100, anyOfFirstRegion);
        beginRefusals(fleet);
        sendFor(fleet, 1500ms, 100, anyOfFirstRegion);
        sendFor(fleet, 12s, 100, anyOfSecondRegion);
        sendFor(fleet, 6s, 100, anyOfFirstRegion);
        checkWithinBudget(fleet, seed);
    }
}

// Guards against entries that lose the count of used retries with each restart.
TEST_CASE("retries stay within the budget of all requests while entries are killed and restarted in turn")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        EntryChoice anyUp = [](EntryFleet& among) {
            std::size_t entry = anyEntry(among);
            while (!among.isUp(entry))
                entry = anyEntry(among);
            return entry;
        };
        sendFor(fleet, timeBeforeRefusals, 100, anyUp);
        beginRefusals(fleet);
        sendFor(fleet, 500ms, 100, anyUp);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            fleet.killEntry(entry % 3);
            sendFor(fleet, 1s, 100, anyUp);
            fleet.restartEntry(entry % 3);
            sendFor(fleet, 500ms, 100, anyUp);
        }
        sendFor(fleet, 10s, 100, anyUp);
        checkWithinBudget(fleet, seed);
    }
}

// Guards against an entry's share of the retries beyond the ratio that grows while
// registrations expire.
TEST_CASE("retries stay within the budget of all requests while regions are disconnected and registrations expire")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed);
        sendFor(fleet, timeBeforeRefusals, 20, anyOfFirstRegion);
        fleet.setRegionsPartitioned(true);
        for (std::size_t entry = 1; entry < fleet.entries(); ++entry)
            fleet.removeRegistration(entry);
        beginRefusals(fleet);
        sendFor(fleet, 1500ms, 20, anyOfFirstRegion);
        sendFor(fleet, 12s, 20, anyOfSecondRegion);
        checkWithinBudget(fleet, seed);
    }
}

// Guards against a limit that is kept only because entries hardly ever retry.
TEST_CASE("at least half of the budget is used under steady load while endpoints refuse")
{
    for (double perSecond : { 10.0, 100.0 }) {
        EntryFleet fleet(1);
        sendFor(fleet, timeBeforeRefusals, perSecond, anyEntry);
        beginRefusals(fleet);
        TimePoint began = fleet.now();
        constexpr int windows = 3;
        sendFor(fleet, window * windows, perSecond, anyEntry);
        checkWithinBudget(fleet, 1);
        std::vector<TimePoint> retries = retriesOf(fleet);
        auto used = std::count_if(retries.begin(), retries.end(), [began](TimePoint at) { return at >= began; });
        double allowed = ratio * perSecond * std::chrono::duration<double>(window).count() + allowance;
        INFO(perSecond << " requests a second");
        CHECK(static_cast<double>(used) >= windows * allowed / 2);
    }
}

// Guards against first attempts that a link holds back and that arrive, as one more attempt
// each, after their retries.
TEST_CASE("retries stay within the budget of all requests while links hold back what is sent and endpoints refuse")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        EntryFleet fleet(seed);
        fleet.deliversCancelledRequests = true;
        fleet.answerDelay = 150ms;
        auto setPaths = [&fleet](PathState state) {
            for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
                fleet.setPath(entry, state);
        };
        sendFor(fleet, timeBeforeRefusals, 100, anyEntry);
        Duration held = 1s * (1 + fleet.random.below(4));
        if (seed % 2 == 0)
            beginRefusals(fleet);
        for (int cut = 0; cut < 2; ++cut) {
            setPaths(PathState::Hanging);
            sendFor(fleet, held, 100, anyEntry);
            setPaths(PathState::Open);
            beginRefusals(fleet);
            sendFor(fleet, 6s, 100, anyEntry);
        }
        sendFor(fleet, 6s, 100, anyEntry);
        checkWithinBudget(fleet, seed);
    }
}

// Guards against retries that both the entry that hands a request over and the entry that
// receives it make at the expense of the same budget.
TEST_CASE("retries stay within the budget of all requests while some entries hand theirs over and endpoints refuse")
{
    for (PathState state : { PathState::Hanging, PathState::Resetting, PathState::RefusingNew }) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            EntryFleet fleet(seed);
            sendFor(fleet, timeBeforeRefusals, 100, anyEntry);
            beginRefusals(fleet);
            for (std::size_t entry : { 0, 1, 3 })
                fleet.setPath(entry, state);
            sendFor(fleet, 8s, 100, anyEntry);
            for (std::size_t entry : { 0, 1, 3 })
                fleet.setPath(entry, PathState::Open);
            sendFor(fleet, 6s, 100, anyEntry);
            checkWithinBudget(fleet, seed);
        }
    }
}
