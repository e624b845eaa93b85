#include "platform/Documents.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

static constexpr const char* configuration = R"({"version":7,
 "routes":[
  {"name":"r1","host":"a.example","prefix":"/x/","kind":"streaming","timeout_ms":4000,"latency_target_ms":1200,"priority":2,
   "service":"s1","attempts":3,"affinity":true,"resumable":true,"gap_aim_ms":300,"home_regions":["north","south"]},
  {"name":"r2","host":"a.example","prefix":"/y/","kind":"something new","timeout_ms":100,"attempts":1,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"home_regions":[]}],
 "services":[
  {"name":"s1","health_path":"/h","max_conns":360,"warmup_s":2.5,"cold_per_s":9.7,"engine":{"slots":64,"kv_capacity":354318}},
  {"name":"s2","health_path":"/h","max_conns":100,"warmup_s":0.0,"cold_per_s":0.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

TEST_CASE("readRouteTable reads routes, services and limits")
{
    ConfigResult<RouteTable> table = readRouteTable(configuration);
    REQUIRE(table.ok());
    CHECK(table.document->version() == 7);
    CHECK(table.document->limits().maxBodyBytes == 1000);
    const Route* first = table.document->find("a.example", "/x/1");
    REQUIRE(first);
    CHECK(first->kind == RequestKind::Streaming);
    CHECK(first->timeout == 4s);
    CHECK(first->latencyTarget == 1200ms);
    CHECK(first->eventPause == 300ms);
    CHECK(first->priority == 2);
    CHECK(first->attempts == 3);
    CHECK(first->isResumable);
    CHECK(first->hasPromptAffinity);
    CHECK(first->homeRegions == std::vector<std::string> { "north", "south" });
    const Route* second = table.document->find("a.example", "/y/1");
    REQUIRE(second);
    CHECK(second->kind == RequestKind::NonIdempotent);
    REQUIRE(second->services.size() == 2);
    CHECK(second->services[0].weight == 90);
    const ServiceSettings* service = table.document->findService("s1");
    REQUIRE(service);
    CHECK(service->warmup == 2500ms);
    CHECK(service->coldRequestsPerSecond == Approx(9.7));
    CHECK(service->slots == 64);
    CHECK(service->memoryTokens == 354318);
}

TEST_CASE("readRouteTable rejects an invalid configuration and reports the location of every fault")
{
    ConfigResult<RouteTable> table = readRouteTable(R"({"routes":[{"prefix":"x","service":"s","timeout_ms":1},{"prefix":"/","timeout_ms":0}]})");
    CHECK_FALSE(table.ok());
    std::vector<std::string> pointers;
    for (const ConfigFault& fault : table.faults)
        pointers.push_back(fault.pointer);
    CHECK(pointers == std::vector<std::string> { "/routes/0/prefix", "/routes/1/timeout_ms", "/routes/1/service", "/version" });
    CHECK_FALSE(readRouteTable("nonsense").ok());
    CHECK_FALSE(readRouteTable("[]").ok());
}

TEST_CASE("readEndpoint reads the fields and the state of a registration")
{
    absl::StatusOr<EndpointRecord> record = readEndpoint("i-1", R"({"service":"s","addr":"10.1.2.3:80","zone":"z","version":"v1","slots":64,"state":"draining","warmup_ms":1500,"remaining_ms":900,"seq":4})");
    REQUIRE(record.ok());
    CHECK(record->incarnation == "i-1");
    CHECK(record->service == "s");
    CHECK(record->softwareVersion == "v1");
    CHECK(record->availabilityZone == "z");
    CHECK(record->address.toString() == "10.1.2.3:80");
    CHECK(record->isLeaving);
    CHECK(record->coldFor == 1500ms);
    CHECK(record->terminatesIn == 900ms);
    CHECK_FALSE(record->startedAt);
    CHECK_FALSE(readEndpoint("i-1", R"({"service":"s","addr":"nowhere"})").ok());
    CHECK_FALSE(readEndpoint("i-1", "{").ok());
}

TEST_CASE("readEndpoint rejects a registration with a missing field, a field of another type or an unknown state")
{
    const nlohmann::json valid = { { "service", "s" }, { "addr", "10.1.2.3:80" }, { "zone", "z" }, { "version", "v1" }, { "slots", 64 },
        { "state", "ready" }, { "warmup_ms", 0 }, { "seq", 4 }, { "born", 1'790'000'000'000 } };
    absl::StatusOr<EndpointRecord> record = readEndpoint("i-1", valid.dump());
    REQUIRE(record.ok());
    CHECK(record->startedAt == 1'790'000'000'000ms);
    for (const char* field : { "service", "addr", "zone", "version", "slots", "state", "warmup_ms", "seq" }) {
        CAPTURE(field);
        nlohmann::json incomplete = valid;
        incomplete.erase(field);
        CHECK_FALSE(readEndpoint("i-1", incomplete.dump()).ok());
    }
    for (const char* field : { "service", "addr", "zone", "version", "slots", "state", "warmup_ms", "seq", "born" }) {
        CAPTURE(field);
        nlohmann::json changed = valid;
        changed[field] = nlohmann::json::array({ 1 });
        CHECK_FALSE(readEndpoint("i-1", changed.dump()).ok());
        changed[field] = nullptr;
        CHECK(readEndpoint("i-1", changed.dump()).ok() == (std::string(field) == "born"));
    }
    nlohmann::json unknownState = valid;
    unknownState["state"] = "resting";
    CHECK_FALSE(readEndpoint("i-1", unknownState.dump()).ok());
    CHECK_FALSE(readEndpoint("i-1", "\xff\xfe\x00").ok());
}

TEST_CASE("readEndpoint rejects a key that can't stand in a header")
{
    const std::string valid = R"({"service":"s","addr":"10.1.2.3:80","zone":"z","version":"v1","slots":64,"state":"ready","warmup_ms":0,"seq":4})";
    for (const std::string& key : { std::string("i-1"), std::string("a/b c"), std::string("\xc3\xa9"), std::string("\xff") })
        CHECK(readEndpoint(key, valid).ok());
    for (const std::string& key : { std::string(), std::string(" a"), std::string("a "), std::string("a\nb"), std::string("a\rb"), std::string("a\tb"), std::string(1, '\0'), std::string("a\x7f"), std::string("a\xef\xbf\xbd") })
        CHECK_FALSE(readEndpoint(key, valid).ok());
}

TEST_CASE("numbers out of range are clamped to the minimum or the maximum")
{
    absl::StatusOr<EndpointRecord> record = readEndpoint("i-1", R"({"service":"s","addr":"10.1.2.3:80","zone":"z","version":"v1","state":"ready","seq":1,"slots":1e300,"warmup_ms":-5})");
    REQUIRE(record.ok());
    CHECK(record->slots == 1'000'000'000);
    CHECK(record->coldFor == 0ms);
    ConfigResult<RouteTable> table = readRouteTable(R"({"version":1,"routes":[{"prefix":"/","service":"s","timeout_ms":1e99,"attempts":-3,"priority":1e99}],"services":[{"name":"s","warmup_s":1e99}]})");
    REQUIRE(table.ok());
    CHECK(table.document->routes()[0].attempts == 0);
    CHECK(table.document->routes()[0].timeout == 1'000'000s);
}

static std::string withWorkspaces(const std::string& workspaces)
{
    return R"({"version":1,"routes":[{"prefix":"/","service":"s","timeout_ms":1,"public":true}],"tenants":)" + workspaces + "}";
}

TEST_CASE("readRouteTable reads workspaces with their keys, limits, priority and homes")
{
    ConfigResult<RouteTable> table = readRouteTable(withWorkspaces(R"([
        {"name":"fitters","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":780743,"burst":900,"home_regions":["north"]},
        {"name":"parents","api_keys":["k3"]}])"));
    REQUIRE(table.ok());
    CHECK(table.document->routes().front().isPublic);
    const Workspace* fitters = table.document->workspaces().findByKey("k2");
    REQUIRE(fitters);
    CHECK(fitters->name == "fitters");
    CHECK(fitters->priority == 1);
    CHECK(fitters->limit.unit == LimitUnit::Tokens);
    CHECK(fitters->limit.perSecond == 780743);
    CHECK(fitters->limit.burst == 900);
    CHECK(fitters->limit.plainTokens == 200);
    CHECK(fitters->homeRegions == std::vector<std::string> { "north" });
    const Workspace* parents = table.document->workspaces().findByKey("k3");
    REQUIRE(parents);
    CHECK_FALSE(parents->priority);
    CHECK_FALSE(parents->limit.isLimited());
    CHECK(parents->limit.unit == LimitUnit::Requests);
}

TEST_CASE("a configuration without workspaces has an empty table of them")
{
    ConfigResult<RouteTable> table = readRouteTable(configuration);
    REQUIRE(table.ok());
    CHECK(table.document->workspaces().empty());
}

TEST_CASE("workspaces that can't be told apart or have invalid limits make a configuration invalid")
{
    std::string longKey(300, 'k');
    std::vector<std::string> invalid {
        R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])",
        R"([{"name":"a"},{"name":"a"}])",
        R"([{"api_keys":["k"]}])",
        R"([{"name":"a","api_keys":["with space"]}])",
        R"([{"name":"a","api_keys":[""]}])",
        R"([{"name":"a","api_keys":[")" + longKey + R"("]}])",
        R"([{"name":"a\r\nX: y"}])",
        R"([{"name":"a","rate_per_s":-1}])",
        R"([{"name":"a","rate_per_s":1e30}])",
        R"([{"name":"a","burst":"many"}])",
        R"(["a"])",
        R"({"name":"a"})",
    };
    for (const std::string& workspaces : invalid) {
        ConfigResult<RouteTable> table = readRouteTable(withWorkspaces(workspaces));
        CAPTURE(workspaces);
        CHECK_FALSE(table.ok());
        for (const ConfigFault& fault : table.faults)
            CHECK(fault.pointer.rfind("/tenants", 0) == 0);
    }
    ConfigResult<RouteTable> sharedKey = readRouteTable(withWorkspaces(invalid.front()));
    REQUIRE(sharedKey.faults.size() == 1);
    CHECK(sharedKey.faults[0].message == "a key that workspace a holds too");
    CHECK(readRouteTable(withWorkspaces(R"([{"name":"a","api_keys":["k","k"]}])")).ok());
}

TEST_CASE("a configuration with many thousands of keys is read")
{
    std::string keys = "\"k0\"";
    for (int i = 1; i < 40'000; ++i)
        keys += ",\"k" + std::to_string(i) + "\"";
    ConfigResult<RouteTable> table = readRouteTable(withWorkspaces(R"([{"name":"a","api_keys":[)" + keys + "]}]"));
    REQUIRE(table.ok());
    CHECK(table.document->workspaces().findByKey("k39999"));
}
