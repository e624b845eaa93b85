#include "catkinwing/Routing/PlacementExplanation.h"

#include <algorithm>

namespace catkinwing {

static std::optional<ExclusionReason> exclusionReason(const RoutingRequest& request, const EndpointView& endpoint)
{
    if (endpoint.state == EndpointState::Leaving)
        return ExclusionReason::Leaving;
    if (endpoint.state == EndpointState::Ejected)
        return ExclusionReason::Ejected;
    if (!acceptsRequest(endpoint))
        return ExclusionReason::NoSlot;
    if (wasTried(request, endpoint.name))
        return ExclusionReason::AlreadyTried;
    return std::nullopt;
}

static bool ranksBefore(const CandidateExplanation& a, const CandidateExplanation& b)
{
    if (a.exclusion.has_value() != b.exclusion.has_value())
        return !a.exclusion.has_value();
    if (a.terms.total != b.terms.total)
        return a.terms.total < b.terms.total;
    return a.endpoint < b.endpoint;
}

static void markNearBest(PlacementExplanation& explanation, const CellView& cell, const RoutingPolicy& policy, TimePoint now)
{
    const CandidateExplanation& best = explanation.candidates.front();
    if (best.exclusion) {
        explanation.noPlacement = NoPlacementReason::AllTried;
        return;
    }
    explanation.margin = nearBestMargin(best.terms.total, cell.endpoint(*cell.find(best.endpoint)), policy, now);
    for (CandidateExplanation& candidate : explanation.candidates)
        candidate.nearBest = !candidate.exclusion && isNearBest(candidate.terms, best.terms, explanation.margin, policy);
}

PlacementExplanation explainPlacement(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, const RoutingPolicy& policy, TimePoint now)
{
    PlacementExplanation explanation;
    explanation.noPlacement = findNoPlacementReason(request, cell);
    if (explanation.noPlacement == NoPlacementReason::OutsideResidency)
        return explanation;
    std::vector<double> cached(cell.handleLimit());
    for (const CachedPrefix& prefix : prefixes.cachedTokens(request.prefixHashes)) {
        if (cell.contains(prefix.endpoint))
            cached[prefix.endpoint] = prefix.tokens;
    }
    for (EndpointHandle handle : cell.endpointsFor(request.model)) {
        const EndpointView& endpoint = cell.endpoint(handle);
        CandidateExplanation candidate;
        candidate.endpoint = endpoint.name;
        candidate.exclusion = exclusionReason(request, endpoint);
        if (!candidate.exclusion) {
            candidate.cachedTokens = cached[handle];
            CostInputs inputs { request.promptTokens, cached[handle], needsAdapterLoad(request, endpoint) };
            candidate.terms = predictTimeToFirstToken(endpoint, inputs, policy, now);
        }
        explanation.candidates.push_back(std::move(candidate));
    }
    std::sort(explanation.candidates.begin(), explanation.candidates.end(), ranksBefore);
    if (!explanation.noPlacement)
        markNearBest(explanation, cell, policy, now);
    return explanation;
}

const char* toString(ExclusionReason reason)
{
    switch (reason) {
    case ExclusionReason::Leaving:
        return "leaving";
    case ExclusionReason::Ejected:
        return "ejected";
    case ExclusionReason::NoSlot:
        return "no-slot";
    case ExclusionReason::AlreadyTried:
        return "already-tried";
    }
    return "unknown";
}

} // namespace catkinwing
