#include "Fixture.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

struct WeightsFixture : Fixture {
    WeightsFixture() { use(makeWeightsService(scheduler, log, { 10e6, 0, 2 })); }
};

TEST_CASE("transfers share one rate, the first come first served")
{
    WeightsFixture fixture;
    auto first = fixture.call("GET", "/weights/a?megabytes=20");
    auto second = fixture.call("GET", "/weights/b?megabytes=10");
    fixture.scheduler.advance(1900ms);
    CHECK_FALSE(first->hasHead);
    fixture.scheduler.advance(200ms);
    CHECK(first->json()["bytes"] == 20'000'000);
    CHECK_FALSE(second->hasHead);
    fixture.scheduler.advance(1s);
    CHECK(second->json()["name"] == "b");
    fixture.scheduler.advance(2s);
    auto served = fixture.call("GET", "/served")->json()["bytes_by_second"];
    for (const auto& bytes : served)
        CHECK(bytes.get<double>() <= 11e6);
    CHECK(fixture.countEvents("served") >= 2);
}

TEST_CASE("a full queue tells when to come back")
{
    WeightsFixture fixture;
    fixture.call("GET", "/weights/a?megabytes=20");
    fixture.call("GET", "/weights/b?megabytes=15");
    auto refused = fixture.call("GET", "/weights/c?megabytes=1");
    CHECK(refused->head.status == 429);
    CHECK(refused->header("retry-after") == "4");
    CHECK(refused->header("catkinwing-executed") == "false");
}

TEST_CASE("a transfer whose caller goes leaves the rate to the others")
{
    WeightsFixture fixture;
    auto gone = fixture.call("GET", "/weights/a?megabytes=1000");
    auto second = fixture.call("GET", "/weights/b?megabytes=10");
    fixture.scheduler.advance(1s);
    gone->goAway();
    fixture.scheduler.advance(1100ms);
    CHECK(second->head.status == 200);
    CHECK(fixture.countEvents("cancelled") == 1);
}

TEST_CASE("an idle store saves up no more than its burst")
{
    ManualScheduler scheduler;
    WeightQueue queue(scheduler, { 1000, 500, 4 });
    scheduler.advance(1h);
    bool done = false;
    REQUIRE(queue.submit(1500, [&] { done = true; }).ok());
    scheduler.advance(990ms);
    CHECK_FALSE(done);
    scheduler.advance(20ms);
    CHECK(done);
}

TEST_CASE("a wrong size is refused")
{
    WeightsFixture fixture;
    CHECK(fixture.call("GET", "/weights/a?megabytes=0")->head.status == 400);
    CHECK(fixture.call("GET", "/weights/a?megabytes=x")->head.status == 400);
    CHECK(fixture.call("GET", "/other")->head.status == 404);
}
