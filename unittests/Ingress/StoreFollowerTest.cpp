// Checks an entry's view of the store over all sequences of short faults.
#include "StoreFollower.h"

#include "Coordination/FakeStore.h"
#include "IngressFixture.h"
#include <absl/strings/numbers.h>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

enum class Step {
    WriteConfiguration,
    AddEndpoint,
    RemoveEndpoint,
    EvacuateZone,
    Down,
    Unresponsive,
    Recover,
    Compact,
    LoseAnswer,
};
constexpr int stepKindCount = 9;

ConfigResult<RouteTable> readVersion(absl::string_view text)
{
    ConfigResult<RouteTable> result;
    std::int64_t version = 0;
    if (absl::SimpleAtoi(text, &version))
        result.document = RouteTable(version, {}, {}, {});
    else
        result.faults.push_back({ "", "expected an integer version" });
    return result;
}

absl::StatusOr<EndpointRecord> readTestEndpoint(const std::string& incarnation, absl::string_view)
{
    EndpointRecord record;
    record.incarnation = incarnation;
    record.service = "service";
    record.address = { "127.0.0.1", 1 };
    record.availabilityZone = "north-a";
    return record;
}

/// The store, and the state that a follower must reach: the latest version and the number
/// of endpoints written to the store.
class ReferenceStore {
public:
    explicit ReferenceStore(ManualScheduler& scheduler)
        : store(scheduler)
    {
        store.put("configuration", "1");
        store.put("endpoints/first", "");
    }

    void apply(Step step)
    {
        switch (step) {
        case Step::WriteConfiguration:
            // Versions increase by 1 to 3.
            version += version % 3 + 1;
            store.put("configuration", std::to_string(version));
            break;
        case Step::AddEndpoint:
            store.put("endpoints/" + std::to_string(++m_addedCount), "");
            ++endpointCount;
            break;
        case Step::RemoveEndpoint:
            if (m_removedCount < m_addedCount) {
                store.erase("endpoints/" + std::to_string(++m_removedCount));
                --endpointCount;
            }
            break;
        case Step::EvacuateZone:
            store.put("evacuated/north-a", "");
            break;
        case Step::Down:
            store.setDown(true);
            break;
        case Step::Unresponsive:
            store.setSilent(true);
            break;
        case Step::Recover:
            store.setDown(false);
            store.setSilent(false);
            break;
        case Step::Compact:
            store.compact();
            break;
        case Step::LoseAnswer:
            store.failNext(StoreCallGroup::Read, StoreFault::LostAnswer);
            break;
        }
    }

    FakeStore store;
    std::int64_t version { 1 };
    std::size_t endpointCount { 1 };

private:
    int m_addedCount { 0 };
    int m_removedCount { 0 };
};

/// The tables of an entry, updated from the store.
class FollowedTables {
public:
    FollowedTables()
    {
        fixture.dialect.readRouteTable = readVersion;
        fixture.dialect.readEndpoint = readTestEndpoint;
    }

    std::int64_t version() const { return fixture.parts.routes ? fixture.parts.routes->version() : 0; }
    std::size_t endpointCount() const { return fixture.parts.endpoints.size(); }

    IngressFixture fixture;
    ReferenceStore reference { fixture.scheduler };
    std::unique_ptr<Store> client { reference.store.clientOn(fixture.scheduler) };
};

/// The StoreFollower that entries use.
class Follower {
public:
    explicit Follower(FollowedTables& tables)
        : m_follower(*tables.client, tables.fixture.scheduler, tables.fixture.random, "entries/", tables.fixture.parts, [](const std::string&) {})
    {
        m_follower.start();
    }
    void runHousekeeping() { m_follower.runHousekeeping(); }

private:
    StoreFollower m_follower;
};

