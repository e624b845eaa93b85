#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>

namespace catkinwing {

/// The largest of the values seen in the last one to two periods.
class RecentMaximum {
public:
    explicit RecentMaximum(Duration period)
        : m_period(period)
    {
    }

    /// Takes a value and returns the largest one.
    std::size_t take(std::size_t value, TimePoint now);

private:
    Duration m_period;
    TimePoint m_began {};
    std::size_t m_current { 0 };
    std::size_t m_previous { 0 };
};

} // namespace catkinwing
