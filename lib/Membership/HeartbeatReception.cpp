#include "MembershipImpl.h"

namespace catkinwing {

PeerReply Membership::Impl::answer(const Heartbeat& heartbeat)
{
    // Messages that were queued in a socket during a pause are out of date.
    if (!isActive() || hasJustResumed())
        return PeerError { PeerErrorCode::Unavailable, "the entry doesn't take heartbeats now", std::nullopt };
    Reception reception = receive(heartbeat);
    if (reception.refusal)
        return *reception.refusal;
    if (!reception.member)
        return introduction();
    Member& member = *reception.member;
    // If the sender doesn't receive this entry's messages, or if this entry's latest
    // exchange with the sender failed, the next exchange is not postponed: only an
    // exchange that this entry starts tests the path to the sender.
    if (member.failures == 0 && member.hasRecentAcknowledgement(m_options, now(), interval()))
        member.nextExchange = now() + delayBeforeNextExchange(member);
    return heartbeatFor(member);
}

Membership::Impl::Reception Membership::Impl::receiveOwnName(const Heartbeat& heartbeat)
{
    const Incarnation& theirs = heartbeat.sender.ref.incarnation;
    const Incarnation& ours = m_self.ref.incarnation;
    if (theirs == ours) {
        m_candidates.erase(heartbeat.sender.peerAddress);
        return {};
    }
    if (theirs < ours)
        return { nullptr, PeerError { PeerErrorCode::OldIncarnation, "a later run of this name is alive", ours } };
    supersede();
    return { nullptr, PeerError { PeerErrorCode::Unavailable, "the entry is superseded", std::nullopt } };
}

Membership::Impl::Reception Membership::Impl::receive(const Heartbeat& heartbeat)
{
    ++m_counters.heartbeatsReceived;
    const EntryIdentity& sender = heartbeat.sender;
    if (sender.ref.name == m_self.ref.name)
        return receiveOwnName(heartbeat);
    Member* member = m_members.find(sender.ref.name);
    if (member && sender.ref.incarnation < member->identity.ref.incarnation) {
        ++m_counters.oldIncarnationsRefused;
        bool isAlive = member->state != MemberState::Dead;
        PeerErrorCode code = isAlive ? PeerErrorCode::OldIncarnation : PeerErrorCode::LowIncarnation;
        return { nullptr, PeerError { code, "a later run of this name is known", member->identity.ref.incarnation } };
    }
    bool isKnownRun = member && member->identity.ref == sender.ref;
    if (sender.zone.empty() && !isKnownRun)
        return { nullptr, PeerError { PeerErrorCode::UnknownRun, "the run is not known here", std::nullopt } };
    if (!sender.zone.empty() && sender.zone != m_self.zone) {
        addZoneContact(sender.zone, sender.region, sender.peerAddress);
        return {};
    }
    if (!isKnownRun)
        member = &admit(sender);
    retireOthersAt(member->identity.peerAddress, sender.ref.name);
    apply(*member, heartbeat);
    return { member, std::nullopt };
}

Member& Membership::Impl::admit(const EntryIdentity& identity)
{
    Member& member = m_members.all()[identity.ref.name];
    member = Member();
    member.identity = identity;
    member.lastReceivedAt = now();
    // The first exchange is due immediately, since only its result shows whether the
    // member receives this entry's messages.
    member.nextExchange = now();
    member.mustSendLeaving = m_isDraining;
    m_candidates.erase(identity.peerAddress);
    markChanged();
    if (m_events.onMemberState)
        m_events.onMemberState(identity.ref, MemberState::Live);
    return member;
}

void Membership::Impl::retireOthersAt(const SocketAddress& address, const std::string& name)
{
    for (auto& [otherName, other] : m_members.all()) {
        if (otherName == name || other.identity.peerAddress != address)
            continue;
        other.isAddressReused = true;
        other.lastAcknowledgedAt.reset();
        setState(other, MemberState::Dead);
    }
}

void Membership::Impl::apply(Member& member, const Heartbeat& heartbeat)
{
    if (heartbeat.sequence <= member.receivedSequence)
        return;
    member.receivedSequence = heartbeat.sequence;
    member.lastReceivedAt = now();
    member.isAddressReused = false;
    setState(member, MemberState::Live);
    std::optional<TimePoint> acknowledgedAt = member.channel.acknowledge(heartbeat.acknowledged);
    if (acknowledgedAt)
        member.lastAcknowledgedAt = acknowledgedAt;
    std::uint32_t freezes = heartbeat.freeze ? heartbeat.freeze->count : 0;
    if (freezes != member.pauses) {
        // The member was paused and discarded all state that it had received.
        member.pauses = freezes;
        member.channel.reset();
        member.load.clear();
    }
    if (member.draining != heartbeat.draining)
        markChanged();
    member.draining = heartbeat.draining;
    if (heartbeat.hashes)
        member.hashes = *heartbeat.hashes;
    applyLoad(member, heartbeat);
    applyRelayedState(member, heartbeat);
    bool isUsable = member.isUsable(m_options, now(), interval());
    if (isUsable != member.wasUsable)
        markChanged();
    member.wasUsable = isUsable;
    m_isMembersViewStale = true;
    if (member.hashes.config != m_configDigest)
        reportConfig({ m_self.zone, member.identity.ref.name, member.identity.peerAddress, member.hashes.config }, member.configReportedAt);
}

void Membership::Impl::applyLoad(Member& member, const Heartbeat& heartbeat)
{
    member.demand = heartbeat.demand;
    for (const EndpointLoad& load : heartbeat.load) {
        if (load.inFlight == 0)
            member.load.erase(load.endpoint);
        else
            member.load[load.endpoint] = load.inFlight;
    }
    for (const TeamTokens& total : heartbeat.served)
        recordServed(m_self.zone, m_self.region, total, member.served);
    if (!heartbeat.hasMoreServed)
        member.served.recordComplete();
}

void Membership::Impl::applyRelayedState(Member& member, const Heartbeat& heartbeat)
{
    for (const EndpointLeaving& endpoint : heartbeat.leaving)
        recordLeaving(endpoint, &member);
    for (const SocketAddress& address : heartbeat.members)
        addCandidate(address);
    for (const ZoneContact& contact : heartbeat.contacts)
        addZoneContact(contact.zone, contact.region, contact.peerAddress);
    for (const ZoneDigest& digest : heartbeat.digests) {
        bool canAdd = !digest.region.empty();
        Zone* zone = canAdd ? m_zones.findOrAdd(digest.zone, digest.region, now()) : m_zones.find(digest.zone);
        if (zone)
            accept(*zone, digest, false);
    }
}

void Membership::Impl::reportConfig(const ConfigPeer& peer, std::optional<TimePoint>& reportedAt)
{
    if (reportedAt && now() - *reportedAt < m_options.configReportInterval)
        return;
    reportedAt = now();
    if (m_events.onConfigDiffers)
        m_events.onConfigDiffers(peer);
}

void Membership::Impl::recordServed(const std::string& zone, const std::string& region, const TeamTokens& total, ServedTracker& tracker)
{
    std::uint64_t tokens = tracker.increment(total);
    if (tokens == 0)
        return;
    if (zone == m_self.zone)
        m_servedByMembers[total.team] += tokens;
    if (m_events.onServedElsewhere)
        m_events.onServedElsewhere({ zone, region, total.team, tokens });
}

} // namespace catkinwing
