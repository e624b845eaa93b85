#pragma once

#include "PeerChannel.h"
#include "ServedTracker.h"
#include <map>

namespace catkinwing {

/// A running total and the version of the digest that told it.
struct VersionedTotal {
    std::uint64_t tokens { 0 };
    std::uint64_t version { 0 };
};

/// What an entry keeps of another availability zone.
struct Zone {
    std::string region;
    /// Addresses to try while no entries are known.
    std::vector<SocketAddress> contacts;

    std::vector<ZoneEntry> entries;
    /// Hash of the entries; zero for none.
    std::uint32_t rosterDigest { 0 };

    /// The latest digest; its age counts from madeAt.
    std::optional<ZoneDigest> digest;
    TimePoint madeAt {};
    /// True if the digest came from the zone itself and not through a member.
    bool isDirect { false };
    /// Counts the digests taken in here; zero for none.
    std::uint64_t version { 0 };
    ServedTracker served;
    /// Totals as the relay last told them, and the version of that digest.
    std::map<std::string, VersionedTotal> totals;
    bool wasReachable { false };

    /// Hash of this zone's entries as the other zone has them.
    std::uint32_t theirRoster { 0 };
    std::uint32_t theirZonesDigest { 0 };
    std::optional<TimePoint> contactsSentAt;
    CountTable toldServed;
    /// Hash of this zone's entries when they were last told.
    std::uint32_t toldRoster { 0 };

    bool isExchanging { false };
    std::uint32_t failures { 0 };
    TimePoint nextExchange {};
    TimePoint lastExchange {};
    /// Time at which waiting for a digest began.
    TimePoint waitsSince {};
    std::optional<TimePoint> configReportedAt;

    /// Returns the time since the digest was made, or since waiting for one began.
    Duration age(TimePoint now) const { return now - (digest ? madeAt : waitsSince); }
    /// Adds an address to the contacts.
    void addContact(const SocketAddress& address);
    /// Returns an address of the zone to speak to, the first by rank; each failure
    /// moves on to the next. None if no address is known.
    std::optional<SocketAddress> target(const std::string& zone, const std::string& ownZone) const;
};

/// The other zones by name.
class ZoneTable {
public:
    explicit ZoneTable(std::string ownZone);

    std::map<std::string, Zone>& all() { return m_zones; }
    const std::map<std::string, Zone>& all() const { return m_zones; }
    /// Returns the zone, or null.
    Zone* find(const std::string& name);
    /// Returns the zone, which is added if it is new; null for the own zone.
    Zone* findOrAdd(const std::string& name, const std::string& region, TimePoint now);
    /// Returns a hash of the names, the own among them; never zero.
    std::uint32_t digest() const { return m_digest; }
    /// Returns an address for each zone.
    std::vector<ZoneContact> contacts() const;

private:
    std::string m_ownZone;
    std::map<std::string, Zone> m_zones;
    std::uint32_t m_digest;
};

/// Returns a hash of entries; never zero.
std::uint32_t rosterDigestOf(const std::vector<ZoneEntry>& entries);

} // namespace catkinwing
