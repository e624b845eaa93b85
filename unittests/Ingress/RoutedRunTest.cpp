#include "IngressFixture.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static FakeHttpAnswer lostAnswer(const HttpClientRequest&)
{
    return FakeHttpAnswer::failed(HttpEnd::NoResponse, true);
}

static FakeHttpAnswer unreachable(const HttpClientRequest&)
{
    return FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false);
}

static FakeHttpAnswer succeeding(const HttpClientRequest& request)
{
    return endpointAnswer(request, 200, "fine");
}

static FakeHttpAnswer unresponsive(const HttpClientRequest&)
{
    FakeHttpAnswer answer;
    answer.status = 0;
    answer.isLeftOpen = true;
    answer.mayHaveReachedServer = true;
    return answer;
}

static FakeHttpAnswer refusing(const HttpClientRequest& request)
{
    return refusalAnswer(request);
}

TEST_CASE("a request names the incarnation of its endpoint, and the client gets the complete answer")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 200);
    CHECK(client->body == "fine");
    CHECK(client->isFinished);
    CHECK(fixture.sentHeader(0, "incarnation") == "e1");
    CHECK(fixture.endpointClient.requests[0].target == "/p/1");
    CHECK(fixture.parts.openRequestCount == 0);
}

TEST_CASE("requests are refused as not run before a configuration is known")
{
    IngressFixture fixture;
    auto client = fixture.runToEnd();
    CHECK(client->status() == 503);
    CHECK(client->outcome() == "not-run");
    CHECK(client->head->headers.find("retry-after"));
}

TEST_CASE("a request without a route is answered with status 404")
{
    IngressFixture fixture;
    Route other = IngressFixture::unaryRoute(RequestKind::Idempotent);
    other.prefix = "/q/";
    fixture.configure(other);
    CHECK(fixture.runToEnd()->status() == 404);
}

TEST_CASE("a non-idempotent request whose answer is lost fails and isn't retried")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { lostAnswer, succeeding };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 502);
    CHECK(client->outcome() == "unknown");
    CHECK(fixture.endpointClient.requests.size() == 1);
}

TEST_CASE("a request that certainly did not run is retried at another endpoint")
{
    for (auto failure : { unreachable, refusing }) {
        IngressFixture fixture;
        fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
        fixture.addEndpoint("e1");
        fixture.addEndpoint("e2");
        fixture.answers = { failure, succeeding };
        auto client = fixture.runToEnd();
        CHECK(client->status() == 200);
        REQUIRE(fixture.endpointClient.requests.size() == 2);
        CHECK(fixture.sentHeader(0, "incarnation") != fixture.sentHeader(1, "incarnation"));
    }
}

TEST_CASE("a request that every endpoint refuses is refused as not run")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { refusing };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 503);
    CHECK(client->outcome() == "not-run");
    CHECK(client->head->headers.find("retry-after"));
    CHECK(fixture.endpointClient.requests.size() == 2);
}

TEST_CASE("an idempotent request is retried up to its route's number of attempts")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent, 2));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.addEndpoint("e3");
    fixture.answers = { lostAnswer };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 502);
    CHECK(fixture.endpointClient.requests.size() == 2);
}

TEST_CASE("an endpoint's error answer is delivered if no retry succeeds")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent, 2));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) { return endpointAnswer(request, 500, "broken"); } };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 500);
    CHECK(client->body == "broken");
    CHECK(fixture.endpointClient.requests.size() == 2);
}

TEST_CASE("a request isn't retried when the retry budget is used up")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent, 2));
    while (fixture.parts.retryBudgetOf("service").tryRetry(fixture.scheduler.clock().now())) { }
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { lostAnswer, succeeding };
    CHECK(fixture.runToEnd()->status() == 502);
    CHECK(fixture.endpointClient.requests.size() == 1);
}

TEST_CASE("a request that is refused right after the entry's start is retried at another endpoint")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.parts.retryBudgets.clear();
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { refusing, succeeding };
    CHECK(fixture.runToEnd()->status() == 200);
}

TEST_CASE("an answer to another request is never delivered")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 200, "of another");
        answer.headers.set("request-id", "id-0");
        return answer;
    } };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 502);
    CHECK(client->body.find("of another") == std::string::npos);
    CHECK(fixture.endpointClient.exchanges[0]->isCancelled);
}

TEST_CASE("an endpoint whose address now belongs to another incarnation isn't used again")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = refusalAnswer(request);
        answer.status = 421;
        return answer;
    } };
    CHECK(fixture.runToEnd()->status() == 503);
    CHECK(fixture.runToEnd()->status() == 503);
    CHECK(fixture.endpointClient.requests.size() == 1);
}

