#include "catkinwing/Routing/BaselinePlacement.h"

#include <algorithm>

namespace catkinwing {

/// The result if every open endpoint was used by an earlier attempt.
static NoPlacement noUntriedEndpoint()
{
    return { NoPlacementReason::AllTried };
}

static Placement makePlacement(EndpointHandle handle, const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, TimePoint now)
{
    const EndpointView& endpoint = cell.endpoint(handle);
    CostInputs inputs { request.promptTokens, 0, needsAdapterLoad(request, endpoint) };
    CostTerms terms = predictTimeToFirstToken(endpoint, inputs, policy, now);
    return { handle, terms.total, terms.prefillTokens, 0 };
}

static std::vector<EndpointHandle> untriedOpenEndpoints(const RoutingRequest& request, const CellView& cell)
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
        if (acceptsRequest(endpoint) && !wasTried(request, endpoint.name))
            return makePlacement(handle, request, cell, policy, now);
    }
    return noUntriedEndpoint();
}

PlacementResult chooseLeastInFlight(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now)
{
    std::vector<EndpointHandle> leastLoaded;
    for (EndpointHandle handle : untriedOpenEndpoints(request, cell)) {
        unsigned inFlight = cell.endpoint(handle).ownInFlight;
        if (!leastLoaded.empty() && inFlight > cell.endpoint(leastLoaded.front()).ownInFlight)
            continue;
        if (!leastLoaded.empty() && inFlight < cell.endpoint(leastLoaded.front()).ownInFlight)
            leastLoaded.clear();
        leastLoaded.push_back(handle);
    }
    if (leastLoaded.empty())
        return noUntriedEndpoint();
    return makePlacement(leastLoaded[random.below(leastLoaded.size())], request, cell, policy, now);
}

PlacementResult choosePowerOfTwo(const RoutingRequest& request, const CellView& cell, const RoutingPolicy& policy, Random& random, TimePoint now)
{
    std::vector<EndpointHandle> handles = untriedOpenEndpoints(request, cell);
    if (handles.empty())
        return noUntriedEndpoint();
    std::size_t first = random.below(handles.size());
    std::size_t second = first;
    if (handles.size() > 1) {
        second = random.below(handles.size() - 1);
        second += second >= first ? 1 : 0;
    }
    bool secondIsLessLoaded = cell.endpoint(handles[second]).ownInFlight < cell.endpoint(handles[first]).ownInFlight;
    return makePlacement(handles[secondIsLessLoaded ? second : first], request, cell, policy, now);
}

} // namespace catkinwing
