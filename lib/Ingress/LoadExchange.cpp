#include "catkinwing/Ingress/LoadExchange.h"

#include <algorithm>
#include <utility>

namespace catkinwing {

/// Max number of entries of a region that report to each other directly. This costs an
/// entry about 60 datagrams a second in each direction, and loads arrive without the
/// additional delay of a collector.
static constexpr std::size_t maxDirectEntries = 12;
/// Direct reports are sent at every second tick only, since no collector adds to their
/// age.
static constexpr std::uint64_t directReportTicks = 2;
/// Digests of other groups expire after the same time as load reports.
static constexpr std::chrono::milliseconds digestLifetime { 1'000 };
/// Max number of pairs of collector and group whose last sequence number is kept.
static constexpr std::size_t maxTrackedCollectors = 256;
/// Max number of endpoints in one digest, so that it fits into a datagram. A digest
/// keeps the busiest endpoints; the others have little load.
static constexpr std::size_t maxDigestLoads = 2'000;
/// Max number of prompt segments in one digest. Entries that miss a segment only cause
/// one more prefill of it.
static constexpr std::size_t maxDigestSegments = 256;
/// Group name of region digests. It also serves as the key of the region's loads among
/// the load reports; the keys of entries are never empty.
static constexpr const char* regionDigestName = "";

LoadExchange::LoadExchange(EndpointTable& endpoints, const EntryTable& entries, EntryRecord self)
    : m_endpoints(endpoints)
    , m_entries(entries)
    , m_self(std::move(self))
{
}

// Discards all received loads when the region switches between direct reports and
// groups, since the same load would otherwise be counted by both.
void LoadExchange::updateGroups()
{
    if (m_appliedEntryChanges == m_entries.changeCount())
        return;
    m_appliedEntryChanges = m_entries.changeCount();
    bool hadDirectReports = std::exchange(m_hasDirectReports, m_entries.peerAddresses(m_self.region).size() < maxDirectEntries);
    if (hadDirectReports != m_hasDirectReports) {
        m_endpoints.peerLoads() = PeerLoads();
        m_groupLoads = PeerLoads();
    }
    m_groups.clear();
    if (!m_hasDirectReports)
        rebuildGroups();
}

void LoadExchange::rebuildGroups()
{
    std::vector<GroupedEntry> entries;
    std::map<std::string, SocketAddress> addresses;
    for (EntryTable::Peer& peer : m_entries.entriesOfRegion(m_self.region)) {
        addresses[peer.entry.key] = peer.address;
        entries.push_back(std::move(peer.entry));
    }
    for (const EntryGroup& entryGroup : divideIntoGroups(entries)) {
        Group group { entryGroup.name, {}, {} };
        for (const std::string& key : entryGroup.members)
            group.members.push_back(addresses[key]);
        for (const std::string& key : entryGroup.collectors)
            group.collectors.push_back(addresses[key]);
        m_groups.push_back(std::move(group));
    }
}

static bool contains(const std::vector<SocketAddress>& addresses, const SocketAddress& address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

// An idle entry sends one empty report and then none until it has requests again.
std::vector<OutgoingDatagram> LoadExchange::tick(const std::string& key, TimePoint now)
{
    m_endpoints.peerLoads().expire(now);
    m_groupLoads.expire(now);
    ++m_sequence;
    updateGroups();
    if (m_hasDirectReports && m_sequence % directReportTicks != 0)
        return {};
    LoadReport own { key, m_sequence, m_endpoints.ownWorkloads(now), m_endpoints.takeSentSegments() };
    bool isIdle = own.loads.empty() && own.parts.empty();
    bool isSuppressed = isIdle && m_wasLastReportEmpty;
    m_wasLastReportEmpty = isIdle;
    std::vector<OutgoingDatagram> out;
    if (m_hasDirectReports) {
        if (!isSuppressed)
            appendReportsToAll(own, out);
        return out;
    }
    auto group = std::find_if(m_groups.begin(), m_groups.end(), [this](const Group& candidate) { return contains(candidate.members, m_self.peerAddress); });
    if (group == m_groups.end())
        return out;
    if (!isSuppressed) {
        std::string bytes = encodeLoadReport(own);
        for (const SocketAddress& collector : group->collectors) {
            if (collector != m_self.peerAddress)
                out.push_back({ collector, bytes });
        }
    }
    m_lastOwnReport = std::move(own);
    if (contains(group->collectors, m_self.peerAddress))
        appendDigests(*group, now, out);
    return out;
}

void LoadExchange::appendReportsToAll(const LoadReport& report, std::vector<OutgoingDatagram>& out) const
{
    std::string bytes = encodeLoadReport(report);
    for (const SocketAddress& peer : m_entries.peerAddresses(m_self.region))
        out.push_back({ peer, bytes });
}

// Each collector sends its digests to all collectors of the other groups and to all
// members of its own, so that one collector of a group may fail. Only the first
// collector of a group includes prompt segments, which would otherwise count twice.
void LoadExchange::appendDigests(const Group& group, TimePoint now, std::vector<OutgoingDatagram>& out)
{
    m_groupLoads.update(m_lastOwnReport, now);
    m_groupSegments.insert(m_groupSegments.end(), m_lastOwnReport.parts.begin(), m_lastOwnReport.parts.end());
    bool includesSegments = group.collectors.front() == m_self.peerAddress;
    LoadDigest groupDigest = buildGroupDigest(group.name, includesSegments);
    LoadDigest regionDigest = buildRegionDigest(groupDigest, includesSegments, now);
    applyRegionDigest(regionDigest, now);
    bool isIdle = regionDigest.loads.empty() && regionDigest.parts.empty();
    if (std::exchange(m_wasLastRegionDigestEmpty, isIdle) && isIdle)
        return;
    std::string bytes = encodeLoadDigest(groupDigest);
    for (const Group& other : m_groups) {
        if (other.name == group.name)
            continue;
        for (const SocketAddress& collector : other.collectors)
            out.push_back({ collector, bytes });
    }
    bytes = encodeLoadDigest(regionDigest);
    for (const SocketAddress& member : group.members) {
        if (member != m_self.peerAddress)
            out.push_back({ member, bytes });
    }
}

static void keepBusiest(std::vector<EndpointWorkload>& loads)
{
    if (loads.size() <= maxDigestLoads)
        return;
    std::partial_sort(loads.begin(), loads.begin() + maxDigestLoads, loads.end(),
        [](const EndpointWorkload& a, const EndpointWorkload& b) { return a.requests + a.unreadKilotokens > b.requests + b.unreadKilotokens; });
    loads.resize(maxDigestLoads);
}

LoadDigest LoadExchange::buildGroupDigest(const std::string& name, bool includesSegments)
{
    LoadDigest digest { name, m_lastOwnReport.entry, m_sequence, m_groupLoads.all(), {} };
    keepBusiest(digest.loads);
    std::vector<PartSent> parts = std::exchange(m_groupSegments, {});
    if (!includesSegments)
        return digest;
    parts.resize(std::min(parts.size(), maxDigestSegments));
    digest.parts = std::move(parts);
    return digest;
}

LoadDigest LoadExchange::buildRegionDigest(const LoadDigest& group, bool includesSegments, TimePoint now)
{
    PeerLoads sums;
    sums.update({ group.group, 1, group.loads, {} }, now);
    for (auto received = m_groupDigests.begin(); received != m_groupDigests.end();) {
        bool isStale = now - received->second.at > digestLifetime;
        if (!isStale)
            sums.update({ received->first, 1, received->second.digest.loads, {} }, now);
        received = isStale ? m_groupDigests.erase(received) : std::next(received);
    }
    LoadDigest digest { regionDigestName, group.collector, m_sequence, sums.all(), group.parts };
    keepBusiest(digest.loads);
    std::vector<PartSent> parts = std::exchange(m_otherGroupSegments, {});
    if (!includesSegments)
        return digest;
    digest.parts.insert(digest.parts.end(), parts.begin(), parts.end());
    digest.parts.resize(std::min(digest.parts.size(), maxDigestSegments));
    return digest;
}

void LoadExchange::handleReport(LoadReport report, TimePoint now)
{
    updateGroups();
    m_endpoints.recordPeerSegments(report.parts, now);
    if (m_hasDirectReports) {
        m_endpoints.peerLoads().update(std::move(report), now);
        return;
    }
    if (m_groupSegments.size() < maxDigestSegments)
        m_groupSegments.insert(m_groupSegments.end(), report.parts.begin(), report.parts.end());
    m_groupLoads.update(std::move(report), now);
}

bool LoadExchange::isOutOfOrder(const LoadDigest& digest)
{
    if (m_digestSequences.size() >= maxTrackedCollectors)
        m_digestSequences.clear();
    std::uint64_t& last = m_digestSequences[digest.collector + "|" + digest.group];
    if (digest.sequence <= last)
        return true;
    last = digest.sequence;
    return false;
}

void LoadExchange::handleDigest(LoadDigest digest, TimePoint now)
{
    updateGroups();
    if (m_hasDirectReports || isOutOfOrder(digest))
        return;
    if (digest.group != regionDigestName) {
        m_endpoints.recordPeerSegments(digest.parts, now);
        if (m_otherGroupSegments.size() < maxDigestSegments)
            m_otherGroupSegments.insert(m_otherGroupSegments.end(), digest.parts.begin(), digest.parts.end());
        std::string group = digest.group;
        m_groupDigests[group] = { std::move(digest), now };
        return;
    }
    auto isOwn = [this](const PartSent& sent) {
        return std::any_of(m_lastOwnReport.parts.begin(), m_lastOwnReport.parts.end(), [&](const PartSent& own) { return own.place == sent.place && own.part == sent.part; });
    };
    digest.parts.erase(std::remove_if(digest.parts.begin(), digest.parts.end(), isOwn), digest.parts.end());
    m_endpoints.recordPeerSegments(digest.parts, now);
    applyRegionDigest(digest, now);
}

// Subtracts this entry's last report from the digest, since the endpoint table has the
// current load of this entry itself.
void LoadExchange::applyRegionDigest(const LoadDigest& digest, TimePoint now)
{
    LoadReport others { regionDigestName, m_endpoints.peerLoads().nextSequence(regionDigestName), {}, {} };
    absl::flat_hash_map<std::uint32_t, EndpointWorkload> own;
    for (const EndpointWorkload& load : m_lastOwnReport.loads)
        own[load.endpoint] = load;
    for (EndpointWorkload load : digest.loads) {
        auto found = own.find(load.endpoint);
        if (found != own.end()) {
            load.requests -= std::min(load.requests, found->second.requests);
            load.unreadKilotokens -= std::min(load.unreadKilotokens, found->second.unreadKilotokens);
            load.suspicions -= std::min(load.suspicions, found->second.suspicions);
            load.users -= std::min(load.users, found->second.users);
            load.heldKilotokens -= std::min(load.heldKilotokens, found->second.heldKilotokens);
        }
        if (load.users > 0)
            others.loads.push_back(load);
    }
    m_endpoints.peerLoads().update(std::move(others), now);
}

} // namespace catkinwing
