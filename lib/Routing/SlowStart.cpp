#include "catkinwing/Routing/SlowStart.h"

#include "Seconds.h"
#include <algorithm>

namespace catkinwing {

double slowStartWeight(const SlowStartPolicy& policy, TimePoint since, TimePoint now)
{
    if (now - since >= policy.window)
        return 1;
    double progress = toSeconds(std::max(now - since, Duration::zero())) / toSeconds(policy.window);
    return policy.initialWeight + (1 - policy.initialWeight) * progress;
}

} // namespace catkinwing
