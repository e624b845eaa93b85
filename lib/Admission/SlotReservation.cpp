#include "catkinwing/Admission/SlotReservation.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

using Seconds = std::chrono::duration<double>;

void ShortWorkDemand::record(std::size_t slots, TimePoint now, Duration decayTime)
{
    m_peak = std::max(static_cast<double>(slots), peak(now, decayTime));
    m_recordedAt = now;
}

double ShortWorkDemand::peak(TimePoint now, Duration decayTime) const
{
    return m_peak * std::exp(-Seconds(now - m_recordedAt) / Seconds(decayTime));
}

std::size_t reservedSlots(std::size_t total, double shortPeak, const ReservationPolicy& policy)
{
    if (total < 2)
        return 0;
    double minSlots = std::max(1.0, std::floor(policy.minReserve * static_cast<double>(total)));
    double maxSlots = std::max(minSlots, std::floor(policy.maxReserve * static_cast<double>(total)));
    // If the decayed peak is below half a slot, no spare slot is reserved either.
    double wanted = shortPeak < 0.5 ? 0 : std::ceil(shortPeak) + 1;
    return static_cast<std::size_t>(std::clamp(wanted, minSlots, maxSlots));
}

bool mayStart(WorkKind kind, const SlotUse& use, std::size_t reserved)
{
    if (use.shortInFlight + use.longInFlight >= use.total)
        return false;
    return kind == WorkKind::Short || use.longInFlight + reserved < use.total;
}

SlotReservation::SlotReservation(const ReservationPolicy& policy)
    : m_policy(policy)
{
}

void SlotReservation::recordShortWorkDemand(std::size_t inFlight, std::size_t waiting, TimePoint now)
{
    m_demand.record(inFlight + waiting, now, m_policy.decayTime);
}

bool SlotReservation::mayStart(WorkKind kind, const SlotUse& use, TimePoint now) const
{
    std::size_t reserved = reservedSlots(use.total, m_demand.peak(now, m_policy.decayTime), m_policy);
    return catkinwing::mayStart(kind, use, reserved);
}

} // namespace catkinwing
