#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <functional>

namespace catkinwing {

/// Names a pending timer; zero names none.
using TimerId = std::uint64_t;

/// Runs callbacks later on the one loop thread.
class Scheduler {
public:
    using Callback = std::function<void()>;

    virtual ~Scheduler() = default;
    /// Returns the clock that the timers follow.
    virtual const Clock& clock() const = 0;
    /// Calls \p callback once, \p delay from now; never before this returns.
    virtual TimerId callAfter(Duration delay, Callback callback) = 0;
    /// Forgets a timer; does nothing if it already ran.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace catkinwing
