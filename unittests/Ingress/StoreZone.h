// The entries of one availability zone, each with its own path to one store.
#pragma once

#include "Coordination/FakeStore.h"
#include "IngressFixture.h"
#include "StoreFollower.h"
#include "catkinwing/Ingress/RelayedStore.h"
#include <memory>
#include <vector>

namespace catkinwing {

/// The fault that an entry has.
enum class EntryFault {
    None,
    /// The store neither answers nor refuses the entry's calls.
    StoreUnresponsive,
    /// The store refuses all calls of the entry.
    StoreRefuses,
    /// The entry reaches neither the store nor other entries.
    Partitioned,
    /// The process is paused.
    Paused,
    /// The process is killed. When the fault ends, a new process starts without data.
    Killed,
};

/// Entries of one zone with injected faults. Every entry has all the others in its table of
/// entries throughout.
class StoreZone {
public:
    explicit StoreZone(std::size_t entries);
    ~StoreZone();
    StoreZone(const StoreZone&) = delete;
    StoreZone& operator=(const StoreZone&) = delete;

    /// Advances the time of all entries that aren't paused.
    void advance(Duration span);
    void setFault(std::size_t entry, EntryFault fault);
    /// Registers an endpoint under \p name, or marks it as leaving.
    void registerEndpoint(const std::string& name, bool isLeaving = false);
    /// Returns whether an entry may still send requests to an endpoint.
    bool mayUse(std::size_t entry, const std::string& endpoint) const;
    void writeConfiguration(std::int64_t version);
    /// Returns the version that an entry has in force; zero if it has none.
    std::int64_t version(std::size_t entry) const;
    /// Evacuates the zone of the endpoints, or takes it back.
    void setEvacuated(bool isEvacuated);
    /// Returns whether an entry may send requests to the zone of the endpoints, of which it must
    /// know one.
    bool isZoneOpen(std::size_t entry) const;
    /// Returns whether an entry has had no fault for \p span.
    bool hasBeenHealthy(std::size_t entry, Duration span) const;
    bool isDirect(std::size_t entry) const;
    std::size_t size() const { return m_entries.size(); }
    TimePoint now() const { return m_scheduler.clock().now(); }

    ManualScheduler& scheduler() { return m_scheduler; }
    FakeStore& store() { return m_store; }

private:
    class StoreConnection;
    class PeerClient;
    struct Process;
    struct Entry {
        std::unique_ptr<Process> process;
        EntryFault fault { EntryFault::None };
        std::uint64_t startCount { 0 };
        Duration pausedFor {};
        TimePoint healthySince {};
    };

    bool isReachable(std::size_t from, std::size_t to) const;
    void start(std::size_t entry);

    ManualScheduler m_scheduler;
    FakeStore m_store { m_scheduler };
    std::vector<Entry> m_entries;
};

} // namespace catkinwing
