#include "Fixture.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

TEST_CASE("each call of a plain service is one more execution")
{
    Fixture fixture;
    fixture.use(makePlainService(fixture.scheduler, fixture.log, { "bookings", 0s }));
    CHECK(fixture.call("GET", "/a")->json()["execution"] == 1);
    auto second = fixture.call("POST", "/b", "marker=VALLE-2")->json();
    CHECK(second == nlohmann::json { { "service", "bookings" }, { "method", "POST" }, { "path", "/b" }, { "body_bytes", 14 }, { "marker", "VALLE-2" }, { "execution", 2 } });
    CHECK(fixture.call("GET", "/standin/counters")->json()["executions"] == 2);
}

TEST_CASE("an execution goes on when its caller has gone")
{
    Fixture fixture;
    fixture.use(makePlainService(fixture.scheduler, fixture.log, { "bookings", 2s }));
    auto call = fixture.call("POST", "/a");
    CHECK(fixture.countEvents("started") == 1);
    call->goAway();
    fixture.scheduler.advance(2s);
    CHECK(fixture.countEvents("finished") == 1);
}
