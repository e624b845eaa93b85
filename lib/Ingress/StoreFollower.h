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
    /// \p onEntryGone is told the keys of registrations that vanish.
    StoreFollower(Store& store, Scheduler& scheduler, Random& random, std::string entryPrefix, IngressParts& parts,
        std::function<void(const std::string& key)> onEntryGone);

    void start() { m_source.start(); }
    /// Tells whether the store was listed once.
    bool knowsEndpoints() const { return m_source.revision() > 0; }
    /// Notes trouble that shows elsewhere than in this entry's own watch.
    void noteTrouble() { m_lastTrouble = now(); }
    /// Notes trouble of the store and drops what stays away after it.
    void houseKeep();

private:
    void takeChange(const ConfigChange& change);
    void takeConfiguration(const ConfigChange& change);
    void takeEvacuation(const std::string& zone, bool isEvacuated);
    void takeEndpoint(const std::string& incarnation, const ConfigChange& change);
    void refuseEndpoint(const std::string& incarnation, const absl::Status& fault);
    void takeEntry(const std::string& name, const ConfigChange& change);
    /// Tells whether a key that vanishes now may have lapsed only because the store was away.
    bool isTroubled() const;
    TimePoint now() const { return m_scheduler.clock().now(); }

    Scheduler& m_scheduler;
    const Dialect& m_dialect;
    IngressParts& m_parts;
    std::string m_entryPrefix;
    std::function<void(const std::string& key)> m_onEntryGone;
    ConfigSource m_source;
    std::set<std::string> m_evacuatedZones;
    bool m_wasReached { false };
    TimePoint m_lastTrouble {};
    TimePoint m_nextRefusalLog {};
};

} // namespace catkinwing
