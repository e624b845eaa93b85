#include "MembershipImpl.h"
#include <algorithm>

namespace catkinwing {

// Maximum number of leaving endpoints in one heartbeat; further ones wait for the next.
static constexpr std::size_t leavingPerHeartbeat = 16;
// The side that doesn't normally start exchanges waits 4/3 of the interval, which is
// longer than the other side's maximum delay plus one timer tick.
static constexpr int backupNumerator = 4;
static constexpr int backupDenominator = 3;

void Membership::Impl::setState(Member& member, MemberState state)
{
    if (member.state == state)
        return;
    member.state = state;
    markChanged();
    if (state == MemberState::Suspect)
        ++m_counters.membersSuspected;
    if (state == MemberState::Dead) {
        ++m_counters.membersDied;
        member.diedAt = now();
        member.probeInterval = m_options.probeInterval;
    }
    if (m_events.onMemberState)
        m_events.onMemberState(member.identity.ref, state);
}

void Membership::Impl::updateMemberStates()
{
    Duration exchange = interval();
    auto& members = m_members.all();
    for (auto entry = members.begin(); entry != members.end();) {
        Member& member = entry->second;
        if (member.state == MemberState::Dead && now() - member.diedAt > m_options.forgetAfter) {
            entry = members.erase(entry);
            markChanged();
            continue;
        }
        // Only a received message improves a member's state.
        MemberState state = stateAfterSilence(m_options, now() - member.lastReceivedAt, exchange);
        if (state > member.state)
            setState(member, state);
        bool isUsable = member.isUsable(m_options, now(), exchange);
        if (isUsable != member.wasUsable) {
            member.wasUsable = isUsable;
            markChanged();
        }
        ++entry;
    }
}

void Membership::Impl::exchangeWithMembers()
{
    for (auto& [name, member] : m_members.all()) {
        if (member.isExchanging || member.isAddressReused || now() < member.nextExchange)
            continue;
        exchangeWith(member);
    }
}

// One exchange serves both sides, so the side with the lower name starts it. The
// other side waits longer and starts an exchange only if no heartbeat arrived.
Duration Membership::Impl::delayBeforeNextExchange(const Member& member)
{
    Duration delay = jittered(interval());
    return m_self.ref.name < member.identity.ref.name ? delay : delay * backupNumerator / backupDenominator;
}

void Membership::Impl::exchangeWith(Member& member)
{
    member.isExchanging = true;
    EntryRef ref = member.identity.ref;
    send(member.identity.peerAddress, { heartbeatFor(member) }, [this, ref](const auto& replies) { finishExchange(ref, replies); });
}

void Membership::Impl::finishExchange(const EntryRef& ref, const absl::StatusOr<std::vector<PeerReply>>& replies)
{
    Member* member = m_members.find(ref);
    if (member)
        member->isExchanging = false;
    if (!replies.ok() || replies->size() != 1) {
        recordExchangeFailure(ref);
        return;
    }
    receiveReply(replies->front());
    // receiveReply() may have replaced the member, so it is looked up again.
    member = m_members.find(ref);
    const auto* heartbeat = std::get_if<Heartbeat>(&replies->front());
    // The exchange has failed if the reply is an error or comes from another run at this
    // address.
    if (!member || !heartbeat || heartbeat->sender.ref != ref) {
        const auto* error = std::get_if<PeerError>(&replies->front());
        if (member && error && error->code == PeerErrorCode::UnknownRun)
            member->channel.reset();
        recordExchangeFailure(ref);
        return;
    }
    member->failures = 0;
    member->nextExchange = now() + delayBeforeNextExchange(*member);
}

void Membership::Impl::recordExchangeFailure(const EntryRef& ref)
{
    ++m_counters.sendFailures;
    Member* member = m_members.find(ref);
    if (!member)
        return;
    ++member->failures;
    if (member->state != MemberState::Dead) {
        member->nextExchange = now() + jittered(m_options.retryInterval);
        return;
    }
    member->nextExchange = now() + jittered(member->probeInterval);
    member->probeInterval = nextProbeInterval(m_options, member->probeInterval);
}

void Membership::Impl::probe(const SocketAddress& address)
{
    m_candidates[address].isExchanging = true;
    send(address, { introduction() }, [this, address](const auto& replies) { finishProbe(address, replies); });
}

void Membership::Impl::finishProbe(const SocketAddress& address, const absl::StatusOr<std::vector<PeerReply>>& replies)
{
    auto candidate = m_candidates.find(address);
    if (candidate != m_candidates.end())
        candidate->second.isExchanging = false;
    if (!replies.ok() || replies->size() != 1) {
        ++m_counters.sendFailures;
        return;
    }
    receiveReply(replies->front());
    const auto* heartbeat = std::get_if<Heartbeat>(&replies->front());
    bool isElsewhere = heartbeat && heartbeat->sender.zone != m_self.zone;
    if (isElsewhere)
        m_candidates.erase(address);
}

void Membership::Impl::receiveReply(const PeerReply& reply)
{
    if (const auto* error = std::get_if<PeerError>(&reply)) {
        handleRefusal(*error);
        return;
    }
    const auto* heartbeat = std::get_if<Heartbeat>(&reply);
    if (!heartbeat)
        return;
    if (receive(*heartbeat).member)
        m_isAccepted = true;
}

void Membership::Impl::handleRefusal(const PeerError& error)
{
    if (!error.known || !(m_self.ref.incarnation < *error.known))
        return;
    if (error.code == PeerErrorCode::LowIncarnation)
        raiseIncarnation(*error.known);
    // A run that no member has accepted yet doesn't stop but keeps trying, because the
    // run with the higher incarnation may be an earlier one whose death is not detected
    // yet.
    if (error.code == PeerErrorCode::OldIncarnation && m_isAccepted)
        supersede();
}

Heartbeat Membership::Impl::introduction()
{
    Heartbeat heartbeat;
    heartbeat.sender = m_self;
    heartbeat.sequence = ++m_lastSequence;
    heartbeat.draining = m_isDraining;
    heartbeat.hashes = StateHashes { m_configDigest, m_members.digest(m_self.ref), m_zones.digest() };
    if (m_freeze.count > 0) {
        heartbeat.freeze = m_freeze;
        heartbeat.freeze->age = now() - *m_resumedAt;
    }
    ++m_counters.heartbeatsSent;
    return heartbeat;
}

Heartbeat Membership::Impl::heartbeatFor(Member& member)
{
    Heartbeat heartbeat = introduction();
    heartbeat.acknowledged = member.receivedSequence;
    if (member.channel.isKnown())
        heartbeat.sender = EntryIdentity { m_self.ref, {}, {}, {}, {}, {} };
    SentContent content;
    content.sequence = heartbeat.sequence;
    content.sentAt = now();
    content.hashes = *heartbeat.hashes;
    if (member.channel.peerHasExactly(content.hashes))
        heartbeat.hashes.reset();
    heartbeat.demand = m_demand;
    content.load = topChanges(m_load, member.channel.load(), m_options.maxEndpointsPerHeartbeat).items;
    for (const NamedCount& load : content.load)
        heartbeat.load.push_back({ load.name, static_cast<std::uint32_t>(load.count) });
    TopChanges served = topChanges(m_served, member.channel.served(), m_options.maxTeamsPerHeartbeat);
    heartbeat.hasMoreServed = served.hasMore;
    content.servedTokens = std::move(served.items);
    for (const NamedCount& team : content.servedTokens)
        heartbeat.served.push_back({ team.name, team.count });
    for (const auto& [endpoint, state] : m_leaving) {
        if (content.leaving.size() < leavingPerHeartbeat && !member.channel.knowsLeaving(endpoint))
            content.leaving.push_back(endpoint);
    }
    heartbeat.leaving = content.leaving;
    if (member.hashes.members != content.hashes.members)
        heartbeat.members = m_members.addresses();
    bool shouldSendContacts = !member.contactsSentAt || now() - *member.contactsSentAt >= m_options.contactsInterval;
    if (member.hashes.zones != content.hashes.zones && shouldSendContacts) {
        heartbeat.contacts = m_zones.contacts();
        member.contactsSentAt = now();
    }
    addDigests(member, heartbeat, content);
    member.channel.record(std::move(content));
    return heartbeat;
}

void Membership::Impl::addDigests(Member& member, Heartbeat& heartbeat, SentContent& content)
{
    for (const auto& [name, zone] : m_zones.all()) {
        if (!zone.digest || !zone.isDirect)
            continue;
        bool isVersionKnown = member.channel.digestVersion(name) == zone.version;
        bool isRosterKnown = member.channel.acknowledgedRosterDigest(name) == zone.rosterDigest;
        bool hasRosterCapacity = content.rosters.size() < m_options.maxRostersPerHeartbeat;
        bool sendsRoster = !isRosterKnown && hasRosterCapacity;
        // A new zone is unusable without its entries, so its digest waits until a
        // heartbeat can include them.
        if (isRosterKnown ? isVersionKnown : !hasRosterCapacity)
            continue;
        ZoneDigest digest = relayedDigest(zone, member.channel.digestVersion(name));
        if (sendsRoster) {
            digest.region = zone.region;
            digest.entries = zone.entries;
            content.rosters.push_back({ name, zone.rosterDigest });
        }
        content.digests.push_back({ name, zone.version });
        heartbeat.digests.push_back(std::move(digest));
    }
}

} // namespace catkinwing
