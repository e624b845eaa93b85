// The stand-ins over real HTTP on loopback, above all the ways they fail.
#include "catkinwing/Standin/StandinServer.h"
#include "../Http/HttpFixture.h"
#include "catkinwing/Standin/HttpWeightFetcher.h"
#include "catkinwing/Standin/RawAnswerer.h"
#include "catkinwing/Standin/Services.h"
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

class Site {
public:
    std::unique_ptr<StandinServer> start(const ServiceFactory& makeService)
    {
        auto standin = StandinServer::start(loop, { "test", { "127.0.0.1", 0 }, "", 1 }, makeService);
        REQUIRE(standin.ok());
        return *std::move(standin);
    }
    std::unique_ptr<StandinServer> startEngine(const WeightFetcher& fetcher = nullptr)
    {
        EngineServiceSettings settings;
        settings.engine.slots = 1;
        settings.engine.decodeTokensPerSecond = 10'000;
        settings.engine.events.lag = 0ms;
        return start([settings, fetcher](Scheduler& scheduler, ExecutionLog& log) { return makeEngineService(scheduler, log, settings, fetcher); });
    }
    std::unique_ptr<StandinServer> startPlain()
    {
        return start([](Scheduler& scheduler, ExecutionLog& log) { return makePlainService(scheduler, log, { "bookings", {} }); });
    }
    std::shared_ptr<Recorded> begin(const SocketAddress& server, const std::string& method, const std::string& target, const nlohmann::json& body = nlohmann::json::object(), HttpHeaders headers = {})
    {
        HttpClientRequest request = requestFor(server, target);
        request.method = method;
        request.body = body.dump();
        request.headers = std::move(headers);
        return sendRecorded(*client, std::move(request));
    }
    std::shared_ptr<Recorded> ask(const SocketAddress& server, const std::string& method, const std::string& target, const nlohmann::json& body = nlohmann::json::object(), HttpHeaders headers = {})
    {
        auto recorded = begin(server, method, target, body, std::move(headers));
        REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
        return recorded;
    }

    SystemClock clock;
    EventLoop loop { clock };
    std::unique_ptr<HttpClient> client { makeHttpClient(loop, {}) };
};

static nlohmann::json completion(int maxTokens)
{
    return { { "prompt", "marker=VALLE-9" }, { "stream", true }, { "max_tokens", maxTokens } };
}

TEST_CASE("a stream over HTTP is cut after its events and resumed elsewhere")
{
    Site site;
    auto one = site.startEngine();
    auto two = site.startEngine();
    auto whole = site.ask(one->address(), "POST", "/v1/completions", completion(5));
    REQUIRE(whole->result.end == HttpEnd::Complete);
    site.ask(one->address(), "PUT", "/standin/faults", { { "cutAfterEvents", 2 } });
    auto cut = site.ask(one->address(), "POST", "/v1/completions", completion(5));
    CHECK(cut->result.end == HttpEnd::Truncated);
    auto rest = site.ask(two->address(), "POST", "/v1/completions", completion(5), { { "Catkinwing-Resume-From", "2" } });
    CHECK(rest->result.end == HttpEnd::Complete);
    CHECK(cut->body + rest->body == whole->body);
}

TEST_CASE("an answer over HTTP is cut after its bytes")
{
    Site site;
    auto plain = site.startPlain();
    site.ask(plain->address(), "PUT", "/standin/faults", { { "cutAfterBytes", 7 } });
    auto cut = site.ask(plain->address(), "POST", "/a");
    CHECK(cut->result.end == HttpEnd::Truncated);
    CHECK(cut->body.size() == 7);
}

TEST_CASE("lost answers and downs leave the caller without a response")
{
    Site site;
    auto plain = site.startPlain();
    bool isExecuted = GENERATE(true, false);
    site.ask(plain->address(), "PUT", "/standin/faults", { { isExecuted ? "loseAnswer" : "down", { { "times", 1 } } } });
    auto lost = site.ask(plain->address(), "POST", "/a");
    CHECK(lost->result.end == HttpEnd::NoResponse);
    CHECK(lost->heads == 0);
    CHECK(lost->result.mayHaveReachedServer);
    auto next = site.ask(plain->address(), "POST", "/a");
    CHECK(nlohmann::json::parse(next->body)["execution"] == (isExecuted ? 2 : 1));
}

