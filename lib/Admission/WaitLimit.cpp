#include "catkinwing/Admission/WaitLimit.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Max wait, as a fraction of the latency target minus the time to first byte of an
/// idle endpoint. Values from 0.8 to 1.1 give similar results; 0.6 refuses too many
/// requests.
static constexpr double maxWaitFraction = 0.95;
/// Lower limit of the max wait, as a fraction of the target. Applies to endpoints that
/// are too slow to meet the target even when idle.
static constexpr double minWaitFraction = 0.2;
/// Fraction of the max wait that applies to less urgent request kinds. The rest is
/// left to the more urgent kinds, so that any load of less urgent requests leaves
/// capacity for them.
static constexpr double lessUrgentFraction = 0.7;
/// Fraction of the max wait that applies to a client that was refused before. Its
/// request has missed the latency target already.
static constexpr double retryWaitFraction = 0.7;
/// A request with less than this fraction of its timeout left counts as a retry after
/// a refusal.
static constexpr double firstAttemptFraction = 0.93;
/// Latency target of requests for which none is set.
static constexpr milliseconds defaultLatencyTarget { 1'000 };
/// Min retry-after time. The load doesn't change noticeably in a shorter time.
static constexpr milliseconds minRetryAfter { 250 };
/// Fraction of the endpoints' capacity that is planned for retries of refused clients.
static constexpr double retryCapacityFraction = 0.3;

static Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration maxQueueWait(const WaitLimitInputs& demand, Duration idleFirstByte)
{
    Duration target = demand.latencyTarget > milliseconds::zero() ? demand.latencyTarget : defaultLatencyTarget;
    Duration wait = std::max(scaled(target - idleFirstByte, maxWaitFraction), scaled(target, minWaitFraction));
    bool isRetry = demand.timeLeft < scaled(demand.timeout, firstAttemptFraction);
    if (isRetry)
        wait = scaled(wait, retryWaitFraction);
    if (demand.hasMoreUrgent)
        wait = scaled(wait, lessUrgentFraction);
    return scaled(wait, demand.waitFraction);
}

milliseconds RetryAfterSchedule::bookRetry(Duration work, milliseconds maxDelay, TimePoint now, Random& random)
{
    m_next = std::max(m_next, now + minRetryAfter) + scaled(work, 1 / retryCapacityFraction);
    auto wait = std::chrono::duration_cast<milliseconds>(m_next - now);
    if (wait <= maxDelay)
        return wait;
    // More clients are refused than can be served before they time out. Spreads
    // them at random over the last fifth of the longest wait.
    m_next = now + maxDelay;
    return std::max(minRetryAfter, std::chrono::duration_cast<milliseconds>(scaled(maxDelay, (4 + random.unit()) / 5)));
}

} // namespace catkinwing
