#pragma once

#include "catkinwing/Config/RouteTable.h"
#include "catkinwing/Membership/EntryGroups.h"
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

/// What an entry registers in the store about itself, under a lease.
struct EntryRecord {
    std::string region;
    std::string availabilityZone;
    SocketAddress clients;
    SocketAddress peers;
};

/// Text of a registration; the lease's keeper may append to it behind a '#'.
std::string writeEntryRecord(const EntryRecord& record);
absl::StatusOr<EntryRecord> readEntryRecord(absl::string_view text);

/// The entries that are registered, this one included.
class EntryTable {
public:
    explicit EntryTable(EntryRecord self);

    void put(const std::string& key, EntryRecord record);
    void remove(const std::string& key, TimePoint now);
    /// The registration vanished while the store was in trouble.
    void noteMissing(const std::string& key);
    /// Removes all that is missing: it would be back by now.
    void removeMissing(TimePoint now);

    /// Returns the addresses for clients of a zone: the entries of the zone, or
    /// else of the region, or else of \p homes, the regions that may have the
    /// clients' requests, or else those of these that left a moment ago, which
    /// still finish what comes, or else all; none where the homes bind every
    /// request, since an entry elsewhere could only refuse.
    std::vector<SocketAddress> entriesFor(const std::string& region, const std::string& availabilityZone, const HostHomes& homes, TimePoint now) const;
    /// Returns an entry of \p region to forward to; nothing if there is none.
    std::optional<SocketAddress> choosePeer(const std::string& region, TimePoint now, Random& random) const;
    /// Returns an entry of \p region whose registration vanished a while ago and
    /// that hasn't failed to answer since: the store may have turned it away
    /// while it serves on.
    std::optional<SocketAddress> chooseDepartedPeer(const std::string& region, TimePoint now, Random& random) const;
    /// Returns the addresses of the other entries of \p region.
    std::vector<SocketAddress> peersOf(const std::string& region) const;
    /// Returns the regions that have entries, but for this one's.
    std::vector<std::string> otherRegions() const;
    /// Passes \p peer over for a while.
    void notePeerFailure(const SocketAddress& peer, TimePoint now);
    void notePeerAnswered(const SocketAddress& peer) { m_suspectUntil.erase(peer); }

    /// Returns the keys of the entries of \p region, one for each address.
    std::vector<std::string> keysOfRegion(const std::string& region) const;
    /// An entry of a region and where it is reached.
    struct Peer {
        GroupedEntry entry;
        SocketAddress address;
    };
    /// Returns the entries of \p region, this one included, one for each address.
    std::vector<Peer> entriesOfRegion(const std::string& region) const;
    /// Another entry and where it is.
    struct Neighbor {
        std::string key;
        std::string region;
        SocketAddress address;
    };
    /// Returns the other entries of all regions, one for each address.
    std::vector<Neighbor> others() const;
    /// Returns this entry's place among those of \p regions, or of all if empty, in an
    /// order that differs from subject to subject.
    EntryOrder orderFor(std::uint64_t subject, const std::vector<std::string>& regions) const;
    /// Returns the entry of this one's zone that watches the store for the others;
    /// nothing if that is this one, under the key \p self, or no other is there.
    std::optional<SocketAddress> relay(const std::string& self, TimePoint now) const;
    std::size_t size() const { return m_entries.size(); }
    /// Returns the most addresses of entries that were registered at once in the last
    /// minutes: in a cut, or while registrations lapse, some serve on that are no
    /// longer listed.
    std::size_t recentSize(TimePoint now);
    /// Grows whenever an entry comes or goes.
    std::uint64_t changes() const { return m_changes; }

private:
    struct Entry {
        EntryRecord record;
        bool isMissing { false };
    };

    EntryRecord m_self;
    struct Departed {
        EntryRecord record;
        TimePoint at {};
    };

    std::map<std::string, Entry> m_entries;
    RecentMaximum m_recentSize { std::chrono::minutes(10) };
    /// How many addresses there were after so many changes.
    std::size_t m_addresses { 0 };
    std::optional<std::uint64_t> m_countedChanges;
    std::uint64_t m_changes { 0 };
    /// Entries that were removed a short while ago.
    std::vector<Departed> m_departed;
    std::map<SocketAddress, TimePoint> m_suspectUntil;
};

} // namespace catkinwing
