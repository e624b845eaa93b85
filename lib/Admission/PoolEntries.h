#pragma once

#include "catkinwing/Admission/PoolQueue.h"
#include <set>

namespace catkinwing {

/// The waiting requests of one model and kind, which can all start or all not start.
struct PoolQueue::RequestGroup {
    RequestGroupKey key;
    /// Counter and index of each team with requests in the group that isn't paused.
    std::set<std::pair<double, std::size_t>> teamsByCounter;
    std::size_t queuedCount { 0 };
    /// Result of the start predicate in the current pick.
    bool canStart { false };
};

/// The waiting requests of one class of a team, by request group.
struct PoolQueue::ClassState {
    double weight { 1 };
    /// Virtual service of the class: tokens charged per weight.
    double counter { 0 };
    std::size_t queuedCount { 0 };
    std::map<RequestGroup*, DeadlineQueue> queuesByGroup;

    double cost() const;
    /// Returns the request with the earliest deadline in the groups that can start; null
    /// if there is none.
    const QueuedRequest* firstStartable() const;
    /// Returns the cost in tokens of the requests due no later than \p deadline.
    double costAhead(TimePoint deadline) const;
};

/// State of a team in the pool.
struct PoolQueue::TeamState {
    explicit TeamState(Duration rateSmoothing)
        : rate(rateSmoothing)
    {
    }

    std::size_t index { 0 };
    std::string name;
    double weight { 1 };
    /// The configured weight times the factor that applies in this daemon.
    double effectiveWeight { 1 };
    /// Virtual service of the team: tokens charged per effective weight.
    double counter { 0 };
    bool paused { false };
    std::size_t queuedCount { 0 };
    /// Number of requests in each group. Unless the team is paused, it is in the
    /// teamsByCounter set of each of these groups.
    std::map<RequestGroup*, std::size_t> requestsByGroup;
    std::map<std::string, ClassState> classes;
    /// Virtual time of the classes: the largest counter that a class had when it was
    /// picked, since the last boundClassCounters().
    double classVirtualTime { 0 };
    /// Tokens charged, which a refund can decrease.
    double servedTokens { 0 };
    /// Maximum of the tokens charged so far, reported to the other daemons.
    double maxServedTokens { 0 };
    WeightShift weightShift;
    /// Smoothed rate of maxServedTokens, as the other daemons compute it from the reports.
    DecayingRate rate;
    DrainRate drainRate;

    /// Returns the class with the smallest counter that has a startable request.
    ClassState* nextClass();
    /// Subtracts classVirtualTime from all class counters, resets it to zero, and raises
    /// counters below -\p maxLag (in tokens per weight) to that value.
    void boundClassCounters(double maxLag);
};

} // namespace catkinwing
