#include "MembershipImpl.h"
#include <algorithm>

namespace catkinwing {

void Membership::Impl::startDraining()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    for (auto& [name, member] : m_members.all())
        member.mustSendLeaving = true;
    markChanged();
    flushAnnouncements();
    reportChange();
}

void Membership::Impl::announceExit()
{
    if (!isActive())
        return;
    for (auto& [name, member] : m_members.all()) {
        if (member.state != MemberState::Dead)
            send(member.identity.peerAddress, { EntryLeaving { m_self.ref, true } }, [](const auto& /*replies*/) {});
    }
    stop();
}

void Membership::Impl::reportLeaving(const EndpointLeaving& endpoint)
{
    checkForPause();
    auto [entry, isNew] = m_leaving.try_emplace(endpoint, LeavingState { now(), true });
    if (!isNew)
        return;
    for (auto& [name, member] : m_members.all())
        member.nextAnnounce = now();
    markChanged();
    flushAnnouncements();
    reportChange();
}

std::vector<EndpointLeaving> Membership::Impl::pendingLeaving(const Member& member) const
{
    std::vector<EndpointLeaving> pending;
    for (const auto& [endpoint, state] : m_leaving) {
        bool isAnnounced = state.isOwn && now() - state.since <= m_options.announceFor;
        if (isAnnounced && !member.channel.knowsLeaving(endpoint))
            pending.push_back(endpoint);
    }
    return pending;
}

void Membership::Impl::flushAnnouncements()
{
    if (!isActive())
        return;
    for (auto& [name, member] : m_members.all()) {
        bool isReady = member.state != MemberState::Dead && now() >= member.nextAnnounce;
        if (isReady)
            announceTo(member);
    }
}

void Membership::Impl::announceTo(Member& member)
{
    std::vector<EndpointLeaving> endpoints = pendingLeaving(member);
    std::vector<PeerMessage> batch(endpoints.begin(), endpoints.end());
    if (member.mustSendLeaving)
        batch.emplace_back(EntryLeaving { m_self.ref, false });
    if (batch.empty())
        return;
    // The announcement is retried before the exchange times out, because it must
    // reach the member within 2 s.
    member.nextAnnounce = now() + m_options.retryInterval;
    EntryRef ref = member.identity.ref;
    std::size_t expected = batch.size();
    send(member.identity.peerAddress, std::move(batch), [this, ref, expected, endpoints](const auto& replies) {
        finishAnnouncement(ref, endpoints, replies.ok() && replies->size() == expected);
    });
}

void Membership::Impl::finishAnnouncement(const EntryRef& ref, const std::vector<EndpointLeaving>& endpoints, bool isDone)
{
    Member* member = m_members.find(ref);
    if (!member)
        return;
    if (!isDone) {
        ++m_counters.sendFailures;
        return;
    }
    member->mustSendLeaving = false;
    for (const EndpointLeaving& endpoint : endpoints)
        member->channel.recordLeaving(endpoint);
}

void Membership::Impl::recordLeaving(const EndpointLeaving& endpoint, Member* source)
{
    if (source)
        source->channel.recordLeaving(endpoint);
    auto [entry, isNew] = m_leaving.try_emplace(endpoint, LeavingState { now(), false });
    if (!isNew)
        return;
    markChanged();
    if (m_events.onEndpointLeaving)
        m_events.onEndpointLeaving(endpoint);
}

PeerReply Membership::Impl::answer(const EndpointLeaving& endpoint)
{
    recordLeaving(endpoint, nullptr);
    return Acknowledgement {};
}

PeerReply Membership::Impl::answer(const EntryLeaving& leaving)
{
    Member* member = m_members.find(leaving.entry);
    if (!member)
        return Acknowledgement {};
    if (!member->draining)
        markChanged();
    member->draining = true;
    member->wasUsable = false;
    if (leaving.isGone) {
        setState(*member, MemberState::Dead);
        // Messages of the exited run that are still in transit must not mark the
        // member live again.
        member->receivedSequence = UINT64_MAX;
    }
    return Acknowledgement {};
}

void Membership::Impl::pruneLeaving()
{
    for (auto entry = m_leaving.begin(); entry != m_leaving.end();) {
        if (now() - entry->second.since <= m_options.keepLeavingFor) {
            ++entry;
            continue;
        }
        for (auto& [name, member] : m_members.all())
            member.channel.removeLeaving(entry->first);
        entry = m_leaving.erase(entry);
        markChanged();
    }
}

} // namespace catkinwing
