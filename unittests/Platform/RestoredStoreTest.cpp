// Tests an entry whose store comes back from a copy that is some seconds old, over real HTTP
// with stand-ins in place of the store and the endpoints.
#include "../Standin/FakeResponder.h"
#include "PlatformFixture.h"

#include "catkinwing/Ingress/IngressDaemon.h"
#include "platform/PlatformDialect.h"
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <map>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

/// Time after the store's return, or after a later write, within which an entry follows.
static constexpr std::chrono::milliseconds settleBound { 3'000 };
/// Time after the store's return from which an endpoint that isn't registered any more counts as gone.
static constexpr std::chrono::milliseconds missingBound { 5'000 };
/// Time for which the store is away.
static constexpr std::chrono::milliseconds awayTime { 300 };
static constexpr std::chrono::milliseconds entryLease { 4'000 };
static constexpr const char* entryPrefix = "catkinwing/entries/";

static std::unique_ptr<Store> makeStore(HttpClient& http, Scheduler& scheduler, std::vector<SocketAddress> servers, std::function<void(const char*)> onCall)
{
    return std::make_unique<PlatformStore>(http, scheduler, std::move(servers), std::move(onCall));
}

// Each version has a route of its own, which shows whether it is in force.
static std::string configuration(int version)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const std::string& prefix : { std::string("/once/"), absl::StrCat("/v", version, "/") }) {
        routes.push_back({ { "name", prefix }, { "host", "path.example" }, { "prefix", prefix }, { "kind", "non_idempotent" }, { "timeout_ms", 3000 },
            { "service", "plain" }, { "attempts", 1 } });
    }
    nlohmann::json services = { { { "name", "plain" }, { "max_conns", 100 } } };
    return nlohmann::json { { "version", version }, { "routes", routes }, { "services", services } }.dump();
}

namespace {

/// An endpoint with what it writes as its registration.
struct TestEndpoint {
    std::unique_ptr<standin::StandinServer> server;
    nlohmann::json registration;
};

/// A store with configuration 7 and the endpoints a-1 and a-2 in one zone and b-1 in another,
/// and an entry once startEntry() was called.
class RestoreFixture {
public:
    RestoreFixture()
    {
        writeConfiguration(7);
        for (const char* name : { "a-1", "a-2" })
            addEndpoint(name, "north-a");
        addEndpoint("b-1", "north-b");
    }

    void startEntry()
    {
        constexpr int maxAttempts = 5;
        absl::Status status = absl::UnavailableError("Address already in use");
        for (int i = 0; i < maxAttempts && absl::StrContains(status.message(), "already in use"); ++i) {
            DaemonSettings settings = makeSettings();
            auto started = IngressDaemon::start(platform.loop, settings, Random(1), platformDialect(), makeStore);
            status = started.status();
            if (started.ok())
                entry = *std::move(started);
            callers = settings.listen.callers;
        }
        CAPTURE(status.ToString());
        REQUIRE(status.ok());
    }
    /// Starts the entry and waits until it is registered and sends to every endpoint.
    void startAndSettle()
    {
        startEntry();
        REQUIRE(runUntil(platform.loop, [this] { return !entryKeys().empty() && send("/once/x") == 200; }));
        for (const auto& endpoint : endpoints)
            REQUIRE(isReachedWithin(endpoint.first, settleBound));
    }

    StoreStandin::Copy takeCopy() { return platform.storeStandin->takeCopy(); }
    /// The store goes away and comes back as it was in \p copy. \p writeFirst makes writes that
    /// the entry can't see before the store's return.
    void returnFrom(
        const StoreStandin::Copy& copy, const std::function<void()>& writeFirst = [] {})
    {
        goAway();
        platform.storeStandin->restore(copy);
        writeFirst();
        runFor(platform.loop, awayTime);
        comeBack();
    }
    void goAway()
    {
        m_isAway = true;
        platform.setFaults(*platform.storeServer, { { "down", true } });
    }
    void comeBack()
    {
        platform.setFaults(*platform.storeServer, nlohmann::json::object());
        m_isAway = false;
        returnedAt = platform.clock.now();
    }

    /// Writes \p value, whatever is there.
    void put(const std::string& key, const std::string& value, std::int64_t lease = 0)
    {
        nlohmann::json item = { { "key", key }, { "value", absl::Base64Escape(value) }, { "lease", lease } };
        transact({ { "expect", nlohmann::json::array() }, { "puts", { item } }, { "deletes", nlohmann::json::array() } });
    }
    void remove(const std::string& key)
    {
        transact({ { "expect", nlohmann::json::array() }, { "puts", nlohmann::json::array() }, { "deletes", { key } } });
    }
    void writeOthers(int count)
    {
        for (int number = 0; number < count; ++number)
            put("other/x", std::to_string(number));
    }
    void writeConfiguration(int version) { put("op/config", configuration(version)); }
    void setEvacuated(bool isEvacuated)
    {
        if (isEvacuated)
            put("op/evacuate/north-b", "{}");
        else
            remove("op/evacuate/north-b");
    }
    void addEndpoint(const std::string& name, const std::string& zone)
    {
        TestEndpoint& endpoint = endpoints[name];
        endpoint.server = platform.startEndpoint({ name, 0ms, 0, 1ms, false, {}, {}, {} });
        endpoint.registration = { { "service", "plain" }, { "addr", endpoint.server->address().toString() }, { "zone", zone }, { "version", "v1" },
            { "slots", 8 }, { "state", "ready" }, { "warmup_ms", 0 }, { "seq", 1 } };
        writeEndpoint(name);
    }
    /// Writes the registration of an endpoint as the endpoint does from time to time.
    void writeEndpoint(const std::string& name)
    {
        nlohmann::json& registration = endpoints.at(name).registration;
        registration["seq"] = registration["seq"].get<int>() + 1;
        put("servers/" + name, registration.dump());
    }
    void announceLeaving(const std::string& name)
    {
        endpoints.at(name).registration["state"] = "draining";
        writeEndpoint(name);
    }

    /// Sends a request to the entry and returns the status, or zero without an answer.
    int send(const std::string& target)
    {
        HttpHeaders headers { { "Host", "path.example" }, { "Attempt-Id", "a-" + std::to_string(++m_requests) } };
        return platform.sendAndWait(callers, "POST", target, "body", std::move(headers))->head.status;
    }
    bool isInForce(int version) { return send(absl::StrCat("/v", version, "/x")) == 200; }
    bool isInForceWithin(int version, Duration bound)
    {
        return runUntil(
            platform.loop, [&] { return isInForce(version); }, bound);
    }
    std::int64_t received(const std::string& endpoint)
    {
        auto counters = platform.sendAndWait(endpoints.at(endpoint).server->address(), "GET", "/standin/counters");
        return nlohmann::json::parse(counters->body).at("total");
    }
    /// Sends requests for \p span; each must be served.
    void sendFor(Duration span)
    {
        TimePoint end = platform.clock.now() + span;
        while (platform.clock.now() < end) {
            if (send("/once/x") != 200)
                ++failedRequests;
            runFor(platform.loop, 5ms);
        }
        CHECK(failedRequests == 0);
    }
    /// Sends requests until \p span after the store's return.
    void sendUntil(Duration span) { sendFor(returnedAt + span - platform.clock.now()); }
    /// Sends requests for \p span and returns how many reach \p endpoint.
    std::int64_t receivedDuring(const std::string& endpoint, Duration span)
    {
        std::int64_t before = received(endpoint);
        sendFor(span);
        return received(endpoint) - before;
    }
    bool isReachedWithin(const std::string& endpoint, Duration bound)
    {
        std::int64_t before = received(endpoint);
        return runUntil(
            platform.loop, [&] { return send("/once/x") == 200 && received(endpoint) > before; }, bound);
    }
    bool isPassedOverWithin(const std::string& endpoint, Duration bound)
    {
        return runUntil(
            platform.loop, [&] { return receivedDuring(endpoint, 300ms) == 0; }, bound);
    }

    nlohmann::json items(const std::string& prefix)
    {
        auto answer = platform.sendAndWait(platform.storeServer->address(), "GET", "/kv-range?prefix=" + prefix);
        REQUIRE(answer->head.status == 200);
        return nlohmann::json::parse(answer->body).at("items");
    }
    bool isThere(const std::string& key) { return !items(key).empty(); }
    /// Keys under which entries are registered, with their leases.
    std::map<std::string, std::int64_t> entryKeys()
    {
        std::map<std::string, std::int64_t> keys;
        for (const nlohmann::json& item : items(entryPrefix))
            keys[item.at("key")] = item.at("lease");
        return keys;
    }
    std::int64_t ownLease()
    {
        auto keys = entryKeys();
        return keys.empty() ? 0 : keys.begin()->second;
    }
    /// Checks that the entry has its key within the bound after the return, and keeps it for
    /// longer than any lease from before lasts.
    void checkRegistered()
    {
        CHECK(runUntil(
            platform.loop, [this] { return !entryKeys().empty(); }, returnedAt + settleBound - platform.clock.now()));
        runUntil(
            platform.loop, [] { return false; }, returnedAt + settleBound - platform.clock.now());
        int absences = 0;
        runUntil(
            platform.loop, [&] {
                absences += entryKeys().empty() ? 1 : 0;
                runFor(platform.loop, 20ms);
                return false;
            },
            entryLease + 2s);
        CHECK(absences == 0);
        CHECK(entryKeys().size() == 1);
    }
    std::int64_t grantLease(std::chrono::milliseconds timeToLive)
    {
        auto answer = platform.sendAndWait(platform.storeServer->address(), "POST", "/kv-lease", nlohmann::json({ { "ttl_ms", timeToLive.count() } }).dump());
        REQUIRE(answer->head.status == 200);
        return nlohmann::json::parse(answer->body).at("lease");
    }

    PlatformFixture platform;
    std::map<std::string, TestEndpoint> endpoints;
    std::unique_ptr<IngressDaemon> entry;
    SocketAddress callers;
    TimePoint returnedAt {};
    int failedRequests { 0 };

private:
    // Addresses may be taken between the choice and the start.
    DaemonSettings makeSettings()
    {
        DaemonSettings settings;
        settings.name = "entry";
        settings.region = "north";
        settings.availabilityZone = "north-a";
        settings.store = { platform.storeServer->address() };
        settings.ingress.emplace();
        settings.ingress->regionOfZone = { { "north-a", "north" }, { "north-b", "north" } };
        for (SocketAddress* address : { &settings.listen.callers, &settings.listen.peers, &settings.listen.operators, &settings.ingress->readiness, &settings.ingress->directory })
            *address = startServer(platform.loop, [](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {})->address();
        settings.advertise = settings.listen;
        return settings;
    }
    // While the store is away it is written to behind its fault switches.
    void transact(const nlohmann::json& transaction)
    {
        if (!m_isAway) {
            REQUIRE(platform.sendAndWait(platform.storeServer->address(), "POST", "/kv-txn", transaction.dump())->head.status == 200);
            return;
        }
        standin::StandinCall call;
        call.request.method = "POST";
        call.request.path = "/kv-txn";
        call.request.body = transaction.dump();
        auto responder = std::make_shared<FakeResponder>();
        call.responder = responder;
        platform.storeStandin->handle(std::move(call));
        REQUIRE(responder->head.status == 200);
    }

    bool m_isAway { false };
    std::uint64_t m_requests { 0 };
};

} // namespace

// Guards against taking revisions for a clock that only rises.
TEST_CASE("a configuration written after the store's return is in force in time, though its revision is lower than known ones")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(10);
    fixture.writeConfiguration(9);
    REQUIRE(fixture.isInForceWithin(9, settleBound));
    fixture.returnFrom(copy);
    fixture.writeConfiguration(11);
    CHECK(fixture.isInForceWithin(11, settleBound));
    fixture.writeConfiguration(14);
    CHECK(fixture.isInForceWithin(14, settleBound));
}

// Guards against an entry that is out of date until the revisions have caught up.
TEST_CASE("configurations are in force in time while the store's revisions stay behind for long")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(80);
    fixture.writeConfiguration(9);
    REQUIRE(fixture.isInForceWithin(9, settleBound));
    fixture.returnFrom(copy);
    for (int version : { 9, 11, 12, 17 }) {
        fixture.writeConfiguration(version);
        CHECK(fixture.isInForceWithin(version, settleBound));
        runFor(fixture.platform.loop, 500ms);
    }
}

