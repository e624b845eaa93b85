// Tests what entries record in the store of software versions, and what they conclude from it.
#include "catkinwing/Ingress/VersionRecord.h"

#include "Coordination/FakeStore.h"
#include "IngressFixture.h"
#include "StoreFollower.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t entryCount = 3;
constexpr Duration step = 50ms;
/// Routes of the tests have short timeouts, so that the shortest lifetime applies.
constexpr Duration lifetime = 30s;
/// Entries that start have listed the store, and one has recorded what it observes.
constexpr Duration recordingTime = 3s;
/// A wrong statement is withdrawn before endpoints of the new version take streams.
constexpr Duration withdrawalTime = 1s;

/// Reads "VERSION SERVICE", the version of a configuration with one route and its service.
ConfigResult<RouteTable> readRoutes(absl::string_view text)
{
    std::pair<std::string, std::string> parts = absl::StrSplit(text, ' ');
    ConfigResult<RouteTable> result;
    std::int64_t version = 0;
    if (!absl::SimpleAtoi(parts.first, &version)) {
        result.faults.push_back({ "", "expected a version" });
        return result;
    }
    Route route = IngressFixture::streamRoute(true);
    route.services = { { parts.second, 1 } };
    ServiceSettings service;
    service.name = parts.second;
    result.document = RouteTable(version, { route }, { service }, {});
    return result;
}

/// Reads "SERVICE VERSION".
absl::StatusOr<EndpointRecord> readEndpoint(const std::string& incarnation, absl::string_view text)
{
    std::pair<std::string, std::string> parts = absl::StrSplit(text, ' ');
    EndpointRecord record;
    record.incarnation = incarnation;
    record.service = parts.first;
    record.softwareVersion = parts.second;
    record.address = { "127.0.0.1", 1 };
    record.availabilityZone = "north-a";
    return record;
}

/// One entry with its own path to the store.
struct Process {
    explicit Process(FakeStore& fakeStore)
        : store(fakeStore.clientOn(fixture.scheduler))
        , follower(*store, fixture.scheduler, fixture.random, "entries/", fixture.parts, [](const std::string&) {})
        , writer(*store, fixture.parts)
    {
        fixture.dialect.readRouteTable = readRoutes;
        fixture.dialect.readEndpoint = readEndpoint;
        follower.start();
    }

    void keepHouse()
    {
        fixture.parts.endpoints.setKnowledgeAge(0ms);
        follower.runHousekeeping();
        writer.tick();
    }

    TimePoint now() const { return fixture.scheduler.clock().now(); }

    std::string service() const { return fixture.parts.routes ? fixture.parts.routes->services().front().name : ""; }

    /// Returns the version at which a stream of the route would go on whose origin no entry knows.
    std::optional<BuildId> concluded() const
    {
        auto moved = fixture.parts.routesMovedAt.find("route");
        bool wasMoved = moved != fixture.parts.routesMovedAt.end() && now() - moved->second < lifetime;
        return wasMoved ? std::nullopt : fixture.parts.endpoints.soleVersion(service(), now());
    }

    /// Returns the version of the endpoint that a new stream would begin at.
    std::optional<BuildId> chosen()
    {
        if (!fixture.parts.routes)
            return std::nullopt;
        std::vector<std::string> attempted;
        EndpointRequest request;
        request.service = fixture.parts.routes->findService(service());
        request.beginsResumableStream = true;
        request.attemptedIncarnations = &attempted;
        std::shared_ptr<RoutedEndpoint> endpoint = fixture.parts.endpoints.choose(request, now(), fixture.random);
        return endpoint ? std::optional<BuildId>(endpoint->build) : std::nullopt;
    }

    IngressFixture fixture;
    std::unique_ptr<Store> store;
    StoreFollower follower;
    VersionRecordWriter writer;
};

class RecordFixture {
public:
    RecordFixture()
    {
        store.put("configuration", "1 a");
        store.put("endpoints/a1", "a v1");
        store.put("endpoints/a2", "a v1");
        startAll();
    }

    void startAll()
    {
        for (std::size_t i = 0; i < entryCount; ++i)
            processes.push_back(std::make_unique<Process>(store));
        // Entries are registered when they have listed the store.
        advance(step);
        store.put("entries/any", "");
    }

    void killAll()
    {
        for (auto& process : processes)
            killed.push_back(std::move(process));
        processes.clear();
    }

    void restartAll(Duration downTime)
    {
        killAll();
        advance(downTime);
        startAll();
    }

    void advance(Duration span)
    {
        for (Duration passed { 0 }; passed < span; passed += step) {
            scheduler.advance(step);
            for (auto& process : processes) {
                process->fixture.scheduler.advance(step);
                process->keepHouse();
            }
        }
    }

    std::size_t concluding(const std::string& service, const std::string& version) const
    {
        return static_cast<std::size_t>(std::count_if(processes.begin(), processes.end(), [&](const auto& process) { return process->concluded() == buildIdOf(service, version); }));
    }

