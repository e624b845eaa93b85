#pragma once

#include "MemberTable.h"
#include "ZoneTable.h"
#include "catkinwing/Membership/FailureDetection.h"
#include "catkinwing/Membership/Membership.h"

namespace catkinwing {

/// Implementation of Membership. The sources are divided by function: Membership.cpp
/// (life cycle, pauses, candidate addresses), HeartbeatExchange.cpp (heartbeats sent to
/// members), HeartbeatReception.cpp (heartbeats received), DigestExchange.cpp (other
/// zones), Announcements.cpp (drain and leaving endpoints), ViewBuilder.cpp (the view).
class Membership::Impl {
public:
    Impl(EntryIdentity self, MembershipOptions options, Scheduler& scheduler, PeerTransport& transport, Random random, MembershipEvents events);

    // Membership.cpp
    void start();
    void addCandidates(const std::vector<Candidate>& candidates);
    void setLocalState(LocalState state);
    void checkForPause();
    std::optional<PeerReply> handle(const PeerMessage& message);
    const EntryIdentity& self() const { return m_self; }
    const MembershipCounters& counters() const { return m_counters; }

    // Announcements.cpp
    void startDraining();
    void announceExit();
    void reportLeaving(const EndpointLeaving& endpoint);

    // ViewBuilder.cpp
    const MembershipView& view();

private:
    struct CandidateState {
        TimePoint nextTry {};
        Duration probeInterval {};
        bool isExchanging { false };
        TimePoint addedAt {};
    };
    struct LeavingState {
        TimePoint since {};
        /// True if reportLeaving() was called on this entry, which then announces the
        /// endpoint.
        bool isOwn { false };
    };
    struct Reception {
        /// The member that sent the heartbeat, or null.
        Member* member { nullptr };
        std::optional<PeerError> refusal;
    };

    // Membership.cpp
    TimePoint now() const { return m_scheduler.clock().now(); }
    Duration interval() const { return exchangeInterval(m_options, m_members.liveCount()); }
    Duration jittered(Duration duration);
    bool isActive() const { return m_isStarted && !m_isStopped; }
    bool hasJustResumed() const { return m_resumedAt && now() - *m_resumedAt < m_options.pauseThreshold; }
    void scheduleTick();
    void tick();
    void dropViews();
    void stop() { m_isStopped = true; }
    void supersede();
    void raiseIncarnation(const Incarnation& known);
    void probeCandidates();
    void restartCandidates();
    void addCandidate(const SocketAddress& address);
    void addZoneContact(const std::string& zone, const std::string& region, const SocketAddress& address);
    void markChanged() { m_isViewChanged = true; }
    void reportChange();
    /// Sends a batch. The callback runs only if this object still exists, is not
    /// stopped and has not started a new epoch since.
    void send(const SocketAddress& address, std::vector<PeerMessage> batch, PeerTransport::Callback callback);

    // HeartbeatExchange.cpp
    void updateMemberStates();
    void setState(Member& member, MemberState state);
    void exchangeWithMembers();
    void exchangeWith(Member& member);
    Duration delayBeforeNextExchange(const Member& member);
    void finishExchange(const EntryRef& ref, const absl::StatusOr<std::vector<PeerReply>>& replies);
    void recordExchangeFailure(const EntryRef& ref);
    void probe(const SocketAddress& address);
    void finishProbe(const SocketAddress& address, const absl::StatusOr<std::vector<PeerReply>>& replies);
    void receiveReply(const PeerReply& reply);
    Heartbeat introduction();
    Heartbeat heartbeatFor(Member& member);
    void addDigests(Member& member, Heartbeat& heartbeat, SentContent& content);
    void handleRefusal(const PeerError& error);

    // HeartbeatReception.cpp
    PeerReply answer(const Heartbeat& heartbeat);
    Reception receive(const Heartbeat& heartbeat);
    Reception receiveOwnName(const Heartbeat& heartbeat);
    Member& admit(const EntryIdentity& identity);
    void retireOthersAt(const SocketAddress& address, const std::string& name);
    void apply(Member& member, const Heartbeat& heartbeat);
    void applyLoad(Member& member, const Heartbeat& heartbeat);
    void applyRelayedState(Member& member, const Heartbeat& heartbeat);
    void reportConfig(const ConfigPeer& peer, std::optional<TimePoint>& reportedAt);
    void recordServed(const std::string& zone, const std::string& region, const TeamTokens& total, ServedTracker& tracker);

    // DigestExchange.cpp
    void exchangeWithZones();
    void updateZoneReachability();
    bool isDue(const std::string& name, const Zone& zone);
    void exchangeWith(const std::string& name, Zone& zone);
    void finishDigest(const std::string& name, const absl::StatusOr<std::vector<PeerReply>>& replies);
    ZoneDigest digestFor(Zone& zone);
    ZoneDigest relayedDigest(const Zone& zone, std::uint64_t knownVersion) const;
    PeerReply answer(const ZoneDigest& digest);
    void receiveDirect(const ZoneDigest& digest);
    bool isNewer(const Zone& zone, const ZoneDigest& digest, TimePoint madeAt) const;
    void accept(Zone& zone, const ZoneDigest& digest, bool isDirect);
    void replaceDigest(Zone& zone, const ZoneDigest& digest, TimePoint madeAt, bool isDirect);
    std::vector<ZoneEntry> ownEntries() const;
    std::vector<std::string> relayNames(const std::string& zone);
    bool isReachable(const Zone& zone) const;

    // Announcements.cpp
    void flushAnnouncements();
    void announceTo(Member& member);
    void finishAnnouncement(const EntryRef& ref, const std::vector<EndpointLeaving>& endpoints, bool isDone);
    std::vector<EndpointLeaving> pendingLeaving(const Member& member) const;
    void recordLeaving(const EndpointLeaving& endpoint, Member* source);
    PeerReply answer(const EndpointLeaving& endpoint);
    PeerReply answer(const EntryLeaving& leaving);
    void pruneLeaving();

    EntryIdentity m_self;
    const MembershipOptions m_options;
    Scheduler& m_scheduler;
    PeerTransport& m_transport;
    Random m_random;
    const MembershipEvents m_events;

    bool m_isStarted { false };
    bool m_isStopped { false };
    bool m_isDraining { false };
    /// True once another entry of the zone accepted a heartbeat of this run.
    bool m_isAccepted { false };
    TimePoint m_nextTick {};
    std::optional<TimePoint> m_resumedAt;
    FreezeMark m_freeze;
    /// Number of pauses and raised incarnations; replies to messages of an earlier
    /// epoch are dropped.
    std::uint64_t m_epoch { 0 };
    std::uint64_t m_lastSequence;
    std::uint64_t m_lastVersion { 0 };

    MemberTable m_members;
    ZoneTable m_zones;
    std::map<SocketAddress, CandidateState> m_candidates;
    std::map<EndpointLeaving, LeavingState> m_leaving;

    std::uint64_t m_configDigest { 0 };
    std::vector<GroupDemand> m_demand;
    std::vector<NamedCount> m_load;
    std::vector<NamedCount> m_served;
    std::vector<ModelRoom> m_models;
    /// Tokens that other entries of the zone reported as served, by team.
    CountTable m_servedByMembers;

    MembershipCounters m_counters;
    bool m_isViewChanged { false };
    bool m_isMembersViewStale { true };
    bool m_isZonesViewStale { true };
    MembershipView m_view;
    /// Expires with this object; callbacks hold a weak pointer to it.
    std::shared_ptr<bool> m_alive;
};

} // namespace catkinwing
