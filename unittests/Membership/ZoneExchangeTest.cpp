#include "FakeNetwork.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const std::vector<std::string> zoneNames { "perth-a", "perth-b", "bunbury-a" };

static SocketAddress addressOf(std::size_t zone, std::size_t entry)
{
    return { absl::StrCat("10.0.", zone, ".", entry), 7000 };
}

static std::string nameOf(std::size_t zone, std::size_t entry)
{
    return absl::StrCat(zoneNames[zone], "-", entry);
}

namespace {

// Three zones of three entries each; each zone knows one contact in the next zone.
class ThreeZones {
public:
    explicit ThreeZones(std::uint64_t seed)
        : network(seed)
    {
        for (std::size_t zone = 0; zone < zoneNames.size(); ++zone) {
            for (std::size_t entry = 0; entry < 3; ++entry) {
                nodes.push_back(&network.add(nameOf(zone, entry), zoneNames[zone], addressOf(zone, entry)));
                nodes.back()->membership->addCandidates({ { addressOf(zone, 0), zoneNames[zone], "" } });
                std::size_t next = (zone + 1) % zoneNames.size();
                nodes.back()->membership->addCandidates({ { addressOf(next, 0), zoneNames[next], "" } });
            }
        }
    }

    std::vector<FakeNode*> zone(std::size_t number) const { return { nodes[3 * number], nodes[3 * number + 1], nodes[3 * number + 2] }; }

    bool areAllReachable() const
    {
        return std::all_of(nodes.begin(), nodes.end(), [](FakeNode* node) {
            const std::vector<ZoneView>& zones = node->membership->view().zones;
            return zones.size() == 2 && std::all_of(zones.begin(), zones.end(), [](const ZoneView& view) { return view.isReachable && view.entries.size() == 3; });
        });
    }

    void partitionZones(std::size_t a, std::size_t b)
    {
        for (FakeNode* left : zone(a)) {
            for (FakeNode* right : zone(b))
                network.cut(*left, *right);
        }
    }

    FakeNetwork network;
    std::vector<FakeNode*> nodes;
};

} // namespace

