// Tests of entries that lose their links to all endpoints while clients and other entries
// still reach them.
#include "EntryFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Failed first attempts that are allowed: a number and a share of all.
static constexpr double allowedFailures = 10;
static constexpr double allowedFailureShare = 1.0 / 50;
/// Time after the beginning of a cut from which requests are counted.
static constexpr Duration settleTime = 1s;
/// Time within which an entry uses its endpoints again after a cut has ended.
static constexpr Duration healTime = 1s;
static constexpr Duration cutTime = 8s;
static constexpr Duration step = 10ms;
static constexpr double requestsPerSecond = 100;
/// Time within which a request that can't be served is refused.
static constexpr Duration maxRefusalTime = 500ms;

namespace {

void sendFor(EntryFleet& fleet, Duration span, double perSecond = requestsPerSecond)
{
    double perStep = perSecond * std::chrono::duration<double>(step).count();
    for (Duration passed { 0 }; passed < span; passed += step) {
        double due = perStep;
        for (; due >= 1; --due)
            fleet.sendToRandomEntry("body");
        if (fleet.random.unit() < due)
            fleet.sendToRandomEntry("body");
        fleet.advance(step);
    }
}

void setPaths(EntryFleet& fleet, const std::vector<std::size_t>& entries, PathState state)
{
    for (std::size_t entry : entries)
        fleet.setPath(entry, state);
}

struct Service {
    std::size_t sent { 0 };
    std::size_t failed { 0 };
};

/// Counts the requests that clients sent to \p entries in the given time.
Service serviceAt(const EntryFleet& fleet, const std::vector<std::size_t>& entries, TimePoint from, TimePoint until)
{
    Service service;
    for (const SentRequest& request : fleet.sentRequests) {
        bool isCounted = request.at >= from && request.at < until && std::count(entries.begin(), entries.end(), request.entry) > 0;
        service.sent += isCounted ? 1 : 0;
        service.failed += isCounted && request.responder->status() != 200 ? 1 : 0;
    }
    return service;
}

void checkServed(const Service& service)
{
    INFO(service.failed << " of " << service.sent << " requests failed");
    REQUIRE(service.sent > 0);
    CHECK(static_cast<double>(service.failed) <= allowedFailures + allowedFailureShare * static_cast<double>(service.sent));
}

const char* nameOf(PathState state)
{
    switch (state) {
    case PathState::Hanging:
        return "hanging";
    case PathState::Resetting:
        return "resetting";
    case PathState::RefusingNew:
        return "refusing new connections";
    case PathState::Open:
        break;
    }
    return "open";
}

const PathState cuts[] = { PathState::Hanging, PathState::Resetting, PathState::RefusingNew };

/// Cuts \p entries off under load and returns the service of their clients after settleTime.
Service serviceInCut(EntryFleet& fleet, const std::vector<std::size_t>& entries, PathState state)
{
    sendFor(fleet, 3s);
    TimePoint began = fleet.now();
    setPaths(fleet, entries, state);
    sendFor(fleet, cutTime);
    TimePoint ended = fleet.now();
    setPaths(fleet, entries, PathState::Open);
    fleet.advance(4s);
    return serviceAt(fleet, entries, began + settleTime, ended);
}

} // namespace

// Guards against entries that go on trying endpoints which they can't reach, though the other
// entries of their region serve.
TEST_CASE("clients of entries that are cut off from all endpoints are served through other entries of the region")
{
    for (PathState state : cuts) {
        for (const std::vector<std::size_t>& entries : { std::vector<std::size_t> { 0 }, { 0, 1 }, { 0, 1, 3, 4 } }) {
            EntryFleet fleet(1, 3, 9);
            INFO(entries.size() << " entries, " << nameOf(state));
            checkServed(serviceInCut(fleet, entries, state));
        }
    }
}

TEST_CASE("clients of entries that are cut off are served in another region if all of the region are cut off")
{
    for (PathState state : cuts) {
        EntryFleet fleet(2, 3, 9);
        INFO(nameOf(state));
        checkServed(serviceInCut(fleet, { 0, 1, 2 }, state));
    }
}

// Guards against the request of a workspace whose only home is the region with the cut.
TEST_CASE("requests bound to one region are served there while some of its entries are cut off")
{
    for (PathState state : cuts) {
        EntryFleet fleet(3, 3, 9, { "north" });
        INFO(nameOf(state));
        checkServed(serviceInCut(fleet, { 0, 1 }, state));
    }
}

TEST_CASE("clients of sound entries and of other regions are served while some entries are cut off")
{
    for (PathState state : cuts) {
        EntryFleet fleet(4, 3, 9, { "north" });
        sendFor(fleet, 3s);
        TimePoint began = fleet.now();
        setPaths(fleet, { 0, 1 }, state);
        sendFor(fleet, cutTime);
        fleet.advance(4s);
        INFO(nameOf(state));
        checkServed(serviceAt(fleet, { 2, 3, 4, 5 }, began, fleet.now()));
    }
}

