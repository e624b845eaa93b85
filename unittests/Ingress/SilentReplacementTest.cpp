// Tests of attempts that are given up at a silent endpoint, whose replacement then fails.
#include "EntryFleet.h"
#include "IngressFixture.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const SocketAddress peerAddress { "127.0.0.1", 77 };

static std::function<FakeHttpAnswer(const HttpClientRequest&)> answeringAfter(Duration delay)
{
    return [delay](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 200, "body");
        answer.delay = delay;
        return answer;
    };
}

static FakeHttpAnswer refusing(const HttpClientRequest& request)
{
    return refusalAnswer(request);
}

static FakeHttpAnswer unreached(const HttpClientRequest&)
{
    return FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false);
}

namespace {

class SilentFixture : public IngressFixture {
public:
    explicit SilentFixture(Duration timeout = 5s)
    {
        Route route = unaryRoute(RequestKind::Idempotent);
        route.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
        configure(route);
        addEndpoint("silent");
    }

    /// What the housekeeping of an entry does.
    void checkSilence()
    {
        TimePoint now = scheduler.clock().now();
        parts.endpoints.recordSilentEndpoints(now);
        if (parts.endpoints.reach().takeNewCut(now))
            parts.handleCutOff();
        parts.endpoints.abortUnresponsive(now);
    }

    /// Leaves exactly \p count retries.
    void setRetries(unsigned count)
    {
        for (double allowance = 0; allowance < 1'000; allowance += 0.25) {
            parts.retryLimits = { 0, allowance, 10s };
            if (parts.retryBudgetOf("service").hasRetry(scheduler.clock().now(), RetryOrder::First, count))
                return;
        }
    }
};

} // namespace

