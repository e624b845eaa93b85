#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Another region that may take a request.
struct RegionOption {
    std::string region;
    /// How long the request would wait there for an endpoint; nothing if that
    /// isn't known.
    std::optional<Duration> wait;
    /// What the way there adds. It makes no request wait behind another, so it
    /// counts for the choice and not for whether there is room.
    Duration way { 0 };
    /// How long its answer would take once it has begun.
    Duration lasts { 0 };
};

/// What the choice depends on beside the other regions.
struct RegionDemand {
    /// How long the request would wait here; nothing if that isn't known or no
    /// endpoint here takes it.
    std::optional<Duration> waitHere;
    /// How long its answer would take here once it has begun.
    Duration lastsHere { 0 };
    /// Endpoints here may take it, though how soon isn't known.
    bool mayAskHere { false };
    Duration longestWait { 0 };
};

enum class RegionVerdict {
    Here,
    /// In the region that the choice names.
    Away,
    /// It would wait too long everywhere.
    Nowhere,
    /// Too little is known; the endpoints and regions have to be asked.
    Ask,
};

struct RegionChoice {
    RegionVerdict verdict { RegionVerdict::Ask };
    std::string region;
};

/// Chooses the region for a request that has not been sent yet. Requests stay
/// as long as they wait for little and their answers take no longer than
/// elsewhere; beyond that a growing part of them goes to where they are answered
/// sooner, so that entries with the same view don't all turn at the same moment.
RegionChoice chooseRegion(const RegionDemand& demand, const std::vector<RegionOption>& others, Random& random);

} // namespace catkinwing
