#pragma once

namespace catkinwing {

/// Limits retries and hedges to a fraction of the requests, so that failures can't
/// multiply load. The budget grows with requests and not with time, so no budget
/// accumulates while no requests arrive.
class RetryBudget {
public:
    /// Each request adds \p ratio retries to the budget, up to \p burst retries.
    explicit RetryBudget(double ratio = 0.1, double burst = 10);
    /// Changes the max budget, and cuts the available budget to it.
    void setBurst(double burst);
    /// Sets the available budget to the max.
    void fill() { m_available = m_burst; }
    /// Counts a first attempt, which adds the ratio to the budget.
    void onRequest();
    /// Takes one retry or hedge from the budget. Returns false if less than one is
    /// available.
    bool tryRetry();
    /// Returns the available budget, in retries.
    double available() const { return m_available; }

private:
    double m_ratio;
    double m_burst;
    double m_available { 0 };
};

} // namespace catkinwing