// Guards against a process that goes back to what the copy has.
TEST_CASE("an older configuration that comes back with the store's copy doesn't take force")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeConfiguration(9);
    REQUIRE(fixture.isInForceWithin(9, settleBound));
    fixture.returnFrom(copy);
    auto checkStays = [&] {
        bool isLost = runUntil(
            fixture.platform.loop, [&] { return !fixture.isInForce(9) || fixture.isInForce(7); }, settleBound);
        CHECK_FALSE(isLost);
    };
    checkStays();
    // Beyond the revisions that were known before.
    fixture.writeOthers(10);
    checkStays();
    fixture.writeConfiguration(9);
    checkStays();
}

// Guards against taking the registration in the copy for news.
TEST_CASE("an endpoint whose leaving the store lost gets no request before and after it says so again")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.announceLeaving("a-1");
    REQUIRE(fixture.isPassedOverWithin("a-1", settleBound));
    fixture.returnFrom(copy);
    CHECK(fixture.receivedDuring("a-1", 1s) == 0);
    // Beyond the revisions that were known before.
    fixture.writeOthers(10);
    CHECK(fixture.receivedDuring("a-1", 1s) == 0);
    fixture.announceLeaving("a-1");
    CHECK(fixture.receivedDuring("a-1", 4s) == 0);
}

