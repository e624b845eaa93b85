#include "catkinwing/Membership/Membership.h"

#include "MembershipImpl.h"
#include <cassert>

namespace catkinwing {

// Sequence numbers start at a random value below this bound, so that they have a
// short encoding.
static constexpr std::uint64_t firstSequenceBound = 1U << 20;
// Fraction of the interval by which exchanges are spread, so that they don't
// coincide.
static constexpr double jitterFraction = 0.1;

Incarnation makeIncarnation(const Clock& clock, Random& random)
{
    auto sinceEpoch = clock.wallNow().time_since_epoch();
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return { static_cast<std::uint64_t>(millis), random.bits() };
}

Membership::Impl::Impl(EntryIdentity self, MembershipOptions options, Scheduler& scheduler, PeerTransport& transport, Random random, MembershipEvents events)
    : m_self(std::move(self))
    , m_options(options)
    , m_scheduler(scheduler)
    , m_transport(transport)
    , m_random(random)
    , m_events(std::move(events))
    , m_lastSequence(m_random.below(firstSequenceBound))
    , m_zones(m_self.zone)
    , m_alive(std::make_shared<bool>(true))
{
    assert(!m_self.ref.name.empty() && !m_self.zone.empty() && "identity of the entry lacks a name or a zone");
}

void Membership::Impl::start()
{
    m_isStarted = true;
    scheduleTick();
}

Duration Membership::Impl::jittered(Duration duration)
{
    double factor = 1.0 - jitterFraction + 2 * jitterFraction * m_random.unit();
    return std::chrono::duration_cast<Duration>(duration * factor);
}

void Membership::Impl::scheduleTick()
{
    m_nextTick = now() + m_options.tickInterval;
    m_scheduler.callAfter(m_options.tickInterval, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock())
            tick();
    });
}

void Membership::Impl::tick()
{
    if (m_isStopped)
        return;
    checkForPause();
    scheduleTick();
    updateMemberStates();
    updateZoneReachability();
    pruneLeaving();
    exchangeWithMembers();
    probeCandidates();
    exchangeWithZones();
    flushAnnouncements();
    reportChange();
}

void Membership::Impl::checkForPause()
{
    if (!isActive() || now() <= m_nextTick + m_options.pauseThreshold)
        return;
    m_freeze.span = now() - m_nextTick;
    ++m_freeze.count;
    ++m_counters.pauses;
    m_resumedAt = now();
    m_nextTick = now();
    dropViews();
    if (m_events.onPaused)
        m_events.onPaused(m_freeze.span);
    reportChange();
}

// Discards all state from before the pause: members must reply to a new message
// before they are used again.
void Membership::Impl::dropViews()
{
    ++m_epoch;
    for (auto& [name, member] : m_members.all()) {
        member.dropReports();
        member.isExchanging = false;
        member.nextExchange = now();
        if (member.state == MemberState::Dead)
            continue;
        member.lastReceivedAt = now();
        setState(member, MemberState::Suspect);
    }
    for (auto& [name, zone] : m_zones.all()) {
        zone.digest.reset();
        zone.served.reset();
        zone.isExchanging = false;
        zone.nextExchange = now();
        zone.waitingSince = now();
    }
    restartCandidates();
    m_isZonesViewStale = true;
    markChanged();
}

void Membership::Impl::supersede()
{
    if (m_isStopped)
        return;
    stop();
    if (m_events.onSuperseded)
        m_events.onSuperseded();
}

// Raises the incarnation above that of an earlier run of this entry, whose clock was
// ahead of this run's clock.
void Membership::Impl::raiseIncarnation(const Incarnation& known)
{
    if (!(m_self.ref.incarnation < known))
        return;
    m_self.ref.incarnation.start = known.start + 1;
    ++m_epoch;
    for (auto& [name, member] : m_members.all()) {
        member.dropReports();
        member.isExchanging = false;
        member.nextExchange = now();
    }
    restartCandidates();
    for (auto& [name, zone] : m_zones.all())
        zone.isExchanging = false;
    markChanged();
}

void Membership::Impl::setLocalState(LocalState state)
{
    m_configDigest = state.configDigest;
    m_demand = std::move(state.demand);
    m_models = std::move(state.models);
    m_load.clear();
    for (EndpointLoad& load : state.load)
        m_load.push_back({ std::move(load.endpoint), load.inFlight });
    m_served.clear();
    for (TeamTokens& served : state.served)
        m_served.push_back({ std::move(served.team), served.tokens });
}