// Guards against refusals without an ID: they may belong to an earlier request on the connection,
// and what they say of the endpoint may hold no longer.
TEST_CASE("a refusal without the request's ID neither refuses the request nor changes what is known of its endpoint")
{
    int status = GENERATE(503, 421);
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { [status](const HttpClientRequest&) {
        FakeHttpAnswer answer = refusalAnswer({});
        answer.status = status;
        answer.headers.add("pause-ms", "6000");
        answer.headers.add("leaving", "1");
        answer.headers.add("request-limit", "0.1");
        answer.headers.add("rejection-limit", "0.1");
        return answer;
    } };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 502);
    CHECK(client->outcome() == "unknown");
    CHECK(fixture.endpointClient.requests.size() == 1);
    fixture.parts.endpoints.forEach([&](RoutedEndpoint& endpoint) {
        CHECK(endpoint.pausedUntil == TimePoint {});
        CHECK_FALSE(endpoint.limit.named.perSecond);
    });
    fixture.answers = { succeeding };
    for (int i = 0; i < 8; ++i)
        CHECK(fixture.runToEnd()->status() == 200);
}

// Guards against attempts whose answers the HTTP client can't tell apart.
TEST_CASE("attempts at endpoints and entries name the field that tells their answers apart, and an entry's own refusal repeats it")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { refusing };
    auto client = fixture.runToEnd({}, true);
    REQUIRE(fixture.endpointClient.requests.size() == 1);
    CHECK(fixture.endpointClient.requests[0].echoedField == "request-id");
    CHECK(client->outcome() == "not-run");
    const std::string* id = client->head->headers.find("request-id");
    REQUIRE(id);
    CHECK(*id == *fixture.endpointClient.requests[0].headers.find("request-id"));
}

// Guards against a forwarded request that has run and is refused or sent again, since its endpoint's
// answer bears headers by which entries state that a request hasn't run.
TEST_CASE("an endpoint's answer doesn't state an outcome to the entry that forwarded the request")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = succeeding(request);
        answer.headers.add(outcomeHeader, "not-run");
        answer.headers.add(refusedEverywhereHeader, "3");
        answer.headers.add(notSentHeader, notSentCutOff);
        return answer;
    } };
    auto client = fixture.runToEnd({}, true);
    CHECK(client->status() == 200);
    for (const char* name : { outcomeHeader, refusedEverywhereHeader, notSentHeader })
        CHECK_FALSE(client->head->headers.find(name));
}

TEST_CASE("the answer at the route's timeout states whether the request may have run")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    for (bool hasReached : { true, false }) {
        fixture.answers = { [hasReached](const HttpClientRequest&) {
            FakeHttpAnswer answer = FakeHttpAnswer::failed(HttpEnd::TimedOut, hasReached);
            answer.delay = 1h;
            return answer;
        } };
        auto client = fixture.start();
        fixture.scheduler.advance(999ms);
        CHECK_FALSE(client->isFinished);
        fixture.scheduler.advance(1ms);
        REQUIRE(client->isFinished);
        CHECK(client->status() == (hasReached ? 504 : 503));
        CHECK(client->outcome() == (hasReached ? "unknown" : "not-run"));
        CHECK(fixture.endpointClient.exchanges.back()->isCancelled);
    }
}

TEST_CASE("a stopping entry accepts later requests only if their deadline is before its end")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) { return endpointAnswer(request, 200, "done"); } };
    TimePoint began = fixture.scheduler.clock().now();
    fixture.parts.plannedStop = PlannedStop { began, began + 4500ms };
    CHECK(fixture.runToEnd()->status() == 200);
    fixture.parts.plannedStop = PlannedStop { fixture.scheduler.clock().now() - 3001ms, fixture.scheduler.clock().now() + 1000ms };
    CHECK(fixture.runToEnd()->status() == 200);
    fixture.parts.plannedStop = PlannedStop { fixture.scheduler.clock().now() - 3001ms, fixture.scheduler.clock().now() + 999ms };
    auto late = fixture.start();
    CHECK(late->isFinished);
    CHECK(late->status() == 503);
    CHECK(late->outcome() == "not-run");
    CHECK(fixture.runToEnd({ { "time-left", "900" } })->status() == 200);
    CHECK(fixture.endpointClient.requests.size() == 3);
}

