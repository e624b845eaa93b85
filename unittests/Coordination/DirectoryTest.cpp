#include "catkinwing/Coordination/DirectoryClient.h"

#include "FakeHttpClient.h"
#include "catkinwing/Coordination/InstanceList.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace catkinwing;
using namespace std::chrono_literals;
using Json = nlohmann::json;

static Instance entryInstance()
{
    Instance instance;
    instance.id = "entry-1";
    instance.address = { "127.0.0.1", 8000 };
    instance.zone = "z1";
    instance.region = "r1";
    instance.incarnation = "i1";
    instance.meta = { { metaPeerAddress, "127.0.0.1:8001" } };
    return instance;
}

TEST_CASE("an entry is registered until the directory confirms and again later")
{
    ManualScheduler scheduler;
    FakeHttpClient http(scheduler);
    bool isDown = true;
    http.handler = [&](const HttpClientRequest&) { return isDown ? FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false) : FakeHttpAnswer::ok("true"); };
    DirectoryClientOptions options;
    options.servers = { { "127.0.0.1", 1 } };
    options.service = "catkinwing";
    DirectoryClient client(http, scheduler, options);
    client.announce(entryInstance());
    scheduler.advance(5s);
    CHECK_FALSE(client.isAnnounced());
    isDown = false;
    scheduler.advance(2s);
    CHECK(client.isAnnounced());
    CHECK(http.requests.back().method == "PUT");
    CHECK(http.requests.back().target == "/v1/catalog/register");
    Json body = Json::parse(http.requests.back().body);
    CHECK(body["Service"]["Service"] == "catkinwing");
    CHECK(body["Service"]["Meta"] == Json::parse(R"({"zone":"z1","region":"r1","incarnation":"i1","state":"live","peer_address":"127.0.0.1:8001"})"));
    std::size_t before = http.requests.size();
    scheduler.advance(61s);
    CHECK(http.requests.size() == before + 1);
}

TEST_CASE("without a directory nothing is sent and a withdrawal is done")
{
    ManualScheduler scheduler;
    FakeHttpClient http(scheduler);
    DirectoryClient client(http, scheduler, {});
    Random random(1);
    InstanceList list(http, scheduler, random, {}, nullptr);
    client.announce(entryInstance());
    list.start();
    scheduler.advance(61s);
    std::optional<absl::Status> withdrawn;
    client.withdraw([&](const absl::Status& status) { withdrawn = status; });
    scheduler.advance(1s);
    CHECK(http.requests.empty());
    CHECK_FALSE(client.isAnnounced());
    CHECK_FALSE(list.hasAnswer());
    REQUIRE(withdrawn);
    CHECK(withdrawn->ok());
}

TEST_CASE("leaving replaces live and a withdrawn entry stays out")
{
    ManualScheduler scheduler;
    FakeHttpClient http(scheduler);
    http.handler = [](const HttpClientRequest&) { return FakeHttpAnswer::ok("true"); };
    DirectoryClientOptions options;
    options.servers = { { "127.0.0.1", 1 } };
    DirectoryClient client(http, scheduler, options);
    client.announce(entryInstance());
    Instance leaving = entryInstance();
    leaving.state = InstanceState::Leaving;
    client.announce(leaving);
    scheduler.advance(1s);
    CHECK(Json::parse(http.requests.back().body)["Service"]["Meta"]["state"] == "leaving");
    absl::Status withdrawn = absl::CancelledError();
    client.withdraw([&](const absl::Status& status) { withdrawn = status; });
    scheduler.advance(1s);
    CHECK(withdrawn.ok());
    CHECK(http.requests.back().target == "/v1/catalog/deregister");
    std::size_t before = http.requests.size();
    scheduler.advance(600s);
    CHECK(http.requests.size() == before);
}

namespace {

struct ListBench {
    ManualScheduler scheduler;
    FakeHttpClient http { scheduler };
    Random random { 1 };
    std::string body;
    std::string index { "5" };
    bool isDown { false };
    int changes { 0 };
    InstanceList list { http, scheduler, random, options(), [this](const auto&) { ++changes; } };

    explicit ListBench(std::string firstBody)
        : body(std::move(firstBody))
    {
        http.handler = [this](const HttpClientRequest&) {
            if (isDown)
                return FakeHttpAnswer::failed(HttpEnd::NoResponse, true);
            FakeHttpAnswer answer = FakeHttpAnswer::ok(body);
            answer.headers.add("X-Consul-Index", index);
            answer.delay = 1s;
            return answer;
        };
        list.start();
    }

    static InstanceListOptions options()
    {
        InstanceListOptions options;
        options.servers = { { "127.0.0.1", 1 } };
        options.service = "engines";
        return options;
    }
};

} // namespace

static const char* const twoEngines = R"([
  {"Node":{"Node":"n2","Address":"127.0.0.2"},"Service":{"ID":"e2","Service":"engines","Address":"","Port":9002,"Meta":{"incarnation":"b","state":"leaving"}},"Checks":[]},
  {"Node":{"Node":"n1","Address":"127.0.0.1"},"Service":{"ID":"e1","Service":"engines","Address":"127.0.0.9","Port":9001,"Meta":{"incarnation":"a","zone":"z1"}},"Checks":[{"Status":"passing"}]},
  {"Service":{"ID":"broken","Port":-1}}])";

TEST_CASE("instances are read with state and incarnation")
{
    ListBench bench(twoEngines);
    bench.scheduler.advance(1500ms);
    const auto& instances = bench.list.instances();
    REQUIRE(instances.size() == 2);
    CHECK(instances[0].address == SocketAddress { "127.0.0.9", 9001 });
    CHECK(instances[0].state == InstanceState::Live);
    CHECK(instances[0].incarnation == "a");
    CHECK(instances[1].address == SocketAddress { "127.0.0.2", 9002 });
    CHECK(instances[1].state == InstanceState::Leaving);
    CHECK(bench.list.counters().malformed == 1);
    CHECK(bench.changes == 1);
}

TEST_CASE("an instance that fails its checks counts as leaving")
{
    ListBench bench(R"([{"Service":{"ID":"e1","Address":"127.0.0.9","Port":1},"Checks":[{"Status":"critical"}]}])");
    bench.scheduler.advance(1500ms);
    REQUIRE(bench.list.instances().size() == 1);
    CHECK(bench.list.instances()[0].state == InstanceState::Leaving);
}

TEST_CASE("the list blocks on its index and takes over one that went back")
{
    ListBench bench("[]");
    bench.scheduler.advance(2s);
    CHECK(bench.http.requests[0].target == "/v1/health/service/engines");
    CHECK(bench.http.requests[1].target == "/v1/health/service/engines?index=5&wait=30000ms");
    bench.index = "2";
    bench.scheduler.advance(3s);
    CHECK(bench.http.requests.back().target == "/v1/health/service/engines?index=2&wait=30000ms");
}

TEST_CASE("an outage or garbage keeps the last good list")
{
    bool isGarbage = GENERATE(true, false);
    ListBench bench(twoEngines);
    bench.scheduler.advance(1500ms);
    bench.isDown = !isGarbage;
    bench.body = "{}";
    bench.scheduler.advance(600s);
    CHECK(bench.list.instances().size() == 2);
    CHECK(bench.changes == 1);
    CHECK(bench.http.requests.size() < 200);
    bench.isDown = false;
    bench.body = "[]";
    bench.scheduler.advance(30s);
    CHECK(bench.list.instances().empty());
    CHECK(bench.changes == 2);
}