// Guards against an endpoint that is dead and comes back with the copy.
TEST_CASE("an endpoint that was removed and is ready in the store's copy gets no request")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.remove("servers/a-1");
    REQUIRE(fixture.isPassedOverWithin("a-1", settleBound));
    fixture.returnFrom(copy);
    fixture.writeEndpoint("a-2");
    CHECK(fixture.receivedDuring("a-1", 3s) == 0);
    fixture.writeOthers(10);
    CHECK(fixture.receivedDuring("a-1", 4s) == 0);
}

// Guards against mistrusting for good what came back with the copy.
TEST_CASE("an endpoint that was removed, came back with the store's copy and registers again gets requests in time")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(80);
    fixture.remove("servers/a-1");
    REQUIRE(fixture.isPassedOverWithin("a-1", settleBound));
    fixture.returnFrom(copy);
    fixture.sendFor(500ms);
    fixture.writeEndpoint("a-1");
    CHECK(fixture.isReachedWithin("a-1", settleBound));
}

// Guards against dropping what the copy doesn't have yet.
TEST_CASE("an endpoint added in what the store lost gets requests until it registers again, and after")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.addEndpoint("a-3", "north-a");
    REQUIRE(fixture.isReachedWithin("a-3", settleBound));
    fixture.returnFrom(copy);
    fixture.writeOthers(10);
    CHECK(fixture.receivedDuring("a-3", 500ms) > 0);
    CHECK(fixture.receivedDuring("a-3", 500ms) > 0);
    fixture.writeEndpoint("a-3");
    for (int second = 0; second < 5; ++second)
        CHECK(fixture.receivedDuring("a-3", 1s) > 0);
}