// Guards against requests that are passed on late in a planned stop and cut with no answer at its
// end, taken from clients or from other entries.
TEST_CASE("a request that a stopping entry accepted is answered at the end of the stop at the latest")
{
    for (bool isForwarded : { false, true }) {
        IngressFixture fixture;
        fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
        fixture.addEndpoint("e1");
        fixture.answers = { [](const HttpClientRequest&) {
            FakeHttpAnswer silent = FakeHttpAnswer::failed(HttpEnd::Complete, true);
            silent.isLeftOpen = true;
            return silent;
        } };
        TimePoint now = fixture.scheduler.clock().now();
        fixture.parts.plannedStop = PlannedStop { now - 1s, now + 500ms };
        auto client = fixture.start({}, isForwarded);
        fixture.scheduler.advance(500ms);
        CAPTURE(isForwarded);
        CHECK(fixture.endpointClient.requests.size() == 1);
        CHECK(client->status() == 504);
        CHECK(client->outcome() == "unknown");
        CHECK(fixture.sentHeader(0, "time-left") == "490");
    }
}

TEST_CASE("a request bound to another region goes to an entry there whose registration has been removed")
{
    IngressFixture fixture;
    Route route = IngressFixture::unaryRoute(RequestKind::NonIdempotent);
    route.homeRegions = { "south" };
    fixture.configure(route);
    fixture.addEndpoint("e1", "south-a");
    fixture.addEntry("s1", "south", 5'000);
    fixture.peerClient.handler = [](const HttpClientRequest& request) { return endpointAnswer(request, 200, "done"); };
    fixture.parts.entries.remove("s1", fixture.scheduler.clock().now());
    CHECK(fixture.runToEnd()->status() == 200);
    CHECK(fixture.peerClient.requests.size() == 1);
}

TEST_CASE("a client's own deadline is sent to the endpoint if it is earlier than the route's")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    fixture.runToEnd({ { "time-left", "300" } });
    CHECK(std::stoi(fixture.sentHeader(0, "time-left")) <= 300);
    CHECK(std::stoi(fixture.sentHeader(0, "time-left")) > 250);
}

TEST_CASE("the attempt is cancelled when the client disconnects")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = succeeding(request);
        answer.delay = 500ms;
        return answer;
    } };
    auto client = fixture.start();
    fixture.scheduler.advance(100ms);
    client->leave();
    CHECK(fixture.endpointClient.exchanges[0]->isCancelled);
    fixture.scheduler.advance(2s);
    CHECK(fixture.endpointClient.requests.size() == 1);
    CHECK(fixture.parts.openRequestCount == 0);
}

TEST_CASE("a broken stream resumes at another endpoint after its last complete event")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::streamRoute(true));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { [](const HttpClientRequest& request) {
                           FakeHttpAnswer answer = streamAnswer(request, { 1, 2 });
                           answer.body.emplace_back("id: 3\nda");
                           answer.end = HttpEnd::Truncated;
                           return answer;
                       },
        [](const HttpClientRequest& request) { return streamAnswer(request, { 3, 4 }); } };
    auto client = fixture.runToEnd();
    CHECK(client->isFinished);
    CHECK(client->body == eventText(1) + eventText(2) + eventText(3) + eventText(4));
    CHECK(fixture.sentHeader(1, "resume-after") == "2");
}

TEST_CASE("a broken stream that can't resume is aborted and isn't retried")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::streamRoute(false));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = streamAnswer(request, { 1 });
        answer.end = HttpEnd::Truncated;
        return answer;
    } };
    auto client = fixture.runToEnd();
    CHECK(client->isAborted);
    CHECK_FALSE(client->isFinished);
    CHECK(fixture.endpointClient.requests.size() == 1);
}

TEST_CASE("a stream that ends inside an event counts as broken")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::streamRoute(false));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = streamAnswer(request, { 1 });
        answer.body.emplace_back("id: 2\nda");
        return answer;
    } };
    auto client = fixture.runToEnd();
    CHECK(client->isAborted);
    CHECK(client->body == eventText(1));
}

TEST_CASE("requests of a route bound to other regions are forwarded there and never run here")
{
    IngressFixture fixture;
    Route route = IngressFixture::unaryRoute(RequestKind::NonIdempotent);
    route.homeRegions = { "south" };
    fixture.configure(route);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2", "south-a");
    fixture.addEntry("south-1", "south", 77);
    fixture.peerClient.handler = succeeding;
    CHECK(fixture.runToEnd()->status() == 200);
    REQUIRE(fixture.peerClient.requests.size() == 1);
    CHECK(fixture.peerClient.requests[0].server.port == 77);
    CHECK(fixture.endpointClient.requests.empty());
    auto forwarded = fixture.runToEnd({}, true);
    CHECK(forwarded->status() == 503);
    CHECK(forwarded->outcome() == "not-run");
    CHECK(fixture.peerClient.requests.size() == 1);
}

