#include "catkinwing/Routing/Forwarding.h"

#include <catch2/catch.hpp>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

static const TimePoint start { 1h };

static RemoteCellView makeRemote(const std::string& region, const std::string& zone, Duration wait)
{
    RemoteCellView cell;
    cell.region = region;
    cell.zone = zone;
    cell.digestAt = start;
    cell.roundTripTime = region == "caldas" ? 2ms : 110ms;
    cell.models["m"] = { 10, wait, 10000, 0 };
    return cell;
}

/// An entry of the zone caldas-1 and the inputs of its decisions.
struct Origin {
    RoutingRequest request;
    ForwardPolicy policy;
    ForwardState state;
    Random random { 1 };
    std::vector<RemoteCellView> cells { makeRemote("caldas", "caldas-2", 0ms), makeRemote("valle", "valle-1", 0ms) };
    TimePoint now { start };

    Origin()
    {
        request.model = "m";
        request.residency = Residency::within({ "caldas", "valle" });
    }

    ForwardDecision decide(std::optional<Duration> local)
    {
        return decideForward({ request, "caldas-1", "caldas", local, cells, policy, now }, state, random);
    }

    std::string decideTarget(std::optional<Duration> local)
    {
        ForwardDecision decision = decide(local);
        if (const auto* forward = std::get_if<Forward>(&decision))
            return cells[forward->cell].zone;
        return toString(std::get<KeepLocal>(decision).reason);
    }
};

TEST_CASE("another zone of the region is preferred to another region")
{
    Origin origin;
    CHECK(origin.decideTarget(5s) == "caldas-2");
    origin.cells[0].models["m"].predictedWait = 5s;
    CHECK(origin.decideTarget(5s) == "valle-1");
    CHECK(origin.decideTarget(100ms) == "gain-too-small");
    CHECK(origin.decideTarget(std::nullopt) == "caldas-2");
}

TEST_CASE("nothing is forwarded to cells that are draining, unreachable, full, lack the model or have an old digest")
{
    Origin origin;
    origin.cells.resize(1);
    RemoteCellView healthy = origin.cells[0];
    origin.cells[0].draining = true;
    CHECK(origin.decideTarget(5s) == "no-candidate");
    origin.cells[0] = healthy;
    origin.cells[0].reachable = false;
    CHECK(origin.decideTarget(5s) == "no-candidate");
    origin.cells[0] = healthy;
    origin.cells[0].models["m"].freeSlots = 0;
    CHECK(origin.decideTarget(5s) == "no-candidate");
    origin.cells[0] = healthy;
    origin.cells[0].models.clear();
    CHECK(origin.decideTarget(5s) == "no-candidate");
    origin.cells[0] = healthy;
    origin.now = start + 11s;
    CHECK(origin.decideTarget(5s) == "no-candidate");
}

TEST_CASE("forwarding starts at the threshold and stops below a fraction of it")
{
    Origin origin;
    origin.cells.erase(origin.cells.begin());
    CHECK(origin.decideTarget(450ms) == "gain-too-small");
    CHECK(origin.decideTarget(600ms) == "valle-1");
    CHECK(origin.decideTarget(450ms) == "valle-1");
    CHECK(origin.decideTarget(250ms) == "gain-too-small");
    CHECK(origin.decideTarget(450ms) == "gain-too-small");
}

TEST_CASE("the share forwarded to other regions raises the threshold for regions only")
{
    Origin origin;
    for (int i = 0; i < 10; ++i)
        recordRouted(origin.state, origin.policy, true, start);
    CHECK(crossRegionShare(origin.state) == 1);
    CHECK(origin.decideTarget(800ms) == "caldas-2");
    origin.cells.erase(origin.cells.begin());
    CHECK(origin.decideTarget(800ms) == "gain-too-small");
    for (int i = 0; i < 1000; ++i)
        recordRouted(origin.state, origin.policy, false, start + 5min);
    CHECK(crossRegionShare(origin.state) < 0.001);
    CHECK(origin.decideTarget(800ms) == "valle-1");
}

TEST_CASE("a request that would miss its deadline here is forwarded to a cell that can meet it")
{
    Origin origin;
    origin.cells.erase(origin.cells.begin());
    origin.request.timeLeft = 300ms;
    CHECK(origin.decideTarget(350ms) == "valle-1");
    origin.request.timeLeft = 50ms;
    CHECK(origin.decideTarget(350ms) == "no-candidate");
}

TEST_CASE("forwards based on one digest are limited to this entry's share of the free slots")
{
    Origin origin;
    origin.policy.senders = 5;
    origin.cells.resize(1);
    int forwards = 0;
    while (origin.decideTarget(5s) == "caldas-2") {
        recordForward(origin.cells[0], "m");
        forwards += 1;
    }
    CHECK(forwards == 2);
}

