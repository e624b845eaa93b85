// Simulation of the credit exchanges of many entries without a network. Entries can be
// killed, restarted, added and cut off.
#pragma once

#include "catkinwing/Ingress/CreditExchange.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkinwing {

/// A request that was within the limit.
struct GrantedRequest {
    TimePoint at {};
    double amount { 0 };
};

class CreditFleet {
public:
    /// Starts the same number of entries in each region. The limit applies to the one
    /// workspace of the fleet.
    CreditFleet(unsigned seed, std::vector<std::string> regions, std::size_t entriesPerRegion, WorkspaceLimit limit,
        LimitTolerance limitTolerance = { std::chrono::seconds(8), 0.1, 190'000 });

    /// Sends a request to an entry. An entry that is down doesn't count it.
    void request(std::size_t entry, double amount);
    void requestAnywhere(const std::string& region, double amount);
    /// Sends requests of \p amount to an entry until it refuses one at once.
    void requestUntilRefused(std::size_t entry, double amount);
    void advance(Duration span);
    /// Ends the process of an entry. Its registration is removed after the lease.
    void kill(std::size_t entry);
    void restart(std::size_t entry);
    void killAll();
    /// Starts a new process of each entry at once.
    void restartAll();
    std::size_t addEntry(const std::string& region);
    void setLimit(const WorkspaceLimit& limit);
    /// Removes the registration of an entry at all others, although it is up.
    void removeRegistration(std::size_t entry);
    void removeAllRegistrations();
    /// Datagrams between the regions are lost.
    void setCutOff(const std::string& region, bool isCutOff);
    void setEntryCutOff(std::size_t entry, bool isCutOff);

    /// The process of an entry doesn't run. Datagrams to it are lost.
    void setSuspended(std::size_t entry, bool isSuspended);

    bool isUp(std::size_t entry) const { return m_entries[entry].exchange != nullptr; }
    std::size_t entries() const { return m_entries.size(); }
    const std::string& regionOf(std::size_t entry) const { return m_entries[entry].record.region; }
    TimePoint now() const { return scheduler.clock().now(); }
    double grantedSince(TimePoint from) const;
    /// Returns the largest amount that was granted within a window of the tolerance.
    double maxGrantedInWindow() const;
    /// Returns the smallest amount that was granted within a window of the tolerance that
    /// lies between \p from and now.
    double minGrantedInWindow(TimePoint from) const;
    /// Returns the amount that a window may contain.
    double allowedInWindow() const;
    std::uint64_t undecided() const { return asked - granted.size() - refused; }

    ManualScheduler scheduler;
    Random random;
    LimitTolerance tolerance;
    std::vector<GrantedRequest> granted;
    std::uint64_t asked { 0 };
    std::uint64_t refused { 0 };
    double refusedAmount { 0 };
    double askedAmount { 0 };
    /// Fraction of the datagrams that are lost, and that are delivered twice.
    double lostFraction { 0 };
    double repeatedFraction { 0 };
    /// Time until a registration is known to others.
    Duration listingDelay { 0 };
    std::uint64_t datagrams { 0 };
    std::uint64_t bytes { 0 };
    std::uint64_t bytesBetweenRegions { 0 };

private:
    struct Entry {
        std::string key;
        EntryRecord record;
        TimePoint startedAt {};
        std::unique_ptr<EntryTable> table;
        std::unique_ptr<CreditExchange> exchange;
    };

    void start(std::size_t entry);
    void registerEntry(std::size_t entry);
    /// Makes a registration known to the others and to entries that start.
    void listRegistration(std::size_t entry);
    /// Removes a registration at the end of its lease.
    void expireRegistration(const std::string& key);
    void deliver(std::size_t from, const OutgoingDatagram& datagram);

    std::vector<std::string> m_regions;
    WorkspaceTable m_workspaces;
    std::vector<Entry> m_entries;
    std::map<SocketAddress, std::size_t> m_entryAt;
    /// The registrations in the store, which an entry that starts reads.
    std::map<std::string, EntryRecord> m_registrations;
    /// The number of entries that the store holds.
    std::size_t m_storedCount { 0 };
    std::set<std::string> m_cutOffRegions;
    std::set<std::size_t> m_cutOffEntries;
    std::set<std::size_t> m_suspendedEntries;
    std::uint64_t m_starts { 0 };
    TimePoint m_nextTick {};
};

} // namespace catkinwing
