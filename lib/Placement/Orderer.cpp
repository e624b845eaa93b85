#include "catkinwing/Placement/Orderer.h"

#include <utility>

namespace catkinwing {

struct Orderer::Impl : std::enable_shared_from_this<Impl> {
    Impl(LeaseKeeper& givenLease, OrderSender& givenSender, WeightStoreRate& givenRate, Scheduler& givenScheduler, OrdererOptions givenOptions, ObserveCallback givenObserve)
        : lease(givenLease)
        , sender(givenSender)
        , rate(givenRate)
        , scheduler(givenScheduler)
        , options(givenOptions)
        , observe(std::move(givenObserve))
    {
    }

    void tick();
    void plan(const HeldLease& held);
    bool fillIn(PlacementInput& input) const;

    LeaseKeeper& lease;
    OrderSender& sender;
    WeightStoreRate& rate;
    Scheduler& scheduler;
    OrdererOptions options;
    ObserveCallback observe;
    PlacementPlan lastPlan;
    TimerId timer { 0 };
};

void Orderer::Impl::tick()
{
    timer = scheduler.callAfter(options.planEvery, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->tick();
    });
    if (auto held = lease.held(scheduler.clock().now()))
        plan(*held);
}

// Replaces each endpoint's current state by what is known here, and leaves out
// those of which nothing is. Returns whether any was left out.
bool Orderer::Impl::fillIn(PlacementInput& input) const
{
    std::vector<PlannedEndpoint> known;
    for (auto& endpoint : input.endpoints) {
        auto desired = sender.desired(endpoint.name);
        auto state = sender.lastState(endpoint.name);
        if (!desired && !state)
            continue;
        endpoint.current = desired ? *desired : DesiredState { state->models, state->adapters, state->role };
        known.push_back(std::move(endpoint));
    }
    bool isAnyLeftOut = known.size() != input.endpoints.size();
    input.endpoints = std::move(known);
    return isAnyLeftOut;
}

void Orderer::Impl::plan(const HeldLease& held)
{
    OrdererView view = observe();
    sender.setEndpoints(view.endpoints);
    TimePoint now = scheduler.clock().now();
    bool isAnyUnknown = fillIn(view.input);
    // A new holder first reads what there is, or it would load elsewhere what
    // an endpoint has that just hasn't answered yet.
    constexpr int patience = 3;
    if (isAnyUnknown && now < held.acquiredAt + patience * options.planEvery)
        return;
    view.input.loadBudgetBytes = rate.budget(now);
    lastPlan = planPlacement(view.input, options.policy);
    for (const auto& load : lastPlan.loads)
        rate.noteLoad(load.bytes, now);
    for (const auto& [endpoint, desired] : lastPlan.desired)
        sender.setDesired(endpoint, desired);
}

Orderer::Orderer(LeaseKeeper& lease, OrderSender& sender, WeightStoreRate& rate, Scheduler& scheduler, OrdererOptions options, ObserveCallback observe)
    : m_impl(std::make_shared<Impl>(lease, sender, rate, scheduler, options, std::move(observe)))
{
}

Orderer::~Orderer()
{
    stop();
}

void Orderer::start()
{
    if (m_impl->timer == 0)
        m_impl->tick();
}

void Orderer::stop()
{
    m_impl->scheduler.cancel(std::exchange(m_impl->timer, 0));
}

const PlacementPlan& Orderer::lastPlan() const
{
    return m_impl->lastPlan;
}

} // namespace catkinwing
