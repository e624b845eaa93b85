// Tests the findings about a configuration before it is sent. Each guards against a configuration
// that is accepted and then doesn't do what its author meant.
#include "catkinwing/Config/RouteTableCheck.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// A configuration without findings, of which a test changes one thing.
struct Parts {
    Parts()
    {
        Route route;
        route.name = "r1";
        route.host = "a.example";
        route.prefix = "/p/";
        route.kind = RequestKind::Streaming;
        route.timeout = 6s;
        route.latencyTarget = 500ms;
        route.eventPause = 600ms;
        route.isResumable = true;
        route.services = { { "model", 1 } };
        route.homeRegions = { "north", "south" };
        routes = { route };
        ServiceSettings service;
        service.name = "model";
        service.maxConnections = 100;
        service.slots = 12;
        service.warmup = 10s;
        service.coldRequestsPerSecond = 3;
        service.tokenBytes = 1'000;
        service.transferBitsPerSecond = 1e9;
        services = { service };
        Workspace workspace;
        workspace.name = "fitters";
        workspace.keys = { digestKey("k1") };
        workspace.limit = { LimitUnit::Tokens, 1'000, 2'000, 200 };
        workspace.homeRegions = { "south" };
        workspaces = { workspace };
    }
    RouteTable table(std::int64_t version = 2) const { return RouteTable(version, routes, services, {}, WorkspaceTable(workspaces)); }
    std::vector<ConfigFinding> check() const { return checkRouteTable(table()); }

    std::vector<Route> routes;
    std::vector<ServiceSettings> services;
    std::vector<Workspace> workspaces;
};

} // namespace

static ServiceSettings serviceNamed(const std::string& name)
{
    ServiceSettings service;
    service.name = name;
    return service;
}

/// Checks that the only finding is about \p subject and of the given kind.
static void checkOnly(const std::vector<ConfigFinding>& findings, FindingKind kind, const std::string& subject)
{
    CAPTURE(subject);
    REQUIRE(findings.size() == 1);
    CAPTURE(findings[0].message);
    CHECK(findings[0].kind == kind);
    CHECK(findings[0].subject == subject);
}

TEST_CASE("a sound configuration has no findings, nor has an empty one")
{
    CHECK(Parts().check().empty());
    CHECK(checkRouteTable(RouteTable()).empty());
}

TEST_CASE("routes, services and workspaces that no request can match are found")
{
    Parts shadowed;
    shadowed.routes.push_back(shadowed.routes[0]);
    shadowed.routes[1].name = "r2";
    shadowed.routes[1].host = "A.example:80";
    checkOnly(shadowed.check(), FindingKind::NeverMatches, "route r2");
    // A longer prefix is another route.
    shadowed.routes[1].prefix = "/p/q/";
    CHECK(shadowed.check().empty());

    Parts unused;
    unused.services.push_back(serviceNamed("other"));
    checkOnly(unused.check(), FindingKind::NeverMatches, "service other");

    Parts keyless;
    keyless.workspaces[0].keys.clear();
    checkOnly(keyless.check(), FindingKind::NeverMatches, "workspace fitters");

    Parts weightless;
    weightless.services.push_back(serviceNamed("other"));
    weightless.routes[0].services = { { "model", 1 }, { "other", 0 } };
    checkOnly(weightless.check(), FindingKind::NeverMatches, "route r1");

    Parts plain;
    plain.routes[0].kind = RequestKind::Idempotent;
    plain.routes[0].eventPause = 0ms;
    checkOnly(plain.check(), FindingKind::NeverMatches, "route r1");

    Parts withoutKeys;
    withoutKeys.workspaces.clear();
    withoutKeys.routes[0].isPublic = true;
    checkOnly(withoutKeys.check(), FindingKind::NeverMatches, "route r1");
}

TEST_CASE("requests that a configuration would refuse are errors")
{
    Parts unknown;
    unknown.routes.push_back(unknown.routes[0]);
    unknown.routes[1].name = "r2";
    unknown.routes[1].prefix = "/q/";
    unknown.routes[1].services = { { "missing", 1 } };
    checkOnly(unknown.check(), FindingKind::Error, "route r2");

    Parts homeless;
    homeless.workspaces[0].homeRegions = { "west" };
    checkOnly(homeless.check(), FindingKind::Error, "workspace fitters");

    Parts never;
    never.routes[0].attempts = 0;
    checkOnly(never.check(), FindingKind::Error, "route r1");
}

TEST_CASE("limits that contradict each other are found")
{
    Parts late;
    late.routes[0].latencyTarget = 7s;
    checkOnly(late.check(), FindingKind::Contradiction, "route r1");

    Parts slow;
    slow.routes[0].eventPause = 7s;
    checkOnly(slow.check(), FindingKind::Contradiction, "route r1");

    Parts narrow;
    narrow.services[0].maxConnections = 5;
    checkOnly(narrow.check(), FindingKind::Contradiction, "service model");

    Parts half;
    half.services[0].tokenBytes = 0;
    checkOnly(half.check(), FindingKind::Contradiction, "service model");

    Parts warm;
    warm.services[0].warmup = 0ms;
    checkOnly(warm.check(), FindingKind::Contradiction, "service model");

    Parts small;
    small.workspaces[0].limit = { LimitUnit::Tokens, 100, 100, 200 };
    checkOnly(small.check(), FindingKind::Contradiction, "workspace fitters");

    Parts unlimited;
    unlimited.workspaces[0].limit = { LimitUnit::Tokens, 0, 100, 200 };
    checkOnly(unlimited.check(), FindingKind::Contradiction, "workspace fitters");

    Parts sameName;
    sameName.routes.push_back(sameName.routes[0]);
    sameName.routes[1].prefix = "/q/";
    checkOnly(sameName.check(), FindingKind::Contradiction, "route r1");
}

TEST_CASE("a configuration that entries would ignore, or that opens all routes, is an error")
{
    Parts parts;
    CHECK(checkReplacement(parts.table(1), parts.table(2)).empty());
    checkOnly(checkReplacement(parts.table(2), parts.table(2)), FindingKind::Error, "version");
    Parts open;
    open.workspaces.clear();
    checkOnly(checkReplacement(parts.table(1), open.table(2)), FindingKind::Error, "workspaces");
}
