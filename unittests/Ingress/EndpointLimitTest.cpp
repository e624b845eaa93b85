// Tests the requests of all entries together at endpoints that name a limit in their answers.
#include "EntryFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// An endpoint may receive the limit times this, plus the slack, within any window.
static constexpr double ratio = 1.5;
static constexpr double slack = 5;
static constexpr Duration window = 4s;
/// Time from the first answer that names a limit until the limit must hold.
static constexpr Duration settleTime = 5s;
static constexpr Duration step = 10ms;
static constexpr Duration timeBeforeLimits = 2s;
/// Time within which a request has an answer: two round trips to the other region, and the
/// time that an endpoint takes.
static constexpr Duration maxAnswerTime = 400ms;
/// What an entry may send for control.
static constexpr double maxBytesPerSecond = 3'000;

namespace {

using EntryChoice = std::function<std::size_t(EntryFleet&)>;

std::size_t anyUp(EntryFleet& fleet)
{
    std::size_t entry = fleet.random.below(fleet.entries());
    while (!fleet.isUp(entry))
        entry = fleet.random.below(fleet.entries());
    return entry;
}

/// Entries of the first region have the lower indices.
std::size_t firstOfRegions(EntryFleet& fleet)
{
    return fleet.random.below(2) * fleet.entries() / 2;
}

void sendFor(EntryFleet& fleet, Duration span, double perSecond, const EntryChoice& choose = anyUp)
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

void setLimits(EntryFleet& fleet, std::size_t first, std::size_t count, const std::string& text)
{
    for (std::size_t endpoint = first; endpoint < first + count; ++endpoint)
        fleet.setLimitText(endpoint, text);
}

double allowedPerWindow(double perSecond)
{
    return ratio * perSecond * std::chrono::duration<double>(window).count() + slack;
}

/// Returns the max number of attempts at one endpoint within a window that begins at or
/// after \p from.
std::size_t maxPerWindow(const EntryFleet& fleet, std::size_t endpoint, TimePoint from)
{
    std::vector<TimePoint> times;
    for (const EndpointAttempt& attempt : fleet.endpointAttempts) {
        if (attempt.endpoint == endpoint && attempt.at >= from)
            times.push_back(attempt.at);
    }
    std::size_t max = 0;
    for (std::size_t begin = 0, end = 0; end < times.size(); ++end) {
        while (times[end] - times[begin] >= window)
            ++begin;
        max = std::max(max, end - begin + 1);
    }
    return max;
}

void checkLimits(const EntryFleet& fleet, std::size_t first, std::size_t count, double perSecond, TimePoint from)
{
    std::size_t max = 0;
    for (std::size_t endpoint = first; endpoint < first + count; ++endpoint)
        max = std::max(max, maxPerWindow(fleet, endpoint, from));
    INFO("limit " << perSecond << " a second, up to " << max << " attempts in 4 s");
    CHECK(static_cast<double>(max) <= allowedPerWindow(perSecond));
}

double attemptsPerSecond(const EntryFleet& fleet, std::size_t first, std::size_t count, TimePoint from)
{
    auto isCounted = [&](const EndpointAttempt& attempt) { return attempt.at >= from && attempt.endpoint >= first && attempt.endpoint < first + count; };
    auto attempts = std::count_if(fleet.endpointAttempts.begin(), fleet.endpointAttempts.end(), isCounted);
    return static_cast<double>(attempts) / std::chrono::duration<double>(fleet.now() - from).count();
}

/// Checks that each request has an answer which either serves it or tells when to return. A
/// request that was forwarded to an entry that was killed may have another one.
void checkAnswered(EntryFleet& fleet, bool wereEntriesKilled = false)
{
    fleet.advance(maxAnswerTime);
    for (const SentRequest& request : fleet.sentRequests) {
        int status = request.responder->status();
        if (status == 200 || request.responder->isGone)
            continue;
        if (wereEntriesKilled && status == 502) {
            REQUIRE(request.responder->outcome() == "unknown");
            continue;
        }
        REQUIRE(status == 503);
        REQUIRE(request.responder->head->headers.find("retry-after"));
    }
}

} // namespace

