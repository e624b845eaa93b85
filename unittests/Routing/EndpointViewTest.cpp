#include "catkinwing/Routing/EndpointView.h"

#include "catkinwing/Routing/CostModel.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const TimePoint start { 1h };

static double backlogAt(const EndpointView& endpoint, TimePoint now)
{
    return remainingTokens(endpoint.backlog, endpoint.prefillTokensPerSecond, now);
}

TEST_CASE("slow start lowers the in-flight limit to no less than one request")
{
    EndpointView endpoint;
    endpoint.credits = 8;
    endpoint.slowStartWeight = 0.5;
    CHECK(inFlightLimit(endpoint) == 4);
    endpoint.slowStartWeight = 0.01;
    CHECK(inFlightLimit(endpoint) == 1);
    endpoint.credits = 0;
    CHECK(inFlightLimit(endpoint) == 0);
}

TEST_CASE("the backlog drains at the prefill speed")
{
    EndpointView endpoint;
    endpoint.prefillTokensPerSecond = 1000;
    recordDispatch(endpoint, 3000, start);
    CHECK(backlogAt(endpoint, start + 1s) == Approx(2000));
    recordDispatch(endpoint, 500, start + 2s);
    CHECK(backlogAt(endpoint, start + 2s) == Approx(1500));
    CHECK(backlogAt(endpoint, start + 10s) == 0);
}

TEST_CASE("requests sent after a report was measured are added to its backlog")
{
    EndpointView endpoint;
    endpoint.prefillTokensPerSecond = 1000;
    recordDispatch(endpoint, 100, start);
    recordDispatch(endpoint, 4000, start + 2s);
    recordReport(endpoint, { start + 1s, 3, 1, 500 });
    CHECK(endpoint.dispatchesSinceReport.size() == 1);
    CHECK(backlogAt(endpoint, start + 2s) == Approx(4000));
    CHECK(backlogAt(endpoint, start + 3s) == Approx(3000));
}

TEST_CASE("own requests that ended after a report was measured are not counted as in flight")
{
    EndpointView endpoint;
    endpoint.slots = 8;
    for (int i = 0; i < 6; ++i)
        recordDispatch(endpoint, 0, start);
    for (int i = 0; i < 5; ++i) {
        recordRequestEnded(endpoint, start + 2s);
        recordDispatch(endpoint, 0, start + 2s);
    }
    // Six own requests and one of another entry, recorded two seconds late.
    recordReport(endpoint, { start + 1s, 7, 0, 0 });
    CHECK(estimatedInFlight(endpoint, {}, start + 3s) == 7);
    recordRequestEnded(endpoint, start + 3s);
    CHECK(estimatedInFlight(endpoint, {}, start + 3s) == 6);
    CHECK(predictTimeToFirstToken(endpoint, {}, {}, start + 3s).slotWait == Duration::zero());
}

TEST_CASE("without reports the number of recorded endings is bounded")
{
    EndpointView endpoint;
    for (int i = 0; i < 1000; ++i) {
        recordDispatch(endpoint, 1, start + i * 100ms);
        recordRequestEnded(endpoint, start + i * 100ms);
    }
    CHECK(endpoint.requestEndTimesSinceReport.size() <= 101);
}

TEST_CASE("a report older than the present one is ignored")
{
    EndpointView endpoint;
    recordReport(endpoint, { start + 2s, 5, 0, 700 });
    recordReport(endpoint, { start + 1s, 0, 0, 0 });
    CHECK(endpoint.report->running == 5);
    CHECK(endpoint.backlog.tokens == 700);
}

TEST_CASE("without reports the number of recorded dispatches is bounded")
{
    EndpointView endpoint;
    for (int i = 0; i < 1000; ++i)
        recordDispatch(endpoint, 1, start + i * 100ms);
    CHECK(endpoint.dispatchesSinceReport.size() <= 101);
}

TEST_CASE("estimated speeds follow the samples, and an empty sample leaves them unchanged")
{
    EndpointView endpoint;
    endpoint.prefillTokensPerSecond = 1000;
    updateSpeeds(endpoint, {});
    CHECK(endpoint.prefillTokensPerSecond == 1000);
    for (int i = 0; i < 100; ++i)
        updateSpeeds(endpoint, { 500, 100ms, 60, 1s, 3s });
    CHECK(endpoint.prefillTokensPerSecond == Approx(5000).epsilon(0.01));
    CHECK(endpoint.decodeTokensPerSecond == Approx(60).epsilon(0.01));
    CHECK(endpoint.requestDuration > 2900ms);
}
