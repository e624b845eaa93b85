#include "TestDocuments.h"
#include "catkinwing/Config/ConfigDocument.h"
#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Config/JsonText.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using nlohmann::json;

using Pointers = std::vector<std::string>;

static const std::string digest(64, 'a');

template <typename Parse>
static void checkFaults(const json& valid, const std::vector<BrokenDocument>& cases, Parse parse)
{
    REQUIRE(parse(valid.dump()).faults.empty());
    for (const BrokenDocument& broken : cases) {
        CAPTURE(broken.place, broken.value.dump());
        auto result = parse(withValue(valid, broken).dump());
        CHECK_FALSE(result.document.has_value());
        CHECK(pointersOf(result.faults) == Pointers { broken.pointer.empty() ? broken.place : broken.pointer });
    }
}

static auto parseAt(const char* path)
{
    return [path](const std::string& text) { return parseDocument(*parseDocumentPath(path), text); };
}

TEST_CASE("each fault of a global document has its pointer")
{
    checkFaults(json::object(),
        {
            { "/forwarding", json { { "minimumGain", 5 } }, "/forwarding/minimumGain" },
            { "/forwarding", json { { "minimumGain", "5us" } }, "/forwarding/minimumGain" },
            { "/forwarding", json { { "hysteresis", "5" } }, "/forwarding/hysteresis" },
            { "/forwarding", json { { "hysteresis", "-5s" } }, "/forwarding/hysteresis" },
            { "/forwarding", json { { "maximumShareAway", 1.01 } }, "/forwarding/maximumShareAway" },
            { "/retryBudgetFraction", -0.1 },
            { "/retryBudgetFraction", "0.1" },
            { "/hedging", json { { "enabled", 1 } }, "/hedging/enabled" },
            { "/outlierEjection", json { { "failureThreshold", 0 } }, "/outlierEjection/failureThreshold" },
            { "/idempotency", json { { "keepFor", "0s" } }, "/idempotency/keepFor" },
            { "/idempotency", json { { "keepFor", "8785h" } }, "/idempotency/keepFor" },
            { "/idempotency", json { { "shards", 2.5 } }, "/idempotency/shards" },
            { "/heartbeatInterval", "2s", "/failureTimeout" },
            { "/slowStart", std::string(900000, '1') },
            { "/a~0b", 1 },
        },
        parseAt("global"));
}

TEST_CASE("each fault of a region document has its pointer")
{
    json endpoint = regionJson().at("endpoints").at(0);
    json sameAddress = endpoint;
    sameAddress["name"] = "e2";
    json service = regionJson().at("endpoints").at(1);
    service.erase("service");
    checkFaults(regionJson(),
        {
            { "/availabilityZones/-", { { "name", "z1" } }, "/availabilityZones/2/name" },
            { "/availabilityZones/-", { { "name", "Z" } }, "/availabilityZones/2/name" },
            { "/availabilityZones/-", json::object(), "/availabilityZones/2/name" },
            { "/links/0/to", "r" },
            { "/links/0/oneWayLatency", "55" },
            { "/links/-", { { "to", "other" }, { "oneWayLatency", "1ms" } }, "/links/1/to" },
            { "/endpoints/0/availabilityZone", "z3" },
            { "/endpoints/0/address", "localhost:1" },
            { "/endpoints/0/address", "127.0.0.1:0" },
            { "/endpoints/0/kind", "proxy" },
            { "/endpoints/0/models", json::array() },
            { "/endpoints/0/models/-", "m", "/endpoints/0/models/1" },
            { "/endpoints/0/service", "desk" },
            { "/endpoints/0/slots", 0 },
            { "/endpoints/0/slots", 65537 },
            { "/endpoints/0/prefillTokensPerSecond", 0 },
            { "/endpoints/0/capabilities", { { "prioritty", true } }, "/endpoints/0/capabilities/prioritty" },
            { "/endpoints/0/idempotentRoutes", { { { "method", "GET" }, { "pathPrefix", "x" } } }, "/endpoints/0/idempotentRoutes/0/pathPrefix" },
            { "/endpoints/1", service, "/endpoints/1/service" },
            { "/endpoints/1/models", { "m" } },
            { "/endpoints/1/name", "e1" },
            { "/endpoints/-", sameAddress, "/endpoints/2/address" },
        },
        parseAt("regions/r"));
}