TEST_CASE("a long shared segment is read in one region, and here if that region is unreachable")
{
    IngressFixture fixture;
    Route route = IngressFixture::unaryRoute(RequestKind::Idempotent);
    route.hasPromptAffinity = true;
    fixture.configure(route);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2", "south-a");
    fixture.addEntry("south-1", "south", 77);
    fixture.answers = { succeeding };
    fixture.peerClient.handler = succeeding;
    std::size_t keptHere = 0;
    for (int segment = 0; segment < 40; ++segment) {
        std::size_t before = fixture.endpointClient.requests.size();
        TimePoint now = fixture.scheduler.clock().now();
        bool isKeptHere = fixture.parts.endpoints.regionOfSegment("service", std::to_string(segment), {}, now) == "north";
        CHECK(fixture.runToEnd({ { "prompt", std::to_string(segment) } })->status() == 200);
        CHECK(fixture.endpointClient.requests.size() - before == (isKeptHere ? 1 : 0));
        keptHere += isKeptHere ? 1 : 0;
    }
    CHECK(keptHere > 8);
    CHECK(keptHere < 32);
    CHECK(fixture.parts.endpoints.regionOfSegment("service", "1", { "south" }, fixture.scheduler.clock().now()) == "south");
    fixture.peerClient.handler = unreachable;
    for (int segment = 0; segment < 10; ++segment)
        CHECK(fixture.runToEnd({ { "prompt", std::to_string(segment) } })->status() == 200);
}

// Entries of a region send each other the hashes of shared segments. Guards against
// sending the hash of a segment that is bound to other regions.
TEST_CASE("a segment that may not be processed here is not reported to the entries here")
{
    for (bool isBound : { true, false }) {
        IngressFixture fixture;
        Route route = IngressFixture::unaryRoute(RequestKind::Idempotent);
        route.hasPromptAffinity = true;
        if (isBound)
            route.homeRegions = { "south" };
        fixture.configure(route);
        fixture.addEndpoint("e2", "south-a");
        fixture.addEntry("south-1", "south", 77);
        fixture.peerClient.handler = succeeding;
        CHECK(fixture.runToEnd({ { "prompt", "part" } })->status() == 200);
        CHECK(fixture.parts.endpoints.takeSentSegments().size() == (isBound ? 0 : 1));
    }
}

TEST_CASE("attempts at another entry's endpoints count against the route's attempts")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent, 2));
    fixture.addEndpoint("e2", "south-a");
    fixture.addEntry("south-1", "south", 77);
    fixture.peerClient.handler = [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 500, "broken");
        answer.headers.add(endpointAttemptsHeader, "2");
        return answer;
    };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 500);
    CHECK(fixture.peerClient.requests.size() == 1);
    CHECK(*fixture.peerClient.requests[0].headers.find(attemptsLeftHeader) == "2");
    CHECK_FALSE(client->head->headers.find(endpointAttemptsHeader));
}

TEST_CASE("an entry reports its number of attempts to the forwarding entry")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    auto client = fixture.runToEnd({}, true);
    REQUIRE(client->head->headers.find(endpointAttemptsHeader));
    CHECK(*client->head->headers.find(endpointAttemptsHeader) == "1");
}

TEST_CASE("reading from an endpoint pauses while the client reads slowly")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::streamRoute(false));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = streamAnswer(request, { 1 });
        answer.isLeftOpen = true;
        return answer;
    } };
    auto client = fixture.start();
    client->pending = 1 << 20;
    fixture.scheduler.advance(10ms);
    CHECK(client->writable);
    client->leave();
}

TEST_CASE("an attempt is abandoned when its endpoint restarts, and an idempotent request is retried at the restarted endpoint")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent));
    EndpointRecord record;
    record.incarnation = "e1";
    record.startedAt = 1s;
    record.service = "service";
    record.address = { "127.0.0.1", 1'000 };
    record.availabilityZone = "north-a";
    fixture.parts.endpoints.put(record, fixture.scheduler.clock().now());
    fixture.answers = { unresponsive, succeeding };
    auto client = fixture.start();
    fixture.scheduler.advance(100ms);
    CHECK(fixture.endpointClient.requests.size() == 1);
    record.startedAt = 2s;
    fixture.parts.endpoints.put(record, fixture.scheduler.clock().now());
    fixture.scheduler.advance(100ms);
    CHECK(client->status() == 200);
    CHECK(fixture.endpointClient.requests.size() == 2);
}

