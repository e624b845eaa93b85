#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Predicted course of a response at an endpoint.
struct AnswerForecast {
    /// Until the endpoint starts the request.
    Duration wait { 0 };
    /// From then until the first event.
    Duration prefill { 0 };
    /// From the first event to the last, with the slowdown by the requests that run there.
    Duration decode { 0 };
};

/// Returns the predicted time until the response ends.
Duration timeToEnd(const AnswerForecast& forecast);
/// Returns whether the response is predicted to end before the client's deadline.
bool canEndInTime(const AnswerForecast& forecast, Duration timeLeft);

} // namespace catkinwing