TEST_CASE("each fault of a model document has its pointer")
{
    checkFaults(modelJson(),
        {
            { "/versions", json::array() },
            { "/versions/-", "1", "/versions/1" },
            { "/versions/0", "one two" },
            { "/adapters/1/name", "a1" },
            { "/adapters/0", json { { "name", "a1" } }, "/adapters/0/sizeMegabytes" },
            { "/outputWeight", 0 },
            { "/maximumContextTokens", 100, "/defaultExpectedOutputTokens" },
            { "/maximumContextTokens", 1e30 },
        },
        parseAt("models/m"));
}

TEST_CASE("each fault of a team document has its pointer")
{
    json key { { "name", "k2" }, { "sha256", digest } };
    json sameDigest { { "name", "k3" }, { "sha256", sha256Hex("key") } };
    checkFaults(teamJson(),
        {
            { "/share", 0 },
            { "/share", nullptr },
            { "/keys/0/sha256", digest + "a" },
            { "/keys/0/sha256", std::string(64, 'A') },
            { "/keys/0/name", "K" },
            { "/keys/-", sameDigest, "/keys/1/sha256" },
            { "/operatorTokens", { sameDigest }, "/operatorTokens/0/sha256" },
            { "/operatorTokens", { key, { { "name", "k2" }, { "sha256", std::string(64, 'b') } } }, "/operatorTokens/1/name" },
            { "/models/-", "m", "/models/1" },
            { "/models/0", "M" },
            { "/services/-", { { "name", "desk" } }, "/services/1/name" },
            { "/services/0/idempotentMethods", { "get" }, "/services/0/idempotentMethods/0" },
            { "/residency/regions", json::array() },
            { "/residency/regions/-", "r", "/residency/regions/1" },
            { "/classes/1/name", "c1" },
            { "/classes/0/timeout", "0ms" },
            { "/classes/0/priority", 10 },
            { "/classes/0/maximumSlotFraction", 0 },
            { "/classes/0/targets/ratio", 2 },
            { "/defaultClass", "c3" },
            { "/limits/maximumQueued", -1 },
            { "/name", "t" },
        },
        parseAt("teams/t"));
}

TEST_CASE("each fault of a settings file has its pointer")
{
    json files { { "certificateFile", "c" }, { "keyFile", "k" } };
    auto token = [](const char* subtree) { return json { { { "name", "t" }, { "sha256", digest }, { "subtree", subtree } } }; };
    checkFaults(daemonJson(),
        {
            { "/listen/callers", "0.0.0.0:1" },
            { "/listen/peers", "::1:3" },
            { "/advertise", { { "callers", "127.0.0.1:0" } }, "/advertise/callers" },
            { "/store", json::array() },
            { "/store/-", "127.0.0.1:65536", "/store/1" },
            { "/weightStore", "weights" },
            { "/tls", { { "peers", files } }, "/tls/peers/authorityFile" },
            { "/tls", { { "callers", { { "keyFile", "k" }, { "certificateFile", std::string(513, 'c') } } } }, "/tls/callers/certificateFile" },
            { "/operatorTokens", token("teams"), "/operatorTokens/0/subtree" },
            { "/limits", { { "maximumConnections", 0 } }, "/limits/maximumConnections" },
            { "/testFaults", "yes" },
        },
        parseDaemonSettings);
}

