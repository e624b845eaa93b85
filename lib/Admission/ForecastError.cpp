#include "catkinwing/Admission/ForecastError.h"

#include <algorithm>

namespace catkinwing {

/// Fraction of the responses that come no later than predicted plus the margin.
static constexpr double coveredFraction = 0.8;
/// Change of the margin for each response. An entry that gets twenty responses a second follows
/// a burst within a second.
static constexpr std::chrono::milliseconds step { 10 };

// Rises by a large step when a response is later than covered, and falls by a small one otherwise,
// so that it comes to rest where the fraction is covered.
void addForecastSample(ForecastError& error, Duration predicted, Duration actual, Duration maxMargin)
{
    bool isCovered = actual <= predicted + error.margin;
    double change = isCovered ? -(1 - coveredFraction) : coveredFraction;
    error.margin += std::chrono::duration_cast<Duration>(step * change);
    error.margin = std::clamp(error.margin, Duration::zero(), std::max(maxMargin, Duration::zero()));
}

} // namespace catkinwing