// Guards against keeping for good what the copy doesn't have.
TEST_CASE("an endpoint added in what the store lost that doesn't register again gets no requests for long")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.addEndpoint("a-3", "north-a");
    REQUIRE(fixture.isReachedWithin("a-3", settleBound));
    fixture.returnFrom(copy);
    for (const char* name : { "a-1", "a-2", "b-1" })
        fixture.writeEndpoint(name);
    fixture.sendUntil(missingBound);
    CHECK(fixture.receivedDuring("a-3", 2s) == 0);
}

// Guards against endpoints that are unknown until the revisions have caught up.
TEST_CASE("an endpoint added after the store's return at a low revision gets requests in time")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(80);
    runFor(fixture.platform.loop, 500ms);
    fixture.returnFrom(copy);
    fixture.addEndpoint("a-3", "north-a");
    CHECK(fixture.isReachedWithin("a-3", settleBound));
}

// Guards against requests to an endpoint that leaves until the revisions have caught up.
TEST_CASE("an endpoint that says after the store's return that it leaves gets no request once the bound has passed")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeEndpoint("a-1");
    fixture.writeOthers(80);
    runFor(fixture.platform.loop, 500ms);
    fixture.returnFrom(copy);
    fixture.announceLeaving("a-1");
    fixture.sendFor(settleBound);
    CHECK(fixture.receivedDuring("a-1", 3s) == 0);
}