TEST_CASE("all faults of a file are reported together")
{
    json team = teamJson();
    team["extra"] = 1;
    team["other"] = 2;
    team["share"] = -1;
    team["keys"][0].erase("name");
    team["models"] = { "m", 5, "m" };
    team["classes"][1] = { { "name", "c1" }, { "timeout", "1 s" }, { "extra", 1 } };
    team["defaultClass"] = "c9";
    std::string text = team.dump();
    text.insert(1, R"("share": 1,)");
    auto faults = pointersOf(parseTeamDocument("t", text).faults);
    std::sort(faults.begin(), faults.end());
    CHECK(faults == Pointers { "/classes/1/extra", "/classes/1/name", "/classes/1/timeout", "/defaultClass", "/extra", "/keys/0/name", "/models/1", "/models/2", "/other", "/share" });
}

TEST_CASE("messages say what was expected")
{
    auto faults = parseGlobalDocument(R"({ "slowStart": 5, "idempotency": { "shards": 0 }, "x": 1 })").faults;
    CHECK(faults.size() == 3);
    CHECK_THAT(faults, Catch::VectorContains(ConfigFault { "/slowStart", "expected a duration with a unit of ms, s, m or h, such as \"250ms\"" }));
    CHECK_THAT(faults, Catch::VectorContains(ConfigFault { "/idempotency/shards", "expected integer from 1 up to 65536" }));
    CHECK_THAT(faults, Catch::VectorContains(ConfigFault { "/x", "unknown field" }));
}

TEST_CASE("malformed JSON is one fault with its location")
{
    auto faults = parseJsonText("{\n  \"a\": 1,,\n}").faults;
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].pointer.empty());
    CHECK_THAT(faults[0].message, Catch::Contains("line 2, column 10"));
    CHECK_THAT(parseJsonText("[\n1e999]").faults.at(0).message, Catch::Contains("line 2, column 5"));
    for (const std::string& text : { std::string(), std::string("\0", 1), std::string("{\"a\": \"\xff\"}"), std::string("nul") })
        CHECK(parseJsonText(text).faults.size() == 1);
}

TEST_CASE("texts beyond the limits and repeated members are faults")
{
    std::string large = "[" + std::string(maximumDocumentBytes - 2, ' ') + "]";
    CHECK(parseJsonText(large).ok());
    CHECK(pointersOf(parseJsonText(large + " ").faults) == Pointers { "" });
    std::string deep = std::string(maximumDocumentDepth, '[') + std::string(maximumDocumentDepth, ']');
    CHECK(parseJsonText(deep).ok());
    CHECK(parseJsonText("[" + deep + "]").faults.size() == 1);
    CHECK(parseJsonText(std::string(maximumDocumentBytes, '[')).faults.size() == 1);
    auto listOf = [](const std::string& item, std::size_t count) {
        std::string text = "[" + item;
        for (std::size_t i = 1; i < count; ++i)
            text += "," + item;
        return text + "]";
    };
    CHECK(parseJsonText(listOf("0", maximumDocumentValues - 1)).ok());
    CHECK(parseJsonText(listOf("0", maximumDocumentValues)).faults.size() == 1);
    CHECK(parseJsonText(listOf("{}", maximumDocumentObjects)).ok());
    CHECK(parseJsonText(listOf("{}", maximumDocumentObjects + 1)).faults.size() == 1);
    std::string longName(maximumFieldNameBytes + 1, 'n');
    CHECK(pointersOf(parseJsonText("{\"a\":[1,{\"" + longName + "\":1}]}").faults) == Pointers { "/a/1" });
    CHECK(pointersOf(parseJsonText(R"({ "a": [0, { "b": 1, "b": 2 }] })").faults) == Pointers { "/a/1/b" });
}

TEST_CASE("no text of any kind makes the parser stop the process")
{
    for (const char* path : { "global", "regions/r", "models/m", "teams/t" }) {
        for (const char* text : { "null", "1", "[]", "\"x\"", "[[1]]", R"({"classes":1,"endpoints":{},"keys":[1,null,[]],"links":[[]]})" })
            CHECK(parseAt(path)(text).document.has_value() == false);
    }
}
