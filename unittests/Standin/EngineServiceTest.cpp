#include "Fixture.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

static EngineServiceSettings settings()
{
    EngineServiceSettings result;
    result.engine.slots = 1;
    result.engine.maxWaiting = 1;
    result.incarnation = "i-1";
    return result;
}

struct EngineFixture : Fixture {
    explicit EngineFixture(EngineServiceSettings used = settings(), WeightFetcher fetcher = nullptr)
    {
        use(makeEngineService(scheduler, log, std::move(used), std::move(fetcher)));
    }

    std::shared_ptr<FakeResponder> chat(bool isStream, HttpHeaders headers = {}, int maxTokens = 4)
    {
        nlohmann::json body = {
            { "model", "m" },
            { "stream", isStream },
            { "max_tokens", maxTokens },
            { "messages", { { { "role", "system" }, { "content", "You fit shoes. " } }, { { "role", "user" }, { "content", "marker=CALDAS-3" } } } },
        };
        return call("POST", "/v1/chat/completions", body.dump(), std::move(headers));
    }
    std::string order(int fencing, const std::vector<std::string>& adapters)
    {
        nlohmann::json body = { { "fencing", fencing }, { "desired", { { "models", { "m" } }, { "adapters", adapters }, { "role", "decode" } } } };
        return std::to_string(call("POST", "/admin/orders", body.dump())->head.status);
    }
};

static nlohmann::json eventOf(const std::string& write)
{
    return nlohmann::json::parse(write.substr(std::string("data: ").size()));
}

TEST_CASE("a whole answer begins with the caller's marker")
{
    EngineFixture fixture;
    auto answer = fixture.chat(false);
    fixture.scheduler.advance(5s);
    auto body = answer->json();
    CHECK(absl::StartsWith(body["choices"][0]["message"]["content"].get<std::string>(), "CALDAS-3 "));
    CHECK(body["usage"]["completion_tokens"] == 4);
    CHECK(fixture.countEvents("received") == 1);
    CHECK(fixture.countEvents("started") == 1);
    CHECK(fixture.countEvents("finished") == 1);
}

TEST_CASE("a stream has an event for each token and ends with DONE")
{
    EngineFixture fixture;
    auto stream = fixture.chat(true);
    auto whole = fixture.chat(false);
    fixture.scheduler.advance(5s);
    CHECK(stream->header("content-type") == "text/event-stream");
    REQUIRE(stream->writes.size() == 6);
    std::string text;
    for (std::size_t i = 0; i < 4; ++i)
        text += eventOf(stream->writes[i])["choices"][0]["delta"]["content"];
    CHECK(text == whole->json()["choices"][0]["message"]["content"]);
    CHECK(eventOf(stream->writes[4])["choices"][0]["finish_reason"] == "length");
    CHECK(stream->writes[5] == "data: [DONE]\n\n");
    CHECK(stream->isFinished);
}

TEST_CASE("a cut stream and its resumption make up the whole one")
{
    EngineFixture fixture;
    auto whole = fixture.chat(true);
    fixture.scheduler.advance(5s);
    fixture.setFaults({ { "cutAfterEvents", { { "value", 2 }, { "times", 1 } } } });
    auto cut = fixture.chat(true);
    fixture.scheduler.advance(5s);
    CHECK(cut->isAborted);
    REQUIRE(cut->writes.size() == 2);
    CHECK(fixture.countEvents("cut") == 1);
    EngineFixture other;
    auto rest = other.chat(true, { { "Catkinwing-Resume-From", "2" } });
    other.scheduler.advance(5s);
    CHECK(absl::StrCat(cut->body, rest->body) == whole->body);
}

