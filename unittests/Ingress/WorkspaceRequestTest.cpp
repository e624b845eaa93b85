// Tests of callers' keys, workspaces, their homes and limits on the routed path.
#include "IngressFixture.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static FakeHttpAnswer succeeding(const HttpClientRequest& request)
{
    return endpointAnswer(request, 200, "fine");
}

static FakeHttpAnswer refusing(const HttpClientRequest& request)
{
    return refusalAnswer(request);
}

static Workspace workspace(std::string name, const std::string& key, std::vector<std::string> homes = {})
{
    Workspace workspace;
    workspace.name = std::move(name);
    workspace.keys = { digestKey(key) };
    workspace.homeRegions = std::move(homes);
    return workspace;
}

static Route route(std::vector<std::string> homes = {})
{
    Route route = IngressFixture::unaryRoute(RequestKind::NonIdempotent);
    route.homeRegions = std::move(homes);
    return route;
}

static std::string header(const HttpClientRequest& request, absl::string_view name)
{
    const std::string* value = request.headers.find(name);
    return value ? *value : "";
}

static std::string retryAfter(const FakeResponder& client)
{
    const std::string* value = client.head ? client.head->headers.find("retry-after") : nullptr;
    return value ? *value : "";
}

TEST_CASE("the endpoint is told the workspace of the key and gets no key")
{
    IngressFixture fixture;
    fixture.configure(route(), { workspace("fitters", "k1"), workspace("parents", "k2") });
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    CHECK(fixture.runToEnd({ { "workspace-key", "k2" } })->status() == 200);
    CHECK(fixture.sentHeader(0, "workspace") == "parents");
    for (const HttpHeader& field : fixture.endpointClient.requests[0].headers.fields())
        CHECK(field.value != "k2");
}

