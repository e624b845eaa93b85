#pragma once

#include "catkinwing/Placement/PlacementTypes.h"

namespace catkinwing {

/// Plans what each endpoint is to have: starts from what they have, adds
/// replicas where capacity is short, largest shortfall first, and takes one
/// away only if its room is needed and it is spare. Nothing is taken below its
/// floor, and nothing in use unless a replica is left. Depends on its
/// arguments alone.
PlacementPlan planPlacement(const PlacementInput& input, const PlacementPolicy& policy);

} // namespace catkinwing