TEST_CASE("a caller that goes frees the slot")
{
    EngineFixture fixture;
    auto gone = fixture.chat(true, {}, 100'000);
    fixture.scheduler.advance(1s);
    auto waiting = fixture.chat(false);
    fixture.scheduler.advance(1s);
    CHECK_FALSE(waiting->hasHead);
    gone->goAway();
    fixture.scheduler.advance(5s);
    CHECK(waiting->head.status == 200);
    CHECK(fixture.countEvents("cancelled") == 1);
}

TEST_CASE("a request is cancelled by its id")
{
    EngineFixture fixture;
    auto stream = fixture.chat(true, { { "Catkinwing-Request-Id", "r-1" } }, 100'000);
    fixture.scheduler.advance(1s);
    CHECK(fixture.call("POST", "/v1/cancel", R"({"request_id":"r-2"})")->json()["cancelled"] == 0);
    CHECK(fixture.call("POST", "/v1/cancel", R"({"request_id":"r-1"})")->json()["cancelled"] == 1);
    CHECK(stream->isAborted);
    CHECK(fixture.countEvents("cancelled") == 1);
}

TEST_CASE("what the engine refuses it says it did not run")
{
    EngineFixture fixture;
    SECTION("a full queue")
    {
        auto running = fixture.chat(true, {}, 100'000);
        fixture.scheduler.advance(1s);
        auto waiting = fixture.chat(true);
        auto refused = fixture.chat(true);
        CHECK(refused->head.status == 429);
        CHECK(refused->header("catkinwing-executed") == "false");
        CHECK(refused->header("retry-after") == "1");
        CHECK(fixture.countEvents("started") == 1);
    }
    SECTION("a model that is not loaded")
    {
        CHECK(fixture.order(1, {}) == "200");
        auto refused = fixture.call("POST", "/v1/completions", R"({"model":"other","prompt":"x"})");
        CHECK(refused->head.status == 404);
        CHECK(refused->header("catkinwing-executed") == "false");
    }
    SECTION("a body that is no request")
    {
        CHECK(fixture.call("POST", "/v1/chat/completions", R"({"messages":3})")->head.status == 400);
        CHECK(fixture.call("POST", "/v1/completions", R"({"prompt":"x","max_tokens":-1})")->head.status == 400);
    }
}

TEST_CASE("a leaving engine finishes its streams and takes no new work")
{
    EngineFixture fixture;
    auto stream = fixture.chat(true, {}, 100);
    fixture.scheduler.advance(100ms);
    fixture.setFaults({ { "leaving", true } });
    auto refused = fixture.chat(false);
    CHECK(refused->head.status == 503);
    CHECK(refused->header("catkinwing-executed") == "false");
    auto health = fixture.call("GET", "/health");
    CHECK(health->head.status == 503);
    CHECK(health->json() == nlohmann::json { { "state", "leaving" }, { "incarnation", "i-1" } });
    fixture.scheduler.advance(10s);
    CHECK(stream->isFinished);
}

TEST_CASE("a lost answer of a completion leaves the work running to its end")
{
    EngineFixture fixture;
    fixture.setFaults({ { "loseAnswer", true } });
    auto lost = fixture.chat(true);
    fixture.scheduler.advance(5s);
    CHECK(lost->isAborted);
    CHECK_FALSE(lost->hasHead);
    CHECK(fixture.countEvents("finished") == 1);
    CHECK(fixture.countEvents("cancelled") == 0);
}

TEST_CASE("an engine honours fencing numbers only if it is told to")
{
    EngineServiceSettings used = settings();
    used.honoursFencing = GENERATE(true, false);
    EngineFixture fixture(used);
    CHECK(fixture.order(5, { "new" }) == "200");
    CHECK(fixture.order(4, { "old" }) == (used.honoursFencing ? "409" : "200"));
    auto state = fixture.call("GET", "/admin/state")->json();
    CHECK(state["fencing"] == (used.honoursFencing ? 5 : 4));
    CHECK(state["adapters"] == nlohmann::json { used.honoursFencing ? "new" : "old" });
    CHECK(state["role"] == "decode");
    CHECK(fixture.countEvents("finished") == (used.honoursFencing ? 1 : 2));
}

TEST_CASE("an adapter serves once its weight has been fetched")
{
    std::function<void(const WeightFetchResult&)> answer;
    int fetches = 0;
    EngineFixture fixture(settings(), [&](const std::string& adapter, std::function<void(const WeightFetchResult&)> done) {
        CHECK(adapter == "shoes");
        ++fetches;
        answer = std::move(done);
    });
    CHECK(fixture.order(1, { "shoes" }) == "200");
    CHECK(fixture.order(2, { "shoes" }) == "200");
    CHECK(fetches == 1);
    CHECK(fixture.call("GET", "/admin/state")->json()["adapters"].empty());
    answer({ absl::UnavailableError("busy"), 3s });
    fixture.scheduler.advance(2s);
    CHECK(fetches == 1);
    fixture.scheduler.advance(1s);
    CHECK(fetches == 2);
    answer({});
    CHECK(fixture.call("GET", "/admin/state")->json()["adapters"] == nlohmann::json { "shoes" });
    CHECK(fixture.call("GET", "/v1/models")->json()["data"].size() == 2);
}

TEST_CASE("the load and the cache events are served as documents")
{
    EngineFixture fixture;
    fixture.call("POST", "/v1/completions", nlohmann::json { { "prompt", std::string(600, 'a') }, { "max_tokens", 1 } }.dump());
    fixture.scheduler.advance(5s);
    auto load = fixture.call("GET", "/load")->json();
    CHECK(load["slots"] == 1);
    CHECK(load["cached_blocks"] == 2);
    auto events = fixture.call("GET", "/cache_events?after=0")->json();
    CHECK(events["next"] == 2);
    CHECK(events["events"][0]["kind"] == "stored");
    CHECK(events["events"][0]["hashes"][0].get<std::string>().size() == 16);
    CHECK(fixture.call("GET", "/cache_events?after=1")->json()["events"].empty());
}
