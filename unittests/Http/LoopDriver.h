// Drives a real loop in tests until something has happened.
#pragma once

#include "catkinwing/Http/EventLoop.h"
#include <functional>

namespace catkinwing {

/// Longest wait for what a test expects; passing it fails the test.
constexpr std::chrono::seconds testBound { 20 };

/// Runs turns of \p loop until \p condition holds; returns false after the bound.
inline bool runUntil(EventLoop& loop, const std::function<bool()>& condition, Duration bound = testBound)
{
    TimePoint limit = loop.clock().now() + bound;
    while (!condition()) {
        if (loop.clock().now() >= limit)
            return false;
        loop.runOnce(std::chrono::milliseconds(5));
    }
    return true;
}

/// Runs turns of \p loop for \p span, to see that something doesn't happen.
inline void runFor(EventLoop& loop, Duration span)
{
    runUntil(
        loop, [] { return false; }, span);
}

} // namespace catkinwing
