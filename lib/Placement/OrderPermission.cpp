#include "catkinwing/Placement/OrderPermission.h"

namespace catkinwing {

OrderPermission orderPermission(const OrderContext& context)
{
    OrderPermission permission;
    if (!context.lease || context.now >= context.lease->validUntil)
        return permission;
    permission.fencing = context.lease->fencing;
    permission.verdict = OrderVerdict::Allowed;
    if (context.honoursFencing)
        return permission;
    permission.allowedFrom = context.lease->acquiredAt + context.timeToLive + context.margin;
    if (context.now < permission.allowedFrom)
        permission.verdict = OrderVerdict::TooEarly;
    return permission;
}

} // namespace catkinwing
