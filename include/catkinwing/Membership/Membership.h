#pragma once

#include "catkinwing/Membership/MembershipOptions.h"
#include "catkinwing/Membership/MembershipView.h"
#include "catkinwing/Membership/PeerTransport.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"
#include <memory>

namespace catkinwing {

/// Callbacks of a Membership; each may be left empty.
struct MembershipEvents {
    /// The process was paused for about \p span. The Membership has already
    /// discarded its views and handles nothing else before this callback returns;
    /// the callback must drop the leases.
    std::function<void(Duration span)> onPaused;
    /// The view changed in a way that routing or forwarding may depend on.
    std::function<void()> onViewChanged;
    /// The state of a member of the zone changed; meant for logs.
    std::function<void(const EntryRef&, MemberState)> onMemberState;
    /// A peer has a different configuration in force; the callback may fetch the
    /// peer's configuration or send its own.
    std::function<void(const ConfigPeer&)> onConfigDiffers;
    /// A peer announced that an endpoint is leaving; reported once for each run of
    /// the endpoint.
    std::function<void(const EndpointLeaving&)> onEndpointLeaving;
    /// Another entry or zone reported tokens served since its previous report.
    std::function<void(const ServedElsewhere&)> onServedElsewhere;
    /// A later run with this entry's name is live; this process must stop serving.
    std::function<void()> onSuperseded;
};

/// An address at which an entry may run.
struct Candidate {
    SocketAddress peerAddress;
    /// Availability zone and region if known, else empty.
    std::string zone;
    std::string region;
};

/// Returns the incarnation of a process that starts now.
Incarnation makeIncarnation(const Clock& clock, Random& random);

/// Tracks the other entries: the members of this entry's availability zone by
/// heartbeats, the other zones by digests that relays exchange.
class Membership {
public:
    /// \p scheduler and \p transport must outlive this. The zone, the region, the
    /// name, the incarnation and the addresses of \p self must be set.
    Membership(EntryIdentity self, MembershipOptions options, Scheduler& scheduler, PeerTransport& transport, Random random, MembershipEvents events);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// Starts the exchanges with members and zones.
    void start();
    /// Adds addresses to probe, such as seeds or the directory's list. Addresses of
    /// members in use are skipped. An address is removed after
    /// MembershipOptions::forgetAfter unless it is added again.
    void addCandidates(const std::vector<Candidate>& candidates);
    /// Replaces the state that is sent to the other entries.
    void setLocalState(LocalState state);
    /// Marks this entry as draining and announces it immediately.
    void startDraining();
    /// Announces immediately that this entry exits; nothing is sent afterwards.
    void announceExit();
    /// Announces immediately that an endpoint is leaving.
    void reportLeaving(const EndpointLeaving& endpoint);
    /// Handles a message and returns the reply, or none if the message type is not
    /// one of the membership protocol.
    std::optional<PeerReply> handle(const PeerMessage& message);

    /// Detects and reports a pause of the process. The timer, the message handlers
    /// and view() call it; callers must also call it before acting on a lease.
    void checkForPause();
    /// Returns the current view. The reference stays valid, but any later call on this
    /// object may change the view.
    const MembershipView& view();
    /// Returns the identity of this entry. Its incarnation is raised if a peer knows a
    /// higher one of a dead earlier run.
    const EntryIdentity& self() const;
    const MembershipCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace catkinwing
