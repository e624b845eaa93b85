#pragma once

#include "catkinwing/Routing/Placement.h"

namespace catkinwing {

/// The baselines, for measuring only. They keep to residency, endpoint states,
/// limits and tried endpoints as the policy does, and know nothing of prefixes,
/// speeds or reports. choosePlacement calls them by RoutingPolicy::algorithm.
PlacementResult chooseRoundRobin(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, TimePoint now);
PlacementResult chooseLeastInFlight(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now);
PlacementResult choosePowerOfTwo(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now);

} // namespace catkinwing
