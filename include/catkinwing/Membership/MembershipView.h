#pragma once

#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <vector>

namespace catkinwing {

/// State of a member as the failure detector sees it.
enum class MemberState {
    Live,
    /// No message was received recently; the member gets no new work.
    Suspect,
    /// The member is considered dead and only probed at intervals.
    Dead,
};

/// Another entry of this entry's availability zone.
struct MemberView {
    EntryIdentity identity;
    MemberState state { MemberState::Dead };
    bool draining { false };
    /// False if the member has not acknowledged this entry's messages recently, or if
    /// the latest exchanges with the member failed.
    bool receivesOurMessages { false };
    /// Time at which the member's latest message was received.
    TimePoint lastReceivedAt {};
    /// Number of process pauses that the member reported in this run.
    std::uint32_t pauses { 0 };
    /// Hash of the configuration that the member has in force.
    std::uint64_t configDigest { 0 };
    /// Demand of the member by endpoint group.
    std::vector<GroupDemand> demand;
    /// Requests of the member in flight by endpoint, sorted by name.
    std::vector<EndpointLoad> load;

    /// Returns whether new work may be routed or forwarded to the member.
    bool isUsable() const { return state == MemberState::Live && receivesOurMessages && !draining; }
};

/// Another availability zone.
struct ZoneView {
    std::string zone;
    std::string region;
    /// True if a recent digest of the zone is present.
    bool isReachable { false };
    /// Time at which the latest digest was created, by this entry's clock. The time
    /// that the digest spent on the network is not accounted for.
    TimePoint madeAt {};
    std::vector<ZoneEntry> entries;
    std::vector<ModelRoom> models;
    /// Hash of the configuration in force in the zone; zero if the zone's digest came
    /// through another member.
    std::uint64_t configDigest { 0 };
    /// Names of the entries of this zone, possibly including this entry, that exchange
    /// digests with the other zone: the first is active, the second is the standby.
    std::vector<std::string> relays;
};

/// State of the other entries and zones as known to this entry.
struct MembershipView {
    /// Members of this entry's zone without the entry itself, sorted by name.
    std::vector<MemberView> members;
    /// Other zones, sorted by name.
    std::vector<ZoneView> zones;
    /// Runs of endpoints that are leaving.
    std::vector<EndpointLeaving> leaving;
    /// True while this entry drains.
    bool draining { false };
};

/// State of this entry and its zone that the Gateway supplies for the other entries.
struct LocalState {
    std::uint64_t configDigest { 0 };
    /// Demand of this entry.
    std::vector<GroupDemand> demand;
    /// Requests of this entry in flight, by endpoint.
    std::vector<EndpointLoad> load;
    /// Tokens that this entry served since its start, by team.
    std::vector<TeamTokens> served;
    /// Free capacity of the whole zone by model, as this entry sees it.
    std::vector<ModelRoom> models;
};

/// Newly served tokens that another entry or zone reported.
struct ServedElsewhere {
    std::string zone;
    std::string region;
    std::string team;
    /// Tokens served since the previous report of the same source.
    std::uint64_t tokens { 0 };
};

/// A peer whose configuration differs from this entry's.
struct ConfigPeer {
    std::string zone;
    std::string name;
    SocketAddress peerAddress;
    std::uint64_t configDigest { 0 };
};

/// Event counters of a Membership.
struct MembershipCounters {
    std::uint64_t heartbeatsSent { 0 };
    std::uint64_t heartbeatsReceived { 0 };
    std::uint64_t digestsSent { 0 };
    std::uint64_t digestsReceived { 0 };
    std::uint64_t sendFailures { 0 };
    std::uint64_t oldIncarnationsRefused { 0 };
    std::uint64_t membersSuspected { 0 };
    std::uint64_t membersDied { 0 };
    std::uint64_t pauses { 0 };
};

} // namespace catkinwing
