#include "catkinwing/Admission/WaitLimit.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Max wait, as a fraction of the latency target minus the time to first byte of an
/// idle endpoint. Values from 0.8 to 1.1 give similar results; 0.6 refuses too many
/// requests.
static constexpr double waitPart = 0.95;
/// Lower limit of the max wait, as a fraction of the target. Applies to endpoints that
/// are too slow to meet the target even when idle.
static constexpr double leastWaitPart = 0.2;
/// Fraction of the max wait that applies to less urgent request kinds. The rest is
/// left to the more urgent kinds, so that any load of less urgent requests leaves
/// capacity for them.
static constexpr double lessUrgentPart = 0.7;
/// Fraction of the max wait that applies to a client that was refused before. Its
/// request has missed the latency target already.
static constexpr double returnedPart = 0.7;
/// A request with less than this fraction of its timeout left counts as a retry after
/// a refusal.
static constexpr double freshPart = 0.93;
/// Latency target of requests for which none is set.
static constexpr milliseconds usualTarget { 1'000 };
/// Min retry-after time. The load doesn't change noticeably in a shorter time.
static constexpr milliseconds shortestReturn { 250 };
/// Fraction of the endpoints' capacity that is planned for retries of refused clients.
static constexpr double partForReturns = 0.3;

static Duration partOf(Duration duration, double part)
{
    return std::chrono::duration_cast<Duration>(duration * part);
}

Duration longestWait(const WaitDemand& demand, Duration idleFirstByte)
{
    Duration target = demand.latencyTarget > milliseconds::zero() ? demand.latencyTarget : usualTarget;
    Duration wait = std::max(partOf(target - idleFirstByte, waitPart), partOf(target, leastWaitPart));
    bool isReturning = demand.timeLeft < partOf(demand.timeout, freshPart);
    if (isReturning)
        wait = partOf(wait, returnedPart);
    return demand.hasMoreUrgent ? partOf(wait, lessUrgentPart) : wait;
}

milliseconds ReturnSchedule::book(Duration work, milliseconds longest, TimePoint now, Random& random)
{
    m_next = std::max(m_next, now + shortestReturn) + partOf(work, 1 / partForReturns);
    auto wait = std::chrono::duration_cast<milliseconds>(m_next - now);
    if (wait <= longest)
        return wait;
    // More clients are refused than can be served before they time out. Spreads
    // them at random over the last fifth of the longest wait.
    m_next = now + longest;
    return std::max(shortestReturn, std::chrono::duration_cast<milliseconds>(partOf(longest, (4 + random.unit()) / 5)));
}

} // namespace catkinwing
