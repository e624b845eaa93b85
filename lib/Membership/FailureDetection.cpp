#include "catkinwing/Membership/FailureDetection.h"

#include <algorithm>

namespace catkinwing {

Duration exchangeInterval(const MembershipOptions& options, std::size_t members)
{
    return std::max(options.heartbeatInterval, options.spacingPerMember * static_cast<int>(members));
}

MemberState stateAfterSilence(const MembershipOptions& options, Duration silence, Duration interval)
{
    if (silence > std::max(interval * static_cast<int>(options.deadAfterIntervals), options.minDeadAfter))
        return MemberState::Dead;
    if (silence > std::max(interval * static_cast<int>(options.suspectAfterIntervals), options.minSuspectAfter))
        return MemberState::Suspect;
    return MemberState::Live;
}

Duration digestInterval(const MembershipOptions& options, const std::string& zoneRegion, const std::string& ownRegion)
{
    return zoneRegion == ownRegion ? options.regionDigestInterval : options.remoteDigestInterval;
}

bool isDigestFresh(const MembershipOptions& options, Duration age, Duration interval, Duration exchange)
{
    return age <= interval * static_cast<int>(options.unreachableAfterIntervals) + exchange;
}

Duration nextProbeInterval(const MembershipOptions& options, Duration interval)
{
    return std::min(2 * std::max(interval, options.probeInterval / 2), options.maxProbeInterval);
}

} // namespace catkinwing
