#pragma once

namespace catkinwing {

/// Bounds retries and hedges to a part of the requests, so that failures can't
/// multiply load. Earned by requests, not by time: an idle cell earns nothing.
class RetryBudget {
public:
    /// \p ratio is the retries earned by a request; at most \p burst are saved.
    explicit RetryBudget(double ratio = 0.1, double burst = 10);
    /// Changes how much is saved from now on.
    void setBurst(double burst);
    /// Saves as much as can be.
    void fill() { m_available = m_burst; }
    /// Counts a first attempt.
    void onRequest();
    /// Takes one retry or hedge from the budget; false if it is used up.
    bool tryRetry();
    /// Returns the retries that could be taken now.
    double available() const { return m_available; }

private:
    double m_ratio;
    double m_burst;
    double m_available { 0 };
};

} // namespace catkinwing
