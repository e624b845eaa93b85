#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Ramp for an endpoint or a cell that is new or has come back: its caches are
/// cold, so its share of the work grows over a window.
struct SlowStartPolicy {
    /// Time from the start to the full share.
    Duration window { std::chrono::seconds(30) };
    /// Share at the start, above 0 and at most 1.
    double initialWeight { 0.1 };
};

/// Returns the share, from \c initialWeight to 1, of what started at \p since.
double slowStartWeight(const SlowStartPolicy& policy, TimePoint since, TimePoint now);

} // namespace catkinwing
