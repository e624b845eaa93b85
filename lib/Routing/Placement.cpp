#include "catkinwing/Routing/Placement.h"

#include "catkinwing/Routing/BaselinePlacement.h"
#include <algorithm>

namespace catkinwing {

namespace {

    struct Candidate {
        EndpointHandle endpoint;
        CostTerms terms;
        double cachedTokens;
    };

    /// The state of one placement decision.
    struct Scoring {
        const RoutingRequest& request;
        const CellView& cell;
        const RoutingPolicy& policy;
        TimePoint now;
        /// Expected cached tokens at each endpoint, by handle.
        std::vector<float> cached;
        /// True for endpoints that were already considered, by handle.
        std::vector<bool> considered;
        std::vector<Candidate> candidates;
    };

} // namespace

bool wasTried(const RoutingRequest& request, absl::string_view name)
{
    return std::any_of(request.triedEndpoints.begin(), request.triedEndpoints.end(), [name](const std::string& tried) { return tried == name; });
}

bool needsAdapterLoad(const RoutingRequest& request, const EndpointView& endpoint)
{
    if (request.adapter.empty())
        return false;
    return !std::binary_search(endpoint.adapters.begin(), endpoint.adapters.end(), request.adapter);
}

static void scoreEndpoint(Scoring& scoring, EndpointHandle handle)
{
    if (scoring.considered[handle])
        return;
    scoring.considered[handle] = true;
    const EndpointView& endpoint = scoring.cell.endpoint(handle);
    if (wasTried(scoring.request, endpoint.name))
        return;
    double cached = scoring.cached[handle];
    CostInputs inputs { scoring.request.promptTokens, cached, needsAdapterLoad(scoring.request, endpoint) };
    CostTerms terms = predictTimeToFirstToken(endpoint, inputs, scoring.policy, scoring.now);
    scoring.candidates.push_back({ handle, terms, cached });
}

static void scoreHolders(Scoring& scoring, std::vector<CachedPrefix> holders)
{
    auto isClosed = [&scoring](const CachedPrefix& holder) { return !scoring.cell.isOpenFor(holder.endpoint, scoring.request.model); };
    holders.erase(std::remove_if(holders.begin(), holders.end(), isClosed), holders.end());
    std::size_t count = std::min(holders.size(), scoring.policy.sampledHolders);
    auto hasMoreTokens = [](const CachedPrefix& a, const CachedPrefix& b) { return a.tokens > b.tokens; };
    std::partial_sort(holders.begin(), holders.begin() + static_cast<std::ptrdiff_t>(count), holders.end(), hasMoreTokens);
    for (std::size_t i = 0; i < count; ++i)
        scoreEndpoint(scoring, holders[i].endpoint);
}

static void scoreRandom(Scoring& scoring, absl::Span<const EndpointHandle> pool, Random& random)
{
    if (pool.empty())
        return;
    for (std::size_t i = 0; i < scoring.policy.sampledOthers; ++i) {
        EndpointHandle handle = pool[random.below(pool.size())];
        if (scoring.cell.isOpenFor(handle, scoring.request.model))
            scoreEndpoint(scoring, handle);
    }
}

static void scoreAll(Scoring& scoring, absl::Span<const EndpointHandle> open)
{
    for (EndpointHandle handle : open)
        scoreEndpoint(scoring, handle);
}

static void scoreSample(Scoring& scoring, absl::Span<const EndpointHandle> open, std::vector<CachedPrefix> holders, Random& random)
{
    scoreHolders(scoring, std::move(holders));
    scoreRandom(scoring, open, random);
    if (!scoring.request.adapter.empty())
        scoreRandom(scoring, scoring.cell.endpointsWithAdapter(scoring.request.adapter), random);
    // The sample may consist only of endpoints that earlier attempts used.
    if (scoring.candidates.empty())
        scoreAll(scoring, open);
}

static Placement chooseNearBest(const Scoring& scoring, Random& random)
{
    auto isShorter = [](const Candidate& a, const Candidate& b) { return a.terms.total < b.terms.total; };
    auto best = std::min_element(scoring.candidates.begin(), scoring.candidates.end(), isShorter);
    Duration margin = nearBestMargin(best->terms.total, scoring.cell.endpoint(best->endpoint), scoring.policy, scoring.now);
    // Reservoir sampling: all near-best candidates are equally likely.
    const Candidate* chosen = &*best;
    std::uint64_t nearBestCount = 0;
    for (const Candidate& candidate : scoring.candidates) {
        if (!isNearBest(candidate.terms, best->terms, margin, scoring.policy))
            continue;
        nearBestCount += 1;
        if (random.below(nearBestCount) == 0)
            chosen = &candidate;
    }
    return { chosen->endpoint, chosen->terms.total, chosen->terms.prefillTokens, chosen->cachedTokens };
}

static PlacementResult choosePredicted(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, const RoutingPolicy& policy, Random& random, TimePoint now)
{
    absl::Span<const EndpointHandle> open = cell.openEndpointsFor(request.model);
    std::vector<CachedPrefix> holders = prefixes.cachedTokens(request.prefixHashes);
    Scoring scoring { request, cell, policy, now, std::vector<float>(cell.handleLimit()), std::vector<bool>(cell.handleLimit()), {} };
    for (const CachedPrefix& holder : holders) {
        if (cell.contains(holder.endpoint))
            scoring.cached[holder.endpoint] = static_cast<float>(holder.tokens);
    }
    if (open.size() <= policy.scoreAllUpTo)
        scoreAll(scoring, open);
    else
        scoreSample(scoring, open, std::move(holders), random);
    if (scoring.candidates.empty())
        return NoPlacement { NoPlacementReason::AllTried };
    return chooseNearBest(scoring, random);
}

std::optional<NoPlacementReason> findNoPlacementReason(const RoutingRequest& request, const CellView& cell)
{
    if (!isAllowed(request.residency, cell.region()))
        return NoPlacementReason::OutsideResidency;
    if (!cell.openEndpointsFor(request.model).empty())
        return std::nullopt;
    absl::Span<const EndpointHandle> all = cell.endpointsFor(request.model);
    if (all.empty())
        return NoPlacementReason::UnknownModel;
    auto hasState = [&cell](EndpointState state) {
        return [&cell, state](EndpointHandle handle) { return cell.endpoint(handle).state == state; };
    };
    if (std::any_of(all.begin(), all.end(), hasState(EndpointState::Live)))
        return NoPlacementReason::NoSlot;
    if (std::any_of(all.begin(), all.end(), hasState(EndpointState::Ejected)))
        return NoPlacementReason::AllUnhealthy;
    return NoPlacementReason::AllLeaving;
}

PlacementResult choosePlacement(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, const RoutingPolicy& policy, Random& random, TimePoint now)
{
    if (std::optional<NoPlacementReason> reason = findNoPlacementReason(request, cell))
        return NoPlacement { *reason };
    switch (policy.algorithm) {
    case RoutingAlgorithm::RoundRobin:
        return chooseRoundRobin(request, cell, policy, now);
    case RoutingAlgorithm::LeastInFlight:
        return chooseLeastInFlight(request, cell, policy, random, now);
    case RoutingAlgorithm::PowerOfTwoChoices:
        return choosePowerOfTwo(request, cell, policy, random, now);
    case RoutingAlgorithm::PredictedTimeToFirstToken:
        break;
    }
    return choosePredicted(request, cell, prefixes, policy, random, now);
}

const char* toString(NoPlacementReason reason)
{
    switch (reason) {
    case NoPlacementReason::OutsideResidency:
        return "outside-residency";
    case NoPlacementReason::UnknownModel:
        return "unknown-model";
    case NoPlacementReason::AllLeaving:
        return "all-leaving";
    case NoPlacementReason::AllUnhealthy:
        return "all-unhealthy";
    case NoPlacementReason::NoSlot:
        return "no-slot";
    case NoPlacementReason::AllTried:
        return "all-tried";
    }
    return "unknown";
}

} // namespace catkinwing