// Guards against entries that ignore the limit, or that each use the whole limit.
TEST_CASE("endpoints that name a limit get no more requests than it allows, and the others serve the rest")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        EntryFleet fleet(seed, 3, 15);
        sendFor(fleet, timeBeforeLimits, 320);
        TimePoint named = fleet.now();
        setLimits(fleet, 0, 3, "1.0");
        setLimits(fleet, 3, 1, "3.7");
        setLimits(fleet, 15, 1, "0.25");
        sendFor(fleet, 25s, 320);
        INFO("seed " << seed);
        checkLimits(fleet, 0, 3, 1.0, named + settleTime);
        checkLimits(fleet, 3, 1, 3.7, named + settleTime);
        checkLimits(fleet, 15, 1, 0.25, named + settleTime);
        CHECK(attemptsPerSecond(fleet, 0, 3, named + settleTime) >= 0.7 * 3);
        checkAnswered(fleet);
        CHECK(fleet.servedFraction("body") == 1);
    }
}

// Guards against a limit that is kept only because its endpoint gets nothing, and against
// requests that wait for an endpoint with room.
TEST_CASE("most of the limits is used when all endpoints name one, and the other requests are refused at once")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        EntryFleet fleet(seed, 3, 15);
        sendFor(fleet, timeBeforeLimits, 160);
        TimePoint named = fleet.now();
        setLimits(fleet, 0, fleet.endpoints(), "2.0");
        sendFor(fleet, 20s, 160);
        INFO("seed " << seed);
        checkLimits(fleet, 0, fleet.endpoints(), 2, named + settleTime);
        CHECK(attemptsPerSecond(fleet, 0, fleet.endpoints(), named + settleTime) >= 0.7 * 2 * 30);
        checkAnswered(fleet);
    }
}

// Guards against entries that forget the limits or what they have sent when they restart,
// and against a limit that the entries left divide among themselves.
TEST_CASE("limits of endpoints hold while entries are killed and restarted in turn")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        EntryFleet fleet(seed, 3, 15);
        sendFor(fleet, timeBeforeLimits, 160);
        TimePoint named = fleet.now();
        setLimits(fleet, 0, fleet.endpoints(), "2.0");
        sendFor(fleet, settleTime, 160);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            fleet.killEntry(entry);
            sendFor(fleet, 1s + 500ms * fleet.random.below(10), 160);
            fleet.restartEntry(entry);
            sendFor(fleet, 500ms, 160);
        }
        sendFor(fleet, 10s, 160);
        INFO("seed " << seed);
        checkLimits(fleet, 0, fleet.endpoints(), 2, named + settleTime);
        CHECK(attemptsPerSecond(fleet, 0, fleet.endpoints(), fleet.now() - 8s) >= 0.7 * 2 * 30);
        checkAnswered(fleet, true);
    }
}

// Guards against entries that begin with a full share each time they start.
TEST_CASE("limits of endpoints hold while all entries are killed and restarted at once")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        EntryFleet fleet(seed, 3, 15);
        sendFor(fleet, timeBeforeLimits, 160);
        TimePoint named = fleet.now();
        setLimits(fleet, 0, 4, "0.5");
        for (int round = 0; round < 6; ++round) {
            sendFor(fleet, 3s, 160);
            for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
                fleet.killEntry(entry);
            fleet.advance(500ms);
            for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
                fleet.restartEntry(entry);
        }
        sendFor(fleet, 8s, 160);
        INFO("seed " << seed);
        checkLimits(fleet, 0, 4, 0.5, named + settleTime);
        checkAnswered(fleet, true);
    }
}

