#include "catkinwing/Routing/EndpointChoice.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <vector>

namespace catkinwing {

/// The owner of a shared part is passed over once its wait is longer than the
/// mean by this many times the time of reading the part again: that reading also
/// delays all others there, and pushes other parts out of the memory.
static constexpr double readingsBorne = 4;
/// Beyond the longest wait it is waited for by this many times that time.
static constexpr double readingsBeyond = 2;
/// Waits that differ by less than this are alike; short parts would otherwise
/// never be read where they lie.
static constexpr std::chrono::milliseconds waitBorne { 100 };

namespace {

    using Candidates = std::vector<const EndpointCandidate*>;

} // namespace

static Candidates withoutSuspects(absl::Span<const EndpointCandidate> candidates)
{
    Candidates sound;
    Candidates all;
    for (const EndpointCandidate& candidate : candidates) {
        all.push_back(&candidate);
        if (!candidate.isSuspect)
            sound.push_back(&candidate);
    }
    return sound.empty() ? all : sound;
}

static Candidates withoutBusy(Candidates candidates)
{
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [](const auto* candidate) { return candidate->isTooBusy; }), candidates.end());
    return candidates;
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
    bool isSecondBetter = candidates[second]->load < candidates[first]->load;
    return isSecondBetter ? *candidates[second] : *candidates[first];
}

// Among many endpoints one is always idle, so that the shortest wait would say
// nothing of what a request meets elsewhere.
static Duration meanWait(const Candidates& candidates)
{
    Duration sum { 0 };
    for (const EndpointCandidate* candidate : candidates)
        sum += candidate->wait;
    return sum / candidates.size();
}

Duration longestWaitForOwner(const EndpointDemand& demand)
{
    if (demand.longestWait == Duration::max())
        return demand.longestWait;
    return demand.longestWait + std::chrono::duration_cast<Duration>(demand.readingAgain * readingsBeyond);
}

std::uint64_t ownershipScore(absl::string_view incarnation, absl::string_view sharedPart)
{
    return stableHash(incarnation, stableHash(sharedPart));
}

// Those of the endpoints that may be asked for a shared part.
static Candidates withoutOverloaded(const EndpointDemand& demand, Candidates candidates)
{
    auto borne = std::chrono::duration_cast<Duration>(demand.readingAgain * readingsBorne) + waitBorne;
    Duration limit = std::min(meanWait(candidates) + borne, longestWaitForOwner(demand));
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [limit](const auto* candidate) { return candidate->wait > limit; }), candidates.end());
    return candidates;
}

// An owner that has come back, or a new one, doesn't keep what was read
// elsewhere meanwhile.
static const EndpointCandidate* leastBusyHolder(const Candidates& candidates)
{
    const EndpointCandidate* best = nullptr;
    for (const EndpointCandidate* candidate : candidates) {
        if (candidate->holdsPart && (!best || candidate->wait < best->wait))
            best = candidate;
    }
    return best;
}

// Rendezvous hashing: when an endpoint goes, only its own shared parts move.
static const EndpointCandidate* ownerOf(const EndpointDemand& demand, const Candidates& candidates)
{
    const EndpointCandidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const EndpointCandidate* candidate : candidates) {
        std::uint64_t score = ownershipScore(candidate->incarnation, demand.sharedPart);
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
    Candidates sound = withoutSuspects(candidates);
    if (!demand.sharedPart.empty()) {
        Candidates ready = withoutOverloaded(demand, sound);
        const EndpointCandidate* holder = leastBusyHolder(ready);
        if (const EndpointCandidate* chosen = holder ? holder : ownerOf(demand, ready))
            return chosen->index;
    }
    Candidates free = withoutBusy(std::move(sound));
    if (free.empty())
        return std::nullopt;
    return lessLoadedOfTwo(free, random).index;
}

} // namespace catkinwing
