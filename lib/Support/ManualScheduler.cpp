#include "catkinwing/Support/ManualScheduler.h"

#include <algorithm>
#include <cassert>

namespace catkinwing {

WallTimePoint ManualClock::wallNow() const
{
    return WallTimePoint(std::chrono::duration_cast<WallTimePoint::duration>(m_now.time_since_epoch()));
}

void ManualClock::set(TimePoint time)
{
    assert(time >= m_now && "the monotonic clock never goes back");
    m_now = time;
}

TimerId ManualScheduler::callAfter(Duration delay, Callback callback)
{
    TimerId timer = ++m_lastTimer;
    TimePoint due = m_clock.now() + std::max(delay, Duration::zero());
    m_timers.emplace(std::make_pair(due, timer), std::move(callback));
    return timer;
}

void ManualScheduler::cancel(TimerId timer)
{
    auto entry = std::find_if(m_timers.begin(), m_timers.end(),
        [timer](const auto& candidate) { return candidate.first.second == timer; });
    if (entry != m_timers.end())
        m_timers.erase(entry);
}

void ManualScheduler::advance(Duration span)
{
    TimePoint limit = m_clock.now() + span;
    runDue(limit, true);
    m_clock.set(limit);
}

void ManualScheduler::freeze(Duration span)
{
    m_clock.set(m_clock.now() + span);
    runDue(m_clock.now(), false);
}

void ManualScheduler::runDue(TimePoint limit, bool moveClock)
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= limit) {
        auto entry = m_timers.begin();
        Callback callback = std::move(entry->second);
        if (moveClock)
            m_clock.set(std::max(m_clock.now(), entry->first.first));
        m_timers.erase(entry);
        callback();
    }
}

} // namespace catkinwing
