#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <deque>

namespace catkinwing {

/// Bounds of sending requests a second time, in any window of the given length.
struct RetryAllowance {
    /// Retries for each request of the window.
    double ratio { 0.2 };
    /// Retries beyond that.
    double slack { 0 };
    Duration window { std::chrono::seconds(10) };
};

/// What a window has counted since its entry started.
struct RetryTotals {
    std::uint64_t requests { 0 };
    std::uint64_t retries { 0 };
    /// Retries that were not made for want of budget.
    std::uint64_t denied { 0 };
};

/// Counts requests and retries over a sliding window, so that a crash under load
/// may use at once what the requests before it have earned, and no window holds
/// more retries than are allowed.
class RetryWindow {
public:
    void setAllowance(const RetryAllowance& allowance) { m_allowance = allowance; }
    void noteRequest(TimePoint now);
    /// Takes one retry; false if none is left.
    bool tryRetry(TimePoint now);
    bool hasRetry(TimePoint now) const;
    /// Counts a retry that was not made because none is left.
    void noteDenied() { ++m_totals.denied; }
    const RetryTotals& totals() const { return m_totals; }

private:
    struct Step {
        TimePoint began {};
        unsigned requests { 0 };
        unsigned retries { 0 };
    };
    Step& stepAt(TimePoint now);

    RetryAllowance m_allowance;
    RetryTotals m_totals;
    /// The oldest first.
    std::deque<Step> m_steps;
};

} // namespace catkinwing
