#pragma once

#include "catkinwing/Admission/QueuedRequest.h"
#include <map>
#include <utility>

namespace catkinwing {

/// Requests of one class, model and kind, ordered by deadline and then by identifier.
/// Doesn't own the requests.
class DeadlineQueue {
public:
    void add(const QueuedRequest& request);
    void remove(const QueuedRequest& request);
    /// Returns the request with the earliest deadline; the queue must not be empty.
    const QueuedRequest& front() const { return *m_requests.begin()->second; }
    bool empty() const { return m_requests.empty(); }
    /// Returns the cost of all requests in tokens.
    double cost() const { return m_cost; }
    /// Returns the cost in tokens of the requests due no later than \p deadline. The
    /// cost is estimated if more than a few dozen requests are due later.
    double costAhead(TimePoint deadline) const;

private:
    std::map<std::pair<TimePoint, RequestId>, const QueuedRequest*> m_requests;
    double m_cost { 0 };
};

} // namespace catkinwing
