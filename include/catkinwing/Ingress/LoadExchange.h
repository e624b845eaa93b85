#pragma once

#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include "catkinwing/PeerProtocol/LoadDigest.h"
#include <map>
#include <string>
#include <vector>

namespace catkinwing {

/// How the entries of a region learn each other's loads. A few tell each other.
/// Where they are many each reports to the collectors of its group alone, which
/// add up the reports, exchange the sums with the other groups' collectors, and
/// tell their group the sum of the region; so the datagrams of an entry don't
/// grow with their number, and those of a collector only with its group.
class LoadExchange {
public:
    /// All references must outlive the exchange; \p self is this entry's record.
    LoadExchange(EndpointTable& endpoints, const EntryTable& entries, EntryRecord self);

    /// Returns what is to be sent now; to be called several times a second. \p key
    /// is this entry's.
    std::vector<OutgoingDatagram> tick(const std::string& key, TimePoint now);
    void takeReport(LoadReport report, TimePoint now);
    void takeDigest(LoadDigest digest, TimePoint now);
    std::uint64_t sequence() const { return m_sequence; }

private:
    /// Groups of the region by their entries' addresses.
    struct Group {
        std::string name;
        std::vector<SocketAddress> members;
        std::vector<SocketAddress> collectors;
    };
    struct Heard {
        LoadDigest digest;
        TimePoint at {};
    };

    /// Follows the table of entries.
    void followEntries();
    void divide();
    void reportToAll(const LoadReport& report, std::vector<OutgoingDatagram>& out) const;
    void collect(const Group& group, TimePoint now, std::vector<OutgoingDatagram>& out);
    LoadDigest digestOfGroup(const std::string& name, bool tellsParts);
    LoadDigest digestOfRegion(const LoadDigest& group, bool tellsParts, TimePoint now);
    bool isOvertaken(const LoadDigest& digest);
    void takeRegion(const LoadDigest& digest, TimePoint now);

    EndpointTable& m_endpoints;
    const EntryTable& m_entries;
    EntryRecord m_self;
    std::uint64_t m_sequence { 0 };
    /// What the table of entries had seen when the groups were made.
    std::optional<std::uint64_t> m_seenChanges;
    bool m_isDirect { true };
    /// Groups of the region; none where all entries tell each other.
    std::vector<Group> m_groups;
    bool m_wasIdle { false };
    bool m_wasRegionIdle { false };
    /// What this entry reported last; a digest holds it too.
    LoadReport m_lastOwn;
    /// Reports of the members of this entry's group, its own included.
    PeerLoads m_collected;
    std::vector<PartSent> m_partsCollected;
    /// Last digests of other groups, by their names.
    std::map<std::string, Heard> m_groupDigests;
    std::vector<PartSent> m_partsOfGroups;
    absl::flat_hash_map<std::string, std::uint64_t> m_digestSequences;
};

} // namespace catkinwing
