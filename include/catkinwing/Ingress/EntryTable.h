#pragma once

#include "catkinwing/Config/RouteTable.h"
#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Membership/EntryGroups.h"
#include "catkinwing/Membership/ShareDivision.h"
#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/RecentMaximum.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// The registration of an entry, which it keeps in the store under a lease.
struct EntryRecord {
    std::string region;
    std::string availabilityZone;
    /// Address at which the entry serves clients.
    SocketAddress clientAddress;
    /// Address at which the entry serves other entries.
    SocketAddress peerAddress;
};

/// Returns the text of a registration. The owner of the lease may append to it behind a '#'.
std::string writeEntryRecord(const EntryRecord& record);
absl::StatusOr<EntryRecord> readEntryRecord(absl::string_view text);

/// The number of entry addresses as an entry wrote it into the store.
struct StoredEntryCount {
    std::size_t count { 0 };
    /// Number zero if the store has none.
    StoreRevision revision {};
};

/// The registered entries, including this one.
class EntryTable {
public:
    explicit EntryTable(EntryRecord self);

    void put(const std::string& key, EntryRecord record);
    void remove(const std::string& key, TimePoint now);
    /// Records that the registration disappeared during an outage of the store.
    void recordMissing(const std::string& key);
    /// Removes all missing entries. Called when entries that are still running have had the
    /// time to register again.
    void removeMissing(TimePoint now);

    /// Returns the addresses of entries for the clients of a zone: the first group that
    /// isn't empty of
    /// - the entries of the zone, unless homes.hasTightTargets and more than half of them were
    ///   removed in the last ten minutes: the rest would be overloaded by the zone's clients,
    /// - the entries of the region,
    /// - the entries of \p homes, the regions that may serve the clients' requests,
    /// - if there are homes: the entries of the region or the homes that were removed a
    ///   moment ago, which still serve new requests while they stop,
    /// - all entries, but for homes that bind every request, since an entry outside of
    ///   them would refuse each request.
    std::vector<SocketAddress> entriesFor(const std::string& region, const std::string& availabilityZone, const HostHomes& homes, TimePoint now) const;
    /// Returns a random entry of \p region to forward to, other than this one, those that
    /// failed recently or were cut off from endpoints, and those in \p excluded; nothing if
    /// there is none.
    std::optional<SocketAddress> choosePeer(const std::string& region, TimePoint now, Random& random, const std::vector<SocketAddress>& excluded = {}) const;
    /// Returns an entry of \p region whose registration was removed recently and which hasn't
    /// failed to answer since. Such an entry may still serve requests after the store has
    /// dropped its registration.
    std::optional<SocketAddress> chooseDepartedPeer(const std::string& region, TimePoint now, Random& random) const;
    /// The same, among the entries that have just relayed an answer of an endpoint of \p service
    /// to this one.
    std::optional<SocketAddress> chooseServingPeer(const std::string& region, const std::string& service, TimePoint now, Random& random, const std::vector<SocketAddress>& excluded) const;
    /// Returns the addresses of the other entries of \p region.
    std::vector<SocketAddress> peerAddresses(const std::string& region) const;
    /// Returns the regions that have entries, except for this entry's region.
    std::vector<std::string> otherRegions() const;
    /// Records that \p peer did not answer; choosePeer() and relayAddress() skip it for a while.
    void recordPeerFailure(const SocketAddress& peer, TimePoint now);
    void recordPeerResponse(const SocketAddress& peer) { m_suspectUntil.erase(peer); }
    /// Records that \p peer refused a request because it reaches no endpoints; choosePeer()
    /// skips it for a moment.
    void recordPeerCutOff(const SocketAddress& peer, TimePoint now);
    /// Records that \p peer relayed the answer of an endpoint of \p service.
    void recordPeerServed(const SocketAddress& peer, const std::string& service, TimePoint now);

    /// Returns the keys of the entries of \p region, one for each address.
    std::vector<std::string> keysOfRegion(const std::string& region) const;
    /// Returns the addresses of the entries of \p region, and of those that were removed in the
    /// last ten minutes, which may still send requests to endpoints. This entry isn't among
    /// them until it is registered: it doesn't know of others that start at the same time.
    std::vector<RateSharer> rateSharers(const std::string& region, TimePoint now) const;
    /// An entry of a region and its address for peers.
    struct Peer {
        GroupedEntry entry;
        SocketAddress address;
    };
    /// Returns the entries of \p region, this one included, one for each address.
    std::vector<Peer> entriesOfRegion(const std::string& region) const;
    /// Another entry, its region and its address for peers.
    struct Neighbor {
        std::string key;
        std::string region;
        SocketAddress address;
    };
    /// Returns the other entries of all regions, one for each address.
    std::vector<Neighbor> otherEntries() const;
    /// Returns this entry's rank among the entries of \p regions, or of all regions if that
    /// is empty, in an order that differs from subject to subject.
    EntryOrder orderFor(std::uint64_t subject, const std::vector<std::string>& regions) const;
    /// Returns the address of the entry that watches the store on behalf of the other entries
    /// of this zone; nothing if it is this entry, whose key is \p self, or if there is no
    /// candidate.
    std::optional<SocketAddress> relayAddress(const std::string& self, TimePoint now) const;
    std::size_t size() const { return m_entries.size(); }
    /// Returns the maximum number of entry addresses that were registered at once in the last
    /// ten minutes. During a network partition, or while registrations expire, some entries
    /// still serve requests although they are no longer listed.
    std::size_t recentMaxAddresses(TimePoint now);
    /// Records the number that the store holds. It counts like a number of registered entries,
    /// since an entry that has just started doesn't know which registrations have lapsed.
    void recordStoredCount(const StoredEntryCount& stored, TimePoint now);
    const StoredEntryCount& storedCount() const { return m_storedCount; }
    /// Returns whether more entries are registered, this one included, than the store's number
    /// says: entries are being added.
    bool exceedsStoredCount() const;
    /// Returns a counter that increases whenever an entry is registered or removed.
    std::uint64_t changeCount() const { return m_changeCount; }

private:
    std::size_t zoneSize(const std::string& availabilityZone) const;
    bool hasLostMostOf(const std::string& availabilityZone, std::size_t left, TimePoint now) const;

    struct Entry {
        EntryRecord record;
        bool isMissing { false };
    };

    EntryRecord m_self;
    struct Departed {
        EntryRecord record;
        TimePoint removedAt {};
    };

    std::map<std::string, Entry> m_entries;
    RecentMaximum m_recentSize { std::chrono::minutes(10) };
    StoredEntryCount m_storedCount;
    /// The number of entries that each zone had in the last ten minutes.
    std::map<std::string, RecentMaximum> m_recentZoneSizes;
    /// Number of distinct entry addresses.
    std::size_t m_addressCount { 0 };
    /// Value of m_changeCount at which m_addressCount was computed.
    std::optional<std::uint64_t> m_addressCountVersion;
    std::uint64_t m_changeCount { 0 };
    /// Entries that were removed a short while ago.
    std::vector<Departed> m_departed;
    /// Entries that were removed in the last minutes, by address. A restarted entry has the
    /// address of the one before.
    std::map<SocketAddress, Departed> m_removedAddresses;
    std::map<SocketAddress, TimePoint> m_suspectUntil;
    std::map<SocketAddress, TimePoint> m_cutOffUntil;
    /// Until when an entry counts as one that reaches the endpoints of a service.
    std::map<SocketAddress, std::map<std::string, TimePoint>> m_servingUntil;
};

} // namespace catkinwing