TEST_CASE("all entries discover all zones and their entries")
{
    ThreeZones zones(21);
    CHECK(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    CHECK(zones.nodes[0]->zone("bunbury-a")->region == "bunbury");
}

TEST_CASE("the free capacity of a zone reaches the entries of the other zones")
{
    ThreeZones zones(22);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    LocalState state;
    state.models = { { "fitting", 7, 2, 1500ms } };
    for (FakeNode* node : zones.zone(2))
        node->membership->setLocalState(state);
    zones.network.advance(20s);
    for (std::size_t i = 0; i < 6; ++i) {
        const ZoneView* view = zones.nodes[i]->zone("bunbury-a");
        REQUIRE(view->models.size() == 1);
        CHECK(view->models[0].freeSlots == 7);
        CHECK(view->models[0].predictedWait == 1500ms);
        CHECK(zones.network.scheduler().clock().now() - view->madeAt < 18s);
    }
}

TEST_CASE("two zones without a contact of each other discover each other through a third")
{
    FakeNetwork network(23);
    for (std::size_t zone = 0; zone < zoneNames.size(); ++zone)
        network.add(nameOf(zone, 0), zoneNames[zone], addressOf(zone, 0));
    network.nodes()[0]->membership->addCandidates({ { addressOf(1, 0), "perth-b", "perth" } });
    network.nodes()[2]->membership->addCandidates({ { addressOf(1, 0), "", "" } });
    auto isKnown = [&] {
        const ZoneView* there = network.nodes()[0]->zone("bunbury-a");
        const ZoneView* back = network.nodes()[2]->zone("perth-a");
        return there && back && there->isReachable && back->isReachable;
    };
    CHECK(network.advanceUntil(40s, isKnown));
}

TEST_CASE("a terminated relay is replaced and digests continue")
{
    ThreeZones zones(24);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    zones.network.advance(20s);
    const std::string relay = zones.nodes[0]->zone("perth-b")->relays.front();
    std::vector<FakeNode*> left = zones.zone(0);
    auto dead = std::find_if(left.begin(), left.end(), [&](FakeNode* node) { return node->membership->self().ref.name == relay; });
    zones.network.kill(**dead);
    left.erase(dead);
    zones.network.advance(10s);
    for (int round = 0; round < 30; ++round) {
        zones.network.advance(1s);
        for (FakeNode* node : left) {
            CHECK(node->zone("perth-b")->isReachable);
            CHECK(node->zone("perth-b")->relays.front() != relay);
        }
    }
    CHECK(zones.network.advanceUntil(20s, [&] { return zones.nodes[8]->zone("perth-a")->entries.size() == 2; }));
}

TEST_CASE("the standby relay takes over when the first can't reach the zone")
{
    ThreeZones zones(25);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    const std::string relay = zones.nodes[0]->zone("perth-b")->relays.front();
    for (FakeNode* node : zones.zone(0)) {
        if (node->membership->self().ref.name != relay)
            continue;
        for (FakeNode* other : zones.zone(1))
            zones.network.cut(*node, *other);
    }
    for (int round = 0; round < 60; ++round) {
        zones.network.advance(1s);
        for (FakeNode* node : zones.zone(0))
            CHECK(node->zone("perth-b")->isReachable);
    }
}

TEST_CASE("zones that are cut off become unreachable, and reachable again after the cut")
{
    ThreeZones zones(26);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    zones.partitionZones(0, 2);
    zones.partitionZones(1, 2);
    zones.network.advance(70s);
    for (std::size_t i = 0; i < 6; ++i) {
        CHECK_FALSE(zones.nodes[i]->zone("bunbury-a")->isReachable);
        CHECK(zones.nodes[i]->zone(i < 3 ? "perth-b" : "perth-a")->isReachable);
        for (const MemberView& member : zones.nodes[i]->membership->view().members)
            CHECK(member.isUsable());
    }
    zones.network.heal();
    CHECK(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
}

TEST_CASE("zones stay reachable at 10% message loss")
{
    ThreeZones zones(27);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    zones.network.loss = 0.1;
    for (int round = 0; round < 300; ++round) {
        zones.network.advance(1s);
        CHECK(zones.areAllReachable());
    }
}

TEST_CASE("a draining entry is marked as draining in the other zones within 6 s")
{
    ThreeZones zones(28);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    zones.network.advance(20s);
    zones.nodes[6]->membership->startDraining();
    auto isDrainingAt = [](FakeNode* node) {
        const std::vector<ZoneEntry>& entries = node->zone("bunbury-a")->entries;
        return std::any_of(entries.begin(), entries.end(), [](const ZoneEntry& entry) { return entry.ref.name == "bunbury-a-0" && entry.draining; });
    };
    CHECK(zones.network.advanceUntil(6s, [&] { return std::all_of(zones.nodes.begin(), zones.nodes.begin() + 6, isDrainingAt); }));
}

TEST_CASE("tokens served in a zone are reported only to zones of the same region")
{
    ThreeZones zones(29);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    LocalState state;
    state.served = { { "renewals", 500 } };
    zones.nodes[0]->membership->setLocalState(state);
    zones.network.advance(40s);
    state.served[0].tokens = 1500;
    zones.nodes[0]->membership->setLocalState(state);
    zones.network.advance(40s);
    for (std::size_t i = 1; i < zones.nodes.size(); ++i) {
        INFO(i);
        CHECK(zones.nodes[i]->servedElsewhere["renewals"] == (i < 6 ? 1500 : 0));
    }
}

TEST_CASE("a resumed entry regards no zone as reachable until new digests arrive")
{
    ThreeZones zones(30);
    REQUIRE(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
    zones.nodes[4]->scheduler.pause();
    zones.network.advance(60s);
    zones.nodes[4]->scheduler.resume();
    CHECK_FALSE(zones.nodes[4]->zone("perth-a")->isReachable);
    CHECK_FALSE(zones.nodes[4]->zone("bunbury-a")->isReachable);
    CHECK(zones.network.advanceUntil(20s, [&] { return zones.areAllReachable(); }));
}
