#include "catkinwing/Reporting/ServiceLevel.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const ServiceLevelKey key { "fitters", "short" };

TEST_CASE("each window counts only what falls into it")
{
    WindowedCounts counts;
    TimePoint start {};
    counts.record(false, start);
    counts.record(true, start + 30min);
    counts.record(true, start + 59min);
    TimePoint now = start + 59min;
    CHECK(counts.counts(0, now).total() == 1);
    CHECK(counts.counts(1, now).good == 2);
    CHECK(counts.counts(1, now).bad == 1);
    CHECK(counts.counts(1, start + 61min).bad == 0);
    CHECK(counts.counts(3, start + 23h).total() == 3);
    CHECK(counts.counts(3, start + 50h).total() == 0);
}

TEST_CASE("burn is the missed fraction over the allowed one")
{
    CHECK(burnRate({ 95, 5 }, 0.95) == Approx(1.0));
    CHECK(burnRate({ 80, 20 }, 0.95) == Approx(4.0));
    CHECK(burnRate({ 0, 0 }, 0.95) == 0);
}

TEST_CASE("service levels survive their JSON form")
{
    ServiceLevelRecorder recorder;
    recorder.record(key, 0.95, true, TimePoint {} + 1s);
    recorder.record(key, 0.95, false, TimePoint {} + 2s);
    auto read = serviceLevelLinesFromJson(toJson(recorder.lines(TimePoint {} + 3s)));
    REQUIRE(read.ok());
    REQUIRE(read->size() == 1);
    CHECK(read->front().key.team == "fitters");
    CHECK(read->front().windows[0].good == 1);
    CHECK(read->front().windows[0].bad == 1);
}

TEST_CASE("service levels that are not as written are refused")
{
    CHECK_FALSE(serviceLevelLinesFromJson(nlohmann::json::parse(R"([{"team":"a"}])")).ok());
    CHECK_FALSE(serviceLevelLinesFromJson(nlohmann::json::parse(R"([{"team":"a","class":"b","targetRatio":0.9,"windows":[]}])")).ok());
}

TEST_CASE("the number of service levels is bounded")
{
    ServiceLevelRecorder recorder;
    for (std::size_t i = 0; i < ServiceLevelRecorder::maxKeys + 5; ++i)
        recorder.record({ std::to_string(i), "short" }, 0.9, true, TimePoint {});
    CHECK(recorder.lines(TimePoint {}).size() == ServiceLevelRecorder::maxKeys);
    CHECK(recorder.dropped() == 5);
}
