// Updates the tables of an entry from the store.
#pragma once

#include "catkinwing/Coordination/ConfigSource.h"
#include "catkinwing/Ingress/IngressParts.h"
#include <set>

namespace catkinwing {

/// Follows the store's keys of operators, endpoints and entries and updates the
/// tables of \p parts from them.
class StoreFollower {
public:
    /// \p onEntryGone is called with the key of each entry registration that is deleted.
    StoreFollower(Store& store, Scheduler& scheduler, Random& random, std::string entryPrefix, IngressParts& parts,
        std::function<void(const std::string& key)> onEntryGone);

    void start() { m_source.start(); }
    /// Returns whether the store has been listed at least once.
    bool knowsEndpoints() const { return m_source.revision() > 0; }
    /// Records a gap in the change history that was found outside of this entry's own
    /// watch. Deleted registrations are then kept for the grace period.
    void noteTrouble() { m_lastTrouble = now(); }
    /// Logs changes of the store's reachability, and removes registrations that are
    /// still missing after the grace period.
    void houseKeep();

private:
    void takeChange(const ConfigChange& change);
    void takeConfiguration(const ConfigChange& change);
    void takeEvacuation(const std::string& zone, bool isEvacuated);
    void takeEndpoint(const std::string& incarnation, const ConfigChange& change);
    void refuseEndpoint(const std::string& incarnation, const absl::Status& fault);
    void takeEntry(const std::string& name, const ConfigChange& change);
    /// Returns whether a key that is deleted now may have expired only because the
    /// store was unreachable.
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
