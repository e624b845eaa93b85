#include "catkinwing/Admission/DeadlineQueue.h"

#include <algorithm>

namespace catkinwing {

/// Max number of requests due after the deadline whose costs costAhead() sums; with
/// more, it estimates the cost.
static constexpr std::size_t maxExactSteps = 32;

void DeadlineQueue::add(const QueuedRequest& request)
{
    m_requests.emplace(std::make_pair(request.deadline, request.id), &request);
    m_cost += request.cost;
}

void DeadlineQueue::remove(const QueuedRequest& request)
{
    if (!m_requests.erase({ request.deadline, request.id }))
        return;
    m_cost = m_requests.empty() ? 0 : std::max(0.0, m_cost - request.cost);
}

double DeadlineQueue::costAhead(TimePoint deadline) const
{
    // Requests of a class mostly have the same timeout, so few are due later than a
    // new request and the loop from the back ends early.
    double laterCost = 0;
    std::size_t steps = 0;
    for (auto entry = m_requests.rbegin(); entry != m_requests.rend() && entry->first.first > deadline; ++entry) {
        laterCost += entry->second->cost;
        if (++steps < maxExactSteps)
            continue;
        // The estimate assumes that the cost is spread evenly over the deadlines in the
        // queue.
        Duration span = m_requests.rbegin()->first.first - m_requests.begin()->first.first;
        Duration ahead = std::max(Duration::zero(), deadline - m_requests.begin()->first.first);
        double fraction = span.count() > 0 ? static_cast<double>(ahead.count()) / static_cast<double>(span.count()) : 0;
        return m_cost * fraction;
    }
    return std::max(0.0, m_cost - laterCost);
}

} // namespace catkinwing
