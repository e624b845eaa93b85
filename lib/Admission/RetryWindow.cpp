#include "catkinwing/Admission/RetryWindow.h"

namespace catkinwing {

/// Counts are kept by steps of this length.
static constexpr std::chrono::milliseconds stepLength { 500 };

RetryWindow::Step& RetryWindow::stepAt(TimePoint now)
{
    while (!m_steps.empty() && now - m_steps.front().began > m_allowance.window + stepLength)
        m_steps.pop_front();
    if (m_steps.empty() || now - m_steps.back().began >= stepLength)
        m_steps.push_back({ now, 0, 0 });
    return m_steps.back();
}

void RetryWindow::noteRequest(TimePoint now)
{
    ++stepAt(now).requests;
    ++m_totals.requests;
}

// A step that lies only partly in the window counts with its retries and not
// with its requests, so that the bound holds wherever the window begins.
bool RetryWindow::hasRetry(TimePoint now) const
{
    double requests = 0;
    double retries = 0;
    for (const Step& step : m_steps) {
        Duration age = now - step.began;
        if (age <= m_allowance.window)
            requests += step.requests;
        if (age <= m_allowance.window + stepLength)
            retries += step.retries;
    }
    return retries + 1 <= m_allowance.ratio * requests + m_allowance.slack;
}

bool RetryWindow::tryRetry(TimePoint now)
{
    if (!hasRetry(now))
        return false;
    ++stepAt(now).retries;
    ++m_totals.retries;
    return true;
}

} // namespace catkinwing
