// Keeps the tables of an entry in step with the store.
#pragma once

#include "catkinwing/Coordination/ConfigSource.h"
#include "catkinwing/Ingress/IngressParts.h"
#include <set>

namespace catkinwing {

/// Follows operators, endpoints and entries in the store and puts what it
/// learns into the tables of \p parts.
class StoreFollower {
public:
    StoreFollower(Store& store, Scheduler& scheduler, Random& random, const Dialect& dialect, std::string entryPrefix, IngressParts& parts);

    void start();
    /// Tells whether the endpoints were listed once.
    bool knowsEndpoints() const { return m_endpoints.revision() > 0; }
    /// Notes trouble of the store and drops what stays away after it.
    void houseKeep();

private:
    void takeOperatorChanges(const std::vector<ConfigChange>& changes);
    void takeConfiguration(const ConfigChange& change);
    void takeEndpointChanges(const std::vector<ConfigChange>& changes);
    void takeEntryChanges(const std::vector<ConfigChange>& changes);
    /// Tells whether a key that vanishes now may have lapsed only because the store was away.
    bool isTroubled() const;
    ConfigSourceOptions sourceOptions(const std::string& prefix) const;
    TimePoint now() const { return m_scheduler.clock().now(); }

    Scheduler& m_scheduler;
    const Dialect& m_dialect;
    IngressParts& m_parts;
    ConfigSource m_operators;
    ConfigSource m_endpoints;
    ConfigSource m_entries;
    std::set<std::string> m_evacuatedZones;
    bool m_wasFollowing { false };
    TimePoint m_lastTrouble {};
};

} // namespace catkinwing
