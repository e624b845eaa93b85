#pragma once

#include "catkinwing/Support/Clock.h"
#include <optional>

namespace catkinwing {

/// Rate at which queued work is started. The rate is measured only while work is
/// queued, since idle time doesn't show how fast a queue drains.
class DrainRate {
public:
    /// Records whether work is queued from \p now on.
    void setBusy(bool busy, TimePoint now);
    /// Counts the estimated tokens of started work. Ignores work that starts on
    /// arrival, without queueing.
    void add(double tokens, TimePoint now);
    /// Returns tokens per second of busy time; empty until enough busy time has
    /// been measured.
    std::optional<double> rate(TimePoint now) const;
    /// Returns the last time at which work was queued.
    TimePoint lastBusy(TimePoint now) const { return m_busy ? now : m_busyUntil; }

private:
    void advance(TimePoint now);

    bool m_busy { false };
    double m_tokens { 0 };
    double m_busySeconds { 0 };
    TimePoint m_advancedAt {};
    TimePoint m_busySince {};
    TimePoint m_busyUntil {};
};

} // namespace catkinwing
