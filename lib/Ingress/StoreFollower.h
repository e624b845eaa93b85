// Updates the tables of an entry from the store.
#pragma once

#include "catkinwing/Coordination/ConfigSource.h"
#include "catkinwing/Ingress/IngressContext.h"
#include <map>
#include <optional>
#include <set>

namespace catkinwing {

/// Returns the names of the resumable routes of \p next that have other services than before, or
/// that weren't there.
std::vector<std::string> movedRoutes(const RouteTable& before, const RouteTable& next);

/// Follows the store's keys of operators, endpoints and entries and updates the
/// tables of \p parts from them.
class StoreFollower {
public:
    /// \p onEntryRemoved is called with the key of each entry registration that is deleted,
    /// \p onConfiguration, if set, when another configuration has come into force.
    StoreFollower(Store& store, Scheduler& scheduler, Random& random, std::string entryPrefix, IngressContext& parts,
        std::function<void(const std::string& key)> onEntryRemoved, std::function<void()> onConfiguration = nullptr);

    void start() { m_source.start(); }
    /// Returns whether the store has been listed at least once.
    bool hasListedStore() const { return m_source.revision() > StoreRevision {}; }
    /// Returns the position in the store up to which the tables are updated.
    StoreRevision revision() const { return m_source.revision(); }
    /// Records a gap in the change history that was found outside of this entry's own
    /// watch. Deleted registrations are then kept for the grace period.
    void recordHistoryGap();
    /// Logs changes of the store's reachability, and removes registrations that are
    /// still missing after the grace period.
    void runHousekeeping();

private:
    void applyChanges(const std::vector<ConfigChange>& changes);
    void applyChange(const ConfigChange& change);
    /// Keeps what is known against a copy that the store has come back from, until it has been
    /// written again or the grace period is over.
    void recordNewEra();
    void logKept(const ConfigChange& change);
    void recordMovedRoutes(const RouteTable& next);
    void applyConfiguration(const ConfigChange& change);
    void applyEvacuation(const std::string& zone, const ConfigChange& change);
    void setEvacuated(const std::string& zone, bool isEvacuated);
    void applyDeferredEvacuations();
    void applyEndpoint(const std::string& incarnation, const ConfigChange& change);
    void rejectEndpoint(const std::string& incarnation, const absl::Status& fault);
    void applyEntryCount(const ConfigChange& change);
    void applyVersionRecordChange(const ConfigChange& change);
    /// Records what a listing tells of the time before it.
    void recordListing(const std::vector<ConfigChange>& changes);
    void recordUnseenRegistrations();
    void applyEntry(const std::string& name, const ConfigChange& change);
    /// Returns whether a key that is deleted now may have expired only because the
    /// store was unreachable.
    bool isStoreUnstable() const;
    TimePoint now() const { return m_scheduler.clock().now(); }

    Scheduler& m_scheduler;
    const Dialect& m_dialect;
    IngressContext& m_parts;
    std::string m_entryPrefix;
    std::function<void(const std::string& key)> m_onEntryRemoved;
    std::function<void()> m_onConfiguration;
    ConfigSource m_source;
    std::set<std::string> m_evacuatedZones;
    /// Zones whose state in the store's copy is another one than before, with that state.
    std::map<std::string, bool> m_deferredEvacuations;
    std::optional<std::int64_t> m_era;
    TimePoint m_eraBeganAt {};
    bool m_wasReached { false };
    std::uint64_t m_appliedLists { 0 };
    /// The version record may have come into force or out of it.
    bool m_mayVersionRecordDiffer { false };
    TimePoint m_lastHistoryGapAt {};
    TimePoint m_nextRefusalLog {};
};

} // namespace catkinwing
