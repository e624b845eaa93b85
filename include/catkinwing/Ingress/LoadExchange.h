#pragma once

#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include "catkinwing/PeerProtocol/LoadDigest.h"
#include <map>
#include <string>
#include <vector>

namespace catkinwing {

/// Distributes the loads of the entries of a region among them. In a small region each
/// entry sends its load report to all others. In a larger region the entries are divided
/// into groups, and each entry reports only to the collectors of its group. A collector
/// adds up the reports of its group, exchanges group digests with the collectors of the
/// other groups and sends the region digest to the members of its group. The datagrams
/// of an entry therefore don't grow with the number of entries, and those of a collector
/// grow only with its group.
class LoadExchange {
public:
    /// All references must outlive the exchange; \p self is the record of this entry.
    LoadExchange(EndpointTable& endpoints, const EntryTable& entries, EntryRecord self);

    /// Returns the datagrams to send now. Must be called ten times a second. \p key is
    /// the registration key of this entry.
    std::vector<OutgoingDatagram> tick(const std::string& key, TimePoint now);
    void handleReport(LoadReport report, TimePoint now);
    void handleDigest(LoadDigest digest, TimePoint now);
    std::uint64_t sequence() const { return m_sequence; }

private:
    /// One group of entries of the region, given by the addresses of its entries.
    struct Group {
        std::string name;
        std::vector<SocketAddress> members;
        std::vector<SocketAddress> collectors;
    };
    struct ReceivedDigest {
        LoadDigest digest;
        TimePoint at {};
    };

    /// Rebuilds the groups if the entry table has changed.
    void updateGroups();
    void rebuildGroups();
    void appendReportsToAll(const LoadReport& report, std::vector<OutgoingDatagram>& out) const;
    void appendDigests(const Group& group, TimePoint now, std::vector<OutgoingDatagram>& out);
    LoadDigest buildGroupDigest(const std::string& name, bool includesSegments);
    LoadDigest buildRegionDigest(const LoadDigest& group, bool includesSegments, TimePoint now);
    /// Records the sequence number of \p digest. Returns true if a digest of the same
    /// collector and group with an equal or higher number has been received before.
    bool isOutOfOrder(const LoadDigest& digest);
    void applyRegionDigest(const LoadDigest& digest, TimePoint now);

    EndpointTable& m_endpoints;
    const EntryTable& m_entries;
    EntryRecord m_self;
    std::uint64_t m_sequence { 0 };
    /// Change counter of the entry table as of the last rebuild of the groups.
    std::optional<std::uint64_t> m_appliedEntryChanges;
    /// Each entry of the region reports to all others directly.
    bool m_hasDirectReports { true };
    /// Groups of the region; empty if each entry reports to all others directly.
    std::vector<Group> m_groups;
    /// The last load report of this entry was empty.
    bool m_wasLastReportEmpty { false };
    /// The last region digest that this entry built was empty.
    bool m_wasLastRegionDigestEmpty { false };
    /// Last load report of this entry; region digests include it.
    LoadReport m_lastOwnReport;
    /// Load reports of the members of this entry's group, its own included.
    PeerLoads m_groupLoads;
    /// Prompt segments reported by the group since the last group digest.
    std::vector<PartSent> m_groupSegments;
    /// Last digests of the other groups, by group name.
    std::map<std::string, ReceivedDigest> m_groupDigests;
    /// Prompt segments in digests of other groups since the last region digest.
    std::vector<PartSent> m_otherGroupSegments;
    /// Sequence number of the last digest, by collector and group.
    absl::flat_hash_map<std::string, std::uint64_t> m_digestSequences;
};

} // namespace catkinwing