/// A follower with a fault: if its watch is out of range, it resumes at the current
/// revision and never receives the missed changes.
class GapSkippingFollower {
public:
    explicit GapSkippingFollower(FollowedTables& tables)
        : m_tables(tables)
    {
        list(true);
    }
    void runHousekeeping() { }

private:
    void list(bool appliesValues)
    {
        m_tables.client->list("", [this, appliesValues](const absl::StatusOr<StoreListing>& listing) {
            if (!listing.ok()) {
                m_tables.fixture.scheduler.callAfter(200ms, [this, appliesValues] { list(appliesValues); });
                return;
            }
            for (const StoredValue& value : listing->values) {
                if (appliesValues)
                    apply(value);
            }
            follow(listing->revision.next());
        });
    }
    void apply(const StoredValue& value)
    {
        m_lastRevision = std::max(m_lastRevision, value.revision);
        if (value.key == "configuration")
            m_tables.fixture.parts.routes = std::make_shared<const RouteTable>(std::move(*readVersion(value.value).document));
        else if (absl::string_view(value.key).substr(0, 10) == "endpoints/")
            m_tables.fixture.parts.endpoints.put(*readTestEndpoint(value.key.substr(10), ""), m_tables.fixture.scheduler.clock().now());
    }
    void follow(StoreRevision first)
    {
        StoreWatchCallbacks callbacks;
        callbacks.onEvents = [this](const std::vector<StoreEvent>& events) {
            for (const StoreEvent& event : events) {
                if (event.isDeletion)
                    m_tables.fixture.parts.endpoints.remove(event.current.key.substr(10), m_tables.fixture.scheduler.clock().now());
                else
                    apply(event.current);
            }
        };
        callbacks.onEnd = [this](const absl::Status& status) {
            bool isOutOfRange = absl::IsOutOfRange(status);
            m_tables.fixture.scheduler.callAfter(200ms, [this, isOutOfRange] { isOutOfRange ? list(false) : follow(m_lastRevision.next()); });
        };
        m_watch = m_tables.client->watch("", first, std::move(callbacks));
    }

    FollowedTables& m_tables;
    StoreRevision m_lastRevision { 0 };
    std::unique_ptr<StoreWatch> m_watch;
};

/// Advances time by \p span and checks the version every 50 ms; returns the fault found,
/// or an empty string.
template <typename AnyFollower>
std::string advanceAndCheck(FollowedTables& tables, AnyFollower& follower, Duration span)
{
    constexpr Duration checkInterval = 50ms;
    for (Duration passed {}; passed < span; passed += checkInterval) {
        std::int64_t before = tables.version();
        tables.fixture.scheduler.advance(checkInterval);
        follower.runHousekeeping();
        if (tables.version() < before)
            return "the version in force decreased";
        if (tables.version() > tables.reference.version)
            return "the version in force was never written";
    }
    return "";
}

/// Applies the steps, removes all faults and advances time by \p span; returns the fault
/// found, or an empty string.
template <typename AnyFollower>
std::string runSchedule(const std::vector<Step>& steps, Duration span)
{
    FollowedTables tables;
    AnyFollower follower(tables);
    std::string fault = advanceAndCheck(tables, follower, 100ms);
    for (Step step : steps) {
        tables.reference.apply(step);
        if (fault.empty())
            fault = advanceAndCheck(tables, follower, 300ms);
    }
    tables.reference.apply(Step::Recover);
    if (fault.empty())
        fault = advanceAndCheck(tables, follower, span);
    if (!fault.empty())
        return fault;
    if (tables.version() != tables.reference.version)
        return "the latest version is not in force";
    return tables.endpointCount() == tables.reference.endpointCount ? "" : "the number of endpoints differs from the store's";
}

template <typename AnyFollower>
int countFaultySchedules(int steps)
{
    int schedules = 1;
    for (int i = 0; i < steps; ++i)
        schedules *= stepKindCount;
    int faulty = 0;
    for (int schedule = 0; schedule < schedules; ++schedule) {
        std::vector<Step> sequence;
        for (int i = 0, rest = schedule; i < steps; ++i, rest /= stepKindCount)
            sequence.push_back(static_cast<Step>(rest % stepKindCount));
        std::string fault = runSchedule<AnyFollower>(sequence, 8s);
        if (fault.empty())
            continue;
        ++faulty;
        if (std::is_same_v<AnyFollower, Follower>) {
            CAPTURE(schedule);
            FAIL_CHECK(fault);
        }
    }
    return faulty;
}

} // namespace

