#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"

namespace catkinwing {

/// What a request can bear, and what its like can.
struct WaitDemand {
    /// The shortest latency target among the kinds of request of the service
    /// that are at least as urgent; zero if none is stated.
    std::chrono::milliseconds latencyTarget { 0 };
    /// More urgent kinds share the endpoints.
    bool hasMoreUrgent { false };
    /// The longest time that its client may be kept waiting from its first try.
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds timeLeft { 0 };
};

/// Returns how long a request may wait before an endpoint begins with it: a
/// request that would wait longer makes itself and all behind it late. It
/// doesn't depend on the request's size. \p idleFirstByte is what an idle
/// endpoint takes.
Duration longestWait(const WaitDemand& demand, Duration idleFirstByte);

/// When refused clients are to come back: one after the other, as fast as the
/// endpoints can serve them beside what else arrives.
class ReturnSchedule {
public:
    /// Gives out the next time and returns how far off it is. \p work is how
    /// long all the endpoints together take for the request; the client waits
    /// no longer than \p longest.
    std::chrono::milliseconds book(Duration work, std::chrono::milliseconds longest, TimePoint now, Random& random);

private:
    TimePoint m_next {};
};

} // namespace catkinwing
