#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Converts \p span to a number of seconds.
inline double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Converts a number of seconds to a Duration.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace catkinwing
