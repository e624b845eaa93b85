// Drives a real loop whose clock is moved by the test.
#pragma once

#include "LoopDriver.h"
#include "catkinwing/Support/ManualScheduler.h"

namespace catkinwing {

/// Runs \p count turns of \p loop.
inline void runTurns(EventLoop& loop, int count)
{
    for (int turn = 0; turn < count; ++turn)
        loop.runOnce(std::chrono::milliseconds(1));
}

/// Runs turns of \p loop until \p condition holds; returns false after about the bound in real time.
inline bool runTurnsUntil(EventLoop& loop, const std::function<bool()>& condition)
{
    constexpr int maxTurns = std::chrono::milliseconds(testBound).count();
    for (int turn = 0; turn < maxTurns; ++turn) {
        if (condition())
            return true;
        runTurns(loop, 1);
    }
    return false;
}

} // namespace catkinwing