namespace {

/// Two endpoints in the region "north" with \p unread prompt tokens each, and an entry
/// in "south", a region that reports how long requests wait there.
struct BusyRegionFixture {
    explicit BusyRegionFixture(std::int64_t unread)
    {
        Route route = IngressFixture::unaryRoute(RequestKind::NonIdempotent);
        route.latencyTarget = 600ms;
        fixture.configure(route);
        fixture.addEndpoint("e1");
        fixture.addEndpoint("e2");
        fixture.parts.endpoints.forEach([unread](RoutedEndpoint& endpoint) { endpoint.unprefilledTokens = unread; });
        fixture.addEndpoint("s1", "south-a");
        fixture.addEntry("south-entry", "south", 50);
        fixture.answers = { succeeding };
        fixture.peerClient.handler = succeeding;
    }

    void reportWaitInSouth(std::chrono::milliseconds wait)
    {
        RegionReport report { "south", "south-entry", ++sequence, { { serviceHash("service"), 2, wait, 20'000us, 0us } } };
        fixture.parts.outlooks.update(report, fixture.scheduler.clock().now());
    }

    IngressFixture fixture;
    std::uint64_t sequence { 0 };
};

} // namespace

TEST_CASE("a request that would wait too long in every region is refused at once, as not run, with a retry-after time")
{
    BusyRegionFixture regions(60'000);
    regions.reportWaitInSouth(2s);
    auto client = regions.fixture.start();
    CHECK(client->status() == 503);
    CHECK(client->outcome() == "not-run");
    REQUIRE(client->head->headers.find("retry-after"));
    double seconds = std::stod(*client->head->headers.find("retry-after"));
    CHECK(seconds > 0.2);
    CHECK(seconds <= 1.0 / 3 + 0.001);
    CHECK(regions.fixture.endpointClient.requests.empty());
    CHECK(regions.fixture.peerClient.requests.empty());
}

TEST_CASE("a request that would wait too long here is forwarded to a region with free capacity")
{
    BusyRegionFixture regions(60'000);
    regions.reportWaitInSouth(0ms);
    CHECK(regions.fixture.runToEnd()->status() == 200);
    CHECK(regions.fixture.peerClient.requests.size() == 1);
    CHECK(regions.fixture.endpointClient.requests.empty());
}

TEST_CASE("a request isn't forwarded while endpoints here have free capacity, even if another region is idle")
{
    BusyRegionFixture regions(1'000);
    regions.reportWaitInSouth(0ms);
    CHECK(regions.fixture.runToEnd()->status() == 200);
    CHECK(regions.fixture.endpointClient.requests.size() == 1);
}

TEST_CASE("a forwarded request is refused if it would wait too long, so that the forwarding entry can try other regions")
{
    BusyRegionFixture regions(60'000);
    auto client = regions.fixture.start({}, true);
    CHECK(client->status() == 503);
    CHECK(client->outcome() == "not-run");
    CHECK(regions.fixture.endpointClient.requests.empty());
}

TEST_CASE("a stream that has begun may resume at an endpoint where a new request would wait too long")
{
    BusyRegionFixture regions(60'000);
    Route route = IngressFixture::streamRoute(true);
    route.latencyTarget = 600ms;
    regions.fixture.configure(route);
    regions.fixture.parts.endpoints.forEach([](RoutedEndpoint& endpoint) { endpoint.unprefilledTokens = 0; });
    regions.fixture.answers = {
        [&regions](const HttpClientRequest& request) {
            regions.fixture.parts.endpoints.forEach([](RoutedEndpoint& endpoint) { endpoint.unprefilledTokens += 60'000; });
            FakeHttpAnswer answer = streamAnswer(request, { 1, 2 });
            answer.end = HttpEnd::Truncated;
            return answer;
        },
        [](const HttpClientRequest& request) { return streamAnswer(request, { 3 }); }
    };
    auto client = regions.fixture.runToEnd();
    CHECK(client->body == eventText(1) + eventText(2) + eventText(3));
    CHECK(regions.fixture.sentHeader(1, "resume-after") == "2");
}

// Guards against requests that wait for an unresponsive endpoint until their deadline:
// the endpoint sends nothing and keeps the connections open. A sound one may be silent
// for 1.6 s. Answers of this service take up to 0.5 s, so 2.5 s without a byte show that
// the endpoint is unresponsive.
TEST_CASE("an unresponsive endpoint loses idempotent requests to another endpoint and keeps non-idempotent ones")
{
    for (RequestKind kind : { RequestKind::Idempotent, RequestKind::NonIdempotent }) {
        IngressFixture fixture;
        Route route = IngressFixture::unaryRoute(kind);
        route.timeout = 5s;
        fixture.configure(route);
        fixture.addEndpoint("e1");
        fixture.addEndpoint("e2");
        fixture.answers = { unresponsive, succeeding };
        auto client = fixture.start();
        for (Duration passed { 0 }; passed < 1'600ms; passed += 100ms) {
            fixture.scheduler.advance(100ms);
            fixture.parts.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
        }
        fixture.scheduler.advance(10ms);
        CHECK(fixture.endpointClient.requests.size() == 1);
        fixture.scheduler.advance(1s);
        fixture.parts.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
        fixture.scheduler.advance(10ms);
        bool isRetried = kind == RequestKind::Idempotent;
        CHECK(fixture.endpointClient.requests.size() == (isRetried ? 2u : 1u));
        CHECK((isRetried ? client->status() == 200 : !client->head));
        // The deadline ends a request that still waits.
        fixture.scheduler.advance(10s);
        CHECK(fixture.parts.openRequestCount == 0);
    }
}

TEST_CASE("a resumable stream moves from an unresponsive endpoint to another one after its last event")
{
    IngressFixture fixture;
    Route route = IngressFixture::streamRoute(true);
    route.timeout = 5s;
    fixture.configure(route);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = {
        [](const HttpClientRequest& request) {
            FakeHttpAnswer answer = streamAnswer(request, { 1, 2 });
            answer.isLeftOpen = true;
            return answer;
        },
        [](const HttpClientRequest& request) { return streamAnswer(request, { 3 }); }
    };
    auto client = fixture.start();
    fixture.scheduler.advance(1'600ms);
    fixture.parts.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
    fixture.scheduler.advance(100ms);
    CHECK(fixture.endpointClient.requests.size() == 1);
    fixture.scheduler.advance(1s);
    fixture.parts.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
    fixture.scheduler.advance(100ms);
    CHECK(client->body == eventText(1) + eventText(2) + eventText(3));
    CHECK(fixture.endpointClient.exchanges[0]->isCancelled);
    CHECK(fixture.sentHeader(1, "resume-after") == "2");
}

TEST_CASE("an entry that was paused doesn't treat endpoints as unresponsive")
{
    IngressFixture fixture;
    Route route = IngressFixture::unaryRoute(RequestKind::Idempotent);
    route.timeout = 5s;
    fixture.configure(route);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { unresponsive, succeeding };
    fixture.start();
    fixture.scheduler.advance(3s);
    fixture.parts.endpoints.resetSilence(fixture.scheduler.clock().now());
    fixture.parts.endpoints.abortUnresponsive(fixture.scheduler.clock().now());
    fixture.scheduler.advance(10ms);
    CHECK(fixture.endpointClient.requests.size() == 1);
    fixture.scheduler.advance(10s);
    CHECK(fixture.parts.openRequestCount == 0);
}

// Guards against forwarding a request to one region after the other when a refusal
// holds everywhere.
TEST_CASE("a refusal that holds everywhere is delivered with its retry-after time, and the request isn't forwarded again")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1", "south-a");
    fixture.addEntry("s1", "south", 11);
    fixture.addEntry("s2", "south", 12);
    fixture.peerClient.handler = [](const HttpClientRequest&) {
        FakeHttpAnswer answer = FakeHttpAnswer::ok("");
        answer.status = 503;
        answer.headers = { { outcomeHeader, "not-run" }, { refusedEverywhereHeader, "90.5" } };
        return answer;
    };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 503);
    CHECK(client->outcome() == "not-run");
    CHECK(*client->head->headers.find("retry-after") == "90.5");
    CHECK_FALSE(client->head->headers.find(refusedEverywhereHeader));
    CHECK(fixture.peerClient.requests.size() == 1);
    CHECK(fixture.parts.regionAcceptances["service"].acceptanceOf("south", fixture.scheduler.clock().now()) == 1);
}

TEST_CASE("the refusal of a forwarded request states if it holds everywhere")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::Idempotent, 1));
    for (int i = 1; i <= 4; ++i)
        fixture.addEndpoint("e" + std::to_string(i));
    fixture.answers = { lostAnswer };
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.runToEnd()->status() == 502);
        fixture.parts.crashSuspects.settleAndExpire(fixture.scheduler.clock().now());
        fixture.parts.endpoints.remove(fixture.sentHeader(static_cast<std::size_t>(i), "incarnation"), fixture.scheduler.clock().now());
    }
    auto client = fixture.runToEnd({}, true);
    CHECK(client->status() == 503);
    CHECK(client->outcome() == "not-run");
    CHECK(client->head->headers.find(refusedEverywhereHeader));
    CHECK(fixture.endpointClient.requests.size() == 3);
}

static FakeHttpAnswer leaving(const HttpClientRequest& request)
{
    FakeHttpAnswer answer = succeeding(request);
    answer.headers.add("leaving", "1");
    return answer;
}

static FakeHttpAnswer pausing(const HttpClientRequest& request)
{
    FakeHttpAnswer answer = refusalAnswer(request);
    answer.headers.add("pause-ms", "6000");
    return answer;
}

// Guards against an outdated registration that overrides the state that the endpoint
// reports itself.
TEST_CASE("an endpoint that reports that it is leaving gets no requests until its next start, even if it is registered again")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { leaving };
    CHECK(fixture.runToEnd()->status() == 200);
    CHECK(fixture.runToEnd()->outcome() == "not-run");
    fixture.parts.endpoints.remove("e1", fixture.scheduler.clock().now());
    fixture.addEndpoint("e1");
    CHECK(fixture.runToEnd()->outcome() == "not-run");
    CHECK(fixture.endpointClient.requests.size() == 1);
    fixture.addEndpoint("e2");
    CHECK(fixture.runToEnd()->status() == 200);
    CHECK(fixture.sentHeader(1, "incarnation") == "e2");
    // After 180 s another endpoint may use the same incarnation name.
    fixture.parts.endpoints.remove("e1", fixture.scheduler.clock().now());
    fixture.parts.endpoints.remove("e2", fixture.scheduler.clock().now());
    fixture.scheduler.advance(180s);
    fixture.addEndpoint("e1");
    CHECK(fixture.runToEnd()->status() == 200);
}

// Guards against applying a pause that one incarnation reports to another one.
TEST_CASE("a pause in an answer of another incarnation doesn't apply to the chosen endpoint")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { [](const HttpClientRequest& request) {
                           FakeHttpAnswer answer = pausing(request);
                           answer.status = 421;
                           return answer;
                       },
        succeeding };
    CHECK(fixture.runToEnd()->status() == 200);
    fixture.parts.endpoints.forEach([&](RoutedEndpoint& endpoint) { CHECK(endpoint.pausedUntil == TimePoint {}); });
}

// Guards against requests to endpoints that have asked for a pause.
TEST_CASE("endpoints that ask for a pause get no requests until its end, and refused clients get that time as retry-after time")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    fixture.answers = { pausing, pausing, succeeding };
    CHECK(fixture.start()->isOpen());
    fixture.scheduler.advance(10ms);
    CHECK(fixture.endpointClient.requests.size() == 2);
    auto client = fixture.start();
    REQUIRE(client->outcome() == "not-run");
    double seconds = std::stod(*client->head->headers.find("retry-after"));
    CHECK(seconds > 5.9);
    CHECK(seconds <= 6);
    fixture.scheduler.advance(5'900ms);
    CHECK(fixture.start()->outcome() == "not-run");
    CHECK(fixture.endpointClient.requests.size() == 2);
    fixture.scheduler.advance(200ms);
    CHECK(fixture.runToEnd()->status() == 200);
}

/// Removes the framing of an endpoint's answer, so that the answer ends with its connection.
static FakeHttpAnswer unframed(FakeHttpAnswer answer)
{
    answer.headers.remove("transfer-encoding");
    return answer;
}

static Route promptRoute(Route route)
{
    route.hasPromptAffinity = true;
    return route;
}

// Guards against an endpoint's answer that is lost because nothing but its end frames it.
TEST_CASE("an answer with neither a length nor chunks is delivered once its connection has ended")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) { return unframed(endpointAnswer(request, 200, "whole")); } };
    auto client = fixture.runToEnd();
    CHECK(client->status() == 200);
    CHECK(client->body == "whole");
}