// Guards against shares that grow when entries no longer see each other.
TEST_CASE("limits of endpoints hold while parts of a region don't see each other and registrations expire")
{
    for (std::size_t entriesPerRegion : { 2u, 3u, 8u }) {
        EntryFleet fleet(7, entriesPerRegion, 15);
        sendFor(fleet, timeBeforeLimits, 320);
        TimePoint named = fleet.now();
        setLimits(fleet, 0, fleet.endpoints(), "3.7");
        sendFor(fleet, settleTime, 320);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            fleet.dropDatagrams(entry);
            for (std::size_t other = 0; other < fleet.entries(); ++other) {
                if (entry % 2 != other % 2)
                    fleet.partsOf(entry).entries.remove("entry-" + std::to_string(other), fleet.now());
            }
        }
        sendFor(fleet, 20s, 320);
        INFO(entriesPerRegion << " entries a region");
        checkLimits(fleet, 0, fleet.endpoints(), 3.7, named + settleTime);
        CHECK(attemptsPerSecond(fleet, 0, fleet.endpoints(), named + settleTime) >= 0.7 * 3.7 * 30);
    }
}

// Guards against shares that only the entries with many requests could use, but don't have.
TEST_CASE("most of the limits is used while all clients use one entry of each region, and after they move to others")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        EntryFleet fleet(seed, 3, 15);
        sendFor(fleet, timeBeforeLimits, 160);
        TimePoint named = fleet.now();
        setLimits(fleet, 0, fleet.endpoints(), "2.0");
        sendFor(fleet, settleTime, 160);
        TimePoint moved = fleet.now();
        sendFor(fleet, 10s, 160, firstOfRegions);
        INFO("seed " << seed);
        CHECK(attemptsPerSecond(fleet, 0, fleet.endpoints(), moved) >= 0.7 * 2 * 30);
        sendFor(fleet, 10s, 160);
        checkLimits(fleet, 0, fleet.endpoints(), 2, named + settleTime);
        checkAnswered(fleet);
    }
}

// Guards against a first request from each of many entries, and against shares of a small
// limit that are too small to send anything.
TEST_CASE("limits of endpoints hold and are used in regions of many entries")
{
    for (std::size_t entriesPerRegion : { 28u, 100u }) {
        EntryFleet fleet(5, entriesPerRegion, 20);
        fleet.lostFraction = 0.02;
        sendFor(fleet, timeBeforeLimits, 300);
        TimePoint named = fleet.now();
        setLimits(fleet, 0, fleet.endpoints(), "3.7");
        sendFor(fleet, 16s, 300);
        INFO(entriesPerRegion << " entries a region");
        checkLimits(fleet, 0, fleet.endpoints(), 3.7, named + settleTime);
        CHECK(attemptsPerSecond(fleet, 0, fleet.endpoints(), named + settleTime) >= 0.7 * 3.7 * 40);
        checkAnswered(fleet);
        std::size_t mostBytes = *std::max_element(fleet.limitBytesSent.begin(), fleet.limitBytesSent.end());
        CHECK(static_cast<double>(mostBytes) <= maxBytesPerSecond * std::chrono::duration<double>(fleet.now() - named).count());
    }
}

// Guards against a limit that the entries that no longer send to the endpoint keep forever.
TEST_CASE("a limit that rises, falls or is no longer named is followed by all entries")
{
    EntryFleet fleet(3, 3, 15);
    sendFor(fleet, timeBeforeLimits, 160);
    setLimits(fleet, 0, fleet.endpoints(), "1.0");
    sendFor(fleet, 10s, 160);
    setLimits(fleet, 0, fleet.endpoints(), "3.0");
    sendFor(fleet, settleTime, 160);
    TimePoint risen = fleet.now();
    sendFor(fleet, 10s, 160);
    CHECK(attemptsPerSecond(fleet, 0, fleet.endpoints(), risen) >= 0.7 * 3 * 30);
    setLimits(fleet, 0, fleet.endpoints(), "0.5");
    TimePoint fallen = fleet.now();
    sendFor(fleet, 10s, 160);
    checkLimits(fleet, 0, fleet.endpoints(), 0.5, fallen + settleTime);
    setLimits(fleet, 0, fleet.endpoints(), "");
    sendFor(fleet, 20s, 160);
    TimePoint ended = fleet.now();
    sendFor(fleet, 5s, 160);
    CHECK(attemptsPerSecond(fleet, 0, fleet.endpoints(), ended) >= 150);
    checkAnswered(fleet);
    CHECK(fleet.servedFraction("body", ended) == 1);
}

