#include "catkinwing/Admission/RetryBudget.h"

#include <algorithm>

namespace catkinwing {

// The budget grows with requests and not with time. With little traffic, a
// budget per unit of time would allow retries of many times the load, just when
// endpoints fail.

RetryBudget::RetryBudget(double ratio, double burst)
    : m_ratio(ratio)
    , m_burst(burst)
{
}

void RetryBudget::setBurst(double burst)
{
    m_burst = burst;
    m_available = std::min(m_available, burst);
}

void RetryBudget::onRequest()
{
    m_available = std::min(m_burst, m_available + m_ratio);
}

bool RetryBudget::tryRetry()
{
    // The sum of ten times 0.1 is slightly less than one in binary floating point.
    constexpr double roundingTolerance = 1e-9;
    if (m_available + roundingTolerance < 1)
        return false;
    m_available = std::max(0.0, m_available - 1);
    return true;
}

} // namespace catkinwing
