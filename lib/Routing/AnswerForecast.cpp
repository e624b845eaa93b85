#include "catkinwing/Routing/AnswerForecast.h"

#include <algorithm>

namespace catkinwing {

Duration timeToEnd(const AnswerForecast& forecast)
{
    auto nonNegative = [](Duration duration) { return std::max(duration, Duration::zero()); };
    return nonNegative(forecast.wait) + nonNegative(forecast.prefill) + nonNegative(forecast.decode);
}

bool canEndInTime(const AnswerForecast& forecast, Duration timeLeft)
{
    return timeToEnd(forecast) <= timeLeft;
}

} // namespace catkinwing
