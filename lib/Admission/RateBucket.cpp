#include "catkinwing/Admission/RateBucket.h"

#include <algorithm>

namespace catkinwing {

using Seconds = std::chrono::duration<double>;

/// Tolerance in tokens. Without this tolerance, rounding of the refill could refuse a
/// client that retries exactly at its retry-after time.
static constexpr double roundingTolerance = 1e-6;

RateBucket::RateBucket(double rate, double capacity)
    : m_rate(rate)
    , m_capacity(capacity)
    , m_tokens(capacity)
{
}

bool RateBucket::take(double tokens, TimePoint now)
{
    refill(now);
    if (m_tokens + roundingTolerance < tokens)
        return false;
    m_tokens = std::max(0.0, m_tokens - tokens);
    return true;
}

Duration RateBucket::timeUntil(double tokens, TimePoint now)
{
    refill(now);
    double missing = tokens - m_tokens;
    if (missing <= roundingTolerance)
        return Duration::zero();
    if (m_rate <= 0 || tokens > m_capacity)
        return Duration::max();
    return std::chrono::ceil<Duration>(Seconds(missing / m_rate));
}

void RateBucket::configure(double rate, double capacity, TimePoint now)
{
    refill(now);
    m_tokens = std::min(m_tokens, capacity);
    m_rate = rate;
    m_capacity = capacity;
}

void RateBucket::refill(TimePoint now)
{
    if (!m_started) {
        m_started = true;
        m_filledAt = now;
    }
    m_tokens = std::min(m_capacity, m_tokens + m_rate * Seconds(now - m_filledAt).count());
    m_filledAt = now;
}

} // namespace catkinwing
