#include "catkinwing/Routing/OutlierDetector.h"

#include "catkinwing/Support/Random.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const TimePoint start { 1h };

static std::string nameOf(int number)
{
    return "e" + std::to_string(number);
}

static OutlierDetector makeDetector(int endpoints)
{
    OutlierDetector detector;
    for (int i = 0; i < endpoints; ++i)
        detector.add(nameOf(i), "m", "a", start);
    return detector;
}

static void recordMany(OutlierDetector& detector, int endpoint, int count, bool failed, std::optional<Duration> latency = std::nullopt, TimePoint now = start)
{
    for (int i = 0; i < count; ++i)
        detector.record({ nameOf(endpoint), "m", "a", failed, latency }, now);
}

static int countEjected(const OutlierDetector& detector, int endpoints)
{
    int count = 0;
    for (int i = 0; i < endpoints; ++i)
        count += detector.isEjected(nameOf(i)) ? 1 : 0;
    return count;
}

TEST_CASE("consecutive errors eject an endpoint, and slow start follows the ejection")
{
    OutlierDetector detector = makeDetector(6);
    recordMany(detector, 2, 4, true);
    CHECK(detector.evaluate(start).empty());
    recordMany(detector, 2, 1, true);
    std::vector<EjectionChange> changes = detector.evaluate(start);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].endpoint == "e2");
    CHECK(changes[0].cause == EjectionCause::ConsecutiveErrors);
    CHECK(changes[0].ejectedUntil == start + 10s);
    CHECK(detector.weight("e2", start) == 0);
    changes = detector.evaluate(start + 10s);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].cause);
    CHECK(detector.weight("e2", start + 10s) == Approx(0.1));
    CHECK(detector.weight("e2", start + 1min) == 1);
    CHECK(detector.weight("unknown", start) == 1);
}

TEST_CASE("endpoints that refuse connections are ejected even if none remains")
{
    OutlierDetector detector = makeDetector(2);
    auto recordRefusal = [&](int endpoint, TimePoint now) { detector.record({ nameOf(endpoint), "m", "a", true, std::nullopt, true }, now); };
    for (int endpoint : { 0, 1 }) {
        recordRefusal(endpoint, start);
        recordRefusal(endpoint, start);
    }
    CHECK(detector.evaluate(start).empty());
    recordRefusal(0, start);
    recordRefusal(1, start);
    std::vector<EjectionChange> changes = detector.evaluate(start);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].cause == EjectionCause::Unreachable);
    CHECK(changes[0].ejectedUntil == start + 1s);
    CHECK(countEjected(detector, 2) == 2);

    detector.evaluate(start + 1s);
    CHECK(countEjected(detector, 2) == 0);
    recordRefusal(0, start + 1s);
    recordMany(detector, 1, 1, false, std::nullopt, start + 1s);
    changes = detector.evaluate(start + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].endpoint == "e0");
    CHECK(changes[0].ejectedUntil == start + 3s);
    for (TimePoint now = start + 3s; now < start + 5min; now += 10s) {
        detector.evaluate(now);
        CHECK_FALSE(detector.isEjected("e0"));
        recordRefusal(0, now);
        changes = detector.evaluate(now);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].ejectedUntil <= now + 10s);
    }
}

TEST_CASE("unreachable endpoints don't count as peers of the others")
{
    OutlierDetector detector = makeDetector(6);
    for (int endpoint : { 0, 1, 2, 3 }) {
        for (int i = 0; i < 3; ++i)
            detector.record({ nameOf(endpoint), "m", "a", true, std::nullopt, true }, start);
    }
    recordMany(detector, 4, 4, true);
    CHECK(detector.evaluate(start).size() == 4);
    CHECK_FALSE(detector.isEjected("e4"));
    CHECK_FALSE(detector.isEjected("e5"));
}

TEST_CASE("ejections double up to a maximum, and healthy time reduces them again")
{
    OutlierDetector detector = makeDetector(6);
    TimePoint now = start;
    std::vector<Duration> durations;
    for (int round = 0; round < 8; ++round) {
        recordMany(detector, 0, 5, true, std::nullopt, now);
        std::vector<EjectionChange> changes = detector.evaluate(now);
        REQUIRE(changes.size() == 1);
        durations.push_back(changes[0].ejectedUntil - now);
        now = changes[0].ejectedUntil;
        detector.evaluate(now);
    }
    CHECK(durations[0] == 10s);
    CHECK(durations[1] == 20s);
    CHECK(durations[2] == 40s);
    CHECK(durations[7] == 5min);
    for (int i = 0; i < 10; ++i)
        detector.evaluate(now += 2min);
    recordMany(detector, 0, 5, true, std::nullopt, now);
    CHECK(detector.evaluate(now)[0].ejectedUntil == now + 10s);
}

TEST_CASE("a high error rate and a latency far above the peers' median eject an endpoint")
{
    OutlierDetector detector = makeDetector(8);
    for (int i = 0; i < 8; ++i)
        recordMany(detector, i, 30, false, i == 3 ? 200ms : 30ms);
    for (int i = 0; i < 60; ++i)
        recordMany(detector, 5, 1, i % 4 != 0);
    std::vector<EjectionChange> changes = detector.evaluate(start);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].endpoint == "e5");
    CHECK(changes[0].cause == EjectionCause::ErrorRate);
    CHECK(changes[1].endpoint == "e3");
    CHECK(changes[1].cause == EjectionCause::Latency);
}

TEST_CASE("a new incarnation is not ejected")
{
    OutlierDetector detector = makeDetector(6);
    recordMany(detector, 1, 5, true);
    detector.evaluate(start);
    REQUIRE(detector.isEjected("e1"));
    detector.add("e1", "m", "b", start + 1s);
    CHECK_FALSE(detector.isEjected("e1"));
}

TEST_CASE("no endpoint is ejected if most of the group are suspect")
{
    OutlierDetector detector = makeDetector(10);
    recordMany(detector, 0, 5, true);
    detector.evaluate(start);
    REQUIRE(countEjected(detector, 10) == 1);
    for (int i = 1; i < 7; ++i)
        recordMany(detector, i, 20, true);
    detector.evaluate(start + 1s);
    CHECK(countEjected(detector, 10) == 0);
}

TEST_CASE("no more than the maximum fraction of a group is ejected under random failures")
{
    constexpr std::uint64_t seed = 808;
    CAPTURE(seed);
    Random random(seed);
    int maxEjected = 0;
    for (int round = 0; round < 200; ++round) {
        auto size = static_cast<int>(1 + random.below(20));
        OutlierDetector detector = makeDetector(size);
        for (int step = 0; step < 50; ++step) {
            TimePoint now = start + step * 1s;
            auto endpoint = static_cast<int>(random.below(static_cast<std::uint64_t>(size)));
            recordMany(detector, endpoint, static_cast<int>(random.below(8)), random.below(2) == 0, random.below(500) * 1ms, now);
            detector.evaluate(now);
            int ejected = countEjected(detector, size);
            REQUIRE(ejected <= 0.34 * size);
            maxEjected = std::max(maxEjected, ejected);
        }
    }
    CHECK(maxEjected >= 3);
}
