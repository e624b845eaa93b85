// An entry between callers and the platform's stand-ins, over real HTTP.
#include "PlatformFixture.h"

#include "catkinwing/Ingress/IngressDaemon.h"
#include "platform/PlatformDialect.h"
#include <absl/strings/match.h>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

static SocketAddress freeAddress(EventLoop& loop)
{
    return startServer(loop, [](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {})->address();
}

static std::unique_ptr<Store> makeStore(HttpClient& http, Scheduler& scheduler, std::vector<SocketAddress> servers, std::function<void(const char*)> onCall)
{
    return std::make_unique<PlatformStore>(http, scheduler, std::move(servers), std::move(onCall));
}

static nlohmann::json routeOf(const char* prefix, const char* kind, const char* service, int attempts, bool isResumable)
{
    return { { "name", prefix }, { "host", "path.example" }, { "prefix", prefix }, { "kind", kind }, { "timeout_ms", 3000 }, { "service", service },
        { "attempts", attempts }, { "resumable", isResumable } };
}

static std::string configuration()
{
    nlohmann::json routes = { routeOf("/once/", "non_idempotent", "plain", 1, false), routeOf("/often/", "idempotent", "plain", 2, false),
        routeOf("/stream/", "streaming", "model", 2, true) };
    nlohmann::json services = { { { "name", "plain" }, { "max_conns", 100 } }, { { "name", "model" }, { "max_conns", 100 } } };
    return nlohmann::json { { "version", 7 }, { "routes", routes }, { "services", services } }.dump();
}

namespace {

/// An entry with two endpoints of each service.
class ServedPath {
public:
    ServedPath()
    {
        platform.swap("op/config", 0, configuration());
        for (const char* name : { "plain-1", "plain-2" })
            add("plain", name, 0);
        for (const char* name : { "model-1", "model-2" })
            add("model", name, 5);
        settings.name = "entry";
        settings.region = "north";
        settings.availabilityZone = "north-a";
        settings.store = { platform.storeServer->address() };
        settings.ingress.emplace();
        settings.ingress->regionOfZone = { { "north-a", "north" } };
        startEntry();
        REQUIRE(runUntil(platform.loop, [this] { return ask("/often/ready")->head.status == 200; }));
    }

    // Another test may take a port between the choice and the start.
    void startEntry()
    {
        constexpr int tries = 5;
        absl::Status status = absl::UnavailableError("Address already in use");
        for (int i = 0; i < tries && absl::StrContains(status.message(), "already in use"); ++i) {
            chooseAddresses();
            auto started = IngressDaemon::start(platform.loop, settings, Random(1), platformDialect(), makeStore);
            status = started.status();
            if (started.ok())
                entry = *std::move(started);
        }
        CAPTURE(status.ToString());
        REQUIRE(status.ok());
    }
    void chooseAddresses()
    {
        for (SocketAddress* address : { &settings.listen.callers, &settings.listen.peers, &settings.listen.operators, &settings.ingress->readiness, &settings.ingress->directory })
            *address = freeAddress(platform.loop);
        settings.advertise = settings.listen;
    }
    void add(const std::string& service, const std::string& incarnation, unsigned events, bool isLeaving = false)
    {
        endpoints.push_back(platform.startEndpoint({ incarnation, 0ms, events, 1ms, isLeaving }));
        platform.swap("servers/" + incarnation, 0, registration(service, endpoints.size() - 1).dump());
    }
    nlohmann::json registration(const std::string& service, std::size_t endpoint) const
    {
        return { { "service", service }, { "addr", endpoints[endpoint]->address().toString() }, { "zone", "north-a" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmup_ms", 0 }, { "seq", 1 } };
    }
    /// Writes \p text as the registration of an endpoint.
    void rewrite(const std::string& incarnation, const std::string& text)
    {
        std::string key = "servers/" + incarnation;
        platform.swap(key, platform.get(key).revision, text);
    }
    std::shared_ptr<Recorded> ask(const std::string& target, const std::string& attempt = "a-1")
    {
        return platform.ask(settings.listen.callers, "POST", target, "body", { { "Host", "path.example" }, { "Attempt-Id", attempt } });
    }
    std::int64_t executions(std::size_t endpoint)
    {
        auto counters = platform.ask(endpoints[endpoint]->address(), "GET", "/standin/counters");
        return nlohmann::json::parse(counters->body).at("executions");
    }
    /// Returns how many requests have come to an endpoint, refused ones included.
    std::int64_t arrivals(std::size_t endpoint)
    {
        auto counters = platform.ask(endpoints[endpoint]->address(), "GET", "/standin/counters");
        return nlohmann::json::parse(counters->body).at("total");
    }
    void setFaults(std::size_t endpoint, const nlohmann::json& faults) { platform.setFaults(*endpoints[endpoint], faults); }

    void remove(const std::string& key)
    {
        std::optional<SwapResult> result;
        platform.store->compareAndDelete(key, platform.get(key).revision, [&](SwapResult swapped) { result = swapped; });
        REQUIRE(runUntil(platform.loop, [&] { return result.has_value(); }));
    }
    /// Lets the entry learn what has changed in the store.
    void settle()
    {
        TimePoint began = platform.clock.now();
        runUntil(platform.loop, [&] { return platform.clock.now() - began > 300ms; });
    }

    PlatformFixture platform;
    DaemonSettings settings;
    std::vector<std::unique_ptr<standin::StandinServer>> endpoints;
    std::unique_ptr<IngressDaemon> entry;
};

} // namespace

TEST_CASE("a request comes back with the endpoint's answer and signature")
{
    ServedPath path;
    auto answer = path.ask("/once/order", "attempt-9");
    CHECK(answer->head.status == 200);
    REQUIRE(answer->head.headers.find("Reply-Seal"));
    CHECK(absl::StartsWith(*answer->head.headers.find("Reply-Seal"), "attempt-9.plain-"));
    CHECK(nlohmann::json::parse(answer->body).at("path") == "/once/order");
    CHECK(path.ask("/unknown/x")->head.status == 404);
}

TEST_CASE("what must not be repeated runs once though its answer is lost")
{
    ServedPath path;
    for (std::size_t endpoint : { 0, 1 })
        path.setFaults(endpoint, { { "loseAnswer", true } });
    std::int64_t before = path.executions(0) + path.executions(1);
    auto answer = path.ask("/once/order");
    CHECK(answer->head.status >= 500);
    CHECK_FALSE(answer->head.headers.find("Not-Executed"));
    CHECK(path.executions(0) + path.executions(1) == before + 1);
}

TEST_CASE("what may be repeated gets its answer from the other endpoint")
{
    ServedPath path;
    path.setFaults(0, { { "loseAnswer", true } });
    for (int number = 0; number < 6; ++number)
        CHECK(path.ask("/often/read")->head.status == 200);
}

TEST_CASE("a refusal as not executed lets even what must not be repeated run elsewhere")
{
    ServedPath path;
    path.setFaults(0, { { "refuse", true } });
    for (int number = 0; number < 6; ++number)
        CHECK(path.ask("/once/order")->head.status == 200);
}

TEST_CASE("a stream that breaks goes on at the other endpoint without a gap or a repeat")
{
    ServedPath path;
    std::string whole = path.ask("/stream/read")->body;
    path.setFaults(2, { { "cutAfterEvents", 2 } });
    for (int number = 0; number < 6; ++number) {
        auto answer = path.ask("/stream/read");
        CHECK(answer->result.end == HttpEnd::Complete);
        CHECK(answer->body == whole);
    }
}

TEST_CASE("an address that another incarnation has taken gets nothing that was meant for the first")
{
    ServedPath path;
    SocketAddress reused = path.endpoints[0]->address();
    path.endpoints[0].reset();
    auto taker = standin::StandinServer::start(path.platform.loop, { "taker", reused, "", 1 },
        [](Scheduler& scheduler, standin::ExecutionLog& log) { return makeEndpointStandin(scheduler, log, { "taker", 0ms, 0, 0ms }); });
    REQUIRE(taker.ok());
    for (int number = 0; number < 6; ++number) {
        auto answer = path.ask("/once/order");
        CHECK(answer->head.status == 200);
        CHECK(nlohmann::json::parse(answer->body).at("endpoint") == "plain-2");
    }
}

TEST_CASE("an entry serves on while the store is away")
{
    ServedPath path;
    path.platform.setFaults(*path.platform.storeServer, { { "down", true } });
    for (int number = 0; number < 3; ++number)
        CHECK(path.ask("/once/order")->head.status == 200);
}

TEST_CASE("an endpoint that drained and starts again under its name is used again")
{
    ServedPath path;
    nlohmann::json plain = path.registration("plain", 0);
    plain["born"] = 1'000;
    path.rewrite("plain-1", plain.dump());
    plain["state"] = "draining";
    path.rewrite("plain-1", plain.dump());
    auto answeredBy = [&](const std::string& name) {
        return nlohmann::json::parse(path.ask("/once/order")->body).at("endpoint") == name;
    };
    CHECK(runUntil(path.platform.loop, [&] { return answeredBy("plain-2") && answeredBy("plain-2") && answeredBy("plain-2") && answeredBy("plain-2"); }));
    plain["state"] = "ready";
    plain["born"] = 2'000;
    path.rewrite("plain-1", plain.dump());
    CHECK(runUntil(path.platform.loop, [&] { return answeredBy("plain-1"); }));
}

TEST_CASE("entries of other writers name no endpoint and leave the others in use")
{
    ServedPath path;
    path.platform.swap("servers/stranger", 0, R"({"service":"plain","addr":7})");
    path.platform.swap("servers/bytes", 0, "\x01\x02{");
    path.rewrite("plain-1", R"({"service":"plain","addr":"127.0.0.1:1","state":"asleep"})");
    auto isOnlySecond = [&] {
        for (int number = 0; number < 8; ++number) {
            auto answer = path.ask("/once/order");
            if (answer->head.status != 200 || nlohmann::json::parse(answer->body).at("endpoint") != "plain-2")
                return false;
        }
        return true;
    };
    CHECK(runUntil(path.platform.loop, isOnlySecond));
    path.rewrite("plain-1", path.registration("plain", 0).dump());
    CHECK(runUntil(path.platform.loop, [&] { return nlohmann::json::parse(path.ask("/once/order")->body).at("endpoint") == "plain-1"; }));
}

// Guards against sending to an endpoint that has said in an answer that it leaves,
// while the store hasn't said so.
TEST_CASE("an endpoint that says in an answer that it leaves gets nothing more, whatever is registered")
{
    ServedPath path;
    path.add("plain", "plain-3", 0, true);
    REQUIRE(runUntil(path.platform.loop, [&] { return path.ask("/once/order") && path.executions(4) > 0; }));
    for (int number = 0; number < 40; ++number)
        CHECK(path.ask("/once/order")->head.status == 200);
    CHECK(path.executions(4) == 1);
    // Its registration lapses and comes back as it was.
    std::string key = "servers/plain-3";
    std::string registered = path.platform.get(key).value;
    path.remove(key);
    path.settle();
    path.platform.swap(key, 0, registered);
    path.settle();
    for (int number = 0; number < 40; ++number)
        CHECK(path.ask("/once/order")->head.status == 200);
    CHECK(path.executions(4) == 1);
}

// Guards against requests to an endpoint that has asked for none for a while.
TEST_CASE("an endpoint that refuses with a time to wait gets nothing until then")
{
    ServedPath path;
    path.setFaults(0, { { "refuse", true } });
    std::int64_t before = path.arrivals(0);
    TimePoint began = path.platform.clock.now();
    for (int number = 0; number < 40; ++number)
        CHECK(path.ask("/once/order")->head.status == 200);
    // The stand-in asks for a second; each further one brings one more at the most.
    std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(path.platform.clock.now() - began).count();
    CHECK(path.arrivals(0) <= before + 1 + seconds);
    path.setFaults(0, nlohmann::json::object());
    CHECK(runUntil(path.platform.loop, [&] { return nlohmann::json::parse(path.ask("/once/order")->body).at("endpoint") == "plain-1"; }));
}