// Guards against a retry that several replacements count on, each for itself.
TEST_CASE("two requests that leave a silent endpoint for one that refuses them are both answered")
{
    SilentFixture fixture;
    fixture.answers = { answeringAfter(1'700ms), answeringAfter(1'700ms), refusing, refusing, answeringAfter(10ms) };
    auto first = fixture.start();
    auto second = fixture.start();
    fixture.addEndpoint("refusing");
    fixture.scheduler.advance(1'600ms);
    fixture.setRetries(3);
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(first->status() == 200);
    CHECK(second->status() == 200);
}

TEST_CASE("a request isn't moved from a silent endpoint when too little time is left for another run")
{
    SilentFixture fixture(2s);
    fixture.answers = { answeringAfter(1'800ms), answeringAfter(300ms) };
    auto client = fixture.start();
    fixture.addEndpoint("other");
    fixture.scheduler.advance(1'750ms);
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(client->status() == 200);
}

TEST_CASE("a request that leaves a silent endpoint and is refused by all others is answered")
{
    SilentFixture fixture;
    fixture.answers = { answeringAfter(1'700ms), refusing, refusing, refusing, answeringAfter(10ms) };
    auto client = fixture.start();
    for (const char* name : { "e2", "e3", "e4" })
        fixture.addEndpoint(name);
    fixture.scheduler.advance(1'600ms);
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(client->status() == 200);
}

TEST_CASE("a request that leaves a silent endpoint and reaches no other is answered")
{
    SilentFixture fixture;
    fixture.answers = { answeringAfter(1'700ms), unreached, unreached, unreached, unreached, answeringAfter(10ms) };
    auto client = fixture.start();
    for (const char* name : { "e2", "e3", "e4", "e5" })
        fixture.addEndpoint(name);
    fixture.scheduler.advance(1'600ms);
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(client->status() == 200);
}

TEST_CASE("a request that leaves a silent endpoint for one whose connection breaks is answered")
{
    SilentFixture fixture;
    fixture.answers = { answeringAfter(1'700ms), [](const HttpClientRequest&) { return FakeHttpAnswer::failed(HttpEnd::NoResponse, true); }, answeringAfter(10ms) };
    auto client = fixture.start();
    fixture.addEndpoint("breaking");
    fixture.scheduler.advance(1'600ms);
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(client->status() == 200);
}

TEST_CASE("a request that leaves a silent endpoint for one that answers with a failure is answered")
{
    SilentFixture fixture;
    fixture.answers = { answeringAfter(1'700ms), [](const HttpClientRequest& request) { return endpointAnswer(request, 500, "failure"); }, answeringAfter(10ms) };
    auto client = fixture.start();
    fixture.addEndpoint("failing");
    fixture.scheduler.advance(1'600ms);
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(client->status() == 200);
}

TEST_CASE("a request that leaves a silent endpoint over a connection that hangs is answered")
{
    auto hanging = [](const HttpClientRequest&) {
        FakeHttpAnswer answer = FakeHttpAnswer::failed(HttpEnd::NoResponse, true);
        answer.isLeftOpen = true;
        return answer;
    };
    for (bool movesToEntry : { false, true }) {
        SilentFixture fixture;
        fixture.answers = { answeringAfter(1'700ms), hanging };
        fixture.peerClient.handler = hanging;
        auto client = fixture.start();
        fixture.addEndpoint("other", movesToEntry ? "south-a" : "north-a");
        fixture.addEntry("peer", "south", peerAddress.port);
        fixture.scheduler.advance(1'600ms);
        fixture.parts.entries.recordPeerServed(peerAddress, "service", fixture.scheduler.clock().now());
        for (int i = 0; i < 16; ++i) {
            fixture.checkSilence();
            fixture.scheduler.advance(250ms);
        }
        INFO("moves to an entry: " << movesToEntry);
        CHECK(client->status() == 200);
    }
}

// An endpoint resets the connections beyond its limit, and the request may have run then.
TEST_CASE("a request isn't moved to an endpoint that has no connection left by the configuration in force")
{
    for (bool changesBefore : { true, false }) {
        SilentFixture fixture;
        auto limitConnections = [&fixture] {
            Route route = IngressFixture::unaryRoute(RequestKind::Idempotent);
            route.timeout = 5s;
            ServiceSettings service;
            service.name = "service";
            service.maxConnections = 1;
            fixture.parts.routes = std::make_shared<const RouteTable>(2, std::vector<Route> { route }, std::vector<ServiceSettings> { service }, ClientLimits {});
        };
        if (changesBefore)
            limitConnections();
        fixture.answers = { answeringAfter(1'700ms), answeringAfter(900ms), answeringAfter(10ms) };
        auto first = fixture.start();
        fixture.addEndpoint("full");
        fixture.scheduler.advance(900ms);
        auto second = fixture.start();
        REQUIRE(fixture.endpointClient.requests.size() == 2);
        REQUIRE(fixture.endpointClient.requests[1].server != fixture.endpointClient.requests[0].server);
        limitConnections();
        fixture.scheduler.advance(700ms);
        fixture.parts.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
        INFO("in force before the request: " << changesBefore);
        CHECK(fixture.endpointClient.requests.size() == 2);
        fixture.scheduler.advance(3s);
        CHECK(first->status() == 200);
        CHECK(second->status() == 200);
    }
}

// The connection between the entries hangs, or the other entry ends.
TEST_CASE("a request that leaves a silent endpoint for an entry whose connection breaks is answered")
{
    SilentFixture fixture;
    fixture.addEndpoint("south", "south-a");
    fixture.addEntry("peer", "south", peerAddress.port);
    fixture.answers = { answeringAfter(1'700ms), answeringAfter(10ms) };
    fixture.peerClient.handler = [](const HttpClientRequest&) { return FakeHttpAnswer::failed(HttpEnd::NoResponse, true); };
    auto client = fixture.start();
    fixture.scheduler.advance(1'600ms);
    fixture.parts.entries.recordPeerServed(peerAddress, "service", fixture.scheduler.clock().now());
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(client->status() == 200);
}

// The other entry has just relayed an answer of another service.
TEST_CASE("a request that leaves a silent endpoint for an entry that is cut off as well is answered")
{
    SilentFixture fixture;
    fixture.addEndpoint("silent too");
    fixture.addEntry("peer", "north", peerAddress.port);
    fixture.answers = { answeringAfter(1'700ms), answeringAfter(1'700ms), answeringAfter(10ms) };
    fixture.peerClient.handler = [](const HttpClientRequest&) {
        FakeHttpAnswer answer = FakeHttpAnswer::ok("");
        answer.status = 503;
        answer.headers = { { outcomeHeader, "not-run" }, { notSentHeader, notSentCutOff } };
        return answer;
    };
    auto first = fixture.start();
    auto second = fixture.start();
    fixture.scheduler.advance(1'600ms);
    fixture.parts.entries.recordPeerServed(peerAddress, "other", fixture.scheduler.clock().now());
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(first->status() == 200);
    CHECK(second->status() == 200);
}

// Crashes that are known in the other region only.
TEST_CASE("a request that leaves a silent endpoint for a region that refuses it for crashes is answered")
{
    SilentFixture fixture;
    fixture.addEndpoint("south", "south-a");
    fixture.addEntry("peer", "south", peerAddress.port);
    fixture.answers = { answeringAfter(1'700ms), answeringAfter(10ms) };
    fixture.peerClient.handler = [](const HttpClientRequest&) {
        FakeHttpAnswer answer = FakeHttpAnswer::ok("");
        answer.status = 503;
        answer.headers = { { outcomeHeader, "not-run" }, { refusedEverywhereHeader, "1.5" } };
        return answer;
    };
    auto client = fixture.start();
    fixture.scheduler.advance(1'600ms);
    fixture.parts.entries.recordPeerServed(peerAddress, "service", fixture.scheduler.clock().now());
    fixture.checkSilence();
    fixture.scheduler.advance(3s);
    CHECK(client->status() == 200);
}

namespace {

/// Sends the head of an answer after 10 ms, and then a piece of it every 100 ms.
class SteadyClient final : public HttpClient {
public:
    SteadyClient(Scheduler& scheduler, unsigned pieces)
        : m_scheduler(scheduler)
        , m_pieces(pieces)
    {
    }
    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        ++requests;
        auto exchange = std::make_shared<FakeHttpClient::Exchange>();
        exchange->mayHaveReached = true;
        FakeHttpAnswer answer = endpointAnswer(request, 200, "");
        m_scheduler.callAfter(10ms, [exchange, answer, callbacks] {
            if (!exchange->isCancelled)
                callbacks.onHead({ answer.status, answer.headers });
        });
        for (unsigned i = 1; i <= m_pieces; ++i) {
            m_scheduler.callAfter(10ms + 100ms * i, [this, exchange, callbacks, i] {
                if (!exchange->isCancelled)
                    callbacks.onBody("x");
                if (!exchange->isCancelled && i == m_pieces)
                    callbacks.onEnd({ HttpEnd::Complete, true, "" });
            });
        }
        return exchange;
    }
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

    unsigned requests { 0 };

private:
    Scheduler& m_scheduler;
    unsigned m_pieces;
};

} // namespace

namespace {

class SteadyFixture : public IngressFixture {
public:
    SteadyFixture()
    {
        Route route = unaryRoute(RequestKind::Idempotent);
        route.timeout = 4s;
        configure(route);
        steady.routes = parts.routes;
        for (std::uint16_t i = 1; i <= 2; ++i) {
            EndpointRecord record;
            record.incarnation = "e" + std::to_string(i);
            record.service = "service";
            record.address = { "127.0.0.1", i };
            record.availabilityZone = "north-a";
            steady.endpoints.put(std::move(record), scheduler.clock().now());
        }
        for (int i = 0; i < 50; ++i)
            steady.retryBudgetOf("service").recordRequest(scheduler.clock().now());
    }

    std::shared_ptr<FakeResponder> begin()
    {
        auto responder = std::make_shared<FakeResponder>();
        RoutedRequest request;
        request.http.method = "POST";
        request.http.path = "/p/1";
        request.http.headers = { { "host", "h" }, { "request-id", "id-1" } };
        request.facts = dialect.readRequest(request.http);
        request.arrivedAt = scheduler.clock().now();
        std::make_shared<RoutedRun>(steady, std::move(request), responder)->begin();
        return responder;
    }

    SteadyClient client { scheduler, 25 };
    IngressContext steady { scheduler, random, client, peerClient, metrics, log, dialect, "north",
        EndpointTable("north", { { "north-a", "north" } }), EntryTable({ "north", "north-a", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }), { 0.2, 50 }, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
};

} // namespace

TEST_CASE("an endpoint that sends an answer piece by piece isn't silent")
{
    SteadyFixture fixture;
    auto client = fixture.begin();
    for (int i = 0; i < 20; ++i) {
        fixture.scheduler.advance(250ms);
        fixture.steady.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
    }
    CHECK(client->status() == 200);
    CHECK(fixture.client.requests == 1);
}

TEST_CASE("an entry whose endpoints send answers piece by piece isn't cut off")
{
    SteadyFixture fixture;
    auto first = fixture.begin();
    auto second = fixture.begin();
    for (int i = 0; i < 8; ++i) {
        fixture.scheduler.advance(250ms);
        fixture.steady.endpoints.recordSilentEndpoints(fixture.scheduler.clock().now());
        CHECK_FALSE(fixture.steady.endpoints.isCutOff("service", fixture.scheduler.clock().now()));
    }
    auto third = fixture.begin();
    fixture.scheduler.advance(5s);
    CHECK(first->status() == 200);
    CHECK(second->status() == 200);
    CHECK(third->status() == 200);
}

/// Returns status, end and text of each request that got neither its answer nor a refusal of what
/// hasn't run.
static std::vector<std::string> failuresOf(EntryFleet& fleet, Duration longest)
{
    TimePoint next {};
    for (Duration passed { 0 }; passed < 12s; passed += 10ms) {
        if (fleet.now() >= next) {
            std::size_t endpoint = fleet.random.below(fleet.endpoints());
            if (!fleet.isSilent(endpoint))
                fleet.silence(endpoint, 800ms + 10ms * fleet.random.below(81));
            next = fleet.now() + 50ms + std::chrono::duration_cast<Duration>(longest * fleet.random.unit());
        }
        fleet.sendToRandomEntry("body");
        fleet.advance(10ms);
    }
    fleet.advance(9s);
    std::vector<std::string> failures;
    for (const SentRequest& request : fleet.sentRequests) {
        bool isRefused = request.responder->status() == 503 && request.responder->outcome() == "not-run";
        if (request.responder->status() != 200 && !isRefused)
            failures.push_back(request.id + " " + std::to_string(request.responder->status()) + " " + request.responder->body);
    }
    return failures;
}

TEST_CASE("requests at few endpoints, some of which refuse, get their answers while these fall silent")
{
    for (double refused : { 0.0, 0.3 }) {
        for (std::size_t endpoints : { 2, 3, 4 }) {
            for (unsigned seed = 1; seed <= 4; ++seed) {
                for (bool hasHome : { false, true }) {
                    EntryFleet fleet(seed, 3, endpoints, hasHome ? std::vector<std::string> { "south" } : std::vector<std::string> {});
                    fleet.refusedFraction = refused;
                    INFO("refused " << refused << ", endpoints per region " << endpoints << ", seed " << seed << ", home " << hasHome);
                    std::vector<std::string> failures = failuresOf(fleet, 250ms);
                    CAPTURE(failures);
                    CHECK(failures.empty());
                }
            }
        }
    }
}
