#include "catkinwing/Routing/RegionChoice.h"

#include <array>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static RegionDemand demandOf(std::optional<Duration> waitHere)
{
    RegionDemand demand;
    demand.localWait = waitHere;
    demand.mayAcceptLocally = true;
    demand.maxWait = 400ms;
    return demand;
}

TEST_CASE("a request with a short wait stays in the local region, even if another region is idle")
{
    Random random(1);
    for (int i = 0; i < 100; ++i)
        CHECK(chooseRegion(demandOf(150ms), { { "south", 0ms, 0ms } }, random).verdict == RegionVerdict::Local);
}

TEST_CASE("a request that would wait too long here goes to a region with free capacity, or is refused if there is none")
{
    Random random(1);
    RegionChoice away = chooseRegion(demandOf(500ms), { { "south", 100ms, 115ms }, { "west", 900ms, 115ms } }, random);
    CHECK(away.verdict == RegionVerdict::Forward);
    CHECK(away.region == "south");
    CHECK(chooseRegion(demandOf(500ms), { { "south", 401ms, 0ms } }, random).verdict == RegionVerdict::Refuse);
    CHECK(chooseRegion(demandOf(500ms), {}, random).verdict == RegionVerdict::Refuse);
}

TEST_CASE("some requests with long responses go to a region with faster engines, and those with short ones stay")
{
    Random random(1);
    RegionDemand demand = demandOf(0ms);
    demand.localResponseDuration = 6s;
    RegionOption faster { "south", 0ms, 115ms, 2s };
    int away = 0;
    for (int i = 0; i < 1'000; ++i)
        away += chooseRegion(demand, { faster }, random).verdict == RegionVerdict::Forward;
    // Some stay, so that the faster region isn't overloaded at once.
    CHECK(away > 300);
    CHECK(away < 600);
    demand.localResponseDuration = 200ms;
    faster.responseDuration = 150ms;
    for (int i = 0; i < 100; ++i)
        CHECK(chooseRegion(demand, { faster }, random).verdict == RegionVerdict::Local);
}

TEST_CASE("network delay to a region with free capacity doesn't cause a refusal")
{
    Random random(1);
    CHECK(chooseRegion(demandOf(500ms), { { "south", 0ms, 2s } }, random).verdict == RegionVerdict::Forward);
    RegionDemand elsewhere = demandOf(std::nullopt);
    elsewhere.mayAcceptLocally = false;
    CHECK(chooseRegion(elsewhere, { { "south", 0ms, 2s } }, random).verdict == RegionVerdict::Forward);
}

TEST_CASE("regions with unknown waits are queried before a request is refused")
{
    Random random(1);
    CHECK(chooseRegion(demandOf(500ms), { { "south", std::nullopt, 115ms } }, random).verdict == RegionVerdict::Query);
    CHECK(chooseRegion(demandOf(std::nullopt), { { "south", 900ms, 115ms } }, random).verdict == RegionVerdict::Query);
}

/// Simulates regions of four engines each, whose load other regions know only from
/// their latest report.
struct Regions {
    static constexpr int entries = 6;
    static constexpr std::array<const char*, 3> names { "north", "south", "west" };

    Duration waitOf(double unread) const { return std::chrono::duration_cast<Duration>(perKilotoken * unread / 4); }

    Duration perKilotoken { 20ms };
    std::array<double, 3> kilotokens {};
    std::array<double, 3> reported {};
};

// An engine prefills a thousand tokens in 20 ms under concurrent load, so that four
// engines prefill 200 thousand tokens per second. The peak is twice that in one
// region while the others are idle, as with peaks at different hours. Reports are
// renewed every 300 ms. This stands for a mean age of 0.3 s, which results from the
// report interval, the network delay and own requests sent since.
TEST_CASE("a load peak in one region is distributed over all regions without overloading one of them")
{
    Random random(9);
    Regions simulation;
    Duration maxWait = 400ms;
    int refused = 0;
    int late = 0;
    int sent = 0;
    double maxElsewhere = 0;
    for (int step = 0; step < 10'000; ++step) {
        if (step % 300 == 0)
            simulation.reported = simulation.kilotokens;
        // Each step is a millisecond, in which four engines prefill 200 tokens.
        for (double& kilotokens : simulation.kilotokens)
            kilotokens = std::max(0.0, kilotokens - 0.2);
        // 400 requests per second of a thousand tokens each, all in the region north.
        if (random.unit() >= 0.4)
            continue;
        RegionDemand demand;
        demand.localWait = simulation.waitOf(simulation.kilotokens[0]);
        demand.maxWait = maxWait;
        std::vector<RegionOption> others;
        for (std::size_t region : { 1, 2 })
            others.push_back({ Regions::names[region], simulation.waitOf(simulation.reported[region]), 115ms });
        RegionChoice choice = chooseRegion(demand, others, random);
        ++sent;
        if (choice.verdict == RegionVerdict::Refuse) {
            ++refused;
            continue;
        }
        std::size_t region = choice.verdict == RegionVerdict::Local ? 0 : choice.region == "south" ? 1
                                                                                                   : 2;
        late += simulation.waitOf(simulation.kilotokens[region]) > maxWait + 200ms;
        simulation.kilotokens[region] += 1;
        maxElsewhere = std::max({ maxElsewhere, simulation.kilotokens[1], simulation.kilotokens[2] });
    }
    CHECK(refused == 0);
    CHECK(late == 0);
    CHECK(simulation.waitOf(maxElsewhere) < maxWait);
    CHECK(sent > 3'500);
}