TEST_CASE("a forward that ended frees its slot, unless a newer digest accounts for it")
{
    Origin origin;
    origin.cells.resize(1);
    origin.cells[0].models["m"].freeSlots = 1;
    recordForward(origin.cells[0], "m");
    CHECK(origin.decideTarget(5s) == "no-candidate");
    recordForwardEnded(origin.cells[0], "m", start);
    CHECK(origin.decideTarget(5s) == "caldas-2");
    recordForwardEnded(origin.cells[0], "m", start);
    CHECK(origin.cells[0].models["m"].forwardsSinceDigest == 0);

    origin.cells[0].digestAt = start + 3s;
    recordForward(origin.cells[0], "m");
    recordForwardEnded(origin.cells[0], "m", start);
    recordForwardEnded(origin.cells[0], "other", start + 3s);
    CHECK(origin.cells[0].models["m"].forwardsSinceDigest == 1);
}

TEST_CASE("entries that share a digest divide its free slots among them")
{
    Random random(77);
    ForwardPolicy policy;
    policy.senders = 50;
    unsigned total = 0;
    for (int sender = 0; sender < 50; ++sender) {
        RemoteCellView cell = makeRemote("valle", "valle-1", 0ms);
        cell.digestDither = random.unit();
        total += forwardAllowance(cell, cell.models["m"], policy, start);
    }
    CHECK(total >= 3);
    CHECK(total <= 20);
}

TEST_CASE("the allowance of a cell that is reachable again grows over the slow start")
{
    ForwardPolicy policy;
    RemoteCellView cell = makeRemote("valle", "valle-1", 0ms);
    cell.reachableSince = start;
    unsigned before = 0;
    for (Duration passed : { 0s, 10s, 20s, 30s }) {
        cell.digestAt = start + passed;
        unsigned allowance = forwardAllowance(cell, cell.models["m"], policy, start + passed);
        CHECK(allowance > before);
        before = allowance;
    }
    CHECK(before == 10);
}

TEST_CASE("slow start doesn't prevent the forward of a request that this cell can't serve")
{
    Origin origin;
    origin.cells = { makeRemote("valle", "valle-1", 0ms) };
    origin.cells[0].reachableSince = start;
    origin.cells[0].models["m"].freeSlots = 2;
    CHECK(std::holds_alternative<KeepLocal>(origin.decide(60s)));
    CHECK(origin.decideTarget(std::nullopt) == "valle-1");
}

TEST_CASE("forwards respect hop limit, visited zones and residency for random views")
{
    constexpr std::uint64_t seed = 31337;
    CAPTURE(seed);
    Random random(seed);
    const std::vector<std::string> regions = { "caldas", "valle", "antioquia" };
    int forwards = 0;
    for (int round = 0; round < 5000; ++round) {
        Origin origin;
        origin.cells.clear();
        for (int i = 0; i < 8; ++i) {
            const std::string& region = regions[random.below(3)];
            origin.cells.push_back(makeRemote(region, region + "-" + std::to_string(random.below(3)), random.below(900) * 1ms));
        }
        origin.request.residency = Residency::within({ "caldas", regions[random.below(3)] });
        origin.request.hop = static_cast<unsigned>(random.below(3));
        origin.request.visitedZones = { regions[random.below(3)] + "-" + std::to_string(random.below(3)) };
        std::optional<Duration> local;
        if (random.below(3) > 0)
            local = random.below(4000) * 1ms;
        ForwardDecision decision = origin.decide(local);
        const auto* forward = std::get_if<Forward>(&decision);
        if (!forward)
            continue;
        forwards += 1;
        const RemoteCellView& cell = origin.cells[forward->cell];
        REQUIRE(origin.request.hop == 0);
        REQUIRE(cell.zone != "caldas-1");
        REQUIRE(cell.zone != origin.request.visitedZones[0]);
        REQUIRE(isAllowed(origin.request.residency, cell.region));
        RoutingRequest received = origin.request;
        received.hop += 1;
        received.visitedZones.emplace_back("caldas-1");
        REQUIRE_FALSE(checkReceivedForward(received, cell.zone, cell.region));
        REQUIRE(std::holds_alternative<KeepLocal>(decideForward({ received, cell.zone, cell.region, std::nullopt, origin.cells, origin.policy, start }, origin.state, random)));
    }
    CHECK(forwards > 500);
}

TEST_CASE("a receiver refuses a forward that violates residency, hop limit or visited zones")
{
    RoutingRequest request;
    request.hop = 1;
    request.visitedZones = { "caldas-1" };
    CHECK(checkReceivedForward(request, "valle-1", "valle") == ForwardRefusal::OutsideResidency);
    request.residency = Residency::within({ "valle", "caldas" });
    CHECK_FALSE(checkReceivedForward(request, "valle-1", "valle"));
    CHECK(checkReceivedForward(request, "caldas-1", "caldas") == ForwardRefusal::VisitedBefore);
    request.hop = 2;
    CHECK(checkReceivedForward(request, "valle-1", "valle") == ForwardRefusal::HopLimit);
}

TEST_CASE("a session is forwarded to the same entry while that entry accepts work")
{
    Random random(5);
    std::vector<ForwardEntry> entries { { "a" }, { "b" }, { "c" } };
    std::optional<std::size_t> first = chooseEntryForForward(entries, "session", random);
    REQUIRE(first);
    CHECK(chooseEntryForForward(entries, "session", random) == first);
    entries[*first].draining = true;
    CHECK(chooseEntryForForward(entries, "session", random) != first);
    for (ForwardEntry& entry : entries)
        entry.reachable = false;
    CHECK_FALSE(chooseEntryForForward(entries, "session", random));
}