// Guards against opening a zone because the copy doesn't have its evacuation yet.
TEST_CASE("an evacuation that the store lost holds until it is written again, and ends when it is taken back")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(10);
    fixture.setEvacuated(true);
    REQUIRE(fixture.isPassedOverWithin("b-1", settleBound));
    fixture.returnFrom(copy);
    CHECK(fixture.receivedDuring("b-1", 1s) == 0);
    fixture.setEvacuated(true);
    CHECK(fixture.receivedDuring("b-1", 4s) == 0);
    fixture.setEvacuated(false);
    CHECK(fixture.isReachedWithin("b-1", settleBound));
}

// Guards against opening a zone when the revisions have passed those from before.
TEST_CASE("an evacuation that the store lost holds while other writes pass the old revisions")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.setEvacuated(true);
    REQUIRE(fixture.isPassedOverWithin("b-1", settleBound));
    fixture.returnFrom(copy);
    fixture.writeOthers(20);
    CHECK(fixture.receivedDuring("b-1", 1s) == 0);
    fixture.setEvacuated(true);
    CHECK(fixture.receivedDuring("b-1", 4s) == 0);
}

// Guards against a zone that stays closed because its evacuation is in the copy.
TEST_CASE("a zone whose evacuation was taken back in what the store lost isn't closed for good")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    fixture.setEvacuated(true);
    REQUIRE(fixture.isPassedOverWithin("b-1", settleBound));
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(80);
    fixture.setEvacuated(false);
    REQUIRE(fixture.isReachedWithin("b-1", settleBound));
    fixture.returnFrom(copy);
    fixture.sendFor(1s);
    fixture.setEvacuated(false);
    fixture.sendFor(settleBound);
    for (int second = 0; second < 3; ++second)
        CHECK(fixture.receivedDuring("b-1", 1s) > 0);
}

// Guards against an entry that believes itself registered by what was lost.
TEST_CASE("an entry whose key the store lost is registered again in time")
{
    RestoreFixture fixture;
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.startAndSettle();
    fixture.returnFrom(copy);
    fixture.checkRegistered();
}

// Guards against an entry that loses its key when the lease of the copy lapses.
TEST_CASE("an entry whose key came back under an old lease is registered under a lease of its own")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    std::string key = fixture.entryKeys().begin()->first;
    std::int64_t old = fixture.ownLease();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.remove(key);
    REQUIRE(runUntil(fixture.platform.loop, [&] { return fixture.ownLease() != 0 && fixture.ownLease() != old; }));
    fixture.returnFrom(copy);
    CHECK(fixture.ownLease() == old);
    fixture.checkRegistered();
    CHECK(fixture.ownLease() != 0);
    CHECK(fixture.ownLease() != old);
}

