#include "catkinwing/Gateway/ShardCoordinator.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <set>

using namespace catkinwing;

static MemberView member(const std::string& name)
{
    MemberView view;
    view.identity.ref.name = name;
    view.state = MemberState::Live;
    view.receivesOurMessages = true;
    return view;
}

static ZoneView zone(const std::string& region, const std::string& entry)
{
    ZoneView view;
    view.region = region;
    view.isReachable = true;
    view.entries.push_back({ { entry, {} }, {}, {}, false });
    return view;
}

static std::set<std::string> coordinators(const std::string& self, const MembershipView& view)
{
    EntryIdentity identity { { self, {} }, "a", "north", {}, {}, {} };
    std::set<std::string> names;
    for (unsigned shard = 0; shard < 64; ++shard)
        names.insert(shardCoordinator(identity, view, shard));
    return names;
}

TEST_CASE("coordinators are the usable entries of the own region")
{
    MembershipView view;
    view.members = { member("a-2"), member("a-3") };
    view.zones = { zone("north", "b-1"), zone("south", "c-1") };
    CHECK(coordinators("a-1", view) == std::set<std::string> { "a-1", "a-2", "a-3", "b-1" });
    view.members[0].state = MemberState::Suspect;
    view.members[1].draining = true;
    CHECK(coordinators("a-1", view) == std::set<std::string> { "a-1", "b-1" });
    view.zones[0].isReachable = false;
    CHECK(coordinators("a-1", view) == std::set<std::string> { "a-1" });
    view.zones[0].isReachable = true;
    view.draining = true;
    CHECK(coordinators("a-1", view) == std::set<std::string> { "b-1" });
    view.zones[0].entries[0].draining = true;
    CHECK(coordinators("a-1", view) == std::set<std::string> { "a-1" });
}

TEST_CASE("entries of two zones of a region agree on the coordinator")
{
    MembershipView first;
    first.members = { member("a-2") };
    first.zones = { zone("north", "b-1") };
    MembershipView second;
    second.zones = { zone("north", "a-1") };
    second.zones[0].entries.push_back({ { "a-2", {} }, {}, {}, false });
    for (unsigned shard = 0; shard < 16; ++shard)
        CHECK(shardCoordinator({ { "a-1", {} }, "a", "north", {}, {}, {} }, first, shard) == shardCoordinator({ { "b-1", {} }, "b", "north", {}, {}, {} }, second, shard));
}