// Guards against a limit that one answer without it lifts for a moment.
TEST_CASE("a limit that an endpoint leaves out of some answers holds")
{
    EntryFleet fleet(4, 3, 15);
    sendFor(fleet, timeBeforeLimits, 320);
    TimePoint named = fleet.now();
    for (int i = 0; i < 150; ++i) {
        setLimits(fleet, 0, 3, i % 4 == 1 ? "" : "1.0");
        sendFor(fleet, 100ms, 320);
    }
    checkLimits(fleet, 0, 3, 1, named + settleTime);
}

namespace {

std::function<FakeHttpAnswer(const HttpClientRequest&)> namingLimit(const std::string& text)
{
    return [text](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 200, "fine");
        if (!text.empty())
            answer.headers.add("request-limit", text);
        return answer;
    };
}

std::optional<double> limitOf(IngressFixture& fixture, const std::string& incarnation)
{
    std::optional<double> perSecond;
    fixture.parts.endpoints.forEach([&](const RoutedEndpoint& endpoint) {
        if (endpoint.record.incarnation == incarnation)
            perSecond = endpoint.limit.named.perSecond;
    });
    return perSecond;
}

} // namespace

// Guards against a request that waits for its deadline although no endpoint has room.
TEST_CASE("a request that the limits leave no room for is refused at once as not run")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { namingLimit("0.5") };
    CHECK(fixture.runToEnd()->status() == 200);
    CHECK(limitOf(fixture, "e1") == 0.5);
    auto refused = fixture.start();
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    CHECK(refused->body.find("endpoint_limits") != std::string::npos);
    CHECK(refused->head->headers.find("retry-after"));
    CHECK(fixture.endpointClient.requests.size() == 1);
    fixture.addEndpoint("e2");
    CHECK(fixture.runToEnd()->status() == 200);
    CHECK(fixture.sentHeader(1, "incarnation") == "e2");
}

TEST_CASE("a restarted endpoint has no limit until it names one")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { namingLimit("0.5"), namingLimit("") };
    fixture.runToEnd();
    fixture.parts.endpoints.remove("e1", fixture.scheduler.clock().now());
    fixture.addEndpoint("e1");
    CHECK_FALSE(limitOf(fixture, "e1"));
    CHECK(fixture.runToEnd()->status() == 200);
    CHECK(fixture.runToEnd()->status() == 200);
}

// Guards against broken answers, and answers of other processes, that end a limit.
TEST_CASE("only an endpoint's own answers to the request end its limit")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent, 1));
    fixture.parts.endpoints.setSharers({ { "self" } }, "self", fixture.scheduler.clock().now());
    fixture.addEndpoint("e1");
    fixture.answers = { namingLimit("2") };
    fixture.runToEnd();
    auto unsealed = [](const HttpClientRequest&) { return FakeHttpAnswer::ok("fine"); };
    auto misdirected = [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 421, "");
        answer.headers.add("request-limit", "0.3");
        return answer;
    };
    fixture.answers = { namingLimit("2"), unsealed };
    for (int i = 0; i < 5; ++i)
        fixture.runToEnd();
    CHECK(limitOf(fixture, "e1") == 2.0);
    fixture.answers = { misdirected };
    fixture.runToEnd();
    CHECK(limitOf(fixture, "e1").value_or(2) == 2.0);
}

TEST_CASE("a limit in the answer to a forwarded request isn't that of an endpoint here")
{
    IngressFixture fixture;
    Route route = IngressFixture::unaryRoute(RequestKind::Idempotent);
    route.homeRegions = { "south" };
    fixture.configure(route);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2", "south-a");
    fixture.addEntry("s1", "south", 9);
    fixture.peerClient.handler = namingLimit("1");
    CHECK(fixture.runToEnd()->status() == 200);
    CHECK_FALSE(limitOf(fixture, "e1"));
    CHECK_FALSE(limitOf(fixture, "e2"));
}
