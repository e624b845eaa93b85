#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <deque>

namespace catkinwing {

/// Limits on retries within any window of the given length.
struct RetryAllowance {
    /// Retries for each request of the window.
    double ratio { 0.2 };
    /// This entry's share of the retries allowed in addition to the ratio.
    double slack { 0 };
    Duration window { std::chrono::seconds(10) };
};

/// Totals since the start of the entry.
struct RetryTotals {
    std::uint64_t requests { 0 };
    std::uint64_t retries { 0 };
    /// Retries that were not made because the allowance was used up.
    std::uint64_t denied { 0 };
};

/// Whether a retry is the first one of its request.
enum class RetryOrder {
    First,
    /// Retry of a request that was retried before. Less likely to be served, so such
    /// a retry is allowed only while at least half of the allowance is left.
    Further,
};

/// One entry's share of the retries that all entries together may make. The entries
/// exchange no messages for this: the sum over all entries stays within the allowance
/// when load moves between them and when entries restart or are partitioned.
class RetryWindow {
public:
    /// \p phase, from 0 to 1, is the fraction of a retry that is available at the
    /// start. A random phase allows an entry with few requests an occasional retry,
    /// while the retries of many entries add up to the allowance of all of them.
    explicit RetryWindow(double phase = 0)
        : m_phase(phase)
    {
    }

    void setAllowance(const RetryAllowance& allowance) { m_allowance = allowance; }
    void recordRequest(TimePoint now);
    /// Takes one retry; false if none is left.
    bool tryRetry(TimePoint now, RetryOrder order = RetryOrder::First);
    /// Returns whether at least \p count retries are left.
    bool hasRetry(TimePoint now, RetryOrder order = RetryOrder::First, unsigned count = 1) const;
    /// Counts a retry that was not made because the allowance is used up.
    void recordDenied() { ++m_totals.denied; }
    const RetryTotals& totals() const { return m_totals; }

private:
    /// Counts of one time step; \p number is its time since the epoch in steps.
    struct Step {
        std::int64_t number { 0 };
        std::uint64_t requests { 0 };
        std::uint64_t retries { 0 };
    };

    Step& stepAt(TimePoint now);
    std::int64_t stepsPerWindow() const { return m_allowance.window / stepLength; }
    /// Returns the sum of \p member over the steps in [\p first, \p last).
    std::uint64_t sum(std::uint64_t Step::*member, std::int64_t first, std::int64_t last) const;
    /// Returns the retries allowed in the window that begins with \p step.
    double allowedFrom(std::int64_t step) const;
    double remaining(TimePoint now) const;

    /// Length of a step, the resolution of the counts.
    static constexpr std::chrono::milliseconds stepLength { 500 };

    RetryAllowance m_allowance;
    RetryTotals m_totals;
    double m_phase;
    /// Steps in order of time, the oldest first.
    std::deque<Step> m_steps;
};

} // namespace catkinwing