TEST_CASE("a slot is free again when the caller has closed its connection")
{
    Site site;
    auto engine = site.startEngine();
    auto gone = site.begin(engine->address(), "POST", "/v1/completions", completion(1'000'000));
    REQUIRE(runUntil(site.loop, [&] { return gone->heads == 1; }));
    gone->exchange->cancel();
    auto next = site.ask(engine->address(), "POST", "/v1/completions", completion(1));
    CHECK(next->result.end == HttpEnd::Complete);
}

TEST_CASE("a watch over HTTP streams changes as they come")
{
    Site site;
    auto store = site.start([](Scheduler& scheduler, ExecutionLog& log) { return makeStoreService(scheduler, log, {}); });
    auto watch = site.begin(store->address(), "POST", "/v3/watch", { { "create_request", { { "key", "YQ==" } } } });
    REQUIRE(runUntil(site.loop, [&] { return absl::StrContains(watch->body, "created"); }));
    site.ask(store->address(), "POST", "/v3/kv/put", { { "key", "YQ==" }, { "value", "MQ==" } });
    REQUIRE(runUntil(site.loop, [&] { return absl::StrContains(watch->body, "events"); }));
    std::vector<std::string> lines = absl::StrSplit(watch->body, '\n', absl::SkipEmpty());
    REQUIRE(lines.size() == 2);
    CHECK(nlohmann::json::parse(lines[1])["result"]["events"][0]["kv"]["value"] == "MQ==");
    watch->exchange->cancel();
    REQUIRE(runUntil(site.loop, [&] {
        auto counters = site.ask(store->address(), "GET", "/standin/counters");
        return nlohmann::json::parse(counters->body)["open_watches"] == 0;
    }));
}

TEST_CASE("an engine fetches an adapter's weight from the weight store")
{
    Site site;
    auto weights = site.start([](Scheduler& scheduler, ExecutionLog& log) { return makeWeightsService(scheduler, log, { 100e6, 0, 4 }); });
    auto engine = site.startEngine(makeHttpWeightFetcher(*site.client, weights->address(), 2));
    nlohmann::json order = { { "fencing", 1 }, { "desired", { { "adapters", { "shoes" } } } } };
    CHECK(site.ask(engine->address(), "POST", "/admin/orders", order)->head.status == 200);
    REQUIRE(runUntil(site.loop, [&] {
        auto state = site.ask(engine->address(), "GET", "/admin/state");
        return nlohmann::json::parse(state->body)["adapters"].size() == 1;
    }));
    auto served = nlohmann::json::parse(site.ask(weights->address(), "GET", "/standin/counters")->body);
    CHECK(served["by_kind"]["weights"] == 1);
}

TEST_CASE("a raw stand-in sends what is no HTTP, and bytes behind an answer")
{
    Site site;
    ExecutionLog log(nullptr, "raw", site.clock);
    RawAnswererOptions options;
    options.listen = { "127.0.0.1", 0 };
    SECTION("not HTTP")
    {
        options.answer = "this is\x01 not HTTP\r\n\r\n";
        auto raw = RawAnswerer::listen(site.loop, log, options);
        REQUIRE(raw.ok());
        CHECK(site.ask((*raw)->address(), "GET", "/")->result.end == HttpEnd::Malformed);
    }
    SECTION("left-over bytes")
    {
        options.answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
        auto raw = RawAnswerer::listen(site.loop, log, options);
        REQUIRE(raw.ok());
        for (int i = 0; i < 3; ++i) {
            auto answer = site.ask((*raw)->address(), "GET", "/");
            CHECK(answer->result.end == HttpEnd::Complete);
            CHECK(answer->body == "first");
        }
    }
}

TEST_CASE("a stand-in on a port in use says so")
{
    Site site;
    auto first = site.startPlain();
    StandinServerOptions options { "test", first->address(), "", 1 };
    auto second = StandinServer::start(site.loop, options, [](Scheduler& scheduler, ExecutionLog& log) { return makePlainService(scheduler, log, {}); });
    CHECK(absl::IsUnavailable(second.status()));
}
