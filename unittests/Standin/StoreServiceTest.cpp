#include "Fixture.h"
#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

static std::string encoded(const std::string& text)
{
    return absl::Base64Escape(text);
}

static std::shared_ptr<FakeResponder> put(Fixture& fixture, const std::string& key, const std::string& value, const nlohmann::json& more = nlohmann::json::object())
{
    nlohmann::json body = { { "key", encoded(key) }, { "value", encoded(value) } };
    body.update(more);
    return fixture.call("POST", "/v3/kv/put", body.dump());
}

static nlohmann::json createOnly(const std::string& key, const std::string& value)
{
    return {
        { "compare", { { { "key", encoded(key) }, { "target", "CREATE" }, { "result", "EQUAL" }, { "create_revision", "0" } } } },
        { "success", { { { "request_put", { { "key", encoded(key) }, { "value", encoded(value) } } } } } },
        { "failure", { { { "request_range", { { "key", encoded(key) } } } } } },
    };
}

struct StoreFixture : Fixture {
    StoreFixture() { use(makeStoreService(scheduler, log, {})); }
};

TEST_CASE("the gateway writes integers as text and leaves defaults out")
{
    StoreFixture fixture;
    auto first = put(fixture, "a", "1")->json();
    CHECK(first["header"]["revision"] == "2");
    CHECK_FALSE(first.contains("prev_kv"));
    auto range = fixture.call("POST", "/v3/kv/range", nlohmann::json { { "key", encoded("a") } }.dump())->json();
    CHECK(range["count"] == "1");
    CHECK(range["kvs"][0]["mod_revision"] == "2");
    CHECK(range["kvs"][0]["value"] == encoded("1"));
    auto absent = fixture.call("POST", "/v3/kv/range", nlohmann::json { { "key", encoded("b") } }.dump())->json();
    CHECK_FALSE(absent.contains("kvs"));
    CHECK_FALSE(absent.contains("count"));
}

TEST_CASE("a transaction over the gateway takes its branch")
{
    StoreFixture fixture;
    auto won = fixture.call("POST", "/v3/kv/txn", createOnly("a", "1").dump())->json();
    CHECK(won["succeeded"] == true);
    CHECK(won["responses"][0].contains("response_put"));
    auto lost = fixture.call("POST", "/v3/kv/txn", createOnly("a", "2").dump())->json();
    CHECK_FALSE(lost.contains("succeeded"));
    CHECK(lost["responses"][0]["response_range"]["kvs"][0]["value"] == encoded("1"));
    CHECK(fixture.countEvents("finished") == 2);
}

TEST_CASE("malformed calls are answered with the gateway's errors")
{
    StoreFixture fixture;
    CHECK(fixture.call("POST", "/v3/kv/put", "{\"key\":\"***\"}")->head.status == 400);
    CHECK(fixture.call("POST", "/v3/kv/put", "[")->head.status == 400);
    CHECK(fixture.call("POST", "/v3/kv/range", "{\"key\":\"YQ==\",\"revision\":\"1\"}")->head.status == 501);
    CHECK(fixture.call("POST", "/v3/kv/unknown", "{}")->head.status == 404);
    auto error = put(fixture, "", "1")->json();
    CHECK(error["code"] == 3);
    CHECK(error["message"] == "etcdserver: key is not provided");
}

TEST_CASE("leases lapse on the clock and their keys are seen to go")
{
    StoreFixture fixture;
    auto grant = fixture.call("POST", "/v3/lease/grant", R"({"TTL":"5"})")->json();
    std::string lease = grant["ID"];
    put(fixture, "held", "1", { { "lease", lease } });
    auto watch = fixture.call("POST", "/v3/watch", nlohmann::json { { "create_request", { { "key", encoded("held") } } } }.dump());
    fixture.scheduler.advance(4s);
    auto renewed = fixture.call("POST", "/v3/lease/keepalive", nlohmann::json { { "ID", lease } }.dump())->json();
    CHECK(renewed["result"]["TTL"] == "5");
    fixture.scheduler.advance(4s);
    CHECK(watch->writes.size() == 1);
    fixture.scheduler.advance(1s);
    REQUIRE(watch->writes.size() == 2);
    CHECK(nlohmann::json::parse(watch->writes[1])["result"]["events"][0]["type"] == "DELETE");
    auto late = fixture.call("POST", "/v3/lease/keepalive", nlohmann::json { { "ID", lease } }.dump())->json();
    CHECK_FALSE(late["result"].contains("TTL"));
    auto gone = fixture.call("POST", "/v3/lease/timetolive", nlohmann::json { { "ID", lease } }.dump())->json();
    CHECK(gone["TTL"] == "-1");
}

