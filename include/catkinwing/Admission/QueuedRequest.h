#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>
#include <cstdint>
#include <string>

namespace catkinwing {

/// Names a request within one daemon; the caller of the package chooses it.
using RequestId = std::uint64_t;

/// How long a class's work holds its slot; long work may not hold all slots.
enum class WorkKind { Short,
    Long };

/// A request that may wait for a slot. Holds what the decisions need, no payload.
struct QueuedRequest {
    RequestId id { 0 };
    std::string team;
    /// Class of request, one of the team's.
    std::string requestClass;
    /// Model or plain service. Requests of one model and kind are alike to the
    /// predicate that says what can start.
    std::string model;
    /// Capacity that is shared out: requests of one pool compete for the same
    /// slots. Empty stands for the model; adapters of one base model share the
    /// base model's pool.
    std::string pool;
    /// Who called, within the team; empty where callers aren't told apart.
    std::string caller;
    /// Estimated cost in tokens, from estimateCost.
    double cost { 0 };
    /// Memory held while it waits.
    std::size_t bytes { 0 };
    /// When the answer, or its first token where the class counts that, is due.
    TimePoint deadline {};
    /// Predicted time from start to what the deadline counts; zero if unknown.
    Duration expectedService {};
    /// Set by the class's policy when it is queued.
    WorkKind kind { WorkKind::Short };
    /// Set when it is queued.
    TimePoint enqueuedAt {};

    /// Returns the pool that it competes in.
    const std::string& poolName() const { return pool.empty() ? model : pool; }
    /// Returns the last moment at which starting it still makes the deadline.
    TimePoint latestStart() const { return deadline - expectedService; }
};

} // namespace catkinwing