TEST_CASE("over all sequences of three faults and changes versions only increase and the tables reach the state of the store")
{
    CHECK(countFaultySchedules<Follower>(3) == 0);
}

TEST_CASE("the check detects a follower that skips missed changes")
{
    CHECK(countFaultySchedules<GapSkippingFollower>(3) > 0);
}

TEST_CASE("over long seeded sequences of faults and changes the tables reach the state of the store")
{
    Random random(11);
    for (int schedule = 0; schedule < 60; ++schedule) {
        std::vector<Step> steps(30);
        for (Step& step : steps)
            step = static_cast<Step>(random.below(stepKindCount));
        // Each answer that is still to be lost takes a call timeout and a retry delay.
        std::string fault = runSchedule<Follower>(steps, 40s);
        CAPTURE(schedule, fault);
        CHECK(fault.empty());
    }
}

// Registrations expire while the store is unreachable. Running endpoints register again
// within two seconds of its recovery.
TEST_CASE("an endpoint whose registration expired in an outage is kept for the grace period and no longer")
{
    for (bool isCompacted : { false, true }) {
        FollowedTables tables;
        Follower follower(tables);
        tables.reference.apply(Step::AddEndpoint);
        CHECK(advanceAndCheck(tables, follower, 5s).empty());
        REQUIRE(tables.endpointCount() == 2);
        tables.reference.apply(Step::Down);
        CHECK(advanceAndCheck(tables, follower, 4s).empty());
        tables.reference.store.erase("endpoints/first");
        tables.reference.store.erase("endpoints/1");
        if (isCompacted)
            tables.reference.apply(Step::Compact);
        tables.reference.apply(Step::Recover);
        for (int i = 0; i < 40; ++i) {
            CHECK(advanceAndCheck(tables, follower, 50ms).empty());
            CHECK(tables.endpointCount() == 2);
        }
        tables.reference.store.put("endpoints/first", "");
        CHECK(advanceAndCheck(tables, follower, 2'500ms).empty());
        CHECK(tables.endpointCount() == 1);
        // The store is stable again: a deleted registration is removed at once.
        tables.reference.store.erase("endpoints/first");
        CHECK(advanceAndCheck(tables, follower, 300ms).empty());
        CHECK(tables.endpointCount() == 0);
    }
}

// Guards against a removal that never takes effect while the store works and cuts waiting watches.
TEST_CASE("an endpoint whose registration is removed is not used any more while the store cuts waiting watches")
{
    FollowedTables tables;
    Follower follower(tables);
    tables.reference.apply(Step::AddEndpoint);
    CHECK(advanceAndCheck(tables, follower, 5s).empty());
    REQUIRE(tables.endpointCount() == 2);
    for (int i = 0; i < 6; ++i) {
        if (i == 2)
            tables.reference.apply(Step::RemoveEndpoint);
        CHECK(advanceAndCheck(tables, follower, 900ms).empty());
        tables.reference.store.cutWatches();
    }
    CHECK(tables.endpointCount() == 1);
}

TEST_CASE("a resumable route counts as moved if a version adds it or gives it other services")
{
    Route stays = IngressFixture::streamRoute(true);
    stays.name = "stays";
    Route moves = stays;
    moves.name = "moves";
    Route plain = IngressFixture::unaryRoute(RequestKind::Idempotent);
    plain.name = "plain";
    RouteTable before(1, { stays, moves, plain }, {}, ClientLimits {});
    moves.services = { { "other", 1 } };
    plain.services = { { "other", 1 } };
    stays.services[0].weight = 2;
    Route added = stays;
    added.name = "added";
    RouteTable next(2, { stays, moves, plain, added }, {}, ClientLimits {});
    CHECK(movedRoutes(before, next) == std::vector<std::string> { "moves", "added" });
    CHECK(movedRoutes(next, next).empty());
}
