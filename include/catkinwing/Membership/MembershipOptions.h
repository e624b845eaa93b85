#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>

namespace catkinwing {

/// Times and bounds of the membership of an entry.
struct MembershipOptions {
    /// Shortest time between two exchanges with the same member of the zone.
    Duration heartbeatInterval { std::chrono::seconds(1) };
    /// Time added between exchanges for each member, so that a daemon's bytes
    /// stay bounded in a large zone.
    Duration spacingPerMember { std::chrono::milliseconds(300) };
    /// Exchange intervals without a word after which a member is suspected.
    std::uint32_t suspectAfterIntervals { 2 };
    /// Exchange intervals without a word after which a member is dead.
    std::uint32_t deadAfterIntervals { 4 };
    /// Shortest silences for the two: a lost exchange costs its timeout and the retry
    /// interval, and several have to fail before a live member is given up.
    Duration minSuspectAfter { std::chrono::seconds(3) };
    Duration minDeadAfter { std::chrono::seconds(8) };
    /// Exchange intervals without an acknowledgement after which a member counts as
    /// not hearing this entry. Two may pass in health: a reply is acknowledged by the
    /// next request.
    std::uint32_t deafAfterIntervals { 3 };
    /// Failed exchanges in a row after which a member gets no new work.
    std::uint32_t unusableAfterFailures { 2 };
    /// Time until a failed exchange or announcement is tried again.
    Duration retryInterval { std::chrono::milliseconds(500) };
    /// Time for which announcements are tried; after that heartbeats carry them.
    Duration announceFor { std::chrono::seconds(30) };
    /// Time between two lists of contacts to the same peer.
    Duration contactsInterval { std::chrono::seconds(3) };
    /// Time between tries at a dead member or an unknown address; doubles up to
    /// maxProbeInterval.
    Duration probeInterval { std::chrono::seconds(2) };
    Duration maxProbeInterval { std::chrono::seconds(10) };
    /// Time after which a dead member is forgotten.
    Duration forgetAfter { std::chrono::hours(24) };
    /// Time between looks at what is due.
    Duration tickInterval { std::chrono::milliseconds(200) };
    /// A look that comes later than this means that the process was frozen.
    Duration freezeMargin { std::chrono::seconds(1) };
    /// Time between exchanges with another zone of the same region.
    Duration regionDigestInterval { std::chrono::seconds(5) };
    /// Time between exchanges with a zone of another region.
    Duration remoteDigestInterval { std::chrono::seconds(15) };
    /// Time until a failed exchange is tried again, and least time between exchanges
    /// for which a change of the zone's entries is told earlier.
    Duration digestRetryInterval { std::chrono::seconds(3) };
    /// Age of a digest, in intervals, beyond which its zone is unreachable.
    std::uint32_t unreachableAfterIntervals { 3 };
    /// Time between two reports that the same peer's configuration differs.
    Duration configReportInterval { std::chrono::seconds(1) };
    /// Time for which a leaving endpoint is kept and told to new members.
    Duration keepLeavingFor { std::chrono::minutes(10) };
    /// Most teams, endpoints and entry lists in one heartbeat.
    std::size_t teamsPerHeartbeat { 4 };
    std::size_t endpointsPerHeartbeat { 4 };
    std::size_t rostersPerHeartbeat { 4 };
    /// Most teams in a zone digest.
    std::size_t teamsPerDigest { 4 };
};

} // namespace catkinwing
