// Tests that long prompts of services that serve mixed prompts are placed by cost, and that their
// shared segments are fetched from the endpoints that cache them.
#include "IngressFixture.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static FakeHttpAnswer succeeding(const HttpClientRequest& request)
{
    return endpointAnswer(request, 200, "ok");
}

static Route promptRoute(std::string prefix, int priority, std::chrono::milliseconds target)
{
    Route route = IngressFixture::streamRoute(false);
    route.prefix = std::move(prefix);
    route.hasPromptAffinity = true;
    route.priority = priority;
    route.latencyTarget = target;
    route.timeout = 6s;
    return route;
}

/// Configures two kinds of prompts. Fetching 13,000 tokens takes 10.4 ms, prefilling them 260 ms.
static void configureMixed(IngressFixture& fixture, std::chrono::milliseconds urgentTarget = 500ms, std::int64_t memoryTokens = 0)
{
    ServiceSettings service;
    service.name = "service";
    service.slots = 12;
    service.tokenBytes = 10'000;
    service.transferBitsPerSecond = 100e9;
    service.memoryTokens = memoryTokens;
    std::vector<Route> routes { promptRoute("/p/", 2, 1'500ms), promptRoute("/q/", 0, urgentTarget) };
    fixture.parts.routes = std::make_shared<const RouteTable>(1, routes, std::vector<ServiceSettings> { service }, ClientLimits {});
    fixture.answers = { succeeding };
}

static std::shared_ptr<RoutedEndpoint> endpointNamed(IngressFixture& fixture, const std::string& name)
{
    std::shared_ptr<RoutedEndpoint> found;
    fixture.parts.endpoints.forEach([&](RoutedEndpoint& endpoint) {
        if (endpoint.record.incarnation == name)
            found = fixture.parts.endpoints.findByHash(endpoint.hash);
    });
    return found;
}

/// Sends a long prompt and returns the endpoint that it went to.
static std::string sendLongPrompt(IngressFixture& fixture)
{
    CHECK(fixture.runToEnd({ { "prompt", "part" }, { "tokens", "17000" } })->status() == 200);
    return fixture.sentHeader(fixture.endpointClient.requests.size() - 1, "incarnation");
}

static std::string fetchSourceOfLast(const IngressFixture& fixture)
{
    return fixture.sentHeader(fixture.endpointClient.requests.size() - 1, "fetch-from");
}

TEST_CASE("a segment whose endpoint is busy is fetched from it by the endpoint that gets the request")
{
    IngressFixture fixture;
    configureMixed(fixture);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    std::string holder = sendLongPrompt(fixture);
    CHECK(fetchSourceOfLast(fixture).empty());
    endpointNamed(fixture, holder)->unprefilledTokens = 20'000;
    std::string other = sendLongPrompt(fixture);
    REQUIRE(other != holder);
    CHECK(fetchSourceOfLast(fixture) == endpointNamed(fixture, holder)->record.address.toString());
    CHECK(endpointNamed(fixture, holder)->segmentTransfers == 0);
    // Both cache it now.
    CHECK(sendLongPrompt(fixture) == other);
    CHECK(fetchSourceOfLast(fixture).empty());
}

TEST_CASE("a source that is leaving, cold or gone is not fetched from")
{
    for (const char* trouble : { "leaving", "cold", "gone", "failing" }) {
        IngressFixture fixture;
        configureMixed(fixture);
        fixture.addEndpoint("e1");
        fixture.addEndpoint("e2");
        std::string holder = sendLongPrompt(fixture);
        TimePoint now = fixture.scheduler.clock().now();
        std::shared_ptr<RoutedEndpoint> source = endpointNamed(fixture, holder);
        source->unprefilledTokens = 20'000;
        if (trouble == std::string("leaving"))
            fixture.parts.endpoints.recordLeaving(*source, now);
        else if (trouble == std::string("cold"))
            source->coldUntil = now + 1min;
        else if (trouble == std::string("gone"))
            fixture.parts.endpoints.remove(holder, now);
        else
            source->suspectUntil = now + 1min;
        CAPTURE(trouble);
        CHECK(sendLongPrompt(fixture) != holder);
        CHECK(fetchSourceOfLast(fixture).empty());
    }
}

// Earlier deployments, which have no mixed prompts, must be served as before.
TEST_CASE("a service without mixed prompts fetches no segments")
{
    IngressFixture fixture;
    configureMixed(fixture, 1'500ms);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    std::string holder = sendLongPrompt(fixture);
    // A pause doesn't keep an endpoint from being a source.
    endpointNamed(fixture, holder)->pausedUntil = fixture.scheduler.clock().now() + 1min;
    CHECK(sendLongPrompt(fixture) != holder);
    CHECK(fetchSourceOfLast(fixture).empty());
}

/// Reports that other entries hold memory at an endpoint.
static void reportHeldMemory(IngressFixture& fixture, const std::string& endpoint, std::uint32_t kilotokens)
{
    std::uint32_t hash = endpointNamed(fixture, endpoint)->hash;
    fixture.parts.endpoints.peerLoads().update({ "other", 1, { { hash, 2, 0, 0, 1, kilotokens } } }, fixture.scheduler.clock().now());
}

// Guards against endpoints that crash because the requests of all entries together exceed their
// memory.
TEST_CASE("a long prompt isn't sent to an endpoint whose memory other entries' requests take")
{
    IngressFixture fixture;
    configureMixed(fixture, 500ms, 60'000);
    fixture.addEndpoint("e1");
    fixture.addEndpoint("e2");
    std::string first = sendLongPrompt(fixture);
    CHECK(endpointNamed(fixture, first)->heldTokens == 0);
    // The holder of the segment would be chosen.
    reportHeldMemory(fixture, first, 50);
    std::string second = sendLongPrompt(fixture);
    CHECK(second != first);
    CHECK(fixture.parts.endpoints.passedOver().lackMemory == 1);
    fixture.parts.endpoints.remove(second, fixture.scheduler.clock().now());
    fixture.parts.endpoints.peerLoads() = PeerLoads();
    reportHeldMemory(fixture, first, 50);
    std::size_t sent = fixture.endpointClient.requests.size();
    auto refused = fixture.start({ { "prompt", "part" }, { "tokens", "17000" } });
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    CHECK(fixture.endpointClient.requests.size() == sent);
    // A short one fits.
    CHECK(fixture.runToEnd({ { "tokens", "300" } })->status() == 200);
}

TEST_CASE("the memory that a request takes is counted until its attempt ends")
{
    IngressFixture fixture;
    configureMixed(fixture, 500ms, 60'000);
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = succeeding(request);
        answer.delay = 200ms;
        return answer;
    } };
    auto client = fixture.start({ { "prompt", "part" }, { "tokens", "17000" } });
    fixture.scheduler.advance(100ms);
    CHECK(endpointNamed(fixture, "e1")->heldTokens == 17'000);
    fixture.scheduler.advance(200ms);
    CHECK(endpointNamed(fixture, "e1")->heldTokens == 0);
    CHECK(client->status() == 200);
}

TEST_CASE("a prompt that no endpoint can hold is refused at once, without a time to return")
{
    IngressFixture fixture;
    configureMixed(fixture, 500ms, 60'000);
    fixture.addEndpoint("e1");
    auto refused = fixture.start({ { "prompt", "part" }, { "tokens", "70000" } });
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    CHECK(refused->body.find("exceeds_memory") != std::string::npos);
    CHECK_FALSE(refused->head->headers.find("retry-after"));
    CHECK(fixture.endpointClient.requests.empty());
}

// Guards against a request that takes an endpoint for seconds and is cut off by its client's
// deadline.
TEST_CASE("a request whose response can't end before its deadline is refused at once")
{
    IngressFixture fixture;
    configureMixed(fixture);
    fixture.addEndpoint("e1");
    std::shared_ptr<RoutedEndpoint> endpoint = endpointNamed(fixture, "e1");
    TimePoint now = fixture.scheduler.clock().now();
    for (int i = 0; i < 300; ++i)
        EndpointTable::recordEvents(*endpoint, 1, 1s, now);
    auto refused = fixture.start({ { "prompt", "part" }, { "tokens", "17000" }, { "max-tokens", "9000" } });
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    CHECK(fixture.endpointClient.requests.empty());
    CHECK(fixture.parts.endpoints.passedOver().cannotEnd > 0);
}
