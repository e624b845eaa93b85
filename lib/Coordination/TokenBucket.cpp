#include "catkinwing/Coordination/TokenBucket.h"

#include <algorithm>

namespace catkinwing {

TokenBucket::TokenBucket(TokenRate rate, TimePoint now)
    : m_rate(rate)
    , m_tokens(rate.burst)
    , m_refilledAt(now)
{
}

bool TokenBucket::tryTake(double amount, TimePoint now)
{
    refill(now);
    if (m_tokens < amount)
        return false;
    m_tokens -= amount;
    return true;
}

void TokenBucket::takeIntoDebt(double amount, TimePoint now)
{
    refill(now);
    m_tokens -= amount;
}

double TokenBucket::available(TimePoint now) const
{
    std::chrono::duration<double> elapsed = std::max(now - m_refilledAt, Duration::zero());
    return std::min(m_rate.burst, m_tokens + elapsed.count() * m_rate.perSecond);
}

Duration TokenBucket::timeTo(double amount, TimePoint now) const
{
    double missing = amount - available(now);
    if (missing <= 0)
        return Duration::zero();
    constexpr std::chrono::duration<double> maxTime = std::chrono::hours(24);
    if (amount > m_rate.burst || missing > m_rate.perSecond * maxTime.count())
        return Duration::max();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / m_rate.perSecond));
}

void TokenBucket::setRate(TokenRate rate, TimePoint now)
{
    refill(now);
    m_rate = rate;
    m_tokens = std::min(m_tokens, rate.burst);
}

void TokenBucket::refill(TimePoint now)
{
    m_tokens = available(now);
    m_refilledAt = std::max(now, m_refilledAt);
}

} // namespace catkinwing
