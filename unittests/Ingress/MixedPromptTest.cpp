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
static void configureMixed(IngressFixture& fixture, std::chrono::milliseconds urgentTarget = 500ms)
{
    ServiceSettings service;
    service.name = "service";
    service.slots = 12;
    service.tokenBytes = 10'000;
    service.transferBitsPerSecond = 100e9;
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
