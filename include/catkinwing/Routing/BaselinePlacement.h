#pragma once

#include "catkinwing/Routing/Placement.h"

namespace catkinwing {

/// Baseline algorithms, used only to measure the default algorithm against.
/// They respect endpoint states, in-flight limits and earlier attempts, but
/// ignore cached prefixes, endpoint speeds and load reports. choosePlacement
/// checks residency and then calls the one that RoutingPolicy::algorithm selects.
PlacementResult chooseRoundRobin(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, TimePoint now);
PlacementResult chooseLeastInFlight(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now);
PlacementResult choosePowerOfTwo(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now);

} // namespace catkinwing
