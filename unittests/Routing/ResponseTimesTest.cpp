#include "catkinwing/Routing/ResponseTimes.h"

#include "catkinwing/Support/Random.h"
#include <catch2/catch.hpp>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

static double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

static const TimePoint start { 100s };

/// Returns the estimate from \p times with the default prior.
static ResponseEstimate estimateOf(const ResponseTimes& times, TimePoint now = start)
{
    return estimateResponses(times, defaultResponseEstimate(), now);
}

/// Records responses of an engine that sends the first byte after \p floor plus
/// \p perKilotoken per thousand tokens, with up to 20% random deviation.
static void recordResponses(ResponseTimes& times, Duration floor, Duration perKilotoken, int responses, Random& random)
{
    for (int i = 0; i < responses; ++i) {
        // One request in ten has no tokens to prefill.
        double kilotokens = i % 10 == 0 ? 0 : random.unit() * 30;
        double deviation = 0.8 + 0.4 * random.unit();
        auto took = std::chrono::duration_cast<Duration>((floor + perKilotoken * kilotokens) * deviation);
        addFirstByteSample(times, kilotokens, took, start);
    }
}

TEST_CASE("a hundred responses are enough to estimate an engine's response times")
{
    Random random(4);
    ResponseTimes times;
    recordResponses(times, 60ms, 40ms, 100, random);
    CHECK(milliseconds(idleFirstByte(estimateOf(times))) == Approx(60).margin(30));
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) == Approx(40).epsilon(0.2));
}

TEST_CASE("the estimate follows an engine that slows down within a hundred responses")
{
    Random random(4);
    ResponseTimes times;
    recordResponses(times, 100ms, 15ms, 300, random);
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) == Approx(15).epsilon(0.2));
    recordResponses(times, 100ms, 60ms, 100, random);
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) > 40);
}

TEST_CASE("responses without prompt tokens to prefill leave the prefill estimate almost unchanged")
{
    ResponseTimes times;
    Duration before = timePerKilotoken(estimateOf(times));
    for (int i = 0; i < 1'000; ++i)
        addFirstByteSample(times, 0, 15ms, start);
    CHECK(milliseconds(idleFirstByte(estimateOf(times))) == Approx(15).margin(5));
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) == Approx(milliseconds(before)).epsilon(0.4));
}

TEST_CASE("outliers don't push the estimates beyond their bounds")
{
    ResponseTimes times;
    for (int i = 0; i < 50; ++i)
        addFirstByteSample(times, i % 2 == 0 ? 30 : 0, i % 2 == 0 ? 0ms : 100s, start);
    ResponseEstimate estimate = estimateOf(times);
    CHECK(timePerKilotoken(estimate) > 0ms);
    CHECK(idleFirstByte(estimate) > 0ms);
    CHECK(idleFirstByte(estimate) <= 6s);
}

TEST_CASE("the time per event is estimated from streams, and an interrupted stream has little effect on it")
{
    ResponseTimes times;
    for (int i = 0; i < 1'000; ++i)
        addEventSample(times, 2, 160ms, start);
    CHECK(milliseconds(timePerEvent(estimateOf(times))) == Approx(80).epsilon(0.25));
    addEventSample(times, 0, 10s, start);
    addEventSample(times, 1, 10s, start);
    CHECK(milliseconds(timePerEvent(estimateOf(times))) < 100);
}

// Otherwise a new endpoint would receive no requests next to one with many recorded
// responses.
TEST_CASE("an endpoint with few responses and no work has no predicted wait")
{
    ResponseTimes times;
    for (int i = 0; i < 5; ++i) {
        CHECK(predictWait(estimateOf(times), { 0, 0 }, 8) == 0ms);
        addFirstByteSample(times, 0, 2ms, start);
    }
}

TEST_CASE("the predicted wait covers queued prompt tokens and, without a free slot, the end of running requests")
{
    ResponseEstimate estimate = defaultResponseEstimate();
    CHECK(predictWait(estimate, { 0, 0 }, 8) == 0ms);
    CHECK(predictWait(estimate, { 7, 0 }, 8) == 0ms);
    CHECK(milliseconds(predictWait(estimate, { 0, 10 }, 8)) == Approx(10 * milliseconds(timePerKilotoken(estimate))));
    // With eight slots, each occupied for 0.5 s, one becomes free every 62.5 ms.
    CHECK(milliseconds(predictWait(estimate, { 8, 0 }, 8)) == Approx(62.5));
    CHECK(milliseconds(predictWait(estimate, { 23, 0 }, 8)) == Approx(1'000));
    CHECK(predictWait(estimate, { 1'000, 0 }, 0) == 0ms);
}

// With a hundred entries and a dozen endpoints, each entry receives three responses
// per second, and one per endpoint every four seconds. With the default of 0.5 s per
// request, the entry would refuse requests behind a full endpoint that serves them
// in a tenth of that time.
TEST_CASE("estimates of endpoints with few responses follow their service within seconds")
{
    ResponseTimes service;
    std::vector<ResponseTimes> endpoints(12);
    TimePoint now = start;
    for (int i = 0; i < 30; ++i) {
        now += 333ms;
        addSlotTimeSample(service, 70ms, now);
        addSlotTimeSample(endpoints[static_cast<std::size_t>(i) % endpoints.size()], 70ms, now);
    }
    ResponseEstimate common = estimateResponses(service, defaultResponseEstimate(), now);
    for (const ResponseTimes& endpoint : endpoints) {
        CHECK(estimateResponses(endpoint, common, now).slotSeconds < 0.2);
        CHECK(estimateResponses(endpoint, defaultResponseEstimate(), now).slotSeconds > 0.3);
    }
}

TEST_CASE("a few responses distinguish a slow endpoint from its service, and their effect decays")
{
    ResponseTimes service;
    for (int i = 0; i < 50; ++i)
        addSlotTimeSample(service, 100ms, start);
    ResponseTimes slow;
    for (int i = 0; i < 12; ++i)
        addSlotTimeSample(slow, 500ms, start);
    ResponseEstimate common = estimateOf(service);
    CHECK(estimateResponses(slow, common, start).slotSeconds > 0.3);
    CHECK(estimateResponses(slow, common, start + 60s).slotSeconds < 0.2);
}
