#pragma once

#include "catkinwing/Support/Clock.h"
#include <vector>

namespace catkinwing {

/// Limits of an endpoint that lets no request wait.
struct RoomLimits {
    /// Requests a second that the endpoint may reject for lack of room.
    double rejectionsPerSecond { 0 };
    /// Requests that the endpoint runs at once; zero if unknown.
    unsigned slots { 0 };
};

/// What the entry that fills an endpoint's slots knows of its last attempts there.
struct EndpointRoom {
    /// Times of the attempts that the endpoint may still reject.
    std::vector<TimePoint> unsettledAttempts;
    /// The endpoint gets no requests until this time, after a rejection.
    TimePoint closedUntil {};
};

/// Returns whether the endpoint, which runs \p running requests, may get another one.
bool hasRoom(EndpointRoom& room, const RoomLimits& limits, unsigned running, TimePoint now);
void recordRoomAttempt(EndpointRoom& room, TimePoint now);
/// Records that the endpoint rejected a request for lack of room.
void recordRoomRejection(EndpointRoom& room, const RoomLimits& limits, TimePoint now);

} // namespace catkinwing
