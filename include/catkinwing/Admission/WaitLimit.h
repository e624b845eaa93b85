#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"

namespace catkinwing {

/// Latency target and time limits of a request, from which its max wait is computed.
struct WaitLimitInputs {
    /// Shortest latency target among the request kinds of the service that are at
    /// least as urgent; zero if none is set.
    std::chrono::milliseconds latencyTarget { 0 };
    /// Whether more urgent request kinds use the same endpoints.
    bool hasMoreUrgent { false };
    /// Max time that the client waits, counted from its first attempt.
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds timeLeft { 0 };
    /// Fraction of the max wait that the request may be given; below one if it is beyond the
    /// share of its workspace.
    double waitFraction { 1 };
};

/// Returns the max time that a request may wait until an endpoint starts it. A
/// request that waits longer misses its latency target and delays all requests
/// queued behind it. The limit doesn't depend on the size of the request.
/// \p idleFirstByte is the time to first byte of an idle endpoint.
Duration maxQueueWait(const WaitLimitInputs& demand, Duration idleFirstByte);

/// Assigns retry-after times to refused clients: one after the other, at the rate
/// at which the endpoints can serve them in addition to new requests.
class RetryAfterSchedule {
public:
    /// Books the next retry time and returns the delay until then. \p work is the
    /// time that all endpoints together take for the request; \p maxDelay is the max
    /// time that the client waits.
    std::chrono::milliseconds bookRetry(Duration work, std::chrono::milliseconds maxDelay, TimePoint now, Random& random);

private:
    TimePoint m_next {};
};

} // namespace catkinwing
