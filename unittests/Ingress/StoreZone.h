// The entries of one availability zone, each with its own path to one store.
#pragma once

#include "Coordination/FakeStore.h"
#include "IngressFixture.h"
#include "StoreFollower.h"
#include "catkinwing/Ingress/RelayedStore.h"
#include <memory>
#include <vector>

namespace catkinwing {

/// What is wrong with an entry.
enum class EntryFault {
    None,
    /// The store neither answers the entry nor refuses it.
    StoreSilent,
    /// The store refuses each call of the entry.
    StoreRefuses,
    /// Neither the store nor the other entries are reached.
    CutOff,
    /// The process stands still.
    Frozen,
    /// The process has been killed; healed, it starts and knows nothing.
    Killed,
};

/// Entries that know each other, and what goes wrong with each. Registrations of entries stay.
class StoreZone {
public:
    explicit StoreZone(std::size_t entries);
    ~StoreZone();
    StoreZone(const StoreZone&) = delete;
    StoreZone& operator=(const StoreZone&) = delete;

    /// Lets time pass for all entries that don't stand still.
    void pass(Duration span);
    void setFault(std::size_t entry, EntryFault fault);
    /// Registers an endpoint under \p name, or says that it leaves.
    void registerEndpoint(const std::string& name, bool isLeaving = false);
    /// Tells whether an entry may still send requests to an endpoint.
    bool uses(std::size_t entry, const std::string& endpoint) const;
    /// Tells whether nothing has been wrong with an entry for \p span.
    bool hasBeenCalm(std::size_t entry, Duration span) const;
    bool isDirect(std::size_t entry) const;
    std::size_t size() const { return m_entries.size(); }
    TimePoint now() const { return m_scheduler.clock().now(); }

    ManualScheduler& scheduler() { return m_scheduler; }
    FakeStore& store() { return m_store; }

private:
    class Path;
    class Client;
    struct Process;
    struct Entry {
        std::unique_ptr<Process> process;
        EntryFault fault { EntryFault::None };
        std::uint64_t starts { 0 };
        Duration frozenFor {};
        TimePoint calmSince {};
    };

    bool isReachable(std::size_t from, std::size_t to) const;
    void start(std::size_t entry);

    ManualScheduler m_scheduler;
    FakeStore m_store { m_scheduler };
    std::vector<Entry> m_entries;
};

} // namespace catkinwing
