#include "Fixture.h"
#include "catkinwing/Standin/FaultyResponder.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

struct PlainFixture : Fixture {
    PlainFixture() { use(makePlainService(scheduler, log, { "bookings", {} })); }
};

TEST_CASE("fault switches are read and written in one form")
{
    nlohmann::json document = {
        { "down", true },
        { "delay", { { "value", "250ms" }, { "probability", 0.5 }, { "times", 3 }, { "path", "/a" } } },
        { "cutAfterBytes", 100 },
        { "garbage", "json" },
        { "slow", 2.5 },
        { "blockFrom", { "entry-1" } },
    };
    auto settings = parseFaults(document);
    REQUIRE(settings.ok());
    CHECK(settings->delay->value == 250ms);
    CHECK(settings->delay->trigger.times == 3);
    auto again = parseFaults(faultsToJson(*settings));
    REQUIRE(again.ok());
    CHECK(faultsToJson(*again) == faultsToJson(*settings));
    CHECK_FALSE(settings->hang);
}

TEST_CASE("a wrong fault switch is refused and changes nothing")
{
    PlainFixture fixture;
    fixture.setFaults({ { "refuse", true } });
    auto wrong = GENERATE(R"({"dwon":true})", R"({"down":3})", R"({"delay":"soon"})", R"({"garbage":"xml"})",
        R"({"slow":0})", R"({"down":{"probability":2}})", R"({"down":{"often":1}})", R"({"blockFrom":"a"})", R"({"cutAfterEvents":0})", "[]");
    CHECK(fixture.call("PUT", "/standin/faults", wrong)->head.status == 400);
    CHECK(fixture.call("GET", "/standin/faults")->json().contains("refuse"));
}

TEST_CASE("a fault strikes as often as it was told to")
{
    PlainFixture fixture;
    fixture.setFaults({ { "refuse", { { "times", 2 }, { "path", "/booking" } } } });
    CHECK(fixture.call("POST", "/other")->head.status == 200);
    auto refused = fixture.call("POST", "/bookings/1");
    CHECK(refused->head.status == 503);
    CHECK(refused->header("catkinwing-executed") == "false");
    CHECK(refused->header("retry-after") == "1");
    CHECK(fixture.call("POST", "/bookings/1")->head.status == 503);
    CHECK(fixture.call("POST", "/bookings/1")->head.status == 200);
    CHECK(fixture.countEvents("started") == 2);
}

TEST_CASE("the same seed draws the same faults")
{
    auto run = [](std::uint64_t seed) {
        Fixture fixture(seed);
        fixture.use(makePlainService(fixture.scheduler, fixture.log, {}));
        fixture.setFaults({ { "refuse", { { "probability", 0.5 } } } });
        std::string statuses;
        for (int i = 0; i < 64; ++i)
            statuses += fixture.call("GET", "/")->head.status == 503 ? 'x' : '.';
        return statuses;
    };
    CHECK(run(7) == run(7));
    CHECK(run(7) != run(8));
    CHECK(run(7).find('x') != std::string::npos);
    CHECK(run(7).find('.') != std::string::npos);
}

TEST_CASE("a stand-in that is down or cut off does nothing")
{
    PlainFixture fixture;
    SECTION("down")
    {
        fixture.setFaults({ { "down", true } });
        CHECK(fixture.call("POST", "/a")->isAborted);
    }
    SECTION("cut off from one process")
    {
        fixture.setFaults({ { "blockFrom", { "entry-1" } } });
        CHECK(fixture.call("POST", "/a", "", { { "Catkinwing-From", "entry-1" } })->isAborted);
        CHECK(fixture.countEvents("started") == 0);
        CHECK(fixture.call("POST", "/a", "", { { "Catkinwing-From", "entry-2" } })->head.status == 200);
        return;
    }
    CHECK(fixture.countEvents("started") == 0);
}

TEST_CASE("a hanging stand-in answers nobody")
{
    PlainFixture fixture;
    fixture.setFaults({ { "hang", { { "times", 1 } } } });
    auto hanging = fixture.call("POST", "/a");
    fixture.scheduler.advance(1h);
    CHECK(hanging->isOpen());
    CHECK_FALSE(hanging->hasHead);
    hanging->goAway();
    CHECK(fixture.countEvents("cancelled") == 1);
    CHECK(fixture.countEvents("started") == 0);
}

TEST_CASE("a delayed request takes effect late")
{
    PlainFixture fixture;
    fixture.setFaults({ { "delay", "250ms" } });
    auto late = fixture.call("POST", "/a");
    fixture.scheduler.advance(249ms);
    CHECK(fixture.countEvents("started") == 0);
    fixture.scheduler.advance(1ms);
    CHECK(late->head.status == 200);
}

TEST_CASE("a lost answer leaves the execution in the log")
{
    PlainFixture fixture;
    fixture.setFaults({ { "loseAnswer", true } });
    auto lost = fixture.call("POST", "/a", "marker=SWAN-1");
    CHECK(lost->isAborted);
    CHECK_FALSE(lost->hasHead);
    CHECK(fixture.countEvents("finished") == 1);
    CHECK(fixture.countEvents("cut") == 1);
}

TEST_CASE("a garbage answer says JSON and is none")
{
    PlainFixture fixture;
    fixture.setFaults({ { "garbage", "json" } });
    auto spoiled = fixture.call("POST", "/a");
    CHECK(spoiled->header("content-type") == "application/json");
    CHECK_FALSE(nlohmann::json::accept(spoiled->body));
    CHECK(fixture.countEvents("finished") == 1);
}

TEST_CASE("a fault that HTTP can't express is refused by name")
{
    PlainFixture fixture;
    auto fault = GENERATE(R"({"garbage":"http"})", R"({"leftover":"tail"})");
    auto refused = fixture.call("PUT", "/standin/faults", fault);
    CHECK(refused->head.status == 400);
    CHECK(refused->json()["error"].get<std::string>().find("raw stand-in") != std::string::npos);
}

TEST_CASE("an answer is cut after the bytes that were allowed")
{
    auto inner = std::make_shared<FakeResponder>();
    FaultPlan plan;
    plan.cutAfterBytes = 5;
    int cuts = 0;
    int closed = 0;
    auto responder = makeFaultyResponder(inner, plan, [&] { ++cuts; });
    responder->onClosed([&] { ++closed; });
    responder->sendHead({ 200, {} });
    responder->write("abc");
    CHECK(cuts == 0);
    inner->pending = 5;
    responder->write("defgh");
    CHECK(inner->body == "abcde");
    CHECK(cuts == 1);
    CHECK_FALSE(inner->isAborted);
    CHECK_FALSE(responder->isOpen());
    inner->drain();
    CHECK(inner->isAborted);
    CHECK(closed == 1);
    responder->write("more");
    responder->finish();
    CHECK(inner->body == "abcde");
    CHECK_FALSE(inner->isFinished);
}
