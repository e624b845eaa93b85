#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Returns \p span as a number of seconds, for arithmetic within this package.
inline double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Returns \p seconds as a span of time.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace catkinwing
