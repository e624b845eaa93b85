#include "catkinwing/Placement/Orderer.h"

#include "Coordination/FakeStore.h"
#include "FakeEndpoints.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

constexpr double bytesPerSecond = 10;

struct Bench {
    ManualScheduler scheduler;
    FakeStore store { scheduler };
    Random random { 1 };
    FakeEndpoints fleet { scheduler };
    std::unique_ptr<EndpointAdmin> admin { fleet.clientOn(scheduler, "orderer") };
    LeaseKeeper lease { store, scheduler, random, leaseOptions() };
    OrderSender sender { *admin, lease, scheduler, {} };
    WeightStoreRate rate { bytesPerSecond, 1s, scheduler.clock().now() };
    OrdererView view;
    Orderer orderer { lease, sender, rate, scheduler, {}, [this] { return view; } };

    Bench()
    {
        for (const char* name : { "e0", "e1", "e2" }) {
            view.endpoints.push_back({ name, { "127.0.0.1", 1 }, true, true });
            PlannedEndpoint planned;
            planned.name = name;
            planned.memoryBytes = 1000;
            planned.capacity = 100;
            view.input.endpoints.push_back(planned);
        }
        view.input.models["m"] = { 500, "", 3 };
    }

    static LeaseKeeperOptions leaseOptions()
    {
        LeaseKeeperOptions options;
        options.key = "orderer";
        options.holder = "e";
        return options;
    }

    std::size_t loaded()
    {
        std::size_t count = 0;
        for (const auto& [name, state] : fleet.states)
            count += state.models.count("m");
        return count;
    }
};

} // namespace

TEST_CASE("the orderer loads no faster than the weight store gives")
{
    Bench bench;
    bench.lease.start();
    bench.orderer.start();
    // The first load of 500 bytes goes out at 20 s and is paid for at 69 s.
    bench.scheduler.advance(65s);
    CHECK(bench.loaded() == 1);
    bench.scheduler.advance(10s);
    CHECK(bench.loaded() == 2);
    bench.scheduler.advance(40s);
    CHECK(bench.loaded() == 2);
    bench.scheduler.advance(10s);
    CHECK(bench.loaded() == 3);
    bench.scheduler.advance(10s);
    CHECK(bench.sender.progress("e0") == OrderProgress::InSync);
}

TEST_CASE("a new holder takes over what endpoints have")
{
    Bench bench;
    for (const auto& endpoint : bench.view.endpoints)
        bench.fleet.states[endpoint.name].models = { "m" };
    bench.lease.start();
    bench.orderer.start();
    bench.scheduler.advance(60s);
    CHECK(bench.orderer.lastPlan().loads.empty());
    CHECK(bench.sender.progress("e2") == OrderProgress::InSync);
}

TEST_CASE("a new holder waits for endpoints that have not answered")
{
    Bench bench;
    bench.view.input.models["m"].floor = 1;
    bench.fleet.states["e2"].models = { "m" };
    OrdererView whole = bench.view;
    bench.view.endpoints.pop_back();
    bench.lease.start();
    bench.scheduler.advance(1s);
    bench.orderer.start();
    bench.scheduler.advance(5s);
    bench.view = whole;
    bench.scheduler.advance(60s);
    CHECK(bench.loaded() == 1);
}

TEST_CASE("without the lease nothing is ordered")
{
    Bench bench;
    bench.orderer.start();
    bench.scheduler.advance(60s);
    CHECK(bench.fleet.obeyed.empty());
}