void Membership::Impl::addCandidates(const std::vector<Candidate>& candidates)
{
    for (const Candidate& candidate : candidates) {
        if (candidate.zone.empty() || candidate.zone == m_self.zone)
            addCandidate(candidate.peerAddress);
        else
            addZoneContact(candidate.zone, candidate.region, candidate.peerAddress);
    }
}

void Membership::Impl::addCandidate(const SocketAddress& address)
{
    if (address == m_self.peerAddress || m_members.isInUse(address))
        return;
    auto [entry, isNew] = m_candidates.try_emplace(address, CandidateState { now(), m_options.probeInterval, false, now() });
    entry->second.addedAt = now();
}

void Membership::Impl::restartCandidates()
{
    for (auto& [address, candidate] : m_candidates)
        candidate = CandidateState { now(), m_options.probeInterval, false, candidate.addedAt };
}

void Membership::Impl::addZoneContact(const std::string& zone, const std::string& region, const SocketAddress& address)
{
    bool isNew = !m_zones.find(zone);
    Zone* known = m_zones.findOrAdd(zone, region, now());
    if (!known)
        return;
    // The delay lets the members of this zone find each other first, so that they
    // agree on the relays.
    if (isNew)
        known->nextExchange = now() + m_options.heartbeatInterval + jittered(m_options.heartbeatInterval) * 2;
    if (known->region.empty())
        known->region = region;
    known->addContact(address);
    m_isZonesViewStale = true;
}

void Membership::Impl::probeCandidates()
{
    for (auto candidate = m_candidates.begin(); candidate != m_candidates.end();) {
        bool isForgotten = now() - candidate->second.addedAt > m_options.forgetAfter;
        if (isForgotten || m_members.isInUse(candidate->first)) {
            candidate = m_candidates.erase(candidate);
            continue;
        }
        CandidateState& state = candidate->second;
        if (!state.isExchanging && now() >= state.nextTry) {
            state.nextTry = now() + jittered(state.probeInterval);
            state.probeInterval = nextProbeInterval(m_options, state.probeInterval);
            probe(candidate->first);
        }
        ++candidate;
    }
}

void Membership::Impl::send(const SocketAddress& address, std::vector<PeerMessage> batch, PeerTransport::Callback callback)
{
    auto guarded = [this, alive = std::weak_ptr<bool>(m_alive), epoch = m_epoch, callback = std::move(callback)](auto replies) {
        if (!alive.lock() || m_isStopped)
            return;
        checkForPause();
        if (epoch != m_epoch)
            return;
        callback(std::move(replies));
        reportChange();
    };
    m_transport.send(address, std::move(batch), std::move(guarded));
}

std::optional<PeerReply> Membership::Impl::handle(const PeerMessage& message)
{
    checkForPause();
    std::optional<PeerReply> reply;
    if (const auto* endpoint = std::get_if<EndpointLeaving>(&message))
        reply = answer(*endpoint);
    else if (const auto* leaving = std::get_if<EntryLeaving>(&message))
        reply = answer(*leaving);
    else if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
        reply = answer(*heartbeat);
    else if (const auto* digest = std::get_if<ZoneDigest>(&message))
        reply = answer(*digest);
    reportChange();
    return reply;
}

void Membership::Impl::reportChange()
{
    if (!m_isViewChanged)
        return;
    m_isViewChanged = false;
    m_isMembersViewStale = true;
    m_isZonesViewStale = true;
    if (m_events.onViewChanged)
        m_events.onViewChanged();
}

Membership::Membership(EntryIdentity self, MembershipOptions options, Scheduler& scheduler, PeerTransport& transport, Random random, MembershipEvents events)
    : m_impl(std::make_unique<Impl>(std::move(self), options, scheduler, transport, random, std::move(events)))
{
}

Membership::~Membership() = default;

void Membership::start() { m_impl->start(); }
void Membership::addCandidates(const std::vector<Candidate>& candidates) { m_impl->addCandidates(candidates); }
void Membership::setLocalState(LocalState state) { m_impl->setLocalState(std::move(state)); }
void Membership::startDraining() { m_impl->startDraining(); }
void Membership::announceExit() { m_impl->announceExit(); }
void Membership::reportLeaving(const EndpointLeaving& endpoint) { m_impl->reportLeaving(endpoint); }
std::optional<PeerReply> Membership::handle(const PeerMessage& message) { return m_impl->handle(message); }
void Membership::checkForPause() { m_impl->checkForPause(); }
const MembershipView& Membership::view() { return m_impl->view(); }
const EntryIdentity& Membership::self() const { return m_impl->self(); }
const MembershipCounters& Membership::counters() const { return m_impl->counters(); }

} // namespace catkinwing
