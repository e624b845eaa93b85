#pragma once

#include "catkinwing/Routing/CellView.h"
#include "catkinwing/Routing/CostModel.h"
#include "catkinwing/Routing/PrefixIndex.h"
#include "catkinwing/Routing/ResidencyFilter.h"
#include "catkinwing/Routing/RoutingPolicy.h"
#include "catkinwing/Support/Random.h"
#include <variant>

namespace catkinwing {

/// The properties of a request that routing decisions depend on.
struct RoutingRequest {
    std::string model;
    /// Adapter to apply to the model; empty for none.
    std::string adapter;
    /// Intersection of all residencies that apply to the request.
    Residency residency;
    /// Prefix hashes of the prompt, as returned by scopedPrefixHashes.
    std::vector<std::uint64_t> prefixHashes;
    double promptTokens { 0 };
    /// Names of the endpoints that earlier attempts used.
    std::vector<std::string> triedEndpoints;
    /// Number of times that the request was forwarded.
    unsigned hop { 0 };
    /// Zones that handled the request before this one.
    std::vector<std::string> visitedZones;
    /// Time until the caller's deadline, if known.
    std::optional<Duration> timeLeft;
    /// Sequence number of this entry's decisions. Only round robin uses it.
    std::uint64_t sequence { 0 };
};

/// An endpoint chosen for a request.
struct Placement {
    EndpointHandle endpoint { 0 };
    Duration predictedTimeToFirstToken { 0 };
    /// Tokens expected to be prefilled. To be passed to CellView::recordDispatch.
    double prefillTokens { 0 };
    /// Tokens expected in the prefix cache.
    double cachedTokens { 0 };
};

/// Why no endpoint of the cell was chosen.
enum class NoPlacementReason {
    /// The request may not be processed in this region.
    OutsideResidency,
    /// No endpoint of the cell serves the model.
    UnknownModel,
    /// Every endpoint of the model is leaving.
    AllLeaving,
    /// Every endpoint of the model is leaving or ejected.
    AllUnhealthy,
    /// Every live endpoint of the model is at this entry's in-flight limit.
    NoSlot,
    /// Every endpoint with free capacity was used by an earlier attempt.
    AllTried
};

/// The result if no endpoint of the cell can be chosen.
struct NoPlacement {
    NoPlacementReason reason { NoPlacementReason::UnknownModel };
};

using PlacementResult = std::variant<Placement, NoPlacement>;

/// Chooses an endpoint of \p cell for \p request by RoutingPolicy::algorithm.
/// Checks residency before anything else.
PlacementResult choosePlacement(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, const RoutingPolicy& policy, Random& random, TimePoint now);

/// Returns why no endpoint of \p cell can accept \p request, or nothing if one
/// can. Doesn't consider which endpoints earlier attempts used.
std::optional<NoPlacementReason> findNoPlacementReason(const RoutingRequest& request, const CellView& cell);

/// Returns whether an earlier attempt of \p request used the endpoint \p name.
bool wasTried(const RoutingRequest& request, absl::string_view name);

/// Returns whether \p endpoint must load the request's adapter first.
bool needsAdapterLoad(const RoutingRequest& request, const EndpointView& endpoint);

/// Returns the name of \p reason as used in reports, such as "no-slot".
const char* toString(NoPlacementReason reason);

} // namespace catkinwing
