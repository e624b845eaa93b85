#include "catkinwing/Ingress/EntryTable.h"

#include "catkinwing/Membership/ShareDivision.h"
#include "catkinwing/Support/Hash.h"
#include "catkinwing/Support/Logging.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace catkinwing {

/// Time for which an entry that is shutting down still accepts requests after its
/// registration was removed.
static constexpr std::chrono::milliseconds shutdownTime { 2'500 };
/// Time for which requests are still forwarded to an entry whose registration was removed, if
/// no other entry is left. Longer than outages of the store usually last.
static constexpr std::chrono::milliseconds departedRetention { 15'000 };
/// Time for which an entry whose registration was removed keeps its share of the limits of
/// endpoints. Longer than partitions usually last.
static constexpr std::chrono::minutes sharerRetention { 10 };
/// Time for which an entry that did not answer a forwarded request is skipped.
static constexpr std::chrono::milliseconds peerSuspectTime { 1'000 };
/// Time for which an entry that refused a request because it reaches no endpoints is skipped.
static constexpr std::chrono::milliseconds peerCutOffTime { 500 };
/// Time for which an entry that relayed an answer most likely still reaches endpoints.
static constexpr std::chrono::milliseconds peerServingTime { 500 };

std::string writeEntryRecord(const EntryRecord& record)
{
    nlohmann::json json = {
        { "region", record.region },
        { "zone", record.availabilityZone },
        { "clients", record.clientAddress.toString() },
        { "peers", record.peerAddress.toString() },
    };
    return json.dump();
}

absl::StatusOr<EntryRecord> readEntryRecord(absl::string_view text)
{
    std::size_t end = text.rfind('}');
    auto json = nlohmann::json::parse(text.substr(0, end == absl::string_view::npos ? 0 : end + 1), nullptr, false);
    if (!json.is_object())
        return absl::InvalidArgumentError("entry registration is not a JSON object");
    auto member = [&](const char* name) { return json.contains(name) && json[name].is_string() ? json[name].get<std::string>() : std::string(); };
    absl::StatusOr<SocketAddress> clients = parseSocketAddress(member("clients"));
    absl::StatusOr<SocketAddress> peers = parseSocketAddress(member("peers"));
    if (!clients.ok())
        return clients.status();
    if (!peers.ok())
        return peers.status();
    return EntryRecord { member("region"), member("zone"), *clients, *peers };
}

EntryTable::EntryTable(EntryRecord self)
    : m_self(std::move(self))
{
}

void EntryTable::put(const std::string& key, EntryRecord record)
{
    bool isNew = m_entries.count(key) == 0;
    if (isNew)
        logChange(LogLevel::Info, "entry_added", { { "entry", key }, { "zone", record.availabilityZone }, { "entries", m_entries.size() + 1 } });
    m_entries[key] = Entry { std::move(record), false };
    ++m_changeCount;
}

std::size_t EntryTable::zoneSize(const std::string& availabilityZone) const
{
    std::set<SocketAddress> addresses;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.availabilityZone == availabilityZone)
            addresses.insert(entry.record.peerAddress);
    }
    return addresses.size();
}

// Entries are provisioned for the peak of their zone with some room to spare, but not for twice
// their part of it.
bool EntryTable::hasLostMostOf(const std::string& availabilityZone, std::size_t left, TimePoint now) const
{
    auto recent = m_recentZoneSizes.find(availabilityZone);
    if (recent == m_recentZoneSizes.end())
        return false;
    RecentMaximum size = recent->second;
    return 2 * left < size.take(left, now);
}

// Counts addresses because a restarted entry has two registrations until its old lease expires.
std::size_t EntryTable::recentMaxAddresses(TimePoint now)
{
    if (m_addressCountVersion != m_changeCount) {
        std::set<SocketAddress> addresses;
        for (const auto& [key, entry] : m_entries)
            addresses.insert(entry.record.peerAddress);
        m_addressCount = addresses.size();
        m_addressCountVersion = m_changeCount;
    }
    return m_recentSize.take(m_addressCount, now);
}

void EntryTable::recordStoredCount(const StoredEntryCount& stored, TimePoint now)
{
    // A number that is read again must not count for longer.
    if (stored.revision != m_storedCount.revision)
        m_recentSize.take(stored.count, now);
    m_storedCount = stored;
}

bool EntryTable::exceedsStoredCount() const
{
    std::set<SocketAddress> addresses { m_self.peerAddress };
    for (const auto& [key, entry] : m_entries)
        addresses.insert(entry.record.peerAddress);
    return addresses.size() > m_storedCount.count;
}

EntryOrder EntryTable::orderFor(std::uint64_t subject, const std::vector<std::string>& regions) const
{
    std::uint64_t own = stableHash(m_self.peerAddress.toString(), subject);
    EntryOrder order;
    for (const Neighbor& neighbor : otherEntries()) {
        if (!regions.empty() && std::count(regions.begin(), regions.end(), neighbor.region) == 0)
            continue;
        ++order.entries;
        order.rank += stableHash(neighbor.address.toString(), subject) < own ? 1 : 0;
    }
    return order;
}

void EntryTable::remove(const std::string& key, TimePoint now)
{
    recentMaxAddresses(now);
    auto isExpired = [now](const Departed& departed) { return now - departed.removedAt > departedRetention; };
    m_departed.erase(std::remove_if(m_departed.begin(), m_departed.end(), isExpired), m_departed.end());
    auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        const std::string& zone = found->second.record.availabilityZone;
        m_recentZoneSizes.try_emplace(zone, std::chrono::minutes(10)).first->second.take(zoneSize(zone), now);
        m_departed.push_back({ found->second.record, now });
        m_removedAddresses[found->second.record.peerAddress] = { found->second.record, now };
    }
    for (auto removed = m_removedAddresses.begin(); removed != m_removedAddresses.end();)
        removed = now - removed->second.removedAt > sharerRetention ? m_removedAddresses.erase(removed) : std::next(removed);
    ++m_changeCount;
    if (m_entries.erase(key) > 0)
        logChange(LogLevel::Info, "entry_removed", { { "entry", key }, { "entries", m_entries.size() } });
}

