#pragma once

#include "catkinwing/Coordination/WeightStoreRate.h"
#include "catkinwing/Placement/OrderSender.h"
#include "catkinwing/Placement/PlacementPlanner.h"

namespace catkinwing {

/// Settings of an orderer.
struct OrdererOptions {
    std::chrono::milliseconds planEvery { 10'000 };
    PlacementPolicy policy;
};

/// What an orderer sees when it plans; its current states are filled in from
/// what was ordered and read back.
struct OrdererView {
    std::vector<OrderedEndpoint> endpoints;
    PlacementInput input;
};

/// Orders the endpoints of one zone while it holds the zone's lease; every
/// entry of the zone may run one.
class Orderer {
public:
    using ObserveCallback = std::function<OrdererView()>;

    /// All references must outlive the orderer. \p observe is called at each plan.
    Orderer(LeaseKeeper& lease, OrderSender& sender, WeightStoreRate& rate, Scheduler& scheduler, OrdererOptions options, ObserveCallback observe);
    ~Orderer();
    Orderer(const Orderer&) = delete;
    Orderer& operator=(const Orderer&) = delete;

    void start();
    void stop();
    /// Returns the last plan that was made here; empty before the first.
    const PlacementPlan& lastPlan() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
