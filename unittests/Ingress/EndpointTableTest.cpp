#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Ingress/EntryTable.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// An EndpointTable with a service whose cold endpoints sustain ten requests per second.
struct TableFixture {
    TableFixture()
    {
        table.setSharers({ { "self" } }, "self", now);
        service.name = "service";
        service.coldRequestsPerSecond = 10;
        service.warmup = 3s;
        service.maxConnections = 12;
    }

    void put(const std::string& incarnation, bool isLeaving = false, std::chrono::milliseconds coldFor = 0ms)
    {
        EndpointRecord record;
        record.incarnation = incarnation;
        record.service = service.name;
        record.address = { "127.0.0.1", 1 };
        record.availabilityZone = "north-a";
        record.isLeaving = isLeaving;
        record.coldFor = coldFor;
        table.put(std::move(record), now);
    }

    /// Registers a start of an endpoint that began at \p startedAt.
    void putStart(const std::string& incarnation, std::chrono::milliseconds startedAt, bool isLeaving = false)
    {
        EndpointRecord record;
        record.incarnation = incarnation;
        record.startedAt = startedAt;
        record.service = service.name;
        record.address = { "127.0.0.1", 1 };
        record.availabilityZone = "north-a";
        record.isLeaving = isLeaving;
        table.put(std::move(record), now);
    }

    std::shared_ptr<RoutedEndpoint> choose()
    {
        EndpointRequest request;
        request.service = &service;
        request.attemptedIncarnations = &tried;
        return table.choose(request, now, random);
    }

    ServiceSettings service;
    std::vector<std::string> tried;
    Random random { 3 };
    TimePoint now { 100s };
    EndpointTable table { "north", { { "north-a", "north" }, { "south-a", "south" } } };
};

} // namespace

TEST_CASE("an endpoint that is leaving stays so, even if a later registration states otherwise")
{
    TableFixture fixture;
    fixture.put("e1", true);
    CHECK_FALSE(fixture.choose());
    fixture.put("e1", false);
    CHECK_FALSE(fixture.choose());
}

