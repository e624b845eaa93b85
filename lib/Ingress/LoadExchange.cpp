#include "catkinwing/Ingress/LoadExchange.h"

#include <algorithm>
#include <utility>

namespace catkinwing {

/// Max number of entries of a region that report to each other directly. This costs an
/// entry about 60 datagrams a second in each direction, and loads arrive without the
/// additional delay of a collector.
static constexpr std::size_t mostDirect = 12;
/// Direct reports are sent at every second tick only, since no collector adds to their
/// age.
static constexpr std::uint64_t directEvery = 2;
/// Digests of other groups expire after the same time as load reports.
static constexpr std::chrono::milliseconds digestLifetime { 1'000 };
/// Max number of pairs of collector and group whose last sequence is kept.
static constexpr std::size_t maxCollectorsKept = 256;
/// Max number of endpoints in one digest, so that it fits into a datagram. A digest
/// keeps the busiest endpoints; the others have little load.
static constexpr std::size_t mostLoads = 2'000;
/// Max number of prompt segments in one digest. Entries that miss a segment only cause
/// one more prefill of it.
static constexpr std::size_t mostParts = 256;
/// Group name of region digests. It also serves as the key of the region's loads among
/// the load reports; the keys of entries are never empty.
static constexpr const char* regionName = "";

LoadExchange::LoadExchange(EndpointTable& endpoints, const EntryTable& entries, EntryRecord self)
    : m_endpoints(endpoints)
    , m_entries(entries)
    , m_self(std::move(self))
{
}

// Discards all received loads when the region switches between direct reports and
// groups, since the same load would otherwise be counted by both.
void LoadExchange::followEntries()
{
    if (m_seenChanges == m_entries.changes())
        return;
    m_seenChanges = m_entries.changes();
    bool wasDirect = std::exchange(m_isDirect, m_entries.peersOf(m_self.region).size() < mostDirect);
    if (wasDirect != m_isDirect) {
        m_endpoints.peerLoads() = PeerLoads();
        m_collected = PeerLoads();
    }
    m_groups.clear();
    if (!m_isDirect)
        divide();
}

void LoadExchange::divide()
{
    std::vector<GroupedEntry> entries;
    std::map<std::string, SocketAddress> addresses;
    for (EntryTable::Peer& peer : m_entries.entriesOfRegion(m_self.region)) {
        addresses[peer.entry.key] = peer.address;
        entries.push_back(std::move(peer.entry));
    }
    for (const EntryGroup& divided : divideIntoGroups(entries)) {
        Group group { divided.name, {}, {} };
        for (const std::string& key : divided.members)
            group.members.push_back(addresses[key]);
        for (const std::string& key : divided.collectors)
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
    m_collected.expire(now);
    ++m_sequence;
    followEntries();
    if (m_isDirect && m_sequence % directEvery != 0)
        return {};
    LoadReport own { key, m_sequence, m_endpoints.ownLoads(now), m_endpoints.partsSent() };
    bool isIdle = own.loads.empty() && own.parts.empty();
    bool isSilent = isIdle && m_wasIdle;
    m_wasIdle = isIdle;
    std::vector<OutgoingDatagram> out;
    if (m_isDirect) {
        if (!isSilent)
            reportToAll(own, out);
        return out;
    }
    auto group = std::find_if(m_groups.begin(), m_groups.end(), [this](const Group& candidate) { return contains(candidate.members, m_self.peers); });
    if (group == m_groups.end())
        return out;
    if (!isSilent) {
        std::string bytes = encodeLoadReport(own);
        for (const SocketAddress& collector : group->collectors) {
            if (collector != m_self.peers)
                out.push_back({ collector, bytes });
        }
    }
    m_lastOwn = std::move(own);
    if (contains(group->collectors, m_self.peers))
        collect(*group, now, out);
    return out;
}

void LoadExchange::reportToAll(const LoadReport& report, std::vector<OutgoingDatagram>& out) const
{
    std::string bytes = encodeLoadReport(report);
    for (const SocketAddress& peer : m_entries.peersOf(m_self.region))
        out.push_back({ peer, bytes });
}

// Each collector sends its digests to all collectors of the other groups and to all
// members of its own, so that one collector of a group may fail. Only the first
// collector of a group includes prompt segments, which would otherwise count twice.
void LoadExchange::collect(const Group& group, TimePoint now, std::vector<OutgoingDatagram>& out)
{
    m_collected.take(m_lastOwn, now);
    m_partsCollected.insert(m_partsCollected.end(), m_lastOwn.parts.begin(), m_lastOwn.parts.end());
    bool tellsParts = group.collectors.front() == m_self.peers;
    LoadDigest ofGroup = digestOfGroup(group.name, tellsParts);
    LoadDigest ofRegion = digestOfRegion(ofGroup, tellsParts, now);
    takeRegion(ofRegion, now);
    bool isIdle = ofRegion.loads.empty() && ofRegion.parts.empty();
    if (std::exchange(m_wasRegionIdle, isIdle) && isIdle)
        return;
    std::string bytes = encodeLoadDigest(ofGroup);
    for (const Group& other : m_groups) {
        if (other.name == group.name)
            continue;
        for (const SocketAddress& collector : other.collectors)
            out.push_back({ collector, bytes });
    }
    bytes = encodeLoadDigest(ofRegion);
    for (const SocketAddress& member : group.members) {
        if (member != m_self.peers)
            out.push_back({ member, bytes });
    }
}

static void keepBusiest(std::vector<EndpointWorkload>& loads)
{
    if (loads.size() <= mostLoads)
        return;
    std::partial_sort(loads.begin(), loads.begin() + mostLoads, loads.end(),
        [](const EndpointWorkload& a, const EndpointWorkload& b) { return a.requests + a.unreadKilotokens > b.requests + b.unreadKilotokens; });
    loads.resize(mostLoads);
}

LoadDigest LoadExchange::digestOfGroup(const std::string& name, bool tellsParts)
{
    LoadDigest digest { name, m_lastOwn.entry, m_sequence, m_collected.all(), {} };
    keepBusiest(digest.loads);
    std::vector<PartSent> parts = std::exchange(m_partsCollected, {});
    if (!tellsParts)
        return digest;
    parts.resize(std::min(parts.size(), mostParts));
    digest.parts = std::move(parts);
    return digest;
}

LoadDigest LoadExchange::digestOfRegion(const LoadDigest& group, bool tellsParts, TimePoint now)
{
    PeerLoads sums;
    sums.take({ group.group, 1, group.loads, {} }, now);
    for (auto heard = m_groupDigests.begin(); heard != m_groupDigests.end();) {
        bool isStale = now - heard->second.at > digestLifetime;
        if (!isStale)
            sums.take({ heard->first, 1, heard->second.digest.loads, {} }, now);
        heard = isStale ? m_groupDigests.erase(heard) : std::next(heard);
    }
    LoadDigest digest { regionName, group.collector, m_sequence, sums.all(), group.parts };
    keepBusiest(digest.loads);
    std::vector<PartSent> parts = std::exchange(m_partsOfGroups, {});
    if (!tellsParts)
        return digest;
    digest.parts.insert(digest.parts.end(), parts.begin(), parts.end());
    digest.parts.resize(std::min(digest.parts.size(), mostParts));
    return digest;
}

void LoadExchange::takeReport(LoadReport report, TimePoint now)
{
    followEntries();
    m_endpoints.takePartsSent(report.parts, now);
    if (m_isDirect) {
        m_endpoints.peerLoads().take(std::move(report), now);
        return;
    }
    if (m_partsCollected.size() < mostParts)
        m_partsCollected.insert(m_partsCollected.end(), report.parts.begin(), report.parts.end());
    m_collected.take(std::move(report), now);
}

bool LoadExchange::isOvertaken(const LoadDigest& digest)
{
    if (m_digestSequences.size() >= maxCollectorsKept)
        m_digestSequences.clear();
    std::uint64_t& last = m_digestSequences[digest.collector + "|" + digest.group];
    if (digest.sequence <= last)
        return true;
    last = digest.sequence;
    return false;
}

void LoadExchange::takeDigest(LoadDigest digest, TimePoint now)
{
    followEntries();
    if (m_isDirect || isOvertaken(digest))
        return;
    if (digest.group != regionName) {
        m_endpoints.takePartsSent(digest.parts, now);
        if (m_partsOfGroups.size() < mostParts)
            m_partsOfGroups.insert(m_partsOfGroups.end(), digest.parts.begin(), digest.parts.end());
        std::string group = digest.group;
        m_groupDigests[group] = { std::move(digest), now };
        return;
    }
    auto isOwn = [this](const PartSent& sent) {
        return std::any_of(m_lastOwn.parts.begin(), m_lastOwn.parts.end(), [&](const PartSent& own) { return own.place == sent.place && own.part == sent.part; });
    };
    digest.parts.erase(std::remove_if(digest.parts.begin(), digest.parts.end(), isOwn), digest.parts.end());
    m_endpoints.takePartsSent(digest.parts, now);
    takeRegion(digest, now);
}

// Subtracts this entry's last report from the digest, since the endpoint table has the
// current load of this entry itself.
void LoadExchange::takeRegion(const LoadDigest& digest, TimePoint now)
{
    LoadReport others { regionName, m_endpoints.peerLoads().nextSequence(regionName), {}, {} };
    absl::flat_hash_map<std::uint32_t, EndpointWorkload> own;
    for (const EndpointWorkload& load : m_lastOwn.loads)
        own[load.endpoint] = load;
    for (EndpointWorkload load : digest.loads) {
        auto found = own.find(load.endpoint);
        if (found != own.end()) {
            load.requests -= std::min(load.requests, found->second.requests);
            load.unreadKilotokens -= std::min(load.unreadKilotokens, found->second.unreadKilotokens);
            load.suspicions -= std::min(load.suspicions, found->second.suspicions);
            load.users -= std::min(load.users, found->second.users);
        }
        if (load.users > 0)
            others.loads.push_back(load);
    }
    m_endpoints.peerLoads().take(std::move(others), now);
}

} // namespace catkinwing
