#pragma once

#include "catkinwing/Coordination/LeaseKeeper.h"
#include "catkinwing/Placement/PlacementTypes.h"

namespace catkinwing {

/// Whether an order may be sent now.
enum class OrderVerdict {
    Allowed,
    /// The lease is not held, so nothing may be sent to anyone.
    NoLease,
    /// An order of an earlier holder may still take effect there; wait.
    TooEarly,
};

/// The verdict with what it rests on.
struct OrderPermission {
    OrderVerdict verdict { OrderVerdict::NoLease };
    /// The number that the order must carry, if allowed.
    std::int64_t fencing { 0 };
    /// When to ask again, if too early.
    TimePoint allowedFrom {};
};

/// What the decision is made from.
struct OrderContext {
    /// The lease as last known, which may have run out; empty if there is none.
    std::optional<HeldLease> lease;
    /// Of all candidates for the lease, which are configured alike.
    std::chrono::milliseconds timeToLive { 0 };
    std::chrono::milliseconds margin { 0 };
    bool honoursFencing { false };
    TimePoint now {};
};

/// Decides whether an order may be sent. An endpoint that ignores fencing gets
/// none until an earlier holder must have stopped: its time to live and
/// a margin after this one acquired the lease.
OrderPermission orderPermission(const OrderContext& context);

} // namespace catkinwing
