#pragma once

#include "catkinwing/Support/ManualScheduler.h"
#include <utility>

namespace catkinwing {

/// Scheduler of one process in a test with several, which can be frozen apart
/// from the others. All are moved in the same steps.
class FreezableScheduler {
public:
    ManualScheduler& scheduler() { return m_scheduler; }
    /// Returns the time that the process would read if it ran now.
    TimePoint now() const { return m_scheduler.clock().now() + m_frozenFor; }

    /// Lets \p step pass. A process that wakes finds the whole freeze passed
    /// before any of its callbacks runs.
    void move(Duration step, bool isFrozen)
    {
        m_frozenFor += step;
        if (isFrozen)
            return;
        Duration span = std::exchange(m_frozenFor, Duration::zero());
        if (span == step)
            m_scheduler.advance(span);
        else
            m_scheduler.freeze(span);
    }

private:
    ManualScheduler m_scheduler;
    Duration m_frozenFor { 0 };
};

} // namespace catkinwing