// Guards against a broken stream that looks complete because nothing but its end frames it.
TEST_CASE("a stream with neither a length nor chunks that ends inside an event, or before the first, goes on at another endpoint")
{
    for (std::size_t wholeEvents : { 0u, 1u, 2u }) {
        IngressFixture fixture;
        fixture.configure(IngressFixture::streamRoute(true));
        fixture.addEndpoint("e1");
        fixture.addEndpoint("e2");
        fixture.answers = {
            [&](const HttpClientRequest& request) {
                FakeHttpAnswer answer = unframed(streamAnswer(request, { 1, 2 }));
                // The first piece is empty.
                answer.body.resize(wholeEvents + 1);
                if (wholeEvents > 0)
                    answer.body.emplace_back("id: 9");
                return answer;
            },
            [&](const HttpClientRequest& request) {
                return wholeEvents < 2 ? unframed(streamAnswer(request, wholeEvents == 0 ? std::vector<int> { 1, 2, 3 } : std::vector<int> { 2, 3 })) : unframed(streamAnswer(request, { 3 }));
            },
        };
        auto client = fixture.runToEnd();
        CHECK(client->isFinished);
        CHECK(client->body == eventText(1) + eventText(2) + eventText(3));
    }
}

TEST_CASE("a stream with neither a length nor chunks that ends inside an event counts as a crash of an endpoint that isn't heard from again")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::streamRoute(false));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = unframed(streamAnswer(request, { 1 }));
        answer.body.emplace_back("id: 2");
        return answer;
    } };
    auto client = fixture.runToEnd();
    CHECK(client->isAborted);
    fixture.parts.crashSuspects.settleAndExpire(fixture.scheduler.clock().now());
    CHECK(fixture.parts.crashSuspects.size() == 1);
}

