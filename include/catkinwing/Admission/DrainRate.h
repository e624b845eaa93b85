#pragma once

#include "catkinwing/Support/Clock.h"
#include <optional>

namespace catkinwing {

/// Rate at which waiting work is started, measured only while work waits: idle
/// time says nothing about how fast a queue drains.
class DrainRate {
public:
    /// Says from \p now on whether work waits.
    void setBusy(bool busy, TimePoint now);
    /// Counts started tokens, as estimated. What starts as soon as it came did not
    /// wait and isn't counted.
    void add(double tokens, TimePoint now);
    /// Returns tokens a second of busy time; empty before there was enough of it.
    std::optional<double> rate(TimePoint now) const;
    /// Returns when work last waited.
    TimePoint lastBusy(TimePoint now) const { return m_busy ? now : m_busyUntil; }

private:
    void advance(TimePoint now);

    bool m_busy { false };
    double m_tokens { 0 };
    double m_busySeconds { 0 };
    TimePoint m_at {};
    TimePoint m_busySince {};
    TimePoint m_busyUntil {};
};

} // namespace catkinwing
