#include "MembershipImpl.h"
#include "catkinwing/Membership/RelayChoice.h"
#include <algorithm>

namespace catkinwing {

// Digest intervals without a digest after which the standby relay starts exchanging.
static constexpr int standbyIntervals = 2;
// Maximum number of teams in a digest that is forwarded to a member. A member that joins
// receives at most this many of the existing totals; the others follow when they change.
static constexpr std::size_t maxRelayedTeams = 16;

std::vector<ZoneEntry> Membership::Impl::ownEntries() const
{
    std::vector<ZoneEntry> entries { { m_self.ref, m_self.callerAddress, m_self.peerAddress, m_isDraining } };
    for (const auto& [name, member] : m_members.all()) {
        if (member.state != MemberState::Dead)
            entries.push_back({ member.identity.ref, member.identity.callerAddress, member.identity.peerAddress, member.draining });
    }
    std::sort(entries.begin(), entries.end(), [](const ZoneEntry& a, const ZoneEntry& b) { return a.ref.name < b.ref.name; });
    return entries;
}

std::vector<std::string> Membership::Impl::relayNames(const std::string& zone)
{
    std::vector<std::string> names;
    for (const auto& [name, member] : m_members.all()) {
        if (member.wasUsable)
            names.push_back(name);
    }
    if (!m_isDraining || names.empty())
        names.push_back(m_self.ref.name);
    names = rankRelays(std::move(names), m_self.zone, zone);
    if (names.size() > relaysPerZone)
        names.resize(relaysPerZone);
    return names;
}

bool Membership::Impl::isReachable(const Zone& zone) const
{
    if (!zone.digest)
        return false;
    Duration expected = digestInterval(m_options, zone.region, m_self.region);
    return isDigestFresh(m_options, zone.age(now()), expected, interval());
}

void Membership::Impl::updateZoneReachability()
{
    for (auto& [name, zone] : m_zones.all()) {
        bool isNowReachable = isReachable(zone);
        if (isNowReachable != zone.wasReachable)
            markChanged();
        zone.wasReachable = isNowReachable;
    }
}

bool Membership::Impl::isDue(const std::string& name, const Zone& zone)
{
    if (zone.isExchanging || now() < zone.nextExchange)
        return false;
    std::vector<std::string> relays = relayNames(name);
    if (relays.front() == m_self.ref.name)
        return true;
    bool isStandby = relays.size() > 1 && relays[1] == m_self.ref.name;
    Duration standbyDelay = digestInterval(m_options, zone.region, m_self.region) * standbyIntervals + interval();
    return isStandby && zone.age(now()) > standbyDelay;
}

void Membership::Impl::exchangeWithZones()
{
    std::uint32_t roster = rosterDigestOf(ownEntries());
    for (auto& [name, zone] : m_zones.all()) {
        // A change of this zone's entries brings the next exchange forward. This
        // also holds for an entry that has just become the relay.
        if (zone.digest && zone.sentRoster != roster)
            zone.nextExchange = std::min(zone.nextExchange, std::max(zone.lastExchange, zone.madeAt) + m_options.digestRetryInterval);
        if (isDue(name, zone))
            exchangeWith(name, zone);
    }
}

void Membership::Impl::exchangeWith(const std::string& name, Zone& zone)
{
    std::optional<SocketAddress> address = zone.target(name, m_self.zone);
    if (!address)
        return;
    zone.isExchanging = true;
    send(*address, { digestFor(zone) }, [this, name](const auto& replies) { finishDigest(name, replies); });
}

void Membership::Impl::finishDigest(const std::string& name, const absl::StatusOr<std::vector<PeerReply>>& replies)
{
    Zone* zone = m_zones.find(name);
    if (!zone)
        return;
    zone->isExchanging = false;
    Duration expected = digestInterval(m_options, zone->region, m_self.region);
    const auto* digest = replies.ok() && replies->size() == 1 ? std::get_if<ZoneDigest>(&replies->front()) : nullptr;
    if (!digest || digest->zone != name) {
        ++m_counters.sendFailures;
        ++zone->failures;
        // The other zone may have received the digest although the reply was lost or
        // invalid. Its state is unknown, so the next digest contains everything.
        zone->peerKnownRoster = 0;
        zone->sentServedTokens.clear();
        zone->nextExchange = now() + jittered(std::min(expected, m_options.digestRetryInterval));
        return;
    }
    zone->failures = 0;
    receiveDirect(*digest);
}

// Adds the changed totals and records them as sent before they are acknowledged. If
// the digest is lost, the exchange fails and all totals are sent again.
static void addServedTotals(const std::vector<NamedCount>& totals, CountTable& sent, std::size_t limit, ZoneDigest& digest)
{
    TopChanges changes = topChanges(totals, sent, limit);
    digest.hasMoreServed = changes.hasMore;
    for (const NamedCount& item : changes.items) {
        sent[item.name] = item.count;
        digest.served.push_back({ item.name, item.count });
    }
}

static std::vector<NamedCount> sumOf(const std::vector<NamedCount>& own, CountTable others)
{
    for (const NamedCount& item : own)
        others[item.name] += item.count;
    std::vector<NamedCount> sums;
    sums.reserve(others.size());
    for (const auto& [name, count] : others)
        sums.push_back({ name, count });
    return sums;
}

ZoneDigest Membership::Impl::digestFor(Zone& zone)
{
    ++m_counters.digestsSent;
    ZoneDigest digest;
    digest.zone = m_self.zone;
    digest.region = m_self.region;
    digest.relay = m_self.ref.name;
    digest.sequence = ++m_lastSequence;
    std::vector<ZoneEntry> entries = ownEntries();
    digest.rosterDigest = rosterDigestOf(entries);
    digest.knownRoster = zone.rosterDigest;
    if (zone.peerKnownRoster != digest.rosterDigest)
        digest.entries = std::move(entries);
    digest.models = m_models;
    // Team shares are computed per region, so other regions need no totals.
    if (zone.region == m_self.region)
        addServedTotals(sumOf(m_served, m_servedByMembers), zone.sentServedTokens, m_options.maxTeamsPerDigest, digest);
    digest.configDigest = m_configDigest;
    digest.zonesDigest = m_zones.digest();
    bool shouldSendContacts = !zone.contactsSentAt || now() - *zone.contactsSentAt >= m_options.contactsInterval;
    if (zone.peerZonesDigest != digest.zonesDigest && shouldSendContacts) {
        digest.contacts = m_zones.contacts();
        zone.contactsSentAt = now();
    }
    zone.sentRoster = digest.rosterDigest;
    zone.lastExchange = now();
    return digest;
}

ZoneDigest Membership::Impl::relayedDigest(const Zone& zone, std::uint64_t knownVersion) const
{
    ZoneDigest digest = *zone.digest;
    // A digest that was replaced before it was forwarded may have contained other
    // teams, so the totals are taken from all digests since knownVersion.
    digest.served.clear();
    for (const auto& [team, total] : zone.totals) {
        if (total.version <= knownVersion)
            continue;
        if (digest.served.size() == maxRelayedTeams) {
            digest.hasMoreServed = true;
            break;
        }
        digest.served.push_back({ team, total.tokens });
    }
    digest.age = zone.age(now());
    digest.entries.reset();
    digest.contacts.clear();
    digest.region.clear();
    digest.knownRoster = 0;
    digest.zonesDigest = 0;
    digest.configDigest = 0;
    return digest;
}

PeerReply Membership::Impl::answer(const ZoneDigest& digest)
{
    if (!isActive() || hasJustResumed())
        return PeerError { PeerErrorCode::Unavailable, "the entry doesn't take digests now", std::nullopt };
    if (digest.region.empty())
        return PeerError { PeerErrorCode::Malformed, "the digest names no region", std::nullopt };
    Zone* zone = m_zones.findOrAdd(digest.zone, digest.region, now());
    if (!zone)
        return PeerError { PeerErrorCode::Unavailable, "the digest is of this zone", std::nullopt };
    receiveDirect(digest);
    return digestFor(*zone);
}

void Membership::Impl::receiveDirect(const ZoneDigest& digest)
{
    ++m_counters.digestsReceived;
    Zone& zone = *m_zones.find(digest.zone);
    zone.peerKnownRoster = digest.knownRoster;
    zone.peerZonesDigest = digest.zonesDigest;
    for (const ZoneContact& contact : digest.contacts)
        addZoneContact(contact.zone, contact.region, contact.peerAddress);
    accept(zone, digest, true);
    if (digest.configDigest == m_configDigest)
        return;
    auto relay = std::find_if(zone.entries.begin(), zone.entries.end(), [&](const ZoneEntry& entry) { return entry.ref.name == digest.relay; });
    if (relay != zone.entries.end())
        reportConfig({ digest.zone, digest.relay, relay->peerAddress, digest.configDigest }, zone.configReportedAt);
}

bool Membership::Impl::isNewer(const Zone& zone, const ZoneDigest& digest, TimePoint madeAt) const
{
    if (!zone.digest)
        return true;
    if (digest.relay != zone.digest->relay)
        return madeAt > zone.madeAt;
    if (digest.sequence > zone.digest->sequence)
        return true;
    // A restarted relay starts its sequence numbers again, so a digest with a lower
    // number is accepted if it was created later by a margin. The margin is needed
    // because the age of a digest doesn't include its time on the network.
    return madeAt > zone.madeAt + m_options.digestRetryInterval;
}

void Membership::Impl::accept(Zone& zone, const ZoneDigest& digest, bool isDirect)
{
    TimePoint madeAt = now() - digest.age;
    if (isNewer(zone, digest, madeAt))
        replaceDigest(zone, digest, madeAt, isDirect);
    // The entries of a zone may arrive in a later message than the digest with their hash.
    bool isCurrent = zone.digest && zone.digest->rosterDigest == digest.rosterDigest && zone.rosterDigest != digest.rosterDigest;
    if (!isCurrent || !digest.entries || rosterDigestOf(*digest.entries) != digest.rosterDigest)
        return;
    zone.entries = *digest.entries;
    zone.rosterDigest = digest.rosterDigest;
    markChanged();
}

void Membership::Impl::replaceDigest(Zone& zone, const ZoneDigest& digest, TimePoint madeAt, bool isDirect)
{
    zone.version = ++m_lastVersion;
    if (!zone.digest || zone.digest->relay != digest.relay) {
        zone.served.reset();
        zone.totals.clear();
    }
    for (const TeamTokens& total : digest.served) {
        recordServed(digest.zone, digest.region, total, zone.served);
        zone.totals[total.team] = { total.tokens, zone.version };
    }
    if (!digest.hasMoreServed)
        zone.served.recordComplete();
    if (!digest.region.empty())
        zone.region = digest.region;
    zone.digest = digest;
    zone.digest->entries.reset();
    zone.digest->contacts.clear();
    zone.madeAt = madeAt;
    zone.isDirect = isDirect;
    zone.nextExchange = now() + jittered(digestInterval(m_options, zone.region, m_self.region));
    m_isZonesViewStale = true;
    if (!zone.wasReachable && isReachable(zone)) {
        zone.wasReachable = true;
        markChanged();
    }
}

} // namespace catkinwing
