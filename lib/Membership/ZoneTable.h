#pragma once

#include "PeerChannel.h"
#include "ServedTracker.h"
#include <map>

namespace catkinwing {

/// A running total and the version of the digest that contained it.
struct VersionedTotal {
    std::uint64_t tokens { 0 };
    std::uint64_t version { 0 };
};

/// State of another availability zone.
struct Zone {
    std::string region;
    /// Addresses used when no entries are known or exchanges with them fail.
    std::vector<SocketAddress> contacts;

    std::vector<ZoneEntry> entries;
    /// Hash of the entries; zero for none.
    std::uint32_t rosterDigest { 0 };

    /// The latest digest, created at madeAt.
    std::optional<ZoneDigest> digest;
    TimePoint madeAt {};
    /// True if the digest came from the zone itself and not through a member of this
    /// entry's zone.
    bool isDirect { false };
    /// Version that this entry assigned to the latest digest, increasing over all
    /// zones; zero for none.
    std::uint64_t version { 0 };
    ServedTracker served;
    /// Latest totals of served tokens by team, as reported by the zone's relay, with the
    /// version of the digest that contained each.
    std::map<std::string, VersionedTotal> totals;
    bool wasReachable { false };

    /// Hash of the entries of this entry's own zone that the other zone last reported to
    /// know.
    std::uint32_t peerKnownRoster { 0 };
    std::uint32_t peerZonesDigest { 0 };
    std::optional<TimePoint> contactsSentAt;
    /// Served tokens by team in the digests sent to the zone, so that the next digest
    /// contains only changes. Cleared after a failed exchange.
    CountTable sentServedTokens;
    /// Hash of the entries of this entry's own zone in the last digest sent.
    std::uint32_t sentRoster { 0 };

    bool isExchanging { false };
    std::uint32_t failures { 0 };
    TimePoint nextExchange {};
    TimePoint lastExchange {};
    /// Start of the wait for a digest; used by age() while there is none.
    TimePoint waitingSince {};
    std::optional<TimePoint> configReportedAt;

    /// Returns the time since the latest digest was created or, without a digest, since
    /// the wait for one began.
    Duration age(TimePoint now) const { return now - (digest ? madeAt : waitingSince); }
    /// Adds an address to the contacts; evicts the oldest if there are too many.
    void addContact(const SocketAddress& address);
    /// Returns the address for the next exchange, or none if no address is known. The
    /// candidates are the entries in relay order, followed by the contacts; each failed
    /// exchange advances to the next candidate.
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
    /// Returns a hash of the zone names, this entry's zone included; never zero.
    std::uint32_t digest() const { return m_digest; }
    /// Returns one address for each zone that has any.
    std::vector<ZoneContact> contacts() const;

private:
    std::string m_ownZone;
    std::map<std::string, Zone> m_zones;
    std::uint32_t m_digest;
};

/// Returns a hash of the entries of a zone; never zero.
std::uint32_t rosterDigestOf(const std::vector<ZoneEntry>& entries);

} // namespace catkinwing