// Guards against clearing a segment by the head of an answer that crashes its endpoint.
TEST_CASE("ten events of a stream clear the shared segments of its prompt, its first ones don't")
{
    for (int events : { 0, 9, 10, 11 }) {
        IngressFixture fixture;
        fixture.configure(promptRoute(IngressFixture::streamRoute(false)));
        fixture.addEndpoint("e1");
        fixture.answers = { [&](const HttpClientRequest& request) {
            std::vector<int> ids;
            for (int id = 1; id <= events; ++id)
                ids.push_back(id);
            FakeHttpAnswer answer = streamAnswer(request, ids);
            answer.isLeftOpen = true;
            return answer;
        } };
        auto client = fixture.start({ { "segments", "first,second,own" } });
        fixture.scheduler.advance(100ms);
        CHECK(fixture.parts.crashSuspects.answeredCount() == (events >= 10 ? 2 : 0));
        fixture.scheduler.advance(20s);
    }
}

TEST_CASE("an answer clears the segments of its prompt if it is a success, and if it isn't known whether it is whole only once the endpoint is heard from")
{
    auto cleared = [](int status, bool isFramed, bool isForwardedAnswer) {
        IngressFixture fixture;
        fixture.configure(promptRoute(IngressFixture::unaryRoute(RequestKind::NonIdempotent)));
        if (isForwardedAnswer)
            fixture.addEntry("other", "south", 7);
        fixture.addEndpoint("e1", isForwardedAnswer ? "south-a" : "north-a");
        auto answerOf = [&](const HttpClientRequest& request) {
            FakeHttpAnswer answer = endpointAnswer(request, status, "body");
            if (!isFramed && isForwardedAnswer)
                answer.headers.add(unframedAnswerHeader, "1");
            return isFramed || isForwardedAnswer ? answer : unframed(answer);
        };
        fixture.answers = { answerOf };
        fixture.peerClient.handler = answerOf;
        fixture.runToEnd({ { "segments", "first,second,own" } });
        return fixture.parts.crashSuspects.answeredCount();
    };
    CHECK(cleared(200, true, false) == 3);
    CHECK(cleared(404, true, false) == 1);
    CHECK(cleared(500, true, false) == 0);
    CHECK(cleared(200, false, false) == 0);
    CHECK(cleared(200, true, true) == 3);
    CHECK(cleared(200, false, true) == 0);
}