static constexpr std::chrono::milliseconds otherLease { 6'000 };
static constexpr const char* otherKey = "other/owned";

/// The store comes back with the number of the entry's lease given out to somebody else, who has
/// written a key under it.
static std::int64_t returnWithLeaseGivenOut(RestoreFixture& fixture)
{
    StoreStandin::Copy before = fixture.takeCopy();
    std::int64_t lease = fixture.grantLease(otherLease);
    fixture.put(otherKey, "x", lease);
    StoreStandin::Copy after = fixture.takeCopy();
    fixture.platform.storeStandin->restore(before);
    fixture.startAndSettle();
    REQUIRE(fixture.ownLease() == lease);
    fixture.writeOthers(10);
    runFor(fixture.platform.loop, 500ms);
    fixture.returnFrom(after);
    return lease;
}

static bool isThereThroughout(RestoreFixture& fixture, const std::string& key, Duration span)
{
    return !runUntil(
        fixture.platform.loop, [&] {
            runFor(fixture.platform.loop, 20ms);
            return !fixture.isThere(key);
        },
        span);
}

// Guards against renewing the lease of somebody else by its number.
TEST_CASE("an entry whose lease number was given out again to somebody else has another lease and doesn't keep that one alive")
{
    RestoreFixture fixture;
    std::int64_t lease = returnWithLeaseGivenOut(fixture);
    fixture.checkRegistered();
    CHECK(fixture.ownLease() != 0);
    CHECK(fixture.ownLease() != lease);
    // Renewals within the bound may have prolonged it.
    TimePoint limit = fixture.returnedAt + settleBound + otherLease + 1s;
    CHECK(runUntil(
        fixture.platform.loop, [&] { return !fixture.isThere(otherKey); }, limit - fixture.platform.clock.now()));
}

// Guards against revoking the lease of somebody else by its number.
TEST_CASE("a lease whose number was given out again to somebody else isn't revoked by the entry that had it")
{
    RestoreFixture fixture;
    returnWithLeaseGivenOut(fixture);
    CHECK(isThereThroughout(fixture, otherKey, 1s));
    // Beyond the revisions that were known before, so that a listing shows that the entry's key is missing.
    fixture.writeOthers(40);
    CHECK(isThereThroughout(fixture, otherKey, otherLease - 2s));
}

// Guards against revoking the lease of somebody else by its number at the end.
TEST_CASE("a lease whose number was given out again to somebody else isn't revoked by an entry that drains")
{
    RestoreFixture fixture;
    returnWithLeaseGivenOut(fixture);
    runFor(fixture.platform.loop, settleBound);
    REQUIRE(fixture.isThere(otherKey));
    fixture.entry->drain([] {});
    CHECK(isThereThroughout(fixture, otherKey, 1s));
}

/// The store comes back from \p copy, and its revisions have passed those that the entry knows
/// before the entry asks: a watch from there gets no 410, and doesn't tell what \p change wrote.
static void returnWithPassedRevisions(RestoreFixture& fixture, const StoreStandin::Copy& copy, const std::function<void()>& change)
{
    runFor(fixture.platform.loop, 500ms);
    fixture.returnFrom(copy, [&] {
        change();
        fixture.writeOthers(200);
    });
}

// Guards against a watch that goes on from a revision of the old era and gets no 410.
TEST_CASE("a configuration is in force in time if the store's revisions have passed the old ones before the entry asks")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(20);
    returnWithPassedRevisions(fixture, copy, [&] { fixture.writeConfiguration(9); });
    CHECK(fixture.isInForceWithin(9, settleBound));
}

// Guards against a missed leaving, for the same reason.
TEST_CASE("an endpoint that leaves gets no request once the bound has passed if the store's revisions have passed the old ones before the entry asks")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(20);
    returnWithPassedRevisions(fixture, copy, [&] { fixture.announceLeaving("a-1"); });
    fixture.sendUntil(settleBound);
    CHECK(fixture.receivedDuring("a-1", 2s) == 0);
}

// Guards against a missed endpoint, for the same reason.
TEST_CASE("an endpoint that was added gets requests in time if the store's revisions have passed the old ones before the entry asks")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(20);
    returnWithPassedRevisions(fixture, copy, [&] { fixture.addEndpoint("a-3", "north-a"); });
    CHECK(fixture.isReachedWithin("a-3", settleBound));
}

// Guards against a missed evacuation, for the same reason.
TEST_CASE("an evacuated zone gets no request once the bound has passed if the store's revisions have passed the old ones before the entry asks")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(20);
    returnWithPassedRevisions(fixture, copy, [&] { fixture.setEvacuated(true); });
    fixture.sendUntil(settleBound);
    CHECK(fixture.receivedDuring("b-1", 2s) == 0);
}

// Guards against a zone that stays closed because the end of its evacuation was never seen.
TEST_CASE("a zone whose evacuation is taken back isn't closed for good if the store's revisions have passed the old ones before the entry asks")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    fixture.setEvacuated(true);
    REQUIRE(fixture.isPassedOverWithin("b-1", settleBound));
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(20);
    returnWithPassedRevisions(fixture, copy, [&] { fixture.setEvacuated(false); });
    fixture.sendUntil(missingBound);
    CHECK(fixture.receivedDuring("b-1", 2s) > 0);
}

// Guards against an endpoint that is kept for good because its removal was never seen.
TEST_CASE("an endpoint that was removed gets no requests for long if the store's revisions have passed the old ones before the entry asks")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(20);
    returnWithPassedRevisions(fixture, copy, [&] { fixture.remove("servers/a-1"); });
    fixture.sendUntil(missingBound);
    CHECK(fixture.receivedDuring("a-1", 2s) == 0);
}

