#include "catkinwing/Routing/BaselinePlacement.h"

#include <algorithm>

namespace catkinwing {

/// The result if every open endpoint was used by an earlier attempt.
static NoPlacement noneLeft()
{
    return { NoPlacementReason::AllTried };
}

static Placement placeAt(EndpointHandle handle, const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, TimePoint now)
{
    const EndpointView& endpoint = cell.endpoint(handle);
    CostInputs inputs { request.promptTokens, 0, needsAdapterLoad(request, endpoint) };
    CostTerms terms = predictTimeToFirstToken(endpoint, inputs, policy, now);
    return { handle, terms.total, terms.prefillTokens, 0 };
}

static std::vector<EndpointHandle> untriedOpen(const RoutingRequest& request, const CellView& cell)
{
    std::vector<EndpointHandle> handles;
    for (EndpointHandle handle : cell.openEndpointsFor(request.model)) {
        if (!wasTried(request, cell.endpoint(handle).name))
            handles.push_back(handle);
    }
    return handles;
}

PlacementResult chooseRoundRobin(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, TimePoint now)
{
    absl::Span<const EndpointHandle> all = cell.endpointsFor(request.model);
    for (std::size_t step = 0; step < all.size(); ++step) {
        EndpointHandle handle = all[(request.sequence + step) % all.size()];
        const EndpointView& endpoint = cell.endpoint(handle);
        if (isOpen(endpoint) && !wasTried(request, endpoint.name))
            return placeAt(handle, request, cell, policy, now);
    }
    return noneLeft();
}

PlacementResult chooseLeastInFlight(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now)
{
    std::vector<EndpointHandle> least;
    for (EndpointHandle handle : untriedOpen(request, cell)) {
        unsigned inFlight = cell.endpoint(handle).ownInFlight;
        if (!least.empty() && inFlight > cell.endpoint(least.front()).ownInFlight)
            continue;
        if (!least.empty() && inFlight < cell.endpoint(least.front()).ownInFlight)
            least.clear();
        least.push_back(handle);
    }
    if (least.empty())
        return noneLeft();
    return placeAt(least[random.below(least.size())], request, cell, policy, now);
}

PlacementResult choosePowerOfTwo(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now)
{
    std::vector<EndpointHandle> handles = untriedOpen(request, cell);
    if (handles.empty())
        return noneLeft();
    std::size_t first = random.below(handles.size());
    std::size_t second = first;
    if (handles.size() > 1) {
        second = random.below(handles.size() - 1);
        second += second >= first ? 1 : 0;
    }
    bool secondIsLess = cell.endpoint(handles[second]).ownInFlight < cell.endpoint(handles[first]).ownInFlight;
    return placeAt(handles[secondIsLess ? second : first], request, cell, policy, now);
}

} // namespace catkinwing
