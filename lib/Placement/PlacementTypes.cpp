#include "catkinwing/Placement/PlacementTypes.h"

namespace catkinwing {

bool operator==(const DesiredState& a, const DesiredState& b)
{
    return a.models == b.models && a.adapters == b.adapters && a.role == b.role;
}

bool fulfils(const ReportedState& state, const DesiredState& desired)
{
    bool isRoleRight = desired.role.empty() || state.role == desired.role;
    return isRoleRight && state.models == desired.models && state.adapters == desired.adapters;
}

} // namespace catkinwing
