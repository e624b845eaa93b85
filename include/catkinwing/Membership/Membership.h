#pragma once

#include "catkinwing/Membership/MembershipOptions.h"
#include "catkinwing/Membership/MembershipView.h"
#include "catkinwing/Membership/PeerTransport.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"
#include <memory>

namespace catkinwing {

/// What a membership reports; each may be left empty.
struct MembershipEvents {
    /// The process was frozen for about \p span. All views are dropped already;
    /// drop leases before returning. Nothing else is handled before.
    std::function<void(Duration span)> onFrozen;
    /// The view changed in a way that steering or forwarding may depend on.
    std::function<void()> onViewChanged;
    /// A member of the zone changed its state; for logs.
    std::function<void(const EntryRef&, MemberState)> onMemberState;
    /// A peer has another configuration in force; pull from it or push to it.
    std::function<void(const ConfigPeer&)> onConfigDiffers;
    /// A peer says that an endpoint is leaving; reported once for each run.
    std::function<void(const EndpointLeaving&)> onEndpointLeaving;
    /// Another entry or zone served tokens.
    std::function<void(const ServedElsewhere&)> onServedElsewhere;
    /// A later run of the own name is live: this process must stop serving.
    std::function<void()> onSuperseded;
};

/// Where to look for entries.
struct Candidate {
    SocketAddress peerAddress;
    /// Availability zone and region if known, else empty.
    std::string zone;
    std::string region;
};

/// Returns the incarnation of a process that starts now.
Incarnation makeIncarnation(const Clock& clock, Random& random);

/// Keeps track of the other entries: members of the own availability zone by
/// heartbeats, other zones by relayed digests.
class Membership {
public:
    /// \p scheduler and \p transport must outlive this. The zone, the region, the
    /// name, the incarnation and the addresses of \p self must be set.
    Membership(EntryIdentity self, MembershipOptions options, Scheduler& scheduler, PeerTransport& transport, Random random, MembershipEvents events);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// Starts the exchange.
    void start();
    /// Adds addresses to be tried, such as seeds or the directory's list. Known
    /// ones are skipped; each is forgotten after MembershipOptions::forgetAfter,
    /// unless it is learnt again.
    void learn(const std::vector<Candidate>& candidates);
    /// Replaces what is told to the others.
    void setLocalState(LocalState state);
    /// Announces at once that this entry drains.
    void startDraining();
    /// Announces at once that this entry exits; nothing is sent after.
    void announceGone();
    /// Announces at once that an endpoint is leaving.
    void reportLeaving(const EndpointLeaving& endpoint);
    /// Handles a message; none if it is not for the membership.
    std::optional<PeerReply> handle(const PeerMessage& message);

    /// Reports a freeze if the process was frozen. Called by all else here; call it
    /// as well before acting on a lease.
    void checkFrozen();
    /// Returns the current view; it stays valid until the next call.
    const MembershipView& view();
    /// Returns this entry, whose incarnation may have been raised once at start.
    const EntryIdentity& self() const;
    const MembershipCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace catkinwing
