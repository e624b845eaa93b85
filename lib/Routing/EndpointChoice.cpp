#include "catkinwing/Routing/EndpointChoice.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <vector>

namespace catkinwing {

/// An endpoint is not chosen for a shared segment if its wait exceeds the mean wait
/// by more than this multiple of the segment's prefill time. The multiple is above
/// 1 because prefilling the segment elsewhere also delays the other requests there
/// and evicts other segments from the cache.
static constexpr double maxExcessPrefills = 4;
/// Multiple of the segment's prefill time by which the wait for its owner may
/// exceed the maximum wait.
static constexpr double maxPrefillsBeyondMaxWait = 2;
/// Excess over the mean wait that is always tolerated. Without it, short segments
/// would hardly ever be reused where they are cached.
static constexpr std::chrono::milliseconds toleratedExcessWait { 100 };

namespace {

    using Candidates = std::vector<const EndpointCandidate*>;

} // namespace

static Candidates withoutSuspects(absl::Span<const EndpointCandidate> candidates)
{
    Candidates preferred;
    Candidates all;
    for (const EndpointCandidate& candidate : candidates) {
        all.push_back(&candidate);
        if (!candidate.isSuspect)
            preferred.push_back(&candidate);
    }
    return preferred.empty() ? all : preferred;
}

static Candidates withoutBusy(Candidates candidates)
{
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [](const auto* candidate) { return candidate->isTooBusy; }), candidates.end());
    return candidates;
}

// Picks two candidates at random and returns the less loaded one. Choosing the
// least loaded of all would send the requests of entries that know only their own
// load to the same endpoint.
static const EndpointCandidate& lessLoadedOfTwo(const Candidates& candidates, Random& random)
{
    std::size_t first = random.below(candidates.size());
    if (candidates.size() == 1)
        return *candidates[first];
    std::size_t second = random.below(candidates.size() - 1);
    if (second >= first)
        ++second;
    bool isSecondBetter = candidates[second]->load < candidates[first]->load;
    return isSecondBetter ? *candidates[second] : *candidates[first];
}

// Returns the wait from which the limit for a shared segment is computed. The mean
// is used rather than the minimum: among many endpoints one is always idle, so the
// minimum doesn't represent the wait at the others.
static Duration meanWait(const Candidates& candidates)
{
    Duration sum { 0 };
    for (const EndpointCandidate* candidate : candidates)
        sum += candidate->wait;
    return sum / candidates.size();
}

Duration maxWaitForOwner(const EndpointDemand& demand)
{
    if (demand.maxWait == Duration::max())
        return demand.maxWait;
    return demand.maxWait + std::chrono::duration_cast<Duration>(demand.prefillTime * maxPrefillsBeyondMaxWait);
}

std::uint64_t ownershipScore(absl::string_view incarnation, absl::string_view sharedSegment)
{
    return stableHash(incarnation, stableHash(sharedSegment));
}

// Returns the candidates whose wait is within the limit for a shared segment.
static Candidates withoutOverloaded(const EndpointDemand& demand, Candidates candidates)
{
    auto maxExcess = std::chrono::duration_cast<Duration>(demand.prefillTime * maxExcessPrefills) + toleratedExcessWait;
    Duration limit = std::min(meanWait(candidates) + maxExcess, maxWaitForOwner(demand));
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [limit](const auto* candidate) { return candidate->wait > limit; }), candidates.end());
    return candidates;
}

// Holders are preferred to the owner by hash: an owner that was restored or added
// doesn't cache the segments that were prefilled elsewhere before.
static const EndpointCandidate* leastBusyHolder(const Candidates& candidates)
{
    const EndpointCandidate* best = nullptr;
    for (const EndpointCandidate* candidate : candidates) {
        if (candidate->cachesSegment && (!best || candidate->wait < best->wait))
            best = candidate;
    }
    return best;
}

// Uses rendezvous hashing: when an endpoint is removed, only the segments that it
// owned move to others. An owner with a limit could take few of the segment's requests, and
// the others would prefill the segment elsewhere.
static const EndpointCandidate* ownerOf(const EndpointDemand& demand, const Candidates& candidates)
{
    bool hasUnlimited = std::any_of(candidates.begin(), candidates.end(), [](const auto* candidate) { return !candidate->isLimited; });
    const EndpointCandidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const EndpointCandidate* candidate : candidates) {
        if (candidate->isLimited && hasUnlimited)
            continue;
        std::uint64_t score = ownershipScore(candidate->incarnation, demand.sharedSegment);
        if (best && score <= bestScore)
            continue;
        best = candidate;
        bestScore = score;
    }
    return best;
}

std::optional<std::size_t> chooseEndpoint(absl::Span<const EndpointCandidate> candidates, const EndpointDemand& demand, Random& random)
{
    if (candidates.empty())
        return std::nullopt;
    Candidates preferred = withoutSuspects(candidates);
    if (!demand.sharedSegment.empty()) {
        Candidates acceptable = withoutOverloaded(demand, preferred);
        const EndpointCandidate* holder = leastBusyHolder(acceptable);
        if (const EndpointCandidate* chosen = holder ? holder : ownerOf(demand, acceptable))
            return chosen->index;
    }
    Candidates available = withoutBusy(std::move(preferred));
    if (available.empty())
        return std::nullopt;
    return lessLoadedOfTwo(available, random).index;
}

} // namespace catkinwing
