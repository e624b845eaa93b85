#include "Fixture.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

static std::string instance(const std::string& node, const std::string& state, const std::string& status = "passing")
{
    return nlohmann::json {
        { "Node", node },
        { "Address", "127.0.0.1" },
        { "Service", { { "Service", "engine" }, { "Port", 8080 }, { "Tags", { "zone-a" } }, { "Meta", { { "state", state }, { "incarnation", "i-1" } } } } },
        { "Check", { { "Status", status } } },
    }
        .dump();
}

struct DirectoryFixture : Fixture {
    explicit DirectoryFixture(Duration lag = {}) { use(makeDirectoryService(scheduler, log, lag)); }

    nlohmann::json health(const std::string& query = "") { return call("GET", "/v1/health/service/engine" + query)->json(); }
};

TEST_CASE("a registered service is listed with its meta until it is removed")
{
    DirectoryFixture fixture;
    CHECK(fixture.call("PUT", "/v1/catalog/register", instance("n1", "live"))->json() == true);
    auto entry = fixture.health()[0];
    CHECK(entry["Service"]["Meta"]["state"] == "live");
    CHECK(entry["Service"]["ID"] == "engine");
    CHECK(entry["Checks"][0]["Status"] == "passing");
    auto catalog = fixture.call("GET", "/v1/catalog/service/engine")->json();
    CHECK(catalog[0]["ServicePort"] == 8080);
    CHECK(catalog[0]["ServiceMeta"]["incarnation"] == "i-1");
    fixture.call("PUT", "/v1/catalog/deregister", R"({"Node":"n1","ServiceID":"engine"})");
    CHECK(fixture.health().empty());
}

TEST_CASE("the passing filter leaves failing services out")
{
    DirectoryFixture fixture;
    fixture.call("PUT", "/v1/catalog/register", instance("n1", "live"));
    fixture.call("PUT", "/v1/catalog/register", instance("n2", "live", "critical"));
    CHECK(fixture.health().size() == 2);
    CHECK(fixture.health("?passing").size() == 1);
    CHECK(fixture.health("?tag=zone-b").empty());
}

TEST_CASE("a blocking query answers at the next change or when its wait ends")
{
    DirectoryFixture fixture;
    fixture.call("PUT", "/v1/catalog/register", instance("n1", "live"));
    std::string index = fixture.call("GET", "/v1/health/service/engine")->header("X-Consul-Index");
    auto changed = fixture.call("GET", "/v1/health/service/engine?wait=60s&index=" + index);
    auto waited = fixture.call("GET", "/v1/health/service/engine?wait=10s&index=" + index);
    fixture.scheduler.advance(9s);
    CHECK_FALSE(waited->hasHead);
    fixture.scheduler.advance(1s);
    CHECK(waited->header("X-Consul-Index") == index);
    CHECK_FALSE(changed->hasHead);
    fixture.call("PUT", "/v1/catalog/register", R"({"Node":"n9","Service":{"Service":"other"}})");
    CHECK_FALSE(changed->hasHead);
    fixture.call("PUT", "/v1/catalog/register", instance("n1", "leaving"));
    REQUIRE(changed->hasHead);
    CHECK(changed->header("X-Consul-Index") != index);
    CHECK(changed->json()[0]["Service"]["Meta"]["state"] == "leaving");
}

TEST_CASE("a lagging directory shows a change only after the lag")
{
    DirectoryFixture fixture(5s);
    fixture.call("PUT", "/v1/catalog/register", instance("n1", "live"));
    fixture.scheduler.advance(5s);
    std::string index = fixture.call("GET", "/v1/health/service/engine")->header("X-Consul-Index");
    fixture.call("PUT", "/v1/catalog/register", instance("n1", "leaving"));
    auto waiting = fixture.call("GET", "/v1/health/service/engine?index=" + index);
    fixture.scheduler.advance(4900ms);
    CHECK(fixture.health()[0]["Service"]["Meta"]["state"] == "live");
    CHECK_FALSE(waiting->hasHead);
    fixture.scheduler.advance(100ms);
    CHECK(waiting->json()[0]["Service"]["Meta"]["state"] == "leaving");
}

TEST_CASE("the agent's registrations are removed by their id")
{
    DirectoryFixture fixture;
    fixture.call("PUT", "/v1/agent/service/register", R"({"ID":"e1","Name":"engine","Port":1})");
    CHECK(fixture.health().size() == 1);
    fixture.call("PUT", "/v1/agent/service/deregister/e1");
    CHECK(fixture.health().empty());
}

TEST_CASE("malformed registrations and queries are refused")
{
    DirectoryFixture fixture;
    CHECK(fixture.call("PUT", "/v1/catalog/register", "{}")->head.status == 400);
    CHECK(fixture.call("PUT", "/v1/catalog/register", R"({"Node":"n","Service":{"Service":"s","Meta":{"a":1}}})")->head.status == 400);
    CHECK(fixture.call("GET", "/v1/health/service/engine?index=x")->head.status == 400);
    CHECK(fixture.call("GET", "/v1/health/service/engine?index=1&wait=soon")->head.status == 400);
    CHECK(fixture.call("PUT", "/v1/unknown", "{}")->head.status == 404);
}
