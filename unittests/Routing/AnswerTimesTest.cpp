#include "catkinwing/Routing/AnswerTimes.h"

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

/// What \p times tell of an endpoint of which nothing else is known.
static AnswerEstimate estimateOf(const AnswerTimes& times, TimePoint now = start)
{
    return estimateAnswers(times, usualAnswers(), now);
}

/// An engine that begins after \p floor and takes \p perKilotoken, each answer
/// up to a fifth off.
static void learn(AnswerTimes& times, Duration floor, Duration perKilotoken, int answers, Random& random)
{
    for (int i = 0; i < answers; ++i) {
        // One in ten finds the engine idle.
        double kilotokens = i % 10 == 0 ? 0 : random.unit() * 30;
        double off = 0.8 + 0.4 * random.unit();
        auto took = std::chrono::duration_cast<Duration>((floor + perKilotoken * kilotokens) * off);
        learnFirstByte(times, kilotokens, took, start);
    }
}

TEST_CASE("an engine's times are learnt from some tens of answers")
{
    Random random(4);
    AnswerTimes times;
    learn(times, 60ms, 40ms, 100, random);
    CHECK(milliseconds(idleFirstByte(estimateOf(times))) == Approx(60).margin(30));
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) == Approx(40).epsilon(0.2));
}

TEST_CASE("an engine that turns slow is believed slow within a hundred answers")
{
    Random random(4);
    AnswerTimes times;
    learn(times, 100ms, 15ms, 300, random);
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) == Approx(15).epsilon(0.2));
    learn(times, 100ms, 60ms, 100, random);
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) > 40);
}

TEST_CASE("answers that all had nothing to read say nothing of how fast prompts are read")
{
    AnswerTimes times;
    Duration before = timePerKilotoken(estimateOf(times));
    for (int i = 0; i < 1'000; ++i)
        learnFirstByte(times, 0, 15ms, start);
    CHECK(milliseconds(idleFirstByte(estimateOf(times))) == Approx(15).margin(5));
    CHECK(milliseconds(timePerKilotoken(estimateOf(times))) == Approx(milliseconds(before)).epsilon(0.4));
}

TEST_CASE("odd answers never make an endpoint infinitely fast or slow")
{
    AnswerTimes times;
    for (int i = 0; i < 50; ++i)
        learnFirstByte(times, i % 2 == 0 ? 30 : 0, i % 2 == 0 ? 0ms : 100s, start);
    AnswerEstimate estimate = estimateOf(times);
    CHECK(timePerKilotoken(estimate) > 0ms);
    CHECK(idleFirstByte(estimate) > 0ms);
    CHECK(idleFirstByte(estimate) <= 6s);
}

TEST_CASE("the pace of streams is learnt, and a broken one doesn't spoil it")
{
    AnswerTimes times;
    for (int i = 0; i < 1'000; ++i)
        learnEvents(times, 2, 160ms, start);
    CHECK(milliseconds(timePerEvent(estimateOf(times))) == Approx(80).epsilon(0.25));
    learnEvents(times, 0, 10s, start);
    learnEvents(times, 1, 10s, start);
    CHECK(milliseconds(timePerEvent(estimateOf(times))) < 100);
}

// Else one that has just started would get nothing beside one that is well known.
TEST_CASE("an endpoint that has answered little is not taken for a busy one")
{
    AnswerTimes times;
    for (int i = 0; i < 5; ++i) {
        CHECK(predictWait(estimateOf(times), { 0, 0 }, 8) == 0ms);
        learnFirstByte(times, 0, 2ms, start);
    }
}

TEST_CASE("a request waits for the prompts before it and, where no slot is free, for requests to end")
{
    AnswerEstimate estimate = usualAnswers();
    CHECK(predictWait(estimate, { 0, 0 }, 8) == 0ms);
    CHECK(predictWait(estimate, { 7, 0 }, 8) == 0ms);
    CHECK(milliseconds(predictWait(estimate, { 0, 10 }, 8)) == Approx(10 * milliseconds(timePerKilotoken(estimate))));
    // Eight slots that are held for 0.5 s each come free every 62.5 ms.
    CHECK(milliseconds(predictWait(estimate, { 8, 0 }, 8)) == Approx(62.5));
    CHECK(milliseconds(predictWait(estimate, { 23, 0 }, 8)) == Approx(1'000));
    CHECK(predictWait(estimate, { 1'000, 0 }, 0) == 0ms);
}

// A hundred entries before a dozen endpoints of a plain service: each entry sees
// three answers a second, one in four seconds from each endpoint. With the first
// guess of 0.5 s a request behind a full endpoint would be refused that is served
// in a tenth of its time.
TEST_CASE("an entry that sees little of each endpoint knows them by their service within seconds")
{
    AnswerTimes service;
    std::vector<AnswerTimes> endpoints(12);
    TimePoint now = start;
    for (int i = 0; i < 30; ++i) {
        now += 333ms;
        learnHeld(service, 70ms, now);
        learnHeld(endpoints[static_cast<std::size_t>(i) % endpoints.size()], 70ms, now);
    }
    AnswerEstimate common = estimateAnswers(service, usualAnswers(), now);
    for (const AnswerTimes& endpoint : endpoints) {
        CHECK(estimateAnswers(endpoint, common, now).heldSeconds < 0.2);
        CHECK(estimateAnswers(endpoint, usualAnswers(), now).heldSeconds > 0.3);
    }
}

TEST_CASE("an endpoint slower than its service is told from it by some answers, and forgiven with time")
{
    AnswerTimes service;
    for (int i = 0; i < 50; ++i)
        learnHeld(service, 100ms, start);
    AnswerTimes slow;
    for (int i = 0; i < 12; ++i)
        learnHeld(slow, 500ms, start);
    AnswerEstimate common = estimateOf(service);
    CHECK(estimateAnswers(slow, common, start).heldSeconds > 0.3);
    CHECK(estimateAnswers(slow, common, start + 60s).heldSeconds < 0.2);
}
