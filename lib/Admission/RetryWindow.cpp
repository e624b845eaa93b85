#include "catkinwing/Admission/RetryWindow.h"

#include <algorithm>
#include <limits>

namespace catkinwing {

// In no window does an entry send again more than the ratio of the mean of its
// requests in that window and in the one before. Both spans are the same at all
// entries, so the bound holds for their sum too: the mean over all requests is at
// most the larger of the two.
//
// Half of what the window before has earned can be spent at once, as after a crash;
// the other half as requests come, also where they have just begun to.
//
// The most requests of any window up to now would not do as a bound: where load
// moves, the entries that lose it spend what they have earned while those that get it
// earn the same once more.

/// A retry arrives up to this much later than it is decided, with a new connection,
/// and counts in windows that begin in between.
static constexpr std::chrono::milliseconds longestWay { 1'000 };

static std::int64_t stepNumber(TimePoint time, std::chrono::milliseconds stepLength)
{
    return time.time_since_epoch() / stepLength;
}

RetryWindow::Step& RetryWindow::stepAt(TimePoint now)
{
    std::int64_t number = stepNumber(now, stepLength);
    std::int64_t oldest = number - 2 * stepsPerWindow() - longestWay / stepLength;
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
    auto earning = static_cast<double>(sum(&Step::requests, step - stepsPerWindow(), step + stepsPerWindow()));
    return m_allowance.ratio * earning / 2 + m_allowance.slack + m_phase;
}

// The window in which least is left decides.
double RetryWindow::left(TimePoint now) const
{
    std::int64_t current = stepNumber(now, stepLength);
    std::int64_t first = current - stepsPerWindow() - longestWay / stepLength + 1;
    double least = std::numeric_limits<double>::max();
    for (std::int64_t step = first; step <= current; ++step) {
        auto spent = static_cast<double>(sum(&Step::retries, step, current + 1));
        least = std::min(least, allowedFrom(step) - spent);
    }
    return least;
}

void RetryWindow::noteRequest(TimePoint now)
{
    ++stepAt(now).requests;
    ++m_totals.requests;
}

bool RetryWindow::hasRetry(TimePoint now, RetryOrder order) const
{
    double remains = left(now) - 1;
    double spared = order == RetryOrder::First ? 0 : allowedFrom(stepNumber(now, stepLength)) / 2;
    return remains >= spared;
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