// Guards against an endpoint that is kept for good because the store has lost it and nobody writes it again.
TEST_CASE("an endpoint that the store lost gets no requests for long if the store's revisions have passed the old ones before the entry asks")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.addEndpoint("a-3", "north-a");
    REQUIRE(fixture.isReachedWithin("a-3", settleBound));
    returnWithPassedRevisions(fixture, copy, [] {});
    fixture.sendUntil(missingBound);
    CHECK(fixture.receivedDuring("a-3", 2s) == 0);
}

// Guards against an entry that isn't registered any more and isn't told so.
TEST_CASE("an entry is registered again in time if the store's revisions have passed the old ones before it asks")
{
    RestoreFixture fixture;
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.startAndSettle();
    returnWithPassedRevisions(fixture, copy, [] {});
    fixture.checkRegistered();
}

/// Checks that changes after the store's return take effect in time.
static void checkFollows(RestoreFixture& fixture)
{
    fixture.writeConfiguration(21);
    fixture.announceLeaving("a-1");
    fixture.addEndpoint("a-4", "north-a");
    TimePoint limit = fixture.platform.clock.now() + settleBound;
    CHECK(fixture.isInForceWithin(21, limit - fixture.platform.clock.now()));
    CHECK(fixture.isReachedWithin("a-4", limit - fixture.platform.clock.now()));
    fixture.sendFor(limit - fixture.platform.clock.now());
    CHECK(fixture.receivedDuring("a-1", 2s) == 0);
    CHECK(fixture.receivedDuring("a-4", 500ms) > 0);
    CHECK(fixture.entryKeys().size() == 1);
}

// Guards against an entry that has settled for the first new era and misses the second.
TEST_CASE("changes take effect in time after a store that was away again within two seconds")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy first = fixture.takeCopy();
    fixture.writeOthers(40);
    fixture.writeConfiguration(9);
    REQUIRE(fixture.isInForceWithin(9, settleBound));
    fixture.returnFrom(first);
    fixture.writeConfiguration(11);
    fixture.writeOthers(5);
    runFor(fixture.platform.loop, 300ms);
    StoreStandin::Copy second = fixture.takeCopy();
    fixture.writeOthers(10);
    fixture.writeConfiguration(13);
    runFor(fixture.platform.loop, 700ms);
    fixture.returnFrom(second);
    checkFollows(fixture);
}

// Guards against taking a later era for one with more in it.
TEST_CASE("changes take effect in time after a store that came back from a copy older than the one before")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy older = fixture.takeCopy();
    fixture.writeOthers(40);
    fixture.writeConfiguration(9);
    REQUIRE(fixture.isInForceWithin(9, settleBound));
    StoreStandin::Copy newer = fixture.takeCopy();
    fixture.writeOthers(40);
    runFor(fixture.platform.loop, 300ms);
    fixture.returnFrom(newer);
    runFor(fixture.platform.loop, 1500ms);
    fixture.returnFrom(older);
    CHECK(fixture.isInForce(9));
    checkFollows(fixture);
}

// Guards against an era that is expected to be the next one.
TEST_CASE("changes take effect in time at an entry that slept through two eras of the store")
{
    RestoreFixture fixture;
    fixture.startAndSettle();
    StoreStandin::Copy older = fixture.takeCopy();
    fixture.writeOthers(40);
    StoreStandin::Copy newer = fixture.takeCopy();
    fixture.writeOthers(40);
    runFor(fixture.platform.loop, 300ms);
    fixture.goAway();
    fixture.platform.storeStandin->restore(newer);
    fixture.platform.storeStandin->restore(older);
    runFor(fixture.platform.loop, 2s);
    fixture.comeBack();
    checkFollows(fixture);
}

// Guards against an entry that takes what the copy has for good.
TEST_CASE("an entry that starts just after the store's return follows what is written again")
{
    RestoreFixture fixture;
    StoreStandin::Copy copy = fixture.takeCopy();
    fixture.writeOthers(40);
    fixture.writeConfiguration(9);
    fixture.returnFrom(copy);
    fixture.startAndSettle();
    CHECK(fixture.isInForce(7));
    fixture.returnedAt = fixture.platform.clock.now();
    fixture.writeConfiguration(9);
    CHECK(fixture.isInForceWithin(9, settleBound));
    checkFollows(fixture);
    fixture.checkRegistered();
}
