#include "catkinwing/Routing/PromptPlacement.h"

#include <algorithm>
#include <vector>

namespace catkinwing {

/// Number of owners of a segment that are compared. With a single one, a popular segment would
/// keep one endpoint busy; with many, its copies would evict other segments.
static constexpr std::size_t segmentOwners = 2;
/// Number of random candidates that are compared. Comparing all would send the requests of entries
/// that have the same load reports to the same endpoint.
static constexpr std::size_t randomCandidates = 2;

/// Weight of the time that a prefill takes from an endpoint whose slots are all in use, against the
/// caller's own time. Measured in requests, it would grow with the size of the batch, although
/// the engine loses the same time: engines with 48 and more slots then cached no segment for long.
static constexpr double fullEndpointWeight = 12;
/// Probability that an evicted segment is requested again before it would have been evicted
/// anyway. Caches hold about as many segments as are in use.
static constexpr double reuseProbability = 0.5;

namespace {

    using Candidates = std::vector<const PlacementCandidate*>;

} // namespace

Duration placementCost(const PlacementCandidate& candidate)
{
    auto scaled = [](Duration duration, double factor) { return std::chrono::duration_cast<Duration>(duration * factor); };
    double requests = std::max(candidate.requests, 0.0);
    double delayed = candidate.slots > 0 ? requests / candidate.slots * fullEndpointWeight : requests;
    Duration delayOfOthers = scaled(candidate.prefill, delayed);
    return candidate.wait + candidate.prefill + candidate.decode + delayOfOthers + scaled(candidate.evicted, reuseProbability);
}

static Candidates eligible(absl::Span<const PlacementCandidate> candidates)
{
    Candidates preferred;
    Candidates suspects;
    for (const PlacementCandidate& candidate : candidates)
        (candidate.isSuspect ? suspects : preferred).push_back(&candidate);
    if (preferred.empty())
        preferred = std::move(suspects);
    preferred.erase(std::remove_if(preferred.begin(), preferred.end(), [](const auto* candidate) { return candidate->isTooBusy; }), preferred.end());
    return preferred;
}

static void addOwners(Candidates& compared, const Candidates& all, absl::string_view sharedSegment)
{
    bool hasUnlimited = std::any_of(all.begin(), all.end(), [](const auto* candidate) { return !candidate->isLimited; });
    Candidates owners;
    for (const PlacementCandidate* candidate : all) {
        if (!candidate->isLimited || !hasUnlimited)
            owners.push_back(candidate);
    }
    std::size_t count = std::min(segmentOwners, owners.size());
    std::partial_sort(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(count), owners.end(), [&](const auto* first, const auto* second) {
        return ownershipScore(first->incarnation, sharedSegment) > ownershipScore(second->incarnation, sharedSegment);
    });
    compared.insert(compared.end(), owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(count));
}

std::optional<std::size_t> choosePlacement(absl::Span<const PlacementCandidate> candidates, absl::string_view sharedSegment, Random& random)
{
    Candidates all = eligible(candidates);
    if (all.empty())
        return std::nullopt;
    Candidates compared;
    if (!sharedSegment.empty()) {
        std::copy_if(all.begin(), all.end(), std::back_inserter(compared), [](const auto* candidate) { return candidate->cachesSegment; });
        addOwners(compared, all, sharedSegment);
    }
    for (std::size_t i = 0; i < randomCandidates; ++i)
        compared.push_back(all[random.below(all.size())]);
    auto best = std::min_element(compared.begin(), compared.end(), [](const auto* first, const auto* second) { return placementCost(*first) < placementCost(*second); });
    return (*best)->index;
}

} // namespace catkinwing
