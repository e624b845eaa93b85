#include "catkinwing/Routing/EndpointChoice.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <vector>

namespace catkinwing {

/// The owner of a shared part is passed over once it has this many more tokens
/// to read than the mean, in thousands: that is some half a second of reading,
/// while a long shared part read elsewhere takes 0.2 s and is paid for.
static constexpr double maxUnreadExcess = 32.0;
/// Reading a thousand tokens takes an engine some 11 to 16 ms, in which a short
/// request's first event waits as long as behind two other short ones.
static constexpr double requestsPerKilotoken = 2.0;

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
    bool isSecondBetter = endpointLoad(candidates[second]->work) < endpointLoad(candidates[first]->work);
    return isSecondBetter ? *candidates[second] : *candidates[first];
}

double endpointLoad(const EndpointWork& work)
{
    return work.requests + work.unreadKilotokens * requestsPerKilotoken;
}

static double meanUnread(const Candidates& candidates)
{
    double sum = 0;
    for (const EndpointCandidate* candidate : candidates)
        sum += candidate->work.unreadKilotokens;
    return sum / static_cast<double>(candidates.size());
}

std::uint64_t ownershipScore(absl::string_view incarnation, absl::string_view sharedPart)
{
    return stableHash(incarnation, stableHash(sharedPart));
}

// Rendezvous hashing: when an endpoint goes, only its own shared parts move.
static const EndpointCandidate* ownerOf(const std::string& sharedPart, const Candidates& candidates)
{
    double limit = meanUnread(candidates) + maxUnreadExcess;
    const EndpointCandidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const EndpointCandidate* candidate : candidates) {
        std::uint64_t score = ownershipScore(candidate->incarnation, sharedPart);
        bool isOverloaded = candidate->work.unreadKilotokens > limit;
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