    std::optional<BuildId> recorded(const std::string& service) const
    {
        VersionRecord record = readVersionRecord(store.peek(versionRecordKey).value).value_or(VersionRecord {});
        auto found = record.builds.find(service);
        return found == record.builds.end() ? std::nullopt : std::optional<BuildId>(found->second);
    }

    TimePoint now() const { return scheduler.clock().now(); }

    ManualScheduler scheduler;
    FakeStore store { scheduler };
    std::vector<std::unique_ptr<Process>> processes;
    /// Processes whose time stands still. Answers of the store may still refer to them.
    std::vector<std::unique_ptr<Process>> killed;
};

} // namespace

TEST_CASE("a version record is read as it was written")
{
    VersionRecord record { 3, 12, { { "a", 1 }, { "b \"x\"", 0xfedcba9876543210 } } };
    CHECK(readVersionRecord(writeVersionRecord(record)) == record);
    for (const char* text : { "", "x", "[]", "{}", R"({"era":1,"configuration":1})", R"({"era":1,"configuration":1,"builds":{"a":1}})", R"({"era":1,"configuration":1,"builds":{"a":"0"}})",
             R"({"era":"1","configuration":1,"builds":{}})" })
        CHECK_FALSE(readVersionRecord(text));
}

TEST_CASE("entries that start conclude the version that the entries before them have recorded")
{
    RecordFixture fixture;
    fixture.advance(recordingTime);
    CHECK(fixture.recorded("a") == buildIdOf("a", "v1"));
    std::size_t writes = fixture.store.calls(StoreCallGroup::Write);
    fixture.restartAll(1s);
    fixture.advance(500ms);
    CHECK(fixture.concluding("a", "v1") == entryCount);
    fixture.advance(10s);
    CHECK(fixture.store.calls(StoreCallGroup::Write) == writes);
}

// Guards against a record that is written once by each entry.
TEST_CASE("one entry writes the version record")
{
    RecordFixture fixture;
    fixture.advance(20s);
    CHECK(fixture.store.calls(StoreCallGroup::Write) <= entryCount);
}

TEST_CASE("a version that is new is withdrawn from the record before it takes streams")
{
    RecordFixture fixture;
    fixture.advance(recordingTime);
    fixture.store.put("endpoints/a3", "a v2");
    for (Duration passed { 0 }; fixture.recorded("a") && passed < withdrawalTime; passed += step) {
        fixture.advance(step);
        for (auto& process : fixture.processes)
            CHECK(process->chosen().value_or(0) == buildIdOf("a", "v1"));
    }
    CHECK_FALSE(fixture.recorded("a"));
    fixture.store.erase("endpoints/a1");
    fixture.store.erase("endpoints/a2");
    fixture.advance(lifetime - 1s);
    fixture.restartAll(500ms);
    fixture.advance(5s);
    CHECK(fixture.concluding("a", "v2") == 0);
    fixture.advance(lifetime);
    CHECK(fixture.concluding("a", "v2") == entryCount);
    CHECK(fixture.recorded("a") == buildIdOf("a", "v2"));
}

