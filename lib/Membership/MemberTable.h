#pragma once

#include "PeerChannel.h"
#include "ServedTracker.h"
#include "catkinwing/Membership/MembershipOptions.h"
#include "catkinwing/Membership/MembershipView.h"
#include <map>

namespace catkinwing {

/// The state that an entry keeps for one incarnation of another entry of its zone.
struct Member {
    EntryIdentity identity;
    MemberState state { MemberState::Live };
    bool draining { false };
    /// True if an entry of another name uses the peer address of this member. Exchanges
    /// with the member then stop until a heartbeat of it is received.
    bool isAddressReused { false };

    /// Time at which the latest message was received, or at which the wait for one began
    /// if that is later.
    TimePoint lastReceivedAt {};
    std::uint64_t receivedSequence { 0 };
    /// Time at which the latest message that the member acknowledged was sent.
    std::optional<TimePoint> lastAcknowledgedAt;
    bool wasUsable { false };

    PeerChannel channel;
    bool isExchanging { false };
    std::uint32_t failures { 0 };
    TimePoint nextExchange {};
    Duration probeInterval {};
    TimePoint diedAt {};

    bool mustSendLeaving { false };
    TimePoint nextAnnounce {};

    std::uint32_t pauses { 0 };
    std::optional<TimePoint> configReportedAt;
    StateHashes hashes;
    std::optional<TimePoint> contactsSentAt;
    std::vector<GroupDemand> demand;
    std::map<std::string, std::uint32_t> load;
    ServedTracker served;

    /// Resets all reported state, for example after a pause of this entry's process.
    void dropReports();
    /// Returns whether the member recently acknowledged a message of this entry.
    bool hasRecentAcknowledgement(const MembershipOptions& options, TimePoint now, Duration interval) const;
    /// Returns whether new requests may be forwarded to the member.
    bool isUsable(const MembershipOptions& options, TimePoint now, Duration interval) const;
};

/// The other entries of the zone by name.
class MemberTable {
public:
    std::map<std::string, Member>& all() { return m_members; }
    const std::map<std::string, Member>& all() const { return m_members; }
    /// Returns the member, or null.
    Member* find(const std::string& name);
    /// Returns the member if its incarnation matches, or null.
    Member* find(const EntryRef& ref);
    /// Returns whether a member that isn't dead answers at \p address.
    bool isInUse(const SocketAddress& address) const;
    /// Returns the number of members that aren't dead.
    std::size_t liveCount() const;
    /// Returns a hash of \p self and the members that aren't dead.
    std::uint32_t digest(const EntryRef& self) const;
    /// Returns the peer addresses of the members that aren't dead.
    std::vector<SocketAddress> addresses() const;

private:
    std::map<std::string, Member> m_members;
};

} // namespace catkinwing
