#include "TestDocuments.h"
#include "catkinwing/Config/ConfigDocument.h"
#include "catkinwing/Config/DaemonSettings.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace catkinwing;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("a region document is read into types")
{
    auto region = parseRegionDocument("r", regionJson().dump());
    REQUIRE(region.ok());
    CHECK(region.document->name == "r");
    CHECK(region.document->links.at(0).oneWayLatency == 55ms);
    const EndpointSettings& engine = region.document->endpoints.at(0);
    CHECK(engine.address == SocketAddress { "127.0.0.1", 1 });
    CHECK(engine.kind == EndpointKind::Engine);
    CHECK(engine.decodeTokensPerSecond == 100.5);
    CHECK_FALSE(engine.capabilities.cancel);
    CHECK(region.document->endpoints.at(1).kind == EndpointKind::Service);
}

TEST_CASE("a team document is read into types")
{
    auto team = parseTeamDocument("t", teamJson("key").dump());
    REQUIRE(team.ok());
    CHECK(team.document->keys.at(0).digest == digestKey("key"));
    CHECK(findClass(*team.document, "c2")->timeout == 90min);
    CHECK(findClass(*team.document, "c1")->targets.ratio == 0.9);
    CHECK(findClass(*team.document, "c3") == nullptr);
    CHECK_FALSE(team.document->limits.requestsPerSecond.has_value());
    CHECK(mayProcessIn(*team.document, "r"));
    CHECK_FALSE(mayProcessIn(*team.document, "other"));
}

TEST_CASE("a settings file advertises what it listens on unless told otherwise")
{
    json settings = daemonJson();
    settings["listen"]["peers"] = "0.0.0.0:3";
    settings["advertise"] = { { "peers", "10.0.0.1:30" } };
    auto result = parseDaemonSettings(settings.dump());
    REQUIRE(result.ok());
    CHECK(result.document->advertise.callers == result.document->listen.callers);
    CHECK(result.document->advertise.peers == SocketAddress { "10.0.0.1", 30 });
    CHECK_FALSE(result.document->weightStore.has_value());
    CHECK_FALSE(result.document->testFaults);
}

TEST_CASE("callers may hold half of the stated descriptors beside a reserve")
{
    json settings = daemonJson();
    CHECK(connectionsForCallers(parseDaemonSettings(settings.dump()).document->limits) == 1024);
    settings["limits"] = { { "maximumDescriptors", 4100 } };
    CHECK(connectionsForCallers(parseDaemonSettings(settings.dump()).document->limits) == 1900);
    settings["limits"] = { { "maximumDescriptors", 100 } };
    CHECK_FALSE(parseDaemonSettings(settings.dump()).ok());
}

TEST_CASE("a daemon may state the memory that it may use")
{
    json settings = daemonJson();
    CHECK(parseDaemonSettings(settings.dump()).document->limits.maximumMemoryMegabytes == 0);
    settings["limits"] = { { "maximumMemoryMegabytes", 260 } };
    CHECK(parseDaemonSettings(settings.dump()).document->limits.maximumMemoryMegabytes == 260);
    settings["limits"] = { { "maximumMemoryMegabytes", 0 } };
    CHECK_FALSE(parseDaemonSettings(settings.dump()).ok());
}

/// Returns the object that a schema's defaults make up.
static json defaultsOf(const json& schema)
{
    json defaults = json::object();
    for (const auto& [name, field] : schema.at("properties").items()) {
        if (field.contains("default"))
            defaults[name] = field.at("default");
        else if (field.contains("properties") && !field.contains("required"))
            defaults[name] = defaultsOf(field);
    }
    return defaults;
}

static json publishedSchema(const std::string& name)
{
    std::ifstream file(std::string(CATKINWING_SOURCE_DIR "/schema/") + name + ".schema.json");
    return json::parse(file);
}

/// Requires a description of every field and closed objects throughout.
static void checkDescribed(const json& schema)
{
    if (schema.is_object() && schema.contains("properties") && schema.at("properties").is_object()) {
        CHECK(schema.at("additionalProperties") == false);
        for (const auto& [name, field] : schema.at("properties").items()) {
            CAPTURE(name);
            CHECK(field.contains("description"));
        }
    }
    if (schema.is_structured()) {
        for (const json& part : schema)
            checkDescribed(part);
    }
}