void EntryTable::recordMissing(const std::string& key)
{
    auto found = m_entries.find(key);
    if (found != m_entries.end())
        found->second.isMissing = true;
}

void EntryTable::removeMissing(TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto& [key, entry] : m_entries) {
        if (entry.isMissing)
            missing.push_back(key);
    }
    for (const std::string& key : missing)
        remove(key, now);
}

static void addOnce(std::vector<SocketAddress>& addresses, const SocketAddress& address)
{
    if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
        addresses.push_back(address);
}

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<SocketAddress> EntryTable::entriesFor(const std::string& region, const std::string& availabilityZone, const HostHomes& homes, TimePoint now) const
{
    std::vector<SocketAddress> ofZone;
    std::vector<SocketAddress> ofRegion;
    std::vector<SocketAddress> ofHomes;
    std::vector<SocketAddress> leaving;
    std::vector<SocketAddress> all;
    for (const auto& [key, entry] : m_entries) {
        const EntryRecord& record = entry.record;
        addOnce(all, record.clientAddress);
        if (record.region == region)
            addOnce(ofRegion, record.clientAddress);
        if (contains(homes.regions, record.region))
            addOnce(ofHomes, record.clientAddress);
        if (record.availabilityZone == availabilityZone)
            addOnce(ofZone, record.clientAddress);
    }
    for (const Departed& departed : m_departed) {
        bool isAllowed = departed.record.region == region || contains(homes.regions, departed.record.region);
        if (isAllowed && !homes.regions.empty() && now - departed.removedAt <= shutdownTime)
            addOnce(leaving, departed.record.clientAddress);
    }
    if (homes.hasTightTargets && hasLostMostOf(availabilityZone, ofZone.size(), now))
        ofZone.clear();
    for (std::vector<SocketAddress>* group : { &ofZone, &ofRegion, &ofHomes, &leaving }) {
        if (!group->empty())
            return std::move(*group);
    }
    if (homes.bindsAll)
        all.clear();
    return all;
}

static bool isMarked(const std::map<SocketAddress, TimePoint>& marks, const SocketAddress& address, TimePoint now)
{
    auto found = marks.find(address);
    return found != marks.end() && now < found->second;
}

std::optional<SocketAddress> EntryTable::choosePeer(const std::string& region, TimePoint now, Random& random, const std::vector<SocketAddress>& excluded) const
{
    std::vector<SocketAddress> candidates;
    for (const auto& [key, entry] : m_entries) {
        const SocketAddress& peer = entry.record.peerAddress;
        bool isSkipped = isMarked(m_suspectUntil, peer, now) || isMarked(m_cutOffUntil, peer, now);
        bool isExcluded = std::find(excluded.begin(), excluded.end(), peer) != excluded.end();
        if (entry.record.region == region && peer != m_self.peerAddress && !isSkipped && !isExcluded)
            addOnce(candidates, peer);
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[random.below(candidates.size())];
}

std::optional<SocketAddress> EntryTable::chooseServingPeer(const std::string& region, const std::string& service, TimePoint now, Random& random, const std::vector<SocketAddress>& excluded) const
{
    std::vector<SocketAddress> skipped = excluded;
    for (const SocketAddress& peer : peerAddresses(region)) {
        auto served = m_servingUntil.find(peer);
        bool isServing = served != m_servingUntil.end() && served->second.count(service) > 0 && now < served->second.at(service);
        if (!isServing)
            skipped.push_back(peer);
    }
    return choosePeer(region, now, random, skipped);
}

std::optional<SocketAddress> EntryTable::chooseDepartedPeer(const std::string& region, TimePoint now, Random& random) const
{
    std::vector<SocketAddress> peers;
    for (const Departed& departed : m_departed) {
        if (departed.record.region == region && now - departed.removedAt <= departedRetention)
            addOnce(peers, departed.record.peerAddress);
    }
    if (peers.empty())
        return std::nullopt;
    return peers[random.below(peers.size())];
}

std::vector<SocketAddress> EntryTable::peerAddresses(const std::string& region) const
{
    std::vector<SocketAddress> peers;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.region == region && entry.record.peerAddress != m_self.peerAddress)
            addOnce(peers, entry.record.peerAddress);
    }
    return peers;
}

