#include "catkinwing/Admission/DecayingRate.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

using Seconds = std::chrono::duration<double>;

DecayingRate::DecayingRate(Duration smoothing)
    : m_smoothing(Seconds(smoothing).count())
{
}

void DecayingRate::add(double amount, TimePoint now)
{
    decayTo(now);
    m_decayedSum += amount;
}

void DecayingRate::addSpread(double amount, TimePoint since, TimePoint now)
{
    double span = Seconds(now - since).count();
    if (span <= 0) {
        add(amount, now);
        return;
    }
    // Adds the decayed sum of a steady rate over the span. The sum is at most rate x
    // smoothing for a span of any length, so a large amount from a long span affects
    // the rate no longer than a small amount does.
    decayTo(now);
    m_decayedSum += amount / span * m_smoothing * -std::expm1(-span / m_smoothing);
}

double DecayingRate::rate(TimePoint now) const
{
    // heldRate() passes m_decayedAt during the hold time; then no decay is needed. This
    // is the common case, so it avoids exp().
    if (now <= m_decayedAt)
        return m_decayedSum / m_smoothing;
    double age = Seconds(now - m_decayedAt).count();
    return m_decayedSum * std::exp(-age / m_smoothing) / m_smoothing;
}

double DecayingRate::heldRate(TimePoint now, Duration holdTime) const
{
    return rate(std::max(m_decayedAt, now - holdTime));
}

void DecayingRate::decayTo(TimePoint now)
{
    if (now <= m_decayedAt)
        return;
    m_decayedSum *= std::exp(-Seconds(now - m_decayedAt).count() / m_smoothing);
    m_decayedAt = now;
}

} // namespace catkinwing
