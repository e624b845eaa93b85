#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Another region that is eligible for a request.
struct RegionOption {
    std::string region;
    /// Predicted wait for an endpoint in the region; nothing if unknown.
    std::optional<Duration> wait;
    /// Network delay to the region. The delay occupies no capacity, so it affects
    /// the choice of the region but is not compared with the maximum wait.
    Duration networkDelay { 0 };
    /// Predicted duration of the response there, from its first byte.
    Duration responseDuration { 0 };
};

/// Properties of the request and the local region that affect the choice.
struct RegionDemand {
    /// Predicted wait in the local region; nothing if unknown or if no local
    /// endpoint accepts the request.
    std::optional<Duration> localWait;
    /// Predicted duration of the response here, from its first byte.
    Duration localResponseDuration { 0 };
    /// Whether local endpoints may accept the request, even if the wait is
    /// unknown.
    bool mayAcceptLocally { false };
    /// Maximum wait for an endpoint, in any region.
    Duration maxWait { 0 };
};

enum class RegionVerdict {
    Local,
    /// Forward to the region named in the choice.
    Forward,
    /// The wait exceeds the maximum in every region.
    Refuse,
    /// Some waits are unknown, so the endpoints and regions have to be queried.
    Query,
};

struct RegionChoice {
    RegionVerdict verdict { RegionVerdict::Query };
    std::string region;
};

/// Chooses the region for a request that has not been dispatched yet. Requests
/// stay in the local region while their wait is short and responses take no longer
/// than elsewhere. Beyond that, a growing share of them is forwarded to regions
/// that complete them sooner. Sharing by probability keeps entries with the same
/// view from switching regions all at once.
RegionChoice chooseRegion(const RegionDemand& demand, const std::vector<RegionOption>& others, Random& random);

} // namespace catkinwing
