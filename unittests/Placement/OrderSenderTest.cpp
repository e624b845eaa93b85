#include "catkinwing/Placement/OrderSender.h"

#include "Coordination/FakeStore.h"
#include "Coordination/FreezableScheduler.h"
#include "FakeEndpoints.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

// Broken on purpose: trusts a lease without reading the clock.
static OrderPermission permissionWithoutLeaseCheck(const OrderContext& context)
{
    OrderContext believing = context;
    if (believing.lease)
        believing.lease->validUntil = context.now + 1h;
    return orderPermission(believing);
}

// Broken on purpose: takes every endpoint for one that honours fencing.
static OrderPermission permissionWithoutWait(const OrderContext& context)
{
    OrderContext hasty = context;
    hasty.honoursFencing = true;
    return orderPermission(hasty);
}

namespace {

constexpr int endpointsOfEachKind = 5;

/// One entry that competes to be the orderer; it wants every endpoint to have
/// the model that bears its name.
struct Contender {
    FreezableScheduler process;
    std::unique_ptr<Store> client;
    Random random { 1 };
    std::unique_ptr<EndpointAdmin> admin;
    std::unique_ptr<LeaseKeeper> keeper;
    std::unique_ptr<OrderSender> sender;
    DesiredState wish;

    void wishNow(const std::vector<OrderedEndpoint>& endpoints) const
    {
        for (const auto& endpoint : endpoints)
            sender->setDesired(endpoint.name, wish);
    }
};

struct Bench {
    ManualScheduler world;
    FakeStore store { world };
    FakeEndpoints fleet { world };
    std::vector<OrderedEndpoint> endpoints;
    Contender old;
    Contender next;

    explicit Bench(OrderPermission (*permission)(const OrderContext&) = orderPermission)
    {
        for (int i = 0; i < endpointsOfEachKind; ++i) {
            endpoints.push_back({ "fenced" + std::to_string(i), { "127.0.0.1", 1 }, true, true });
            endpoints.push_back({ "open" + std::to_string(i), { "127.0.0.1", 2 }, false, false });
        }
        begin(old, "old", permission);
        begin(next, "next", permission);
    }

    void begin(Contender& contender, const std::string& name, OrderPermission (*permission)(const OrderContext&))
    {
        LeaseKeeperOptions options;
        options.key = "orderer";
        options.holder = name;
        options.retryEvery = 500ms;
        ManualScheduler& scheduler = contender.process.scheduler();
        contender.client = store.clientOn(scheduler);
        contender.admin = fleet.clientOn(scheduler, name);
        contender.keeper = std::make_unique<LeaseKeeper>(*contender.client, scheduler, contender.random, options);
        OrderSenderOptions senderOptions;
        senderOptions.maxInFlight = 2;
        senderOptions.permission = permission;
        contender.sender = std::make_unique<OrderSender>(*contender.admin, *contender.keeper, scheduler, senderOptions);
        contender.sender->setEndpoints(endpoints);
        contender.wish.models = { name };
    }

    void advance(Duration span, bool isOldFrozen = false)
    {
        constexpr auto step = 50ms;
        for (Duration done {}; done < span; done += step) {
            world.advance(step);
            old.process.move(step, isOldFrozen);
            next.process.move(step, false);
            next.wishNow(endpoints);
        }
    }

    /// Makes the old contender the holder, with all endpoints as it wants them.
    void settleOld()
    {
        old.keeper->start();
        advance(1s);
        old.wishNow(endpoints);
        advance(30s);
        REQUIRE(std::all_of(endpoints.begin(), endpoints.end(), [&](const auto& endpoint) { return old.sender->progress(endpoint.name) == OrderProgress::InSync; }));
        next.keeper->start();
    }

    /// Returns the orders of the old contender that were obeyed after the
    /// first one of the next, endpoint by endpoint.
    std::size_t lateOrders() const
    {
        std::set<std::string> taken;
        std::size_t late = 0;
        for (const auto& obeyed : fleet.obeyed) {
            if (obeyed.sender == "next")
                taken.insert(obeyed.endpoint);
            else if (taken.count(obeyed.endpoint) != 0)
                ++late;
        }
        return late;
    }

    bool isAllNext()
    {
        return std::all_of(endpoints.begin(), endpoints.end(), [&](const auto& endpoint) { return fleet.states[endpoint.name].models == next.wish.models; });
    }

