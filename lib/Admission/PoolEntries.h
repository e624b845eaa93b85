#pragma once

#include "catkinwing/Admission/PoolQueue.h"
#include <set>

namespace catkinwing {

/// The teams that have work of one model and kind, least counter first.
struct PoolQueue::Lane {
    LaneKey key;
    std::set<std::pair<double, std::size_t>> order;
    std::size_t queued { 0 };
    /// The answer of the pick in progress.
    bool canStart { false };
};

/// The waiting requests of one class of a team, by lane.
struct PoolQueue::ClassEntry {
    double weight { 1 };
    double counter { 0 };
    std::size_t queued { 0 };
    std::map<Lane*, DeadlineQueue> flows;

    double cost() const;
    /// Returns the request due first of the lanes that can start; null if none.
    const QueuedRequest* firstStartable() const;
    /// Returns the cost of what is due no later than \p deadline.
    double costAhead(TimePoint deadline) const;
};

/// A team's part in the pool.
struct PoolQueue::TeamEntry {
    explicit TeamEntry(Duration rateSmoothing)
        : rate(rateSmoothing)
    {
    }

    std::size_t index { 0 };
    std::string name;
    double weight { 1 };
    /// The configured weight times the part of it that counts in this daemon.
    double effectiveWeight { 1 };
    double counter { 0 };
    bool held { false };
    std::size_t queued { 0 };
    /// Requests in each lane; the team stands in the order of each unless held.
    std::map<Lane*, std::size_t> lanes;
    std::map<std::string, ClassEntry> classes;
    /// Counter of the class picked last.
    double classTime { 0 };
    double served { 0 };
    /// The most that served ever was: what the other daemons are told.
    double servedPeak { 0 };
    WeightShift shift;
    /// Smoothed rate of servedPeak, as the other daemons see it.
    DecayingRate rate;
    DrainRate drain;

    /// Returns the class with the least counter that has startable work.
    ClassEntry* nextClass();
    /// Keeps the class counters within \p credit tokens and small.
    void boundClasses(double credit);
};

} // namespace catkinwing
