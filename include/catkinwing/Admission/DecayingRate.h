#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Exponentially smoothed rate of a count.
class DecayingRate {
public:
    explicit DecayingRate(Duration smoothing);
    /// Counts \p amount at \p now.
    void add(double amount, TimePoint now);
    /// Counts \p amount as distributed evenly from \p since to \p now.
    void addSpread(double amount, TimePoint since, TimePoint now);
    /// Returns the smoothed rate per second.
    double rate(TimePoint now) const;
    /// Returns the rate without decay for the first \p holdTime after the last count,
    /// and decayed from then on.
    double heldRate(TimePoint now, Duration holdTime) const;

private:
    void decayTo(TimePoint now);

    double m_smoothing;
    double m_decayedSum { 0 };
    TimePoint m_decayedAt {};
};

} // namespace catkinwing