TEST_CASE("a request without a known key is refused at once and isn't sent")
{
    IngressFixture fixture;
    fixture.configure(route(), { workspace("fitters", "k1") });
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    for (const HttpHeaders& headers : { HttpHeaders {}, HttpHeaders { { "workspace-key", "k2" } }, HttpHeaders { { "workspace-key", std::string(5'000, 'k') } } }) {
        auto client = fixture.start(headers);
        CHECK(client->status() == 401);
        CHECK(client->outcome() == "not-run");
        CHECK(client->body.find("k2") == std::string::npos);
    }
    CHECK(fixture.endpointClient.requests.empty());
}

TEST_CASE("a public route and a configuration without workspaces need no key")
{
    IngressFixture fixture;
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    Route open = route();
    open.isPublic = true;
    fixture.configure(open, { workspace("fitters", "k1") });
    CHECK(fixture.runToEnd()->status() == 200);
    fixture.configure(route());
    CHECK(fixture.runToEnd({ { "workspace-key", "k1" } })->status() == 200);
    CHECK(fixture.sentHeader(0, "workspace").empty());
    CHECK(fixture.sentHeader(1, "workspace").empty());
}

TEST_CASE("a key follows the version in force to another workspace")
{
    IngressFixture fixture;
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    fixture.configure(route(), { workspace("fitters", "k1") }, 1);
    CHECK(fixture.runToEnd({ { "workspace-key", "k1" } })->status() == 200);
    fixture.configure(route(), { workspace("fitters", "k3"), workspace("parents", "k1") }, 2);
    CHECK(fixture.runToEnd({ { "workspace-key", "k1" } })->status() == 200);
    CHECK(fixture.sentHeader(0, "workspace") == "fitters");
    CHECK(fixture.sentHeader(1, "workspace") == "parents");
    fixture.configure(route(), { workspace("fitters", "k3") }, 3);
    CHECK(fixture.start({ { "workspace-key", "k1" } })->status() == 401);
}

TEST_CASE("an entry whose configuration is outdated doesn't judge a key that it doesn't know")
{
    IngressFixture fixture;
    fixture.configure(route(), { workspace("fitters", "k1") });
    fixture.parts.isConfigurationStale = true;
    auto client = fixture.start({ { "workspace-key", "k2" } });
    CHECK(client->status() == 503);
    CHECK(client->outcome() == "not-run");
    CHECK(retryAfter(*client) == "1");
    // No later version makes these a key.
    CHECK(fixture.start()->status() == 401);
    CHECK(fixture.start({ { "workspace-key", "a b" } })->status() == 401);
}

TEST_CASE("a forwarded request isn't judged again, and its key isn't sent along")
{
    IngressFixture fixture;
    fixture.configure(route({ "south" }), { workspace("fitters", "k1") });
    fixture.addEndpoint("e1", "south-a");
    fixture.addEntry("s", "south", 5);
    fixture.peerClient.handler = succeeding;
    fixture.runToEnd({ { "workspace-key", "k1" } });
    REQUIRE(fixture.peerClient.requests.size() == 1);
    CHECK(header(fixture.peerClient.requests[0], "catkinwing-workspace") == "fitters");
    for (const HttpHeader& field : fixture.peerClient.requests[0].headers.fields())
        CHECK(field.value != "k1");

    // The other entry's version doesn't contain the workspace any more, or not yet.
    IngressFixture other;
    other.configure(route(), { workspace("parents", "k9") });
    other.addEndpoint("e2");
    other.answers = { succeeding };
    CHECK(other.runToEnd({ { "catkinwing-workspace", "fitters" } }, true)->status() == 200);
    CHECK(other.sentHeader(0, "workspace") == "fitters");
}

TEST_CASE("a request runs only in regions that are homes of its route and of its workspace")
{
    struct Case {
        std::vector<std::string> ofRoute;
        std::vector<std::string> ofWorkspace;
        int status;
        std::size_t sentHere;
        std::size_t sentSouth;
    };
    const Case cases[] = {
        { {}, {}, 200, 1, 0 },
        { {}, { "north" }, 200, 1, 0 },
        { {}, { "south" }, 200, 0, 1 },
        { { "north", "south" }, { "south" }, 200, 0, 1 },
        { { "north" }, { "north", "south" }, 200, 1, 0 },
        { { "north" }, { "south" }, 503, 0, 0 },
    };
    for (const Case& homes : cases) {
        IngressFixture fixture;
        fixture.configure(route(homes.ofRoute), { workspace("fitters", "k1", homes.ofWorkspace) });
        fixture.addEndpoint("e1");
        fixture.addEndpoint("e2", "south-a");
        fixture.addEntry("s", "south", 5);
        fixture.answers = { succeeding };
        fixture.peerClient.handler = succeeding;
        CHECK(fixture.runToEnd({ { "workspace-key", "k1" } })->status() == homes.status);
        CHECK(fixture.endpointClient.requests.size() == homes.sentHere);
        CHECK(fixture.peerClient.requests.size() == homes.sentSouth);
    }
    // A forwarded request is held against the homes that this entry knows as well.
    IngressFixture receiver;
    receiver.configure(route(), { workspace("fitters", "k1", { "south" }) });
    receiver.addEndpoint("e1");
    receiver.answers = { succeeding };
    CHECK(receiver.runToEnd({ { "catkinwing-workspace", "fitters" } }, true)->status() == 503);
    CHECK(receiver.endpointClient.requests.empty());
}

TEST_CASE("the priority of the workspace goes before the priority of the route")
{
    IngressFixture fixture;
    fixture.addEndpoint("e1");
    fixture.answers = { succeeding };
    auto priorityOf = [&](std::optional<int> ofWorkspace, int ofRoute) {
        Route asked = route();
        asked.priority = ofRoute;
        Workspace fitters = workspace("fitters", "k1");
        fitters.priority = ofWorkspace;
        fixture.configure(asked, { fitters });
        fixture.runToEnd({ { "workspace-key", "k1" } });
        return std::stoi(fixture.sentHeader(fixture.endpointClient.requests.size() - 1, "priority"));
    };
    CHECK(priorityOf(std::nullopt, 2) == 2);
    CHECK(priorityOf(0, 2) < priorityOf(1, 0));
    CHECK(priorityOf(1, 0) < priorityOf(1, 1));
    CHECK(priorityOf(1, 2) < priorityOf(2, 0));
    CHECK(priorityOf(9, 9) == 9);
}

namespace {

/// An entry that is alone, with a limit on its only workspace.
struct LimitedEntry {
    explicit LimitedEntry(double perSecond)
        : credit(
            fixture.parts.entries, { "north", "north-a", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, { 8s, 0.1, 0 }, fixture.scheduler, fixture.random,
            [this]() -> const WorkspaceTable& { return fixture.parts.routes->workspaces(); }, [](const OutgoingDatagram&) {})
    {
        Workspace fitters = workspace("fitters", "k1");
        fitters.limit = { LimitUnit::Tokens, perSecond, perSecond, 200 };
        fixture.configure(route(), { fitters });
        fixture.addEndpoint("e1");
        fixture.parts.credit = &credit;
        credit.start();
    }
    void pass(Duration span)
    {
        for (Duration passed { 0 }; passed < span; passed += 100ms) {
            fixture.scheduler.advance(100ms);
            credit.tick();
        }
    }
    std::shared_ptr<FakeResponder> request(int tokens)
    {
        auto client = fixture.start({ { "workspace-key", "k1" }, { "tokens", std::to_string(tokens) } });
        fixture.scheduler.advance(20ms);
        return client;
    }

    IngressFixture fixture;
    CreditExchange credit;
};

} // namespace

TEST_CASE("a request above the limit of its workspace gets 429 at once with a time to return")
{
    LimitedEntry entry(1'000);
    entry.fixture.answers = { succeeding };
    entry.pass(3s);
    CHECK(entry.request(800)->status() == 200);
    auto refused = entry.request(5'000);
    CHECK(refused->status() == 429);
    CHECK(refused->outcome() == "not-run");
    CHECK(std::stod(retryAfter(*refused)) > 0);
    CHECK(entry.fixture.endpointClient.requests.size() == 1);
    entry.pass(2s);
    CHECK(entry.request(800)->status() == 200);
}

TEST_CASE("a request that wasn't executed leaves its credit to the next one")
{
    LimitedEntry entry(1'000);
    entry.fixture.answers = { refusing, refusing, refusing, refusing, succeeding };
    entry.pass(2s);
    CHECK(entry.request(900)->status() == 503);
    std::size_t sent = entry.fixture.endpointClient.requests.size();
    entry.fixture.answers.assign(sent + 1, refusing);
    entry.fixture.answers.back() = succeeding;
    CHECK(entry.request(900)->status() == 200);
}

TEST_CASE("a request without numbers of tokens counts as the plain number of its workspace")
{
    LimitedEntry entry(1'000);
    entry.fixture.answers = { succeeding };
    entry.pass(2s);
    int served = 0;
    for (int i = 0; i < 30; ++i) {
        auto client = entry.fixture.start({ { "workspace-key", "k1" } });
        entry.fixture.scheduler.advance(1ms);
        served += client->status() == 200 ? 1 : 0;
    }
    // 200 each of what has accrued in two seconds and lasts for 1.4 s at most.
    CHECK(served >= 4);
    CHECK(served <= 7);
}
