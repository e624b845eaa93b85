#pragma once

#include "catkinwing/Support/Scheduler.h"
#include <map>
#include <utility>

namespace catkinwing {

/// Clock that stands still until it is moved.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    WallTimePoint wallNow() const override;
    /// Moves the clock to \p time, which must not lie before now.
    void set(TimePoint time);

private:
    TimePoint m_now {};
};

/// Scheduler on a manual clock, for tests, benches and replays.
class ManualScheduler final : public Scheduler {
public:
    const Clock& clock() const override { return m_clock; }
    TimerId callAfter(Duration delay, Callback callback) override;
    void cancel(TimerId timer) override;
    /// Moves time forward by \p span and runs each timer at its own time.
    void advance(Duration span);
    /// Moves time forward by \p span and only then runs what fell due, as a
    /// process does that was frozen for that long.
    void freeze(Duration span);
    /// Returns the number of pending timers.
    std::size_t pending() const { return m_timers.size(); }

private:
    void runDue(TimePoint limit, bool moveClock);

    ManualClock m_clock;
    TimerId m_lastTimer { 0 };
    std::map<std::pair<TimePoint, TimerId>, Callback> m_timers;
};

} // namespace catkinwing
