#pragma once

#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <vector>

namespace catkinwing {

/// How much an entry believes in another.
enum class MemberState {
    Live,
    /// Nothing heard for a while; it gets no new work, but is not given up.
    Suspect,
    /// Given up; it is tried from time to time.
    Dead,
};

/// Another entry of the own availability zone.
struct MemberView {
    EntryIdentity identity;
    MemberState state { MemberState::Dead };
    bool draining { false };
    /// False if the member's messages show that it doesn't hear this entry.
    bool hearsUs { false };
    /// Time of its latest message.
    TimePoint heardAt {};
    /// Freezes that it reported in this run.
    std::uint32_t freezes { 0 };
    /// Configuration that it has in force.
    std::uint64_t configDigest { 0 };
    /// Its demand by endpoint group.
    std::vector<GroupDemand> demand;
    /// Its requests in flight by endpoint, in the order of the names.
    std::vector<EndpointLoad> load;

    /// Returns whether new work may be steered or forwarded to it.
    bool isUsable() const { return state == MemberState::Live && hearsUs && !draining; }
};

/// Another availability zone.
struct ZoneView {
    std::string zone;
    std::string region;
    /// True if a recent digest is here.
    bool isReachable { false };
    /// Time at which the digest in hand was made, on the own clock; wrong by the
    /// time it spent on the network.
    TimePoint madeAt {};
    std::vector<ZoneEntry> entries;
    std::vector<ModelRoom> models;
    /// Configuration in force there; zero unless this entry is the relay.
    std::uint64_t configDigest { 0 };
    /// The members of the own zone, this entry perhaps among them, that exchange
    /// digests with the zone: the first does, the second steps in.
    std::vector<std::string> relays;
};

/// All that an entry knows of the others.
struct MembershipView {
    /// Members of the own zone, this entry left out, in the order of the names.
    std::vector<MemberView> members;
    /// Other zones in the order of the names.
    std::vector<ZoneView> zones;
    /// Endpoints that are leaving, by run.
    std::vector<EndpointLeaving> leaving;
    /// True while this entry drains.
    bool draining { false };
};

/// What the Gateway knows of its own entry and zone, to be told to others.
struct LocalState {
    std::uint64_t configDigest { 0 };
    /// Demand of this entry.
    std::vector<GroupDemand> demand;
    /// Requests of this entry in flight, by endpoint.
    std::vector<EndpointLoad> load;
    /// Tokens that this entry served since its start, by team.
    std::vector<TeamTokens> served;
    /// Room of the whole zone by model, as this entry sees it.
    std::vector<ModelRoom> models;
};

/// Tokens that another entry or zone was seen to have served.
struct ServedElsewhere {
    std::string zone;
    std::string region;
    std::string team;
    /// Tokens since the last report from the same source.
    std::uint64_t tokens { 0 };
};

/// Where to fetch configuration that differs from the own.
struct ConfigPeer {
    std::string zone;
    std::string name;
    SocketAddress peerAddress;
    std::uint64_t configDigest { 0 };
};

/// Counts of what a membership did.
struct MembershipCounters {
    std::uint64_t heartbeatsSent { 0 };
    std::uint64_t heartbeatsReceived { 0 };
    std::uint64_t digestsSent { 0 };
    std::uint64_t digestsReceived { 0 };
    std::uint64_t sendFailures { 0 };
    std::uint64_t oldIncarnationsRefused { 0 };
    std::uint64_t membersSuspected { 0 };
    std::uint64_t membersDied { 0 };
    std::uint64_t freezes { 0 };
};

} // namespace catkinwing
