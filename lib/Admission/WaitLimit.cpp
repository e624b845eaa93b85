#include "catkinwing/Admission/WaitLimit.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Part of the target, less what an idle endpoint takes, that may pass before the
/// endpoint begins. Anything from 0.8 to 1.1 serves alike; at 0.6 too much is refused.
static constexpr double waitPart = 0.95;
/// An endpoint that is never in time is waited for by this part of the target.
static constexpr double leastWaitPart = 0.2;
/// Less urgent kinds leave this much of the wait to the more urgent ones, which
/// so find room however much of the others comes.
static constexpr double lessUrgentPart = 0.7;
/// A client that has been sent back once is late already; it is taken unless it
/// would wait for more than this part of what it has left.
static constexpr double returnedPart = 0.7;
/// Of a client with less than this part of its time something has passed before.
static constexpr double freshPart = 0.93;
/// Assumed where no target is stated.
static constexpr milliseconds usualTarget { 1'000 };
/// Sooner a client finds nothing changed.
static constexpr milliseconds shortestReturn { 250 };
/// Part of what the endpoints can do that is left to clients that come back.
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
    // More are refused than can be served before their clients leave: these share
    // what is left of the time.
    m_next = now + longest;
    return std::max(shortestReturn, std::chrono::duration_cast<milliseconds>(partOf(longest, (4 + random.unit()) / 5)));
}

} // namespace catkinwing
