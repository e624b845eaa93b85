#include "catkinwing/Routing/EndpointChoice.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <vector>

namespace catkinwing {

/// An endpoint is passed over for its shared part once it has this many times
/// the mean of requests in flight, and
static constexpr double maxLoadRatio = 2.0;
/// this many requests more than the mean. Reading a shared part again costs
/// about as much as several short requests, so small differences don't count.
static constexpr double maxLoadExcess = 8.0;

namespace {

    using Candidates = std::vector<const EndpointCandidate*>;

} // namespace

static Candidates withoutSuspects(absl::Span<const EndpointCandidate> candidates)
{
    Candidates sound;
    for (const EndpointCandidate& candidate : candidates) {
        if (!candidate.isSuspect)
            sound.push_back(&candidate);
    }
    if (!sound.empty())
        return sound;
    for (const EndpointCandidate& candidate : candidates)
        sound.push_back(&candidate);
    return sound;
}

// Two at random and the less loaded of them: entries that know only their own
// requests would otherwise all turn to the same endpoint.
static const EndpointCandidate& lessLoadedOfTwo(const Candidates& candidates, Random& random)
{
    std::size_t first = random.below(candidates.size());
    if (candidates.size() == 1)
        return *candidates[first];
    std::size_t second = random.below(candidates.size() - 1);
    if (second >= first)
        ++second;
    bool isSecondBetter = candidates[second]->inFlight < candidates[first]->inFlight;
    return isSecondBetter ? *candidates[second] : *candidates[first];
}

static double meanInFlight(const Candidates& candidates)
{
    double sum = 0;
    for (const EndpointCandidate* candidate : candidates)
        sum += candidate->inFlight;
    return sum / static_cast<double>(candidates.size());
}

std::uint64_t ownershipScore(absl::string_view incarnation, absl::string_view sharedPart)
{
    return stableHash(incarnation, stableHash(sharedPart));
}

// Rendezvous hashing: when an endpoint goes, only its own shared parts move.
static const EndpointCandidate* ownerOf(const std::string& sharedPart, const Candidates& candidates)
{
    double limit = meanInFlight(candidates) * maxLoadRatio + maxLoadExcess;
    const EndpointCandidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const EndpointCandidate* candidate : candidates) {
        std::uint64_t score = ownershipScore(candidate->incarnation, sharedPart);
        bool isOverloaded = candidate->inFlight > limit;
        if (isOverloaded || (best && score <= bestScore))
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
    Candidates sound = withoutSuspects(candidates);
    const EndpointCandidate* owner = demand.sharedPart.empty() ? nullptr : ownerOf(demand.sharedPart, sound);
    return owner ? owner->index : lessLoadedOfTwo(sound, random).index;
}

} // namespace catkinwing