TEST_CASE("the answer to a forwarded request states that it had neither a length nor chunks")
{
    for (bool isFramed : { true, false }) {
        IngressFixture fixture;
        fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
        fixture.addEndpoint("e1");
        fixture.answers = { [&](const HttpClientRequest& request) {
            FakeHttpAnswer answer = endpointAnswer(request, 200, "body");
            return isFramed ? answer : unframed(answer);
        } };
        auto forwarded = fixture.runToEnd({}, true);
        CHECK((forwarded->head->headers.find(unframedAnswerHeader) != nullptr) != isFramed);
        auto direct = fixture.runToEnd();
        CHECK_FALSE(direct->head->headers.find(unframedAnswerHeader));
    }
}

// Guards against an entry that is ended for exceeding its memory, with all of its requests.
TEST_CASE("a large request that the entry has no room for is refused without an attempt, and a small one is served")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent));
    fixture.addEndpoint("a");
    fixture.parts.requestBuffers = RequestBuffers(10'000'000);
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 200, "done");
        answer.delay = 500ms;
        return answer;
    } };
    const std::string large(4'000'000, 'x');
    auto first = fixture.start({}, false, large);
    auto second = fixture.start({}, false, large);
    auto third = fixture.start({}, false, large);
    auto small = fixture.start({}, false, "{}");
    CHECK(third->status() == 503);
    CHECK(third->outcome() == "not-run");
    REQUIRE(third->head);
    CHECK(third->head->headers.find("retry-after"));
    CHECK(fixture.endpointClient.requests.size() == 3);
    fixture.scheduler.advance(2s);
    CHECK(first->status() == 200);
    CHECK(second->status() == 200);
    CHECK(small->status() == 200);
    CHECK(fixture.parts.requestBuffers.used() == 0);
    CHECK(fixture.runToEnd()->status() == 200);
}
