#include "catkinwing/Placement/HttpEndpointAdmin.h"

#include "Coordination/FakeHttpClient.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace catkinwing;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

struct Bench {
    ManualScheduler scheduler;
    FakeHttpClient http { scheduler };
    HttpEndpointAdmin admin { http, scheduler, { "entry-1", "secret" } };
    OrderedEndpoint endpoint { "e", { "127.0.0.1", 1 }, true, true };

    explicit Bench(FakeHttpAnswer answer)
    {
        http.handler = [answer = std::move(answer)](const HttpClientRequest&) { return answer; };
    }

    OrderOutcome send()
    {
        std::optional<OrderOutcome> outcome;
        admin.sendOrder(endpoint, { 7, { { "m@1" }, { "a" }, "decode" } }, [&](OrderOutcome given) { outcome = given; });
        scheduler.advance(10s);
        REQUIRE(outcome);
        return *outcome;
    }

    absl::StatusOr<ReportedState> read()
    {
        absl::StatusOr<ReportedState> state = absl::CancelledError();
        admin.readState(endpoint, [&](absl::StatusOr<ReportedState> given) { state = std::move(given); });
        scheduler.advance(10s);
        return state;
    }
};

FakeHttpAnswer answerWith(int status)
{
    FakeHttpAnswer answer = FakeHttpAnswer::ok("{}");
    answer.status = status;
    return answer;
}

} // namespace

TEST_CASE("an order carries its number and the desired state")
{
    Bench bench(answerWith(200));
    CHECK(bench.send() == OrderOutcome::Accepted);
    const HttpClientRequest& request = bench.http.requests.back();
    CHECK(request.method == "POST");
    CHECK(request.target == "/admin/orders");
    CHECK(*request.headers.find("authorization") == "Bearer secret");
    CHECK(Json::parse(request.body) == Json::parse(R"({"fencing":7,"desired":{"models":["m@1"],"adapters":["a"],"role":"decode"}})"));
    bench.endpoint.checksCaller = false;
    bench.send();
    CHECK(bench.http.requests.back().headers.find("authorization") == nullptr);
}

TEST_CASE("the outcome of an order says no more than is known and it is sent once")
{
    const std::vector<std::pair<FakeHttpAnswer, OrderOutcome>> rows {
        { answerWith(202), OrderOutcome::Accepted },
        { answerWith(409), OrderOutcome::StaleFencing },
        { answerWith(403), OrderOutcome::Refused },
        { answerWith(503), OrderOutcome::Unknown },
        { FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false), OrderOutcome::NotSent },
        { FakeHttpAnswer::failed(HttpEnd::NoResponse, true), OrderOutcome::Unknown },
    };
    for (const auto& [answer, outcome] : rows) {
        Bench bench(answer);
        CHECK(bench.send() == outcome);
        CHECK(bench.http.requests.size() == 1);
    }
}

TEST_CASE("a state is read and garbage is not")
{
    Bench bench(FakeHttpAnswer::ok(R"({"fencing":4,"models":["m@1"],"adapters":[],"role":"mixed","incarnation":"i"})"));
    auto state = bench.read();
    REQUIRE(state.ok());
    CHECK(state->fencing == 4);
    CHECK(state->models == std::set<std::string> { "m@1" });
    CHECK(state->incarnation == "i");
    for (const char* body : { "", "{}", "[]", R"({"models":"m"})", R"({"models":[1]})", R"({"models":[],"role":3})" }) {
        Bench broken(FakeHttpAnswer::ok(body));
        CHECK(absl::IsUnavailable(broken.read().status()));
    }
}
