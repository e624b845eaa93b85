#include "catkinwing/Config/RouteTable.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static Route route(std::string name, std::string host, std::string prefix, std::vector<std::string> homes = {})
{
    Route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.services = { { "service", 1 } };
    route.homeRegions = std::move(homes);
    return route;
}

static std::string found(const RouteTable& table, absl::string_view host, absl::string_view path)
{
    const Route* route = table.find(host, path);
    return route ? route->name : "";
}

TEST_CASE("the longest prefix of the host selects the route")
{
    RouteTable table(3, { route("all", "a.example", "/"), route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/") }, {}, {});
    CHECK(found(table, "a.example", "/x/y/z") == "long");
    CHECK(found(table, "a.example", "/x/y/") == "long");
    CHECK(found(table, "a.example", "/x/y") == "short");
    CHECK(found(table, "a.example", "/x") == "all");
    CHECK(found(table, "b.example", "/x/y/z/1") == "other");
    CHECK(found(table, "b.example", "/x/").empty());
    CHECK(found(table, "c.example", "/").empty());
    CHECK(found(table, "a.example", "").empty());
}

TEST_CASE("hosts compare without case and port")
{
    RouteTable table(1, { route("r", "A.Example", "/") }, {}, {});
    CHECK(found(table, "a.EXAMPLE:8080", "/1") == "r");
}

TEST_CASE("the homes of a host are those that most of its bound routes allow")
{
    RouteTable table(1, { route("a", "h", "/a/", { "north", "south" }), route("b", "h", "/b/"), route("c", "h", "/c/", { "south", "west" }), route("d", "g", "/", { "east" }), route("e", "k", "/a/", { "north", "south" }), route("f", "k", "/b/", { "north", "south" }), route("g", "k", "/c/", { "west" }) }, {}, {});
    CHECK(homesOf(table, "h").regions == std::vector<std::string> { "south" });
    CHECK(homesOf(table, "g").regions == std::vector<std::string> { "east" });
    CHECK(homesOf(table, "k").regions == std::vector<std::string> { "north", "south" });
    CHECK(homesOf(table, "f").regions.empty());
    CHECK_FALSE(homesOf(table, "h").bindsAll);
    CHECK(homesOf(table, "g").bindsAll);
    CHECK(homesOf(table, "k").bindsAll);
    CHECK_FALSE(homesOf(table, "f").bindsAll);
}

TEST_CASE("only idempotent requests and streams that resume may be repeated")
{
    Route any;
    any.kind = RequestKind::Idempotent;
    CHECK(mayRepeat(any));
    any.kind = RequestKind::NonIdempotent;
    any.isResumable = true;
    CHECK_FALSE(mayRepeat(any));
    any.kind = RequestKind::Streaming;
    CHECK(mayRepeat(any));
    any.isResumable = false;
    CHECK_FALSE(mayRepeat(any));
}

static Route promptRoute(std::string name, int priority, std::chrono::milliseconds target)
{
    Route prompts = route(std::move(name), "h", "/" + std::to_string(priority) + "/");
    prompts.kind = RequestKind::Streaming;
    prompts.hasPromptAffinity = true;
    prompts.priority = priority;
    prompts.latencyTarget = target;
    return prompts;
}

// What is built for mixed prompts must not change how other deployments are served.
TEST_CASE("a service serves mixed prompts if its most urgent streams have the shortest target")
{
    using namespace std::chrono_literals;
    auto isMixed = [](std::vector<Route> routes) {
        RouteTable table(1, std::move(routes), {}, {});
        CHECK(homesOf(table, "h").hasTightTargets == table.servesMixedPrompts("service"));
        CHECK_FALSE(homesOf(table, "g").hasTightTargets);
        return table.servesMixedPrompts("service");
    };
    CHECK(isMixed({ promptRoute("short", 0, 500ms), promptRoute("long", 2, 1'500ms) }));
    CHECK(isMixed({ promptRoute("short", 0, 500ms), promptRoute("long", 2, 0ms) }));
    CHECK_FALSE(isMixed({ promptRoute("short", 0, 1'200ms), promptRoute("long", 1, 1'000ms) }));
    CHECK_FALSE(isMixed({ promptRoute("short", 0, 500ms), promptRoute("long", 1, 500ms) }));
    CHECK_FALSE(isMixed({ promptRoute("short", 0, 0ms), promptRoute("long", 1, 500ms) }));
    CHECK_FALSE(isMixed({ promptRoute("short", 0, 500ms) }));
    CHECK_FALSE(isMixed({ promptRoute("short", 0, 500ms), route("plain", "h", "/p/") }));
}
