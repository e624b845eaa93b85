#include "catkinwing/Admission/WorkspaceShares.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace catkinwing {

/// A shortage begins when this fraction of the requested tokens is refused. Single refusals, such
/// as those at an endpoint's crash, don't reach it.
static constexpr double beginFraction = 0.05;
/// A shortage ends below this fraction.
static constexpr double endFraction = 0.02;
/// Fraction of the max wait for requests beyond the share of their workspace. They get what the
/// others leave unused: endpoints at which callers within their shares wait for a short time only.
/// With a quarter, fewer requests were answered in time in a long shortage.
static constexpr double beyondShareWaitFraction = 0.5;
/// The same for requests that have missed their latency target. Each of them that waits makes
/// another caller late, so they go last.
static constexpr double lateWaitFraction = 0.25;

static bool isPositive(double number)
{
    return std::isfinite(number) && number > 0;
}

static double orZero(double number)
{
    return isPositive(number) ? number : 0;
}

ServiceDemand sumOf(const std::vector<WorkspaceDemand>& demands)
{
    ServiceDemand sum;
    for (const WorkspaceDemand& demand : demands) {
        sum.requested += orZero(demand.requested);
        sum.late += orZero(demand.late);
        sum.admitted += std::min(orZero(demand.admitted), orZero(demand.requested) + orZero(demand.late));
    }
    return sum;
}

bool isShortage(const ServiceDemand& demand, bool wasShortage)
{
    double asked = demand.requested + demand.late;
    return asked - demand.admitted > asked * (wasShortage ? endFraction : beginFraction);
}

// Fills the shares in ascending order of the demand per weight: a workspace whose demand is below
// the level that remains for all is satisfied and leaves the rest to those after it.
std::vector<double> divideShortage(const std::vector<WorkspaceDemand>& demands, double capacity)
{
    std::vector<std::size_t> order;
    double weights = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        if (!isPositive(demands[i].weight) || !isPositive(demands[i].requested))
            continue;
        order.push_back(i);
        weights += demands[i].weight;
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a].requested / demands[a].weight < demands[b].requested / demands[b].weight;
    });
    std::vector<double> shares(demands.size(), 0);
    double remaining = orZero(capacity);
    for (std::size_t i : order) {
        shares[i] = std::min(demands[i].requested, remaining * demands[i].weight / weights);
        remaining -= shares[i];
        weights -= demands[i].weight;
    }
    return shares;
}

double fractionWithinShare(double requested, double share)
{
    return isPositive(requested) ? std::clamp(share / requested, 0.0, 1.0) : 1;
}

double waitFractionFor(ShareClass shareClass)
{
    switch (shareClass) {
    case ShareClass::Within:
        return 1;
    case ShareClass::Beyond:
        return beyondShareWaitFraction;
    case ShareClass::Late:
        return lateWaitFraction;
    }
    return 1;
}

} // namespace catkinwing