std::vector<std::string> EntryTable::otherRegions() const
{
    std::set<std::string> regions;
    for (const auto& [key, entry] : m_entries)
        regions.insert(entry.record.region);
    regions.erase(m_self.region);
    return { regions.begin(), regions.end() };
}

void EntryTable::recordPeerCutOff(const SocketAddress& peer, TimePoint now)
{
    m_cutOffUntil[peer] = now + peerCutOffTime;
    m_servingUntil.erase(peer);
}

void EntryTable::recordPeerServed(const SocketAddress& peer, const std::string& service, TimePoint now)
{
    m_servingUntil[peer][service] = now + peerServingTime;
}

void EntryTable::recordPeerFailure(const SocketAddress& peer, TimePoint now)
{
    m_suspectUntil[peer] = now + peerSuspectTime;
    m_servingUntil.erase(peer);
    auto isPeer = [&peer](const Departed& departed) { return departed.record.peerAddress == peer; };
    m_departed.erase(std::remove_if(m_departed.begin(), m_departed.end(), isPeer), m_departed.end());
    logChange(LogLevel::Warning, "entry_suspect", { { "entry", peer.toString() } });
}

// A restarted entry is also registered under its old key until the old lease expires. The last
// key in the order of names is returned for such an entry; both keys are suitable.
std::vector<EntryTable::Peer> EntryTable::entriesOfRegion(const std::string& region) const
{
    std::map<SocketAddress, Peer> byAddress;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.region == region)
            byAddress[entry.record.peerAddress] = { { key, entry.record.availabilityZone }, entry.record.peerAddress };
    }
    std::vector<Peer> peers;
    peers.reserve(byAddress.size());
    for (auto& [address, peer] : byAddress)
        peers.push_back(std::move(peer));
    return peers;
}

std::vector<EntryTable::Neighbor> EntryTable::otherEntries() const
{
    std::map<SocketAddress, Neighbor> byAddress;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.peerAddress != m_self.peerAddress)
            byAddress[entry.record.peerAddress] = { key, entry.record.region, entry.record.peerAddress };
    }
    std::vector<Neighbor> neighbors;
    neighbors.reserve(byAddress.size());
    for (auto& [address, neighbor] : byAddress)
        neighbors.push_back(std::move(neighbor));
    return neighbors;
}

std::vector<RateSharer> EntryTable::rateSharers(const std::string& region, TimePoint now) const
{
    std::map<SocketAddress, bool> isListedAt;
    for (const auto& [address, removed] : m_removedAddresses) {
        if (removed.record.region == region && now - removed.removedAt <= sharerRetention)
            isListedAt[address] = false;
    }
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.region == region)
            isListedAt[entry.record.peerAddress] = true;
    }
    std::vector<RateSharer> sharers;
    sharers.reserve(isListedAt.size());
    for (const auto& [address, isListed] : isListedAt)
        sharers.push_back({ address.toString(), isListed });
    return sharers;
}

std::vector<std::string> EntryTable::keysOfRegion(const std::string& region) const
{
    std::vector<std::string> keys;
    for (Peer& peer : entriesOfRegion(region))
        keys.push_back(std::move(peer.entry.key));
    return keys;
}

std::optional<SocketAddress> EntryTable::relayAddress(const std::string& self, TimePoint now) const
{
    std::vector<std::string> candidates;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.availabilityZone == m_self.availabilityZone && !isMarked(m_suspectUntil, entry.record.peerAddress, now))
            candidates.push_back(key);
    }
    std::string chosen = chooseDelegate(candidates, "relay");
    if (chosen.empty() || chosen == self)
        return std::nullopt;
    const SocketAddress& peer = m_entries.at(chosen).record.peerAddress;
    if (peer == m_self.peerAddress)
        return std::nullopt;
    return peer;
}

} // namespace catkinwing
