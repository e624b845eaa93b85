#pragma once

#include "catkinwing/Admission/SlotDivision.h"
#include "catkinwing/Config/ConfigSnapshot.h"
#include "catkinwing/Coordination/Instance.h"
#include "catkinwing/Membership/MembershipView.h"
#include "catkinwing/Routing/EndpointLifecycle.h"
#include "catkinwing/Routing/OutlierDetector.h"
#include "catkinwing/Routing/Placement.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinwing {

/// What an attempt at an endpoint came to, for learning.
struct EndpointUse {
    EndpointHandle endpoint { 0 };
    /// Prefill tokens given to began().
    double prefillTokens { 0 };
    bool failed { false };
    /// No connection could be made.
    bool unreachable { false };
    bool gotFirstToken { false };
    /// Dispatch to first token; zero if none came.
    Duration timeToFirstToken {};
    Duration total {};
    double outputTokens { 0 };
};

/// What an endpoint's load page said.
struct EndpointStatus {
    std::string incarnation;
    bool isLeaving { false };
    unsigned running { 0 };
    unsigned waiting { 0 };
    double queuedPrefillTokens { 0 };
    /// Age of the figures as stated.
    Duration age {};
};

/// The endpoints of the own availability zone: what the configuration, the
/// instance list, peers and the endpoints themselves say of them, and the choice
/// among them.
class EndpointRegistry {
public:
    /// \p self names this entry; \p random must outlive the registry.
    EndpointRegistry(std::string self, std::string region, std::string zone, Random& random);

    /// Takes over the endpoints, policies and slots of the configuration.
    void configure(const std::shared_ptr<const ConfigSnapshot>& snapshot, TimePoint now);
    /// Takes in the platform's list; it lags, so it can only add signs.
    void applyInstances(const std::vector<Instance>& instances, TimePoint now);
    /// Takes in a peer's word; returns whether it was news.
    bool applyPeerLeaving(const EndpointLeaving& leaving, TimePoint now);
    /// Takes in the endpoint's own word; returns whether it has just begun to leave.
    bool applyStatus(const std::string& endpoint, const EndpointStatus& status, TimePoint now);
    /// Notes that the endpoint refused a request because it is leaving.
    bool applyRefusal(EndpointHandle endpoint, TimePoint now);
    void applyCacheEvents(const std::string& endpoint, const std::vector<CacheEvent>& events);
    /// Divides the slots anew among this entry and \p members; \p queued is this
    /// entry's waiting requests by model.
    void divideCredits(const std::vector<MemberView>& members, const std::map<std::string, std::size_t>& queued, TimePoint now);
    /// Ejects and returns endpoints as is due and renews slow starts.
    void evaluate(TimePoint now);

    /// Chooses an endpoint.
    PlacementResult place(const RoutingRequest& request, TimePoint now);
    /// Notes the dispatch of a request.
    void began(EndpointHandle endpoint, const RoutingRequest& request, double prefillTokens, TimePoint now);
    void firstToken(EndpointHandle endpoint, double prefillTokens);
    /// Notes the end of a request and learns from it.
    void ended(const EndpointUse& use, TimePoint now);

    /// Returns the settings of an endpoint, or null once it is gone.
    const EndpointSettings* settings(EndpointHandle endpoint) const;
    const EndpointSettings* settings(const std::string& endpoint) const;
    /// Returns what is known of the endpoint's present incarnation, or null.
    const LifecycleStatus* lifecycle(const std::string& endpoint) const { return m_lifecycle.status(endpoint); }
    std::vector<std::string> names() const;
    const CellView& cell() const { return m_cell; }
    const PrefixIndex& prefixes() const { return m_prefixes; }
    const RoutingPolicy& policy() const { return m_policy; }
    /// Returns this entry's requests in flight, by endpoint.
    std::vector<EndpointLoad> ownLoad() const;
    /// Returns the slots of all endpoints of \p model that take work.
    unsigned slotsOf(const std::string& model) const;
    /// Returns the models and services that the zone has endpoints for.
    std::vector<std::string> models() const;

    /// Called when capacity may have become free.
    std::function<void()> onCapacity;
    /// Called when an endpoint has begun to leave, by this entry's own finding.
    std::function<void(const EndpointLeaving&)> onLeaving;

private:
    void upsert(const EndpointSettings& settings, TimePoint now);
    void refresh(EndpointHandle handle, TimePoint now);
    LifecycleChange record(const LifecycleReport& sign, TimePoint now);
    std::size_t creditFor(const EndpointView& view, const std::vector<MemberView>& members, const std::map<std::string, std::size_t>& queued, TimePoint now);

    std::string m_self;
    std::string m_region;
    std::string m_zone;
    Random& m_random;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
    std::map<std::string, const EndpointSettings*> m_settings;
    CellView m_cell;
    PrefixIndex m_prefixes;
    RoutingPolicy m_policy;
    EndpointLifecycle m_lifecycle;
    OutlierDetector m_outliers;
    SlowStartPolicy m_slowStart;
    std::map<std::string, SlotCredit> m_credits;
};

} // namespace catkinwing
