#include "FakeNetwork.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static SocketAddress addressOf(int number)
{
    return { absl::StrCat("10.0.0.", number), 7000 };
}

static const std::string zoneName = "perth-a";

// Starts entries e1 to eN; each knows only the address of e1.
static std::vector<FakeNode*> startZone(FakeNetwork& network, int count)
{
    std::vector<FakeNode*> nodes;
    for (int i = 1; i <= count; ++i) {
        nodes.push_back(&network.add(absl::StrCat("e", i), zoneName, addressOf(i)));
        nodes.back()->membership->addCandidates({ { addressOf(1), "", "" } });
    }
    return nodes;
}

static bool allMembersUsable(const std::vector<FakeNode*>& nodes)
{
    for (FakeNode* node : nodes) {
        for (FakeNode* other : nodes) {
            if (node != other && !node->regardsAsUsable(other->membership->self().ref.name))
                return false;
        }
    }
    return true;
}

static MemberState stateAt(FakeNode& node, const std::string& name)
{
    const MemberView* view = node.member(name);
    REQUIRE(view);
    return view->state;
}

TEST_CASE("entries that know the same seed discover each other")
{
    FakeNetwork network(1);
    std::vector<FakeNode*> nodes = startZone(network, 9);
    CHECK(network.advanceUntil(4s, [&] { return allMembersUsable(nodes); }).has_value());
}

TEST_CASE("an entry alone in its zone has no members and reports no pause")
{
    FakeNetwork network(2);
    std::vector<FakeNode*> nodes = startZone(network, 1);
    network.advance(60s);
    CHECK(nodes[0]->membership->view().members.empty());
    CHECK(nodes[0]->pauses.empty());
}

TEST_CASE("no member is considered dead within an hour at 2% message loss")
{
    FakeNetwork network(3);
    std::vector<FakeNode*> nodes = startZone(network, 5);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.loss = 0.02;
    network.advance(1h);
    for (FakeNode* node : nodes)
        CHECK(node->membership->counters().membersDied == 0);
}

TEST_CASE("a terminated entry becomes unusable, suspect and dead within bounded times")
{
    FakeNetwork network(4);
    std::vector<FakeNode*> nodes = startZone(network, 9);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.advance(10s);
    // The entry with the lowest name starts the exchanges with all others, so its
    // termination is detected later than that of any other entry.
    network.kill(*nodes[0]);
    nodes.erase(nodes.begin());
    const TimePoint killedAt = network.scheduler().clock().now();
    auto timeUntilAll = [&](auto condition) {
        REQUIRE(network.advanceUntil(20s, [&] { return std::all_of(nodes.begin(), nodes.end(), condition); }));
        return network.scheduler().clock().now() - killedAt;
    };
    // The bound covers the delay of the side that doesn't normally start exchanges (4/3 of
    // 2.4 s), a retry after 0.5 s, 10% jitter on both and two timer ticks.
    CHECK(timeUntilAll([](FakeNode* node) { return !node->regardsAsUsable("e1"); }) <= 4500ms);
    // The bounds cover two and four intervals and a timer tick.
    CHECK(timeUntilAll([](FakeNode* node) { return stateAt(*node, "e1") >= MemberState::Suspect; }) <= 5100ms);
    CHECK(timeUntilAll([](FakeNode* node) { return stateAt(*node, "e1") == MemberState::Dead; }) <= 9900ms);
    CHECK(allMembersUsable(nodes));
}

TEST_CASE("an entry that announces its exit is dead to all members immediately")
{
    FakeNetwork network(5);
    std::vector<FakeNode*> nodes = startZone(network, 4);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    nodes[3]->membership->announceExit();
    network.advance(20ms);
    for (int i = 0; i < 3; ++i)
        CHECK(stateAt(*nodes[i], "e4") == MemberState::Dead);
}

TEST_CASE("a paused entry discards its views and reports the pause before it handles messages")
{
    FakeNetwork network(6);
    std::vector<FakeNode*> nodes = startZone(network, 4);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    FakeNode& paused = *nodes[2];
    const Incarnation incarnation = paused.membership->self().ref.incarnation;
    paused.scheduler.pause();
    network.advance(30s);
    CHECK(stateAt(*nodes[0], "e3") == MemberState::Dead);
    paused.scheduler.resume();
    REQUIRE(paused.pauses.size() == 1);
    CHECK(paused.pauses[0] > 29s);
    CHECK(paused.pauses[0] <= 30s);
    // Messages queued during the pause don't show that their senders are live now.
    for (const char* name : { "e1", "e2", "e4" })
        CHECK_FALSE(paused.regardsAsUsable(name));
    CHECK(network.advanceUntil(15s, [&] { return allMembersUsable(nodes); }));
    CHECK(paused.membership->self().ref.incarnation == incarnation);
    CHECK(nodes[0]->member("e3")->pauses == 1);
    CHECK(paused.pauses.size() == 1);
}