// Guards against connections broken by the cut being taken for crashes that the requests on
// them caused. Each request is sent by several clients and was never answered before.
TEST_CASE("a cut convicts no request of crashing endpoints")
{
    constexpr int clientsPerRequest = 20;
    for (unsigned seed = 1; seed <= 4; ++seed) {
        EntryFleet fleet(seed, 3, 9);
        fleet.answerDelay = 200ms;
        sendFor(fleet, 3s);
        TimePoint began = fleet.now();
        int sent = 0;
        for (int cut = 0; cut < 4; ++cut) {
            setPaths(fleet, { 0, 1, 3 }, PathState::Resetting);
            for (Duration passed { 0 }; passed < 2s; passed += step) {
                fleet.sendToRandomEntry("request-" + std::to_string(sent++ / clientsPerRequest));
                fleet.advance(step);
            }
            setPaths(fleet, { 0, 1, 3 }, PathState::Open);
            for (Duration passed { 0 }; passed < 1s; passed += step) {
                fleet.sendToRandomEntry("request-" + std::to_string(sent++ / clientsPerRequest));
                fleet.advance(step);
            }
        }
        fleet.advance(4s);
        INFO("seed " << seed);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
            CHECK(fleet.partsOf(entry).crashSuspects.refusedCount(SuspectKind::Request, fleet.now()) == 0);
        checkServed(serviceAt(fleet, { 2, 4, 5 }, began, fleet.now()));
    }
}

TEST_CASE("an entry uses its endpoints again within a second of the end of a cut")
{
    for (PathState state : cuts) {
        EntryFleet fleet(5, 3, 9);
        sendFor(fleet, 3s);
        setPaths(fleet, { 0, 1 }, state);
        sendFor(fleet, cutTime);
        setPaths(fleet, { 0, 1 }, PathState::Open);
        sendFor(fleet, healTime);
        TimePoint healed = fleet.now();
        sendFor(fleet, 3s);
        fleet.advance(1s);
        INFO(nameOf(state));
        for (std::size_t entry : { 0, 1 }) {
            auto sent = std::count_if(fleet.sentRequests.begin(), fleet.sentRequests.end(), [&](const SentRequest& request) { return request.entry == entry && request.at >= healed; });
            auto direct = std::count_if(fleet.endpointAttempts.begin(), fleet.endpointAttempts.end(), [&](const EndpointAttempt& attempt) { return attempt.entry == entry && attempt.at >= healed; });
            CHECK(static_cast<double>(direct) >= 0.9 * static_cast<double>(sent));
        }
        checkServed(serviceAt(fleet, { 0, 1 }, healed, fleet.now()));
    }
}

TEST_CASE("requests are refused at once as not run while no entry reaches any endpoint")
{
    for (PathState state : { PathState::Hanging, PathState::Resetting }) {
        EntryFleet fleet(6, 3, 9);
        sendFor(fleet, 3s);
        setPaths(fleet, { 0, 1, 2, 3, 4, 5 }, state);
        sendFor(fleet, 3s);
        TimePoint settled = fleet.now();
        sendFor(fleet, 2s);
        TimePoint last = fleet.now();
        fleet.advance(maxRefusalTime + 2 * step);
        std::size_t slow = 0;
        std::size_t sent = 0;
        for (const SentRequest& request : fleet.sentRequests) {
            if (request.at < settled || request.at >= last)
                continue;
            ++sent;
            slow += request.responder->isOpen() ? 1 : 0;
            if (!request.responder->isOpen()) {
                CHECK(request.responder->status() == 503);
                CHECK(request.responder->outcome() == "not-run");
                CHECK(request.responder->head->headers.find("retry-after"));
            }
        }
        INFO(nameOf(state) << ": " << slow << " of " << sent << " without an answer");
        CHECK(slow == 0);
    }
}

TEST_CASE("clients of cut off entries are served in a region of thirty entries, half of which are cut off in turn")
{
    EntryFleet fleet(7, 30, 18);
    sendFor(fleet, 3s, 400);
    TimePoint began = fleet.now();
    std::vector<std::size_t> cutOff;
    for (std::size_t first = 0; first < 15; first += 5) {
        std::vector<std::size_t> next;
        for (std::size_t entry = first; entry < first + 5; ++entry)
            next.push_back(entry);
        setPaths(fleet, next, cuts[first / 5]);
        cutOff.insert(cutOff.end(), next.begin(), next.end());
        sendFor(fleet, 2s, 400);
    }
    fleet.advance(4s);
    checkServed(serviceAt(fleet, cutOff, began + settleTime, fleet.now()));
}

// Guards against conclusions from the silence of a single endpoint.
TEST_CASE("endpoints that fall silent for a second are neither taken for unreachable nor for crashed")
{
    EntryFleet fleet(8, 3, 9);
    sendFor(fleet, 3s);
    TimePoint began = fleet.now();
    for (std::size_t endpoint = 0; endpoint < 9; ++endpoint) {
        fleet.silence(endpoint, 1s);
        sendFor(fleet, 1500ms);
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
            CHECK_FALSE(fleet.partsOf(entry).endpoints.isCutOff("service", fleet.now()));
    }
    fleet.advance(4s);
    checkServed(serviceAt(fleet, { 0, 1, 2, 3, 4, 5 }, began, fleet.now()));
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry)
        CHECK(fleet.partsOf(entry).crashSuspects.refusedCount(SuspectKind::Request, fleet.now()) == 0);
}

TEST_CASE("requests bound to a region all of whose entries are cut off are refused at once as not run")
{
    for (PathState state : { PathState::Hanging, PathState::Resetting }) {
        EntryFleet fleet(9, 3, 9, { "north" });
        sendFor(fleet, 3s);
        setPaths(fleet, { 0, 1, 2 }, state);
        sendFor(fleet, 3s);
        std::size_t first = fleet.sentRequests.size();
        sendFor(fleet, 2s);
        std::size_t last = fleet.sentRequests.size();
        fleet.advance(maxRefusalTime + 2 * step);
        INFO(nameOf(state));
        std::size_t notRefused = 0;
        for (std::size_t i = first; i < last; ++i) {
            const FakeResponder& responder = *fleet.sentRequests[i].responder;
            notRefused += responder.isOpen() || responder.status() != 503 || responder.outcome() != "not-run" ? 1 : 0;
        }
        CHECK(notRefused == 0);
    }
}