// Guards against a new version that takes streams while the store can't be told of it.
TEST_CASE("a new version takes no streams while the record can't be changed and the recorded one serves")
{
    RecordFixture fixture;
    fixture.advance(recordingTime);
    fixture.store.failNext(StoreCallGroup::Write, StoreFault::NotSent, 1'000);
    fixture.store.put("endpoints/a3", "a v2");
    for (Duration passed { 0 }; passed < 10s; passed += step) {
        fixture.advance(step);
        for (auto& process : fixture.processes)
            CHECK(process->chosen().value_or(0) == buildIdOf("a", "v1"));
    }
    fixture.store.erase("endpoints/a1");
    fixture.store.erase("endpoints/a2");
    fixture.advance(recordingTime);
    CHECK(fixture.processes.front()->chosen() == buildIdOf("a", "v2"));
}

TEST_CASE("a version that was registered while all entries were down isn't concluded beside the recorded one")
{
    RecordFixture fixture;
    fixture.advance(recordingTime);
    fixture.killAll();
    fixture.store.put("endpoints/a3", "a v2");
    fixture.restartAll(1s);
    fixture.advance(5s);
    CHECK(fixture.concluding("a", "v1") == 0);
    CHECK(fixture.concluding("a", "v2") == 0);
}

// Guards against streams of the service that a route had before, which go on at the new one.
TEST_CASE("nothing is concluded from a record under another configuration")
{
    RecordFixture fixture;
    fixture.store.put("endpoints/b1", "b v1");
    fixture.advance(recordingTime);
    fixture.store.put("configuration", "2 b");
    fixture.advance(100ms);
    fixture.restartAll(1s);
    fixture.advance(10s);
    CHECK(fixture.concluding("b", "v1") == 0);
    fixture.advance(lifetime);
    CHECK(fixture.concluding("b", "v1") == entryCount);
}

// Guards against a record that a copy of the store has brought back.
TEST_CASE("nothing is concluded from a record of an earlier era of the store")
{
    RecordFixture fixture;
    fixture.advance(recordingTime);
    auto copy = fixture.store.takeCopy();
    fixture.store.put("endpoints/a3", "a v2");
    fixture.store.erase("endpoints/a1");
    fixture.advance(recordingTime);
    fixture.killAll();
    fixture.store.restore(*copy);
    fixture.startAll();
    fixture.advance(5s);
    CHECK(fixture.concluding("a", "v1") == 0);
}

// Guards against an entry that records what it would have seen otherwise.
TEST_CASE("an entry that has missed registrations records nothing of that time")
{
    RecordFixture fixture;
    fixture.advance(recordingTime);
    fixture.store.put("endpoints/a3", "a v2");
    fixture.advance(recordingTime);
    REQUIRE_FALSE(fixture.recorded("a"));
    fixture.store.erase("endpoints/a3");
    fixture.advance(1s);
    fixture.restartAll(100ms);
    fixture.advance(lifetime - recordingTime);
    CHECK_FALSE(fixture.recorded("a"));
    // Another listing starts the wait anew.
    fixture.store.compact();
    fixture.store.cutWatches();
    fixture.store.put("configuration", "2 a");
    fixture.store.compact();
    fixture.advance(lifetime - recordingTime);
    CHECK_FALSE(fixture.recorded("a"));
    fixture.advance(2 * recordingTime);
    CHECK(fixture.recorded("a") == buildIdOf("a", "v1"));
}

namespace {

struct BegunStream {
    BuildId build { 0 };
    TimePoint at;
};

/// Applies random changes and faults, and checks that no entry that has started after a loss of all
/// entries concludes another version than that of a stream which may still be resumed.
class RecordWalk {
public:
    explicit RecordWalk(unsigned seed)
        : m_random(seed)
    {
    }

    void run()
    {
        for (int i = 0; i < 120; ++i) {
            change();
            Duration span = std::chrono::milliseconds(m_random.below(m_random.below(4) == 0 ? 9000 : 1200));
            for (Duration passed { 0 }; passed < span; passed += step) {
                m_fixture.advance(step);
                observe();
            }
        }
    }

    std::size_t conclusions { 0 };
    std::size_t wrongConclusions { 0 };

private:
    void change()
    {
        std::string service = m_random.below(2) == 0 ? "a" : "b";
        switch (m_random.below(9)) {
        case 0:
        case 1:
            m_fixture.store.put(absl::StrCat("endpoints/", service, ++m_number), absl::StrCat(service, " v", 1 + m_random.below(2)));
            m_endpoints.insert(absl::StrCat("endpoints/", service, m_number));
            break;
        case 2:
        case 3:
            if (!m_endpoints.empty()) {
                auto removed = std::next(m_endpoints.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_endpoints.size())));
                m_fixture.store.erase(*removed);
                m_endpoints.erase(removed);
            }
            break;
        case 4:
            m_fixture.store.put("configuration", absl::StrCat(++m_configuration, m_random.below(3) == 0 ? " b" : " a"));
            break;
        case 5:
            m_fixture.store.failNext(StoreCallGroup::Write, m_random.below(2) == 0 ? StoreFault::LostRequest : StoreFault::LostAnswer, 3);
            break;
        case 6:
            m_fixture.store.compact();
            m_fixture.store.cutWatches();
            break;
        default:
            m_beforeLoss.insert(m_beforeLoss.end(), m_begun.begin(), m_begun.end());
            m_begun.clear();
            m_fixture.restartAll(std::chrono::milliseconds(100 + m_random.below(1500)));
        }
    }

    void observe()
    {
        for (auto& process : m_fixture.processes) {
            if (std::optional<BuildId> build = process->chosen())
                m_begun.push_back({ *build, m_fixture.now() });
            std::optional<BuildId> concluded = process->concluded();
            conclusions += concluded ? 1 : 0;
            for (const BegunStream& stream : m_beforeLoss)
                wrongConclusions += concluded && m_fixture.now() - stream.at < lifetime && stream.build != *concluded ? 1 : 0;
        }
        auto isOver = [this](const BegunStream& stream) { return m_fixture.now() - stream.at >= lifetime; };
        m_beforeLoss.erase(std::remove_if(m_beforeLoss.begin(), m_beforeLoss.end(), isOver), m_beforeLoss.end());
    }

    RecordFixture m_fixture;
    Random m_random;
    std::set<std::string> m_endpoints { "endpoints/a1", "endpoints/a2" };
    int m_number { 10 };
    std::int64_t m_configuration { 1 };
    std::vector<BegunStream> m_begun;
    std::vector<BegunStream> m_beforeLoss;
};

} // namespace

TEST_CASE("no entry concludes another version than that of a stream from before a loss of all entries")
{
    std::size_t conclusions = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        RecordWalk walk(seed);
        walk.run();
        INFO("seed " << seed);
        CHECK(walk.wrongConclusions == 0);
        conclusions += walk.conclusions;
    }
    CHECK(conclusions > 1'000);
}