TEST_CASE("a later start under the same name is a new endpoint without recorded state")
{
    TableFixture fixture;
    fixture.putStart("e1", 1'000ms);
    std::shared_ptr<RoutedEndpoint> before = fixture.choose();
    REQUIRE(before);
    fixture.table.recordAttemptStarted(*before, fixture.now);
    CHECK(fixture.table.recordSegmentAndGetPrefillTokens(*before, 20'000, 13'000, "part", fixture.now) == 20'000);
    CHECK(fixture.table.recordSegmentAndGetPrefillTokens(*before, 20'000, 13'000, "part", fixture.now) == 7'000);
    CHECK(fixture.table.minWaitForSegment(fixture.service, "part", fixture.now));
    fixture.table.recordAttemptEnded(*before, true, fixture.now);
    fixture.putStart("e1", 1'000ms, true);
    CHECK_FALSE(fixture.choose());
    fixture.putStart("e1", 2'000ms);
    std::shared_ptr<RoutedEndpoint> after = fixture.choose();
    REQUIRE(after);
    CHECK(after != before);
    CHECK(after->hash != before->hash);
    CHECK(after->requestsInFlight == 0);
    CHECK(after->failureShare == 0);
    CHECK_FALSE(fixture.table.minWaitForSegment(fixture.service, "part", fixture.now));
    CHECK(before->isLeaving);
}

TEST_CASE("a registration of an earlier start is ignored, both while the later start is registered and after its removal")
{
    TableFixture fixture;
    fixture.putStart("e1", 2'000ms);
    fixture.putStart("e1", 1'000ms, true);
    CHECK(fixture.choose());
    fixture.table.remove("e1", fixture.now);
    fixture.putStart("e1", 1'000ms);
    CHECK_FALSE(fixture.choose());
    fixture.putStart("e1", 3'000ms);
    CHECK(fixture.choose());
}

TEST_CASE("a registration without a start time applies to the known start")
{
    TableFixture fixture;
    fixture.putStart("e1", 2'000ms);
    fixture.put("e1", true);
    CHECK_FALSE(fixture.choose());
    fixture.putStart("e1", 2'000ms);
    CHECK_FALSE(fixture.choose());
    fixture.putStart("e1", 2'001ms);
    CHECK(fixture.choose());
}

TEST_CASE("a registration that can't be parsed excludes only its own endpoint until a valid one arrives")
{
    TableFixture fixture;
    fixture.put("e1");
    fixture.table.recordUnreadable("e1");
    fixture.table.recordUnreadable("never seen");
    CHECK_FALSE(fixture.choose());
    CHECK(fixture.table.usableByRegion("service", fixture.now).empty());
    fixture.put("e2");
    CHECK(fixture.choose()->record.incarnation == "e2");
    fixture.table.remove("e2", fixture.now);
    fixture.put("e1");
    CHECK(fixture.choose());
}

TEST_CASE("an endpoint that changes its service is no longer chosen for the old service")
{
    TableFixture fixture;
    fixture.put("e1");
    fixture.service.name = "other";
    fixture.put("e1");
    CHECK(fixture.choose());
    fixture.service.name = "service";
    CHECK_FALSE(fixture.choose());
}

TEST_CASE("a missing endpoint is chosen until removeMissing() removes it")
{
    TableFixture fixture;
    fixture.put("e1");
    fixture.table.recordMissing("e1");
    CHECK(fixture.choose());
    fixture.now += 2s;
    CHECK(fixture.choose());
    fixture.put("e1");
    fixture.table.removeMissing(fixture.now);
    CHECK(fixture.choose());
    fixture.table.recordMissing("e1");
    fixture.table.removeMissing(fixture.now);
    CHECK_FALSE(fixture.choose());
    CHECK(fixture.table.size() == 0);
}

namespace {

/// Requests that the entries of a region together send to a cold endpoint within 20 s.
struct ColdRequests {
    std::size_t maxPerSecond { 0 };
    std::size_t total { 0 };
};

/// Each entry has a table of its own, and all tables run over the same time. Entries of
/// different \p parts don't list each other.
ColdRequests sendToColdEndpoint(std::size_t entries, std::size_t parts)
{
    std::vector<std::unique_ptr<TableFixture>> fixtures;
    for (std::size_t own = 0; own < entries; ++own) {
        std::vector<RateSharer> sharers;
        for (std::size_t i = 0; i < entries; ++i)
            sharers.push_back({ "entry-" + std::to_string(i), i % parts == own % parts });
        fixtures.push_back(std::make_unique<TableFixture>());
        fixtures.back()->put("e1", false, 60s);
        fixtures.back()->table.setSharers(sharers, sharers[own].name, fixtures.back()->now);
    }
    std::vector<TimePoint> taken;
    for (int i = 0; i < 20'000; ++i) {
        for (auto& fixture : fixtures) {
            fixture->now += 1ms;
            if (fixture->choose())
                taken.push_back(fixture->now);
        }
    }
    ColdRequests requests;
    requests.total = taken.size();
    for (std::size_t begin = 0, end = 0; end < taken.size(); ++end) {
        while (taken[end] - taken[begin] >= 1s)
            ++begin;
        requests.maxPerSecond = std::max(requests.maxPerSecond, end - begin + 1);
    }
    return requests;
}

} // namespace

TEST_CASE("the entries of a region together keep within the rate of a cold endpoint and use most of it")
{
    for (std::size_t entries : { 1u, 2u, 3u, 8u, 40u }) {
        ColdRequests requests = sendToColdEndpoint(entries, 1);
        CAPTURE(entries);
        CHECK(requests.maxPerSecond <= 10 * 1.5 + 3);
        CHECK(requests.total > 20 * 10 * 0.7);
    }
}

// Guards against shares that grow when registrations expire or a region is cut into parts.
TEST_CASE("the entries of a region that don't list each other keep within the rate of a cold endpoint")
{
    for (std::size_t entries : { 2u, 3u, 8u, 40u }) {
        for (std::size_t parts : { 2u, 3u }) {
            CAPTURE(entries, parts);
            CHECK(sendToColdEndpoint(entries, parts).maxPerSecond <= 10 * 1.5 + 3);
        }
    }
}

namespace {

/// An entry that starts: it knows of others that registered before it, and of later ones
/// when the news arrives.
struct StartingEntry {
    explicit StartingEntry(std::size_t index)
        : record({ "north", "north-a", { "10.0.0.1", static_cast<std::uint16_t>(index + 1) }, { "10.0.1.1", static_cast<std::uint16_t>(index + 1) } })
        , entries(record)
    {
        fixture.put("e1", false, 60s);
    }

    EntryRecord record;
    EntryTable entries;
    TableFixture fixture;
};

/// Returns the max number of requests a second to a cold endpoint by entries that start at
/// once and register one after the other.
std::size_t maxColdRequestsOfStarts(std::size_t count, Duration registrationInterval)
{
    constexpr Duration registrationDelay = 50ms;
    constexpr Duration newsDelay = 100ms;
    std::vector<std::unique_ptr<StartingEntry>> started;
    for (std::size_t i = 0; i < count; ++i)
        started.push_back(std::make_unique<StartingEntry>(i));
    std::vector<Duration> taken;
    for (Duration passed { 0 }; passed < 4s; passed += 1ms) {
        for (std::size_t i = 0; i < count; ++i) {
            StartingEntry& entry = *started[i];
            for (std::size_t other = 0; other < count; ++other) {
                Duration registered = registrationDelay + registrationInterval * static_cast<int>(other);
                if (passed == (other <= i ? registrationDelay + registrationInterval * static_cast<int>(i) : registered + newsDelay))
                    entry.entries.put("entry-" + std::to_string(other), started[other]->record);
            }
            entry.fixture.now += 1ms;
            entry.fixture.table.setSharers(entry.entries.rateSharers("north", entry.fixture.now), entry.record.peerAddress.toString(), entry.fixture.now);
            if (entry.fixture.choose())
                taken.push_back(passed);
        }
    }
    std::size_t max = 0;
    for (std::size_t begin = 0, end = 0; end < taken.size(); ++end) {
        while (taken[end] - taken[begin] >= 1s)
            ++begin;
        max = std::max(max, end - begin + 1);
    }
    return max;
}

} // namespace

// Guards against entries that each take the whole rate while they don't know of the others,
// as after the loss of a region.
TEST_CASE("the entries of a region that start at once keep within the rate of a cold endpoint")
{
    for (std::size_t entries : { 2u, 6u, 19u, 40u }) {
        for (Duration interval : { 0ms, 4ms, 20ms }) {
            CAPTURE(entries, interval.count());
            CHECK(maxColdRequestsOfStarts(entries, interval) <= 10 * 1.5 + 3);
        }
    }
}

TEST_CASE("endpoints of an evacuated zone get no requests and are cold after the evacuation")
{
    TableFixture fixture;
    fixture.put("e1");
    RouteTable routes(1, {}, { fixture.service }, {});
    fixture.table.setEvacuated({ "north-a" }, &routes, fixture.now);
    CHECK_FALSE(fixture.choose());
    CHECK(fixture.table.usableByRegion("service", fixture.now).empty());
    fixture.table.setEvacuated({}, &routes, fixture.now);
    CHECK(fixture.choose());
    CHECK_FALSE(fixture.choose());
    fixture.now += 3s;
    CHECK(fixture.choose());
    CHECK(fixture.choose());
}

TEST_CASE("the maximum number of connections to an endpoint is divided among the entries")
{
    TableFixture fixture;
    fixture.put("e1");
    fixture.table.setSharers({ { "self" }, { "a" }, { "b" } }, "self", fixture.now);
    for (int i = 0; i < 4; ++i) {
        auto endpoint = fixture.choose();
        REQUIRE(endpoint);
        fixture.table.recordAttemptStarted(*endpoint, fixture.now);
    }
    CHECK_FALSE(fixture.choose());
}

TEST_CASE("an endpoint isn't chosen for a moment after one failure, and for seconds after frequent failures")
{
    TableFixture fixture;
    fixture.put("e1");
    fixture.put("e2");
    auto failing = fixture.choose();
    auto end = [&](bool isFailure) {
        fixture.table.recordAttemptStarted(*failing, fixture.now);
        fixture.table.recordAttemptEnded(*failing, isFailure, fixture.now);
    };
    auto isChosen = [&] {
        for (int i = 0; i < 50; ++i) {
            if (fixture.choose() == failing)
                return true;
        }
        return false;
    };
    end(true);
    CHECK_FALSE(isChosen());
    fixture.now += 400ms;
    CHECK(isChosen());
    for (int i = 0; i < 6; ++i)
        end(i % 2 == 0);
    fixture.now += 400ms;
    CHECK_FALSE(isChosen());
    fixture.now += 6s;
    CHECK(isChosen());
}

TEST_CASE("a failing endpoint is still chosen if there is no other")
{
    TableFixture fixture;
    fixture.put("e1");
    auto failing = fixture.choose();
    for (int i = 0; i < 20; ++i) {
        fixture.table.recordAttemptStarted(*failing, fixture.now);
        fixture.table.recordAttemptEnded(*failing, true, fixture.now);
    }
    CHECK(fixture.choose() == failing);
}

TEST_CASE("an endpoint with requests in flight that sends nothing is suspect until it sends something")
{
    TableFixture fixture;
    fixture.put("e1");
    fixture.put("e2");
    auto silent = fixture.choose();
    fixture.table.recordAttemptStarted(*silent, fixture.now);
    fixture.now += 1'100ms;
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.choose() != silent);
    REQUIRE(fixture.table.ownWorkloads(fixture.now).size() == 1);
    CHECK(fixture.table.ownWorkloads(fixture.now)[0].suspicions == 1);
    fixture.table.recordBytesReceived(*silent, fixture.now);
    CHECK(fixture.table.ownWorkloads(fixture.now)[0].suspicions == 0);
    fixture.now += 1'100ms;
    fixture.table.recordAttemptEnded(*silent, false, fixture.now);
    CHECK(fixture.table.ownWorkloads(fixture.now).empty());
}

TEST_CASE("an endpoint that most of its users suspect isn't chosen")
{
    TableFixture fixture;
    fixture.put("e1");
    fixture.put("e2");
    auto suspected = fixture.choose();
    fixture.table.peerLoads().update({ "third", 1, { { suspected->hash, 0, 0, 0 } } }, fixture.now);
    fixture.table.peerLoads().update({ "other", 1, { { suspected->hash, 0, 0, 1 } } }, fixture.now);
    bool isStillUsed = false;
    for (int i = 0; i < 200; ++i)
        isStillUsed = isStillUsed || fixture.choose() == suspected;
    CHECK(isStillUsed);
    fixture.table.peerLoads().update({ "third", 2, { { suspected->hash, 4, 0, 1 } } }, fixture.now);
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.choose() != suspected);
    fixture.table.peerLoads().update({ "other", 2, {} }, fixture.now);
    fixture.table.peerLoads().update({ "third", 3, {} }, fixture.now);
    bool isChosenAgain = false;
    for (int i = 0; i < 50; ++i)
        isChosenAgain = isChosenAgain || fixture.choose() == suspected;
    CHECK(isChosenAgain);
}

// In a region of a hundred entries, a shared segment is usually sent by another entry each time.
TEST_CASE("a request goes to the endpoint to which another entry has sent its shared segment")
{
    TableFixture fixture;
    for (int i = 0; i < 40; ++i)
        fixture.put("e" + std::to_string(i));
    EndpointRequest request;
    request.service = &fixture.service;
    request.attemptedIncarnations = &fixture.tried;
    request.sharedSegment = "part";
    request.sharedTokens = 13'000;
    std::shared_ptr<RoutedEndpoint> owner = fixture.table.choose(request, fixture.now, fixture.random);
    std::shared_ptr<RoutedEndpoint> holder = fixture.choose();
    REQUIRE(holder != owner);
    fixture.table.recordPeerSegments({ { holder->hash, segmentHash("part"), 17 } }, fixture.now);
    CHECK(fixture.table.choose(request, fixture.now, fixture.random) == holder);
    CHECK(fixture.table.recordSegmentAndGetPrefillTokens(*holder, 17'000, 13'000, "part", fixture.now) == 4'000);
    std::vector<PartSent> reported = fixture.table.takeSentSegments();
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].place == holder->hash);
    CHECK(reported[0].kilotokens == 4);
    CHECK(fixture.table.takeSentSegments().empty());
    fixture.table.removeSegment(*holder, "part");
    CHECK(fixture.table.choose(request, fixture.now, fixture.random) == owner);
}

TEST_CASE("a shared segment is routed to the region to which it was sent last")
{
    TableFixture fixture;
    fixture.put("here");
    EndpointRecord remote;
    remote.incarnation = "away";
    remote.service = fixture.service.name;
    remote.availabilityZone = "south-a";
    fixture.table.put(remote, fixture.now);
    for (const char* segment : { "a", "b", "c", "d", "e", "f" }) {
        fixture.table.recordSentToRegion("south", segment, fixture.now);
        CHECK(fixture.table.regionOfSegment("service", segment, {}, fixture.now) == "south");
        CHECK(fixture.table.regionOfSegment("service", segment, { "north" }, fixture.now) == "north");
        fixture.table.recordPeerSegments({ { 12'345, segmentHash(segment), 17 } }, fixture.now);
        CHECK(fixture.table.regionOfSegment("service", segment, {}, fixture.now) == "north");
    }
    fixture.table.remove("away", fixture.now);
    fixture.table.recordSentToRegion("south", "a", fixture.now);
    CHECK(fixture.table.regionOfSegment("service", "a", {}, fixture.now) == "north");
}

// Guards against aborting requests because of a registration that another writer changed.
TEST_CASE("a registration of another version replaces a start, unless it names the same start or another service")
{
    TableFixture fixture;
    EndpointRecord record;
    record.incarnation = "e1";
    record.service = "service";
    record.softwareVersion = "v1";
    record.availabilityZone = "north-a";
    std::optional<AbortReason> reason;
    auto replace = [&](const EndpointRecord& next) {
        reason.reset();
        fixture.table.put(record, fixture.now);
        fixture.table.forEach([&](RoutedEndpoint& endpoint) { endpoint.abortCallbacks[1] = [&reason](AbortReason why) { reason = why; }; });
        fixture.table.put(next, fixture.now);
        fixture.table.remove("e1", fixture.now);
    };
    EndpointRecord next = record;
    next.softwareVersion = "v2";
    replace(next);
    CHECK(reason == AbortReason::RestartedAtOtherVersion);
    next.service = "other";
    replace(next);
    CHECK_FALSE(reason);
    record.startedAt = 1'000ms;
    next = record;
    next.softwareVersion = "v2";
    replace(next);
    CHECK_FALSE(reason);
    record.startedAt = 2'000ms;
    next.startedAt = 3'000ms;
    replace(next);
    CHECK(reason == AbortReason::RestartedAtOtherVersion);
    record.startedAt = 4'000ms;
    next = record;
    next.startedAt = 5'000ms;
    replace(next);
    CHECK(reason == AbortReason::Restarted);
}