TEST_CASE("an explicit check reports a pause before any timer runs")
{
    FakeNetwork network(7);
    std::vector<FakeNode*> nodes = startZone(network, 2);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    nodes[0]->scheduler.pause();
    network.advance(5s);
    nodes[0]->membership->checkForPause();
    CHECK(nodes[0]->pauses.size() == 1);
    CHECK_FALSE(nodes[0]->regardsAsUsable("e2"));
}

TEST_CASE("a delay below the pause threshold isn't reported as a pause")
{
    FakeNetwork network(8);
    std::vector<FakeNode*> nodes = startZone(network, 2);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    nodes[0]->scheduler.pause();
    network.advance(900ms);
    nodes[0]->scheduler.resume();
    CHECK(nodes[0]->pauses.empty());
}

TEST_CASE("neither side of a one-way network cut regards the other as usable")
{
    FakeNetwork network(9);
    std::vector<FakeNode*> nodes = startZone(network, 4);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.cutOneWay(*nodes[0], *nodes[1]);
    CHECK(network.advanceUntil(6s, [&] { return !nodes[0]->regardsAsUsable("e2") && !nodes[1]->regardsAsUsable("e1"); }));
    network.advance(30s);
    CHECK_FALSE(nodes[0]->regardsAsUsable("e2"));
    CHECK_FALSE(nodes[1]->regardsAsUsable("e1"));
    CHECK(nodes[0]->regardsAsUsable("e3"));
    CHECK(nodes[2]->regardsAsUsable("e1"));
    CHECK(nodes[2]->regardsAsUsable("e2"));
    network.heal();
    CHECK(network.advanceUntil(15s, [&] { return allMembersUsable(nodes); }));
}

TEST_CASE("an entry at a reused address doesn't take over the identity of the earlier one")
{
    FakeNetwork network(10);
    std::vector<FakeNode*> nodes = startZone(network, 3);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.kill(*nodes[2]);
    FakeNode& successor = network.add("other", zoneName, addressOf(3));
    successor.membership->addCandidates({ { addressOf(1), "", "" } });
    nodes[2] = &successor;
    REQUIRE(network.advanceUntil(5s, [&] { return nodes[0]->regardsAsUsable("other") && nodes[1]->regardsAsUsable("other"); }));
    CHECK(stateAt(*nodes[0], "e3") == MemberState::Dead);
    CHECK_FALSE(nodes[1]->regardsAsUsable("e3"));
    network.advance(60s);
    CHECK(stateAt(*nodes[0], "e3") == MemberState::Dead);
    CHECK(allMembersUsable(nodes));
}

TEST_CASE("a later run of a name replaces the earlier one")
{
    FakeNetwork network(11);
    std::vector<FakeNode*> nodes = startZone(network, 3);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.advance(5s);
    FakeNode& later = network.add("e3", zoneName, addressOf(30));
    later.membership->addCandidates({ { addressOf(1), "", "" } });
    REQUIRE(network.advanceUntil(10s, [&] { return nodes[2]->isSuperseded; }));
    nodes[2] = &later;
    CHECK(network.advanceUntil(5s, [&] { return allMembersUsable(nodes); }));
    CHECK(nodes[0]->member("e3")->identity.ref == later.membership->self().ref);
}

TEST_CASE("an earlier run that resumes after its successor started is refused and superseded")
{
    FakeNetwork network(12);
    std::vector<FakeNode*> nodes = startZone(network, 3);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    nodes[2]->scheduler.pause();
    network.advance(20s);
    FakeNode& later = network.add("e3", zoneName, addressOf(30));
    later.membership->addCandidates({ { addressOf(1), "", "" } });
    network.advance(10s);
    nodes[2]->scheduler.resume();
    CHECK(network.advanceUntil(2s, [&] { return nodes[2]->isSuperseded; }));
    CHECK(nodes[0]->member("e3")->identity.ref == later.membership->self().ref);
    CHECK_FALSE(later.isSuperseded);
    CHECK(nodes[0]->membership->counters().oldIncarnationsRefused + nodes[1]->membership->counters().oldIncarnationsRefused > 0);
}

TEST_CASE("a run whose clock is behind its dead predecessor's joins with a raised incarnation")
{
    FakeNetwork network(13);
    std::vector<FakeNode*> nodes = startZone(network, 2);
    FakeNode& early = network.add("e3", zoneName, addressOf(3), 1000000);
    early.membership->addCandidates({ { addressOf(1), "", "" } });
    nodes.push_back(&early);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.kill(early);
    FakeNode& late = network.add("e3", zoneName, addressOf(3), 500);
    late.membership->addCandidates({ { addressOf(1), "", "" } });
    nodes[2] = &late;
    CHECK(network.advanceUntil(15s, [&] { return allMembersUsable(nodes); }));
    CHECK(late.membership->self().ref.incarnation.start == 1000001);
    CHECK_FALSE(late.isSuperseded);
}

