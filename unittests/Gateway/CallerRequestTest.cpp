#include "catkinwing/Gateway/CallerRequest.h"

#include "BrokerFixture.h"
#include <catch2/catch.hpp>

using namespace catkinwing;

static int faultOf(CallerRoute route, const std::string& body)
{
    auto parsed = parseModelCall(route, body);
    const ApiError* error = std::get_if<ApiError>(&parsed);
    return error ? error->status : 0;
}

TEST_CASE("bodies that are no model calls are refused with 400")
{
    for (const char* body : { "", "{", "[]", "{}", R"({"model":7,"messages":[]})", R"({"model":"m"})", R"({"model":"m","messages":[]})",
             R"({"model":"m","messages":["x"]})", R"({"model":"m","stream":"yes","messages":[{"content":"x"}]})" })
        CHECK(faultOf(CallerRoute::ChatCompletions, body) == 400);
    CHECK(faultOf(CallerRoute::Completions, R"({"model":"m"})") == 400);
}

TEST_CASE("the prompt is the text of all messages and parts")
{
    auto parsed = parseModelCall(CallerRoute::ChatCompletions,
        R"({"model":"m","stream":true,"max_tokens":9,"messages":[{"content":"ab"},{"content":[{"type":"text","text":"cd"},{"type":"image"}]}]})");
    const ModelCall& call = std::get<ModelCall>(parsed);
    CHECK(call.prompt == "abcd");
    CHECK(call.isStreaming);
    CHECK(call.maximumOutputTokens == 9.0);
}

TEST_CASE("a wrong or missing key is refused and never repeated in the answer")
{
    BrokerFixture fixture;
    for (const char* value : { "", "Bearer wrong-secret", "Basic secret" }) {
        auto identified = authenticate(fixture.tree.snapshot(), { { "Authorization", value } });
        const ApiError* error = std::get_if<ApiError>(&identified);
        REQUIRE(error);
        CHECK(error->status == 401);
        CHECK(errorBody(*error).find("wrong-secret") == std::string::npos);
    }
    CHECK(std::holds_alternative<ApiError>(authenticate(fixture.tree.snapshot(), {})));
}

TEST_CASE("models and services that the team doesn't have are not found")
{
    BrokerFixture fixture;
    HttpRequest request = BrokerFixture::chat(false);
    request.body = R"({"model":"other","messages":[{"content":"x"}]})";
    CHECK(fixture.run(request)->status() == 404);
    HttpRequest service = BrokerFixture::book();
    service.path = "/services/other/items";
    CHECK(fixture.run(service)->status() == 404);
    CHECK(fixture.endpointClient.requests.empty());
}

TEST_CASE("connection headers and the gateway's own are not passed on")
{
    HttpHeaders passed = headersToPassOn({ { "Connection", "close" }, { "Authorization", "Bearer x" }, { "Catkinwing-Class", "short" }, { "X-Trace", "1" }, { "Content-Length", "3" } });
    REQUIRE(passed.fields().size() == 1);
    CHECK(passed.fields().front().name == "X-Trace");
}

TEST_CASE("a caller's timeout shortens the class's and never lengthens it")
{
    BrokerFixture fixture;
    const TeamDocument& team = *findTeam(*fixture.tree.snapshot(), "fitters");
    auto timeoutOf = [&team](const char* value) {
        auto choice = chooseClass(team, { { "Catkinwing-Timeout-Ms", value } });
        const ClassChoice* chosen = std::get_if<ClassChoice>(&choice);
        return chosen ? chosen->timeout : Duration::zero();
    };
    CHECK(timeoutOf("100") == std::chrono::milliseconds(100));
    CHECK(timeoutOf("9223372036854775807") == std::chrono::seconds(5));
    CHECK(timeoutOf("-1") == Duration::zero());
    CHECK(timeoutOf("soon") == Duration::zero());
}
