#pragma once

#include <chrono>

namespace catkinwing {

/// Point on the monotonic clock; never compared between processes.
using TimePoint = std::chrono::steady_clock::time_point;
/// Length of time on the monotonic clock.
using Duration = std::chrono::steady_clock::duration;
/// Point on the wall clock; for records and reports only.
using WallTimePoint = std::chrono::system_clock::time_point;

/// Source of time, passed in wherever time is read.
class Clock {
public:
    virtual ~Clock() = default;
    /// Returns the monotonic time.
    virtual TimePoint now() const = 0;
    /// Returns the wall-clock time.
    virtual WallTimePoint wallNow() const = 0;
};

/// The clock of the machine.
class SystemClock final : public Clock {
public:
    TimePoint now() const override;
    WallTimePoint wallNow() const override;
};

} // namespace catkinwing