    std::size_t ordersOfOld() const
    {
        return static_cast<std::size_t>(std::count_if(fleet.obeyed.begin(), fleet.obeyed.end(), [](const auto& obeyed) { return obeyed.sender == "old"; }));
    }
};

/// The holder freezes \p into a batch of new orders and wakes when the next
/// holder may have taken over. Returns its orders that came too late.
std::size_t freezeInBatch(OrderPermission (*permission)(const OrderContext&), Duration into, Duration frozenFor)
{
    Bench bench(permission);
    bench.settleOld();
    std::size_t settled = bench.ordersOfOld();
    bench.old.wish.models = { "old", "more" };
    bench.old.wishNow(bench.endpoints);
    bench.advance(into);
    REQUIRE(bench.ordersOfOld() < settled + bench.endpoints.size());
    bench.advance(frozenFor, true);
    bench.advance(40s);
    bool hasNextHolder = bench.next.keeper->counters().acquired > 0;
    REQUIRE(hasNextHolder == (frozenFor >= 10s));
    if (hasNextHolder && permission == orderPermission)
        REQUIRE(bench.isAllNext());
    return bench.lateOrders();
}

/// The lease's key is deleted under the holder's hands while its orders are
/// slow to arrive, so that for a while two believe they hold it.
std::size_t loseKeyInBatch(OrderPermission (*permission)(const OrderContext&), Duration into)
{
    Bench bench(permission);
    bench.settleOld();
    bench.old.wish.models = { "old", "more" };
    bench.fleet.faults.assign(4, OrderFault::Late);
    bench.old.wishNow(bench.endpoints);
    bench.advance(into);
    bench.store.erase("orderer");
    bench.advance(60s);
    REQUIRE(bench.isAllNext());
    return bench.lateOrders();
}

} // namespace

TEST_CASE("a holder that wakes in the middle of a batch orders nothing more")
{
    for (Duration into = 100ms; into <= 1500ms; into += 100ms) {
        for (Duration frozenFor : { 2s, 5s, 11s, 15s, 25s, 40s })
            REQUIRE(freezeInBatch(orderPermission, into, frozenFor) == 0);
    }
}

TEST_CASE("without the lease check an order by the old holder comes too late")
{
    std::size_t late = 0;
    for (Duration into = 100ms; into <= 1500ms; into += 100ms)
        late += freezeInBatch(permissionWithoutLeaseCheck, into, 40s);
    CHECK(late > 0);
}

TEST_CASE("orders on their way when the lease is lost are waited for")
{
    for (Duration into = 0s; into <= 6s; into += 250ms)
        REQUIRE(loseKeyInBatch(orderPermission, into) == 0);
}

TEST_CASE("without the waiting period an order by the old holder comes too late")
{
    std::size_t late = 0;
    for (Duration into = 0s; into <= 6s; into += 250ms)
        late += loseKeyInBatch(permissionWithoutWait, into);
    CHECK(late > 0);
}

TEST_CASE("lost orders and lost answers end in the desired state")
{
    Bench bench;
    bench.fleet.faults = { OrderFault::LostRequest, OrderFault::LostAnswer, OrderFault::Late, OrderFault::LostRequest, OrderFault::LostAnswer };
    bench.settleOld();
    CHECK(bench.old.sender->counters().unknown == 5);
}

TEST_CASE("a refusal for a higher number gives the lease up")
{
    Bench bench;
    bench.settleOld();
    bench.fleet.states["fenced0"].fencing = 1'000'000;
    bench.advance(6s);
    CHECK(bench.old.sender->counters().staleFencing == 1);
    CHECK(bench.old.keeper->counters().lost == 1);
}

TEST_CASE("an endpoint that was replaced is ordered again")
{
    Bench bench;
    bench.settleOld();
    bench.fleet.states["open0"] = { 0, {}, {}, "", "another" };
    bench.advance(8s);
    CHECK(bench.fleet.states["open0"].models == std::set<std::string> { "old" });
}

TEST_CASE("an endpoint that was replaced while it was loading is not waited for")
{
    Bench bench;
    bench.old.keeper->start();
    bench.advance(1s);
    bench.old.wishNow(bench.endpoints);
    bench.advance(3s);
    REQUIRE(bench.fleet.states["fenced4"].models == bench.old.wish.models);
    bench.fleet.states["fenced4"] = { 0, {}, {}, "", "another" };
    bench.advance(6s);
    CHECK(bench.fleet.states["fenced4"].models == bench.old.wish.models);
}

TEST_CASE("what was decided under a lost lease is not ordered under the next")
{
    Bench bench;
    bench.settleOld();
    bench.next.keeper->stop();
    bench.old.wish.models = { "decided before" };
    bench.old.wishNow(bench.endpoints);
    std::size_t before = bench.fleet.obeyed.size();
    bench.old.keeper->dropAfterFreeze();
    bench.advance(30s);
    REQUIRE(bench.old.keeper->counters().acquired == 2);
    CHECK(bench.fleet.obeyed.size() == before);
}

TEST_CASE("a new holder makes endpoints refuse the old number though nothing differs")
{
    Bench bench;
    bench.next.wish = bench.old.wish;
    bench.settleOld();
    bench.old.keeper->stop();
    bench.advance(20s);
    CHECK(bench.fleet.states["fenced0"].fencing == bench.store.peek("orderer").revision);
}

TEST_CASE("endpoints that take orders from anyone are named")
{
    Bench bench;
    CHECK(bench.old.sender->uncheckedEndpoints().size() == endpointsOfEachKind);
}

TEST_CASE("nothing is desired without the lease")
{
    Bench bench;
    CHECK_FALSE(bench.old.sender->setDesired("open0", { { "m" }, {}, "" }));
    bench.advance(30s);
    CHECK(bench.fleet.obeyed.empty());
}
