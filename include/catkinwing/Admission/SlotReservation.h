#pragma once

#include "catkinwing/Admission/QueuedRequest.h"
#include <cstddef>

namespace catkinwing {

/// Slots of one pool in this daemon.
struct SlotUse {
    std::size_t total { 0 };
    std::size_t shortInFlight { 0 };
    std::size_t longInFlight { 0 };
};

/// How much of a pool long work may hold.
struct ReservationPolicy {
    /// Part of the slots kept for short work while there is much of it.
    double maxReserve { 0.3 };
    /// Part kept even when no short work was seen for long.
    double minReserve { 0.1 };
    /// Time constant with which the remembered short demand decays.
    Duration memory { std::chrono::seconds(60) };
};

/// Remembers how many slots short work needed lately: a peak that decays.
class ShortDemand {
public:
    /// Notes that short work held or awaited \p slots at \p now.
    void note(std::size_t slots, TimePoint now, Duration memory);
    /// Returns the decayed peak.
    double peak(TimePoint now, Duration memory) const;

private:
    double m_peak { 0 };
    TimePoint m_notedAt {};
};

/// Returns the slots kept for short work: its remembered peak and one to spare,
/// within the policy's bounds. One slot of a pool of at least two is always
/// kept; a pool of one keeps none.
std::size_t reservedSlots(std::size_t total, double shortPeak, const ReservationPolicy&);

/// Returns whether work of \p kind may take one more slot.
bool mayStart(WorkKind kind, const SlotUse& use, std::size_t reserved);

/// The reservation of one pool: remembers the short demand and decides.
class SlotReservation {
public:
    explicit SlotReservation(const ReservationPolicy& policy = {});
    /// Notes the short work in flight and waiting.
    void noteShort(std::size_t inFlight, std::size_t waiting, TimePoint now);
    /// Returns whether work of \p kind may take one more slot.
    bool mayStart(WorkKind kind, const SlotUse& use, TimePoint now) const;

private:
    ReservationPolicy m_policy;
    ShortDemand m_demand;
};

} // namespace catkinwing
