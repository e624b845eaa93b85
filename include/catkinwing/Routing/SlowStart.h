#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Ramp for an endpoint or a cell that is new or reachable again. Its caches are
/// cold, so its share of the load grows over a window.
struct SlowStartPolicy {
    /// Time until the full share is reached.
    Duration window { std::chrono::seconds(30) };
    /// Initial share, above 0 and at most 1.
    double initialWeight { 0.1 };
};

/// Returns the share, from \c initialWeight to 1, at \p now of an endpoint or a
/// cell whose slow start began at \p since.
double slowStartWeight(const SlowStartPolicy& policy, TimePoint since, TimePoint now);

} // namespace catkinwing
