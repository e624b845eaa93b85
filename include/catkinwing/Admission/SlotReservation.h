#pragma once

#include "catkinwing/Admission/QueuedRequest.h"
#include <cstddef>

namespace catkinwing {

/// Total and used slots of one pool in this daemon.
struct SlotUse {
    std::size_t total { 0 };
    std::size_t shortInFlight { 0 };
    std::size_t longInFlight { 0 };
};

/// Limits on the slots that are reserved for short work.
struct ReservationPolicy {
    /// Max fraction of the slots that is reserved for short work.
    double maxReserve { 0.3 };
    /// Fraction of the slots that is reserved even without recent short work.
    double minReserve { 0.1 };
    /// Time constant with which the peak of the short demand decays.
    Duration decayTime { std::chrono::seconds(60) };
};

/// Decaying peak of the number of slots that short work needed.
class ShortWorkDemand {
public:
    /// Records that short work used or waited for \p slots at \p now.
    void record(std::size_t slots, TimePoint now, Duration decayTime);
    /// Returns the decayed peak.
    double peak(TimePoint now, Duration decayTime) const;

private:
    double m_peak { 0 };
    TimePoint m_recordedAt {};
};

/// Returns the slots reserved for short work: its decayed peak plus one spare slot,
/// within the limits of the policy. A pool of two or more slots always reserves at
/// least one; a pool of one slot reserves none.
std::size_t reservedSlots(std::size_t total, double shortPeak, const ReservationPolicy&);

/// Returns whether work of \p kind may take one more slot.
bool mayStart(WorkKind kind, const SlotUse& use, std::size_t reserved);

/// Slot reservation of one pool: tracks the short demand and decides which work may
/// start.
class SlotReservation {
public:
    explicit SlotReservation(const ReservationPolicy& policy = {});
    /// Records the number of short requests in flight and waiting.
    void recordShortWorkDemand(std::size_t inFlight, std::size_t waiting, TimePoint now);
    /// Returns whether work of \p kind may take one more slot.
    bool mayStart(WorkKind kind, const SlotUse& use, TimePoint now) const;

private:
    ReservationPolicy m_policy;
    ShortWorkDemand m_demand;
};

} // namespace catkinwing
