#pragma once

#include "catkinwing/Support/Clock.h"
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

private:
    struct Step {
        TimePoint began {};
        unsigned requests { 0 };
        unsigned retries { 0 };
    };
    Step& stepAt(TimePoint now);

    RetryAllowance m_allowance;
    /// The oldest first.
    std::deque<Step> m_steps;
};

} // namespace catkinwing
