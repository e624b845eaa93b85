#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Tracks by how much the first events of responses come later than predicted: the value that
/// four of five recent responses don't exceed.
struct ForecastError {
    Duration margin { 0 };
};

/// Records the predicted and the actual time until the first event of a response. The margin stays
/// within zero and \p maxMargin.
void addForecastSample(ForecastError& error, Duration predicted, Duration actual, Duration maxMargin);

} // namespace catkinwing
