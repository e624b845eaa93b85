#include "catkinwing/Admission/RetryWindow.h"

#include <algorithm>
#include <limits>

namespace catkinwing {

// In each window, the retries of an entry are limited to the ratio times the mean of
// its requests in that window and in the previous one, plus slack and phase. Both
// windows are the same at all entries, so the limit holds for the sum over all
// entries too: the mean of the two counts of all requests is at most the larger one.
//
// Half of the retries allowed for the requests of the previous window are available
// at once, for example after a crash. The other half becomes available as requests
// arrive, also at an entry that has just begun to receive requests.
//
// The max number of requests of any past window would be a wrong limit: when load
// moves, the entries that lose it would use their old allowance while the entries
// that receive the load get the same allowance again.

/// Max time from the decision to retry until the retry arrives, with a new connection.
/// The retry also counts in windows that begin within this time.
static constexpr std::chrono::milliseconds maxSendDelay { 1'000 };

static std::int64_t stepNumber(TimePoint time, std::chrono::milliseconds stepLength)
{
    return time.time_since_epoch() / stepLength;
}

RetryWindow::Step& RetryWindow::stepAt(TimePoint now)
{
    std::int64_t number = stepNumber(now, stepLength);
    std::int64_t oldest = number - 2 * stepsPerWindow() - maxSendDelay / stepLength;
    while (!m_steps.empty() && m_steps.front().number < oldest)
        m_steps.pop_front();
    if (m_steps.empty() || m_steps.back().number < number)
        m_steps.push_back({ number, 0, 0 });
    return m_steps.back();
}

std::uint64_t RetryWindow::sum(std::uint64_t Step::*member, std::int64_t first, std::int64_t last) const
{
    std::uint64_t total = 0;
    for (const Step& step : m_steps) {
        if (step.number >= first && step.number < last)
            total += step.*member;
    }
    return total;
}

double RetryWindow::allowedFrom(std::int64_t step) const
{
    auto requests = static_cast<double>(sum(&Step::requests, step - stepsPerWindow(), step + stepsPerWindow()));
    return m_allowance.ratio * requests / 2 + m_allowance.slack + m_phase;
}

// Returns the min of the remaining retries over all windows that a retry at \p now
// can fall into.
double RetryWindow::remaining(TimePoint now) const
{
    std::int64_t current = stepNumber(now, stepLength);
    std::int64_t first = current - stepsPerWindow() - maxSendDelay / stepLength + 1;
    double fewest = std::numeric_limits<double>::max();
    for (std::int64_t step = first; step <= current; ++step) {
        auto spent = static_cast<double>(sum(&Step::retries, step, current + 1));
        fewest = std::min(fewest, allowedFrom(step) - spent);
    }
    return fewest;
}

void RetryWindow::recordRequest(TimePoint now)
{
    ++stepAt(now).requests;
    ++m_totals.requests;
}

bool RetryWindow::hasRetry(TimePoint now, RetryOrder order, unsigned count) const
{
    double remainingAfter = remaining(now) - count;
    double reserved = order == RetryOrder::First ? 0 : allowedFrom(stepNumber(now, stepLength)) / 2;
    return remainingAfter >= reserved;
}

bool RetryWindow::tryRetry(TimePoint now, RetryOrder order)
{
    if (!hasRetry(now, order))
        return false;
    ++stepAt(now).retries;
    ++m_totals.retries;
    return true;
}

} // namespace catkinwing