TEST_CASE("every field of the published schemas is described")
{
    for (const char* name : { "global", "region", "model", "team", "daemon" })
        checkDescribed(publishedSchema(name));
}

TEST_CASE("the defaults of the global schema are those of the type")
{
    auto stated = parseGlobalDocument(defaultsOf(publishedSchema("global")).dump());
    REQUIRE(stated.faults.empty());
    const GlobalDocument& a = *stated.document;
    const GlobalDocument b;
    CHECK(a.forwarding.minimumGain == b.forwarding.minimumGain);
    CHECK(a.forwarding.hysteresis == b.forwarding.hysteresis);
    CHECK(a.forwarding.maximumShareAway == b.forwarding.maximumShareAway);
    CHECK(a.retryBudgetFraction == b.retryBudgetFraction);
    CHECK(a.hedging.enabled == b.hedging.enabled);
    CHECK(a.hedging.percentile == b.hedging.percentile);
    CHECK(a.hedging.minimumDelay == b.hedging.minimumDelay);
    CHECK(a.outlierEjection.failureThreshold == b.outlierEjection.failureThreshold);
    CHECK(a.outlierEjection.baseEjectionTime == b.outlierEjection.baseEjectionTime);
    CHECK(a.outlierEjection.maximumEjectedFraction == b.outlierEjection.maximumEjectedFraction);
    CHECK(a.idempotency.keepFor == b.idempotency.keepFor);
    CHECK(a.idempotency.shards == b.idempotency.shards);
    CHECK(a.heartbeatInterval == b.heartbeatInterval);
    CHECK(a.failureTimeout == b.failureTimeout);
    CHECK(a.slowStart == b.slowStart);
    CHECK(a.drainGrace == b.drainGrace);
}

TEST_CASE("the defaults of the team and model schemas are those of the types")
{
    json schema = publishedSchema("team");
    json team = teamJson();
    team.update(defaultsOf(schema));
    team["classes"][0].update(defaultsOf(schema.at("definitions").at("class")));
    team["services"] = { { { "name", "s" }, { "idempotentMethods", schema.at("/properties/services/items/properties/idempotentMethods/default"_json_pointer) } } };
    auto stated = parseTeamDocument("t", team.dump());
    REQUIRE(stated.faults.empty());
    const RequestClass& a = stated.document->classes[0];
    const RequestClass b;
    CHECK(std::tie(a.priority, a.shortRequest, a.maximumSlotFraction) == std::tie(b.priority, b.shortRequest, b.maximumSlotFraction));
    CHECK(std::tie(a.targets.timeToFirstToken, a.targets.timePerToken, a.targets.ratio) == std::tie(b.targets.timeToFirstToken, b.targets.timePerToken, b.targets.ratio));
    CHECK(stated.document->services[0].idempotentMethods == TeamService {}.idempotentMethods);
    const TeamLimitSettings& c = stated.document->limits;
    const TeamLimitSettings d;
    CHECK(std::tie(c.maximumInFlight, c.maximumQueued, c.maximumBodyBytes, c.maximumPerCaller) == std::tie(d.maximumInFlight, d.maximumQueued, d.maximumBodyBytes, d.maximumPerCaller));

    json model = modelJson();
    model.update(defaultsOf(publishedSchema("model")));
    auto statedModel = parseModelDocument("m", model.dump());
    REQUIRE(statedModel.ok());
    const ModelDocument e;
    CHECK(statedModel.document->outputWeight == e.outputWeight);
    CHECK(statedModel.document->defaultExpectedOutputTokens == e.defaultExpectedOutputTokens);
    CHECK(statedModel.document->maximumContextTokens == e.maximumContextTokens);
}

TEST_CASE("keys are hashed as SHA-256")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(parseKeyDigest(sha256Hex("abc")) == digestKey("abc"));
    CHECK(digestKey("abc") != digestKey("abd"));
    CHECK_FALSE(parseKeyDigest("ab").has_value());
    CHECK_FALSE(parseKeyDigest(std::string(64, 'G')).has_value());
}
