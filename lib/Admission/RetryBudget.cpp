#include "catkinwing/Admission/RetryBudget.h"

#include <algorithm>

namespace catkinwing {

// Earned by requests and not by time: a rate in time would let a cell that
// receives little send many times its load, which is when endpoints fail.

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
    // Ten times 0.1 is a little less than one in binary.
    constexpr double roundingSlack = 1e-9;
    if (m_available + roundingSlack < 1)
        return false;
    m_available = std::max(0.0, m_available - 1);
    return true;
}

} // namespace catkinwing
