#include "catkinwing/Admission/EndpointRoom.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

using std::chrono::milliseconds;

// The number of running requests may be wrong, for example after another entry filled the
// slots. All unsettled attempts may be rejected then, but no more: they are few, and after a
// rejection the endpoint is closed until as many rejections are allowed again.

/// An endpoint rejects a request within this time, if at all.
static constexpr milliseconds settleTime { 15 };
/// Share of the allowed rejections that may be unsettled attempts.
static constexpr double unsettledShare = 1.0 / 3;
/// Share of the allowed rejections that one entry uses, since two of them may fill the same
/// slots for a moment.
static constexpr double rejectionShare = 0.5;
/// Rate in place of a lower one, so that an endpoint that may reject nothing is tried again.
static constexpr double minRejectionsPerSecond = 0.5;

static double maxUnsettled(const RoomLimits& limits)
{
    return std::max(std::floor(limits.rejectionsPerSecond * unsettledShare), 1.0);
}

bool hasRoom(EndpointRoom& room, const RoomLimits& limits, unsigned running, TimePoint now)
{
    std::vector<TimePoint>& attempts = room.unsettledAttempts;
    attempts.erase(std::remove_if(attempts.begin(), attempts.end(), [now](TimePoint at) { return now - at >= settleTime; }), attempts.end());
    bool hasFreeSlot = limits.slots == 0 || running < limits.slots;
    return hasFreeSlot && now >= room.closedUntil && static_cast<double>(attempts.size()) < maxUnsettled(limits);
}

void recordRoomAttempt(EndpointRoom& room, TimePoint now)
{
    room.unsettledAttempts.push_back(now);
}

void recordRoomRejection(EndpointRoom& room, const RoomLimits& limits, TimePoint now)
{
    double perSecond = std::max(limits.rejectionsPerSecond, minRejectionsPerSecond) * rejectionShare;
    auto pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(maxUnsettled(limits) / perSecond));
    room.closedUntil = std::max(room.closedUntil, now + pause);
}

} // namespace catkinwing
