#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>
#include <cstdint>
#include <string>

namespace catkinwing {

/// Identifies a request within one daemon; chosen by the code that uses the package.
using RequestId = std::uint64_t;

/// How long requests of a class hold their slots. Long requests may not hold all
/// slots.
enum class WorkKind { Short,
    Long };

/// A request that may wait for a slot. Holds the data that admission and scheduling
/// need, but no payload.
struct QueuedRequest {
    RequestId id { 0 };
    std::string team;
    /// Name of one of the team's classes.
    std::string requestClass;
    /// Model or plain service. The predicate that says whether a request can start
    /// doesn't distinguish requests of one pool, model and kind.
    std::string model;
    /// Capacity pool: requests of one pool compete for the same slots. Empty stands
    /// for the model; adapters of one base model share the base model's pool.
    std::string pool;
    /// Identifies the client within the team; empty if the team's clients aren't
    /// distinguished.
    std::string caller;
    /// Estimated cost in tokens, from estimateCost.
    double cost { 0 };
    /// Memory in bytes held while the request waits.
    std::size_t bytes { 0 };
    /// When the response is due, or its first token if the class's deadline applies to
    /// that.
    TimePoint deadline {};
    /// Predicted time from the start to the event that the deadline applies to; zero if
    /// unknown.
    Duration expectedService {};
    /// Kind of the class; set from the class's policy when the request is queued.
    WorkKind kind { WorkKind::Short };
    /// Time at which the request was queued; set by the queue.
    TimePoint enqueuedAt {};

    /// Returns the pool in which the request competes.
    const std::string& poolName() const { return pool.empty() ? model : pool; }
    /// Returns the latest start time at which the request still meets its deadline.
    TimePoint latestStart() const { return deadline - expectedService; }
};

} // namespace catkinwing
