#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <deque>

namespace catkinwing {

/// Bounds of sending requests a second time, in any window of the given length.
struct RetryAllowance {
    /// Retries for each request of the window.
    double ratio { 0.2 };
    /// Retries beyond that; this entry's part of them.
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

/// Whether a request was sent again before.
enum class RetryOrder {
    First,
    /// Less likely to be served; made only while half of the budget is left.
    Further,
};

/// An entry's part of the retries that all entries together may make. It needs no
/// word of the others: whatever moves between them, starts again or is cut off, the
/// sum over all entries keeps the allowance.
class RetryWindow {
public:
    /// \p phase, from 0 to 1, is the part of a retry that it has from the start. Drawn
    /// at random, it lets an entry with few requests have a retry now and then, and the
    /// fractions of many entries add up to what all of them earn.
    explicit RetryWindow(double phase = 0)
        : m_phase(phase)
    {
    }

    void setAllowance(const RetryAllowance& allowance) { m_allowance = allowance; }
    void noteRequest(TimePoint now);
    /// Takes one retry; false if none is left.
    bool tryRetry(TimePoint now, RetryOrder order = RetryOrder::First);
    bool hasRetry(TimePoint now, RetryOrder order = RetryOrder::First) const;
    /// Counts a retry that was not made because none is left.
    void noteDenied() { ++m_totals.denied; }
    const RetryTotals& totals() const { return m_totals; }

private:
    /// What was counted in one step of time.
    struct Step {
        std::int64_t number { 0 };
        std::uint64_t requests { 0 };
        std::uint64_t retries { 0 };
    };

    Step& stepAt(TimePoint now);
    std::int64_t stepsPerWindow() const { return m_allowance.window / stepLength; }
    /// Sums up steps from \p first on, \p last not included.
    std::uint64_t sum(std::uint64_t Step::*member, std::int64_t first, std::int64_t last) const;
    /// Returns what may be spent in the window that begins with the step.
    double allowedFrom(std::int64_t step) const;
    double left(TimePoint now) const;

    /// Counts are kept by steps of this length.
    static constexpr std::chrono::milliseconds stepLength { 500 };

    RetryAllowance m_allowance;
    RetryTotals m_totals;
    double m_phase;
    /// The oldest first.
    std::deque<Step> m_steps;
};

} // namespace catkinwing