TEST_CASE("both sides of a partition keep working and merge when it heals")
{
    FakeNetwork network(14);
    std::vector<FakeNode*> nodes = startZone(network, 6);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    std::vector<FakeNode*> left(nodes.begin(), nodes.begin() + 3);
    std::vector<FakeNode*> right(nodes.begin() + 3, nodes.end());
    for (FakeNode* a : left) {
        for (FakeNode* b : right)
            network.cut(*a, *b);
    }
    network.advance(1h);
    CHECK(allMembersUsable(left));
    CHECK(allMembersUsable(right));
    CHECK(stateAt(*left[0], "e6") == MemberState::Dead);
    FakeNode& joiner = network.add("e7", zoneName, addressOf(7));
    joiner.membership->addCandidates({ { addressOf(6), "", "" } });
    network.advance(10s);
    network.heal();
    nodes.push_back(&joiner);
    CHECK(network.advanceUntil(20s, [&] { return allMembersUsable(nodes); }));
}

TEST_CASE("a drain reaches the members of the zone although messages are lost")
{
    FakeNetwork network(15);
    std::vector<FakeNode*> nodes = startZone(network, 5);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.loss = 0.5;
    nodes[1]->membership->startDraining();
    auto isDrainingEntryUnused = [&] {
        return std::all_of(nodes.begin(), nodes.end(), [&](FakeNode* node) { return node == nodes[1] || !node->regardsAsUsable("e2"); });
    };
    CHECK(network.advanceUntil(10s, isDrainingEntryUnused));
    network.loss = 0;
    network.advance(10s);
    CHECK(isDrainingEntryUnused());
    CHECK(nodes[0]->member("e2")->draining);
    CHECK(stateAt(*nodes[0], "e2") == MemberState::Live);
    CHECK(nodes[0]->member("e2")->receivesOurMessages);
}

TEST_CASE("a leaving run of an endpoint is announced to the zone within two seconds")
{
    FakeNetwork network(16);
    std::vector<FakeNode*> nodes = startZone(network, 9);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    network.cut(*nodes[0], *nodes[5]);
    network.loss = 0.1;
    nodes[0]->membership->reportLeaving({ "replica-7", "run-1" });
    network.advance(2s);
    network.loss = 0;
    for (int i : { 1, 2, 3, 4, 6, 7, 8 }) {
        INFO(i);
        REQUIRE(nodes[i]->leaving.size() == 1);
        CHECK(nodes[i]->leaving[0] == EndpointLeaving { "replica-7", "run-1" });
    }
    // The other members forward the announcement to the entry that could not receive it
    // directly, and each entry reports the announcement once.
    network.advance(4s);
    CHECK(nodes[5]->leaving.size() == 1);
    CHECK(nodes[1]->leaving.size() == 1);
    nodes[3]->membership->reportLeaving({ "replica-7", "run-2" });
    network.advance(2s);
    CHECK(nodes[1]->leaving.size() == 2);
    FakeNode& joiner = network.add("e10", zoneName, addressOf(10));
    joiner.membership->addCandidates({ { addressOf(1), "", "" } });
    network.advance(5s);
    CHECK(joiner.leaving.size() == 2);
}

TEST_CASE("a configuration that differs is reported with the peer, at a bounded rate")
{
    FakeNetwork network(17);
    std::vector<FakeNode*> nodes = startZone(network, 2);
    LocalState state;
    state.configDigest = 1;
    for (FakeNode* node : nodes)
        node->membership->setLocalState(state);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    nodes[0]->configPeers.clear();
    network.advance(10s);
    CHECK(nodes[0]->configPeers.empty());
    state.configDigest = 2;
    nodes[1]->membership->setLocalState(state);
    network.advance(10s);
    REQUIRE_FALSE(nodes[0]->configPeers.empty());
    CHECK(nodes[0]->configPeers.size() <= 10);
    CHECK(nodes[0]->configPeers[0].peerAddress == addressOf(2));
    CHECK(nodes[0]->configPeers[0].configDigest == 2);
}

TEST_CASE("demand, load and served tokens reach the members although messages are lost")
{
    FakeNetwork network(18);
    std::vector<FakeNode*> nodes = startZone(network, 3);
    REQUIRE(network.advanceUntil(10s, [&] { return allMembersUsable(nodes); }));
    LocalState state;
    state.demand = { { "fitting", 12 } };
    state.load = { { "replica-1", 3 }, { "replica-2", 4 } };
    for (int i = 0; i < 20; ++i)
        state.served.push_back({ absl::StrCat("team-", i), 1 });
    nodes[0]->membership->setLocalState(state);
    network.advance(20s);
    network.loss = 0.2;
    state.load = { { "replica-2", 5 } };
    for (TeamTokens& served : state.served)
        served.tokens += 1000;
    nodes[0]->membership->setLocalState(state);
    network.advance(60s);
    const MemberView* view = nodes[2]->member("e1");
    REQUIRE(view);
    REQUIRE(view->demand.size() == 1);
    CHECK(view->demand[0].requests == 12);
    REQUIRE(view->load.size() == 1);
    CHECK(view->load[0].endpoint == "replica-2");
    CHECK(view->load[0].inFlight == 5);
    for (int i = 0; i < 20; ++i)
        CHECK(nodes[2]->servedElsewhere[absl::StrCat("team-", i)] == 1001);
}
