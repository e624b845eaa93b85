#pragma once

#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Gateway/EndpointRegistry.h"
#include "catkinwing/Placement/HttpEndpointAdmin.h"
#include "catkinwing/Placement/Orderer.h"

namespace catkinwing {

/// Orders the zone's engines to load models and adapters, while this entry
/// holds the zone's lease.
class PlacementControl {
public:
    /// All references must outlive this.
    PlacementControl(Store& store, Scheduler& scheduler, Random& random, HttpClient& endpointClient, const DaemonSettings& settings, const std::string& holder, EndpointRegistry& endpoints);
    /// Becomes a candidate for the zone's lease, or gives it back.
    void setCandidate(bool isCandidate);
    /// Stops for good.
    void stop() { setCandidate(false); }
    /// Drops the lease, since the process was frozen.
    void dropAfterFreeze();
    /// Takes over the configuration in force.
    void configure(const std::shared_ptr<const ConfigSnapshot>& snapshot);
    /// Adds tokens to the demand for a model and, unless empty, an adapter.
    void noteDemand(const std::string& model, const std::string& adapter, double tokens);
    const LeaseKeeper& lease() const { return m_lease; }
    const OrderSender& orders() const { return m_sender; }

private:
    struct Demand {
        double tokens { 0 };
        TimePoint at {};
    };

    OrdererView observe();
    static double rateOf(const Demand& demand, TimePoint now);
    void add(std::map<std::string, Demand>& demands, const std::string& name, double tokens);

    Scheduler& m_scheduler;
    EndpointRegistry& m_endpoints;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
    LeaseKeeper m_lease;
    HttpEndpointAdmin m_admin;
    OrderSender m_sender;
    WeightStoreRate m_rate;
    Orderer m_orderer;
    bool m_isCandidate { false };
    std::map<std::string, Demand> m_modelDemand;
    std::map<std::string, Demand> m_adapterDemand;
};

} // namespace catkinwing
