#include "catkinwing/Admission/DrainRate.h"

#include <cmath>

namespace catkinwing {

using Seconds = std::chrono::duration<double>;

/// Time constant of the smoothing, in busy seconds.
static constexpr double smoothingSeconds = 5;
/// Work that starts sooner than this after the queue became non-empty did not wait.
static constexpr Duration minWait = std::chrono::milliseconds(1);
/// Busy seconds needed before a rate is returned: a prediction from fewer is too
/// uncertain to refuse requests on.
static constexpr double minBusySeconds = 1;

void DrainRate::setBusy(bool busy, TimePoint now)
{
    advance(now);
    if (m_busy)
        m_busyUntil = now;
    else if (busy)
        m_busySince = now;
    m_busy = busy;
}

void DrainRate::add(double tokens, TimePoint now)
{
    // Counting work that did not wait would add tokens without busy time, and every
    // request that finds a free slot would raise the rate.
    if (!m_busy || now - m_busySince < minWait)
        return;
    advance(now);
    m_tokens += tokens;
}

std::optional<double> DrainRate::rate(TimePoint now) const
{
    DrainRate current = *this;
    current.advance(now);
    if (current.m_busySeconds < minBusySeconds)
        return std::nullopt;
    return current.m_tokens / current.m_busySeconds;
}

void DrainRate::advance(TimePoint now)
{
    if (now <= m_advancedAt)
        return;
    if (m_busy) {
        double span = Seconds(now - m_advancedAt).count();
        double decay = std::exp(-span / smoothingSeconds);
        m_tokens *= decay;
        m_busySeconds = m_busySeconds * decay + smoothingSeconds * (1 - decay);
    }
    m_advancedAt = now;
}

} // namespace catkinwing
