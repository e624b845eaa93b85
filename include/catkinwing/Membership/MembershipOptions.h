#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>

namespace catkinwing {

/// Intervals, timeouts and limits of the membership protocol.
struct MembershipOptions {
    /// Minimum interval between two exchanges with the same member of the zone.
    Duration heartbeatInterval { std::chrono::seconds(1) };
    /// The exchange interval is at least this time multiplied by the number of other
    /// members, so that the traffic of an entry stays bounded in a large zone.
    Duration spacingPerMember { std::chrono::milliseconds(300) };
    /// Exchange intervals without a message after which a member is suspected.
    std::uint32_t suspectAfterIntervals { 2 };
    /// Exchange intervals without a message after which a member is considered dead.
    std::uint32_t deadAfterIntervals { 4 };
    /// Minimum times without a message after which a member is suspected or considered
    /// dead, also if the exchange intervals are short. A lost exchange costs its
    /// timeout and the retry interval, and several must fail before a live member is
    /// considered dead.
    Duration minSuspectAfter { std::chrono::seconds(3) };
    Duration minDeadAfter { std::chrono::seconds(8) };
    /// Exchange intervals without an acknowledgement after which a member is assumed
    /// not to receive this entry's messages. Two intervals may pass in normal
    /// operation, since a reply is acknowledged only by the next request.
    std::uint32_t unacknowledgedAfterIntervals { 3 };
    /// Consecutive failed exchanges after which a member gets no new work.
    std::uint32_t unusableAfterFailures { 2 };
    /// Delay before a failed exchange or announcement is retried.
    Duration retryInterval { std::chrono::milliseconds(500) };
    /// Time for which a leaving endpoint is announced in messages of its own; afterwards
    /// only heartbeats contain it.
    Duration announceFor { std::chrono::seconds(30) };
    /// Minimum interval between two lists of contacts sent to the same peer.
    Duration contactsInterval { std::chrono::seconds(3) };
    /// Interval between probes of a dead member or an unknown address; doubles up to
    /// maxProbeInterval.
    Duration probeInterval { std::chrono::seconds(2) };
    Duration maxProbeInterval { std::chrono::seconds(10) };
    /// Time after which a dead member or an unconfirmed address is removed.
    Duration forgetAfter { std::chrono::hours(24) };
    /// Interval of the timer that starts due exchanges and updates states.
    Duration tickInterval { std::chrono::milliseconds(200) };
    /// Delay of the timer beyond which the process counts as having been paused.
    Duration pauseThreshold { std::chrono::seconds(1) };
    /// Interval between exchanges with another zone of the same region.
    Duration regionDigestInterval { std::chrono::seconds(5) };
    /// Interval between exchanges with a zone of another region.
    Duration remoteDigestInterval { std::chrono::seconds(15) };
    /// Delay before a failed digest exchange is retried, and minimum interval between
    /// exchanges that are brought forward because this zone's entries changed.
    Duration digestRetryInterval { std::chrono::seconds(3) };
    /// Age of a digest, in intervals, beyond which its zone is unreachable.
    std::uint32_t unreachableAfterIntervals { 3 };
    /// Minimum interval between two reports that the same peer's configuration differs.
    Duration configReportInterval { std::chrono::seconds(1) };
    /// Time for which a leaving endpoint is kept and sent to new members.
    Duration keepLeavingFor { std::chrono::minutes(10) };
    /// Maximum numbers of teams, endpoints and entry lists in one heartbeat.
    std::size_t maxTeamsPerHeartbeat { 4 };
    std::size_t maxEndpointsPerHeartbeat { 4 };
    std::size_t maxRostersPerHeartbeat { 4 };
    /// Maximum number of teams in a zone digest.
    std::size_t maxTeamsPerDigest { 4 };
};

} // namespace catkinwing