TEST_CASE("a watch streams one object a line and ends with its caller")
{
    StoreFixture fixture;
    put(fixture, "a", "1");
    nlohmann::json create = { { "key", encoded("a") }, { "start_revision", "2" }, { "prev_kv", true } };
    auto watch = fixture.call("POST", "/v3/watch", nlohmann::json { { "create_request", create } }.dump());
    put(fixture, "a", "2");
    REQUIRE(watch->writes.size() == 3);
    CHECK(nlohmann::json::parse(watch->writes[0])["result"]["created"] == true);
    CHECK(nlohmann::json::parse(watch->writes[1])["result"]["header"]["revision"] == "2");
    auto event = nlohmann::json::parse(watch->writes[2])["result"]["events"][0];
    CHECK(event["kv"]["value"] == encoded("2"));
    CHECK(event["prev_kv"]["value"] == encoded("1"));
    CHECK(watch->writes[2].back() == '\n');
    CHECK(fixture.call("GET", "/standin/counters")->json()["open_watches"] == 1);
    watch->goAway();
    CHECK(fixture.call("GET", "/standin/counters")->json()["open_watches"] == 0);
}

TEST_CASE("a watch from a compacted revision is cancelled with that revision")
{
    StoreFixture fixture;
    put(fixture, "a", "1");
    put(fixture, "a", "2");
    fixture.call("POST", "/v3/kv/compaction", R"({"revision":"3"})");
    nlohmann::json create = { { "key", encoded("a") }, { "start_revision", "2" } };
    auto watch = fixture.call("POST", "/v3/watch", nlohmann::json { { "create_request", create } }.dump());
    REQUIRE(watch->writes.size() == 2);
    auto last = nlohmann::json::parse(watch->writes[1])["result"];
    CHECK(last["canceled"] == true);
    CHECK(last["compact_revision"] == "3");
    CHECK(watch->isFinished);
}

TEST_CASE("a write whose answer is lost has taken effect")
{
    StoreFixture fixture;
    fixture.setFaults({ { "loseAnswer", { { "times", 1 }, { "path", "/v3/kv/txn" } } } });
    auto lost = fixture.call("POST", "/v3/kv/txn", createOnly("a", "1").dump());
    CHECK(lost->isAborted);
    CHECK_FALSE(lost->hasHead);
    auto again = fixture.call("POST", "/v3/kv/txn", createOnly("a", "2").dump())->json();
    CHECK(again["responses"][0]["response_range"]["kvs"][0]["value"] == encoded("1"));
}

TEST_CASE("a read-only store refuses writes and serves reads")
{
    StoreFixture fixture;
    put(fixture, "a", "1");
    fixture.setFaults({ { "readOnly", true } });
    CHECK(put(fixture, "a", "2")->head.status == 429);
    auto range = fixture.call("POST", "/v3/kv/range", nlohmann::json { { "key", encoded("a") } }.dump())->json();
    CHECK(range["kvs"][0]["value"] == encoded("1"));
}

TEST_CASE("calls are counted by kind and role, a waiting watch as one")
{
    StoreFixture fixture;
    HttpHeaders entry { { "Catkinwing-Role", "entry" } };
    fixture.call("POST", "/v3/kv/range", R"({"key":"YQ=="})", entry);
    fixture.call("POST", "/v3/watch", R"({"create_request":{"key":"YQ=="}})", entry);
    put(fixture, "a", "1");
    fixture.scheduler.advance(60s);
    auto counters = fixture.call("GET", "/standin/counters")->json();
    CHECK(counters["total"] == 3);
    CHECK(counters["by_kind"]["watch"] == 1);
    CHECK(counters["by_role"]["entry"]["range"] == 1);
    CHECK_FALSE(counters["by_role"]["entry"].contains("put"));
}
