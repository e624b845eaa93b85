#pragma once

#include "catkinwing/Routing/CellView.h"
#include "catkinwing/Routing/CostModel.h"
#include "catkinwing/Routing/PrefixIndex.h"
#include "catkinwing/Routing/ResidencyFilter.h"
#include "catkinwing/Routing/RoutingPolicy.h"
#include "catkinwing/Support/Random.h"
#include <variant>

namespace catkinwing {

/// What the choice of a place needs to know of a request.
struct RoutingRequest {
    std::string model;
    /// Adapter to run with; empty for none.
    std::string adapter;
    /// The stricter of all residencies that apply.
    Residency residency;
    /// From scopedPrefixHashes.
    std::vector<std::uint64_t> prefixHashes;
    double promptTokens { 0 };
    /// Endpoints that earlier attempts used, by name.
    std::vector<std::string> triedEndpoints;
    /// Times that the request was forwarded.
    unsigned hop { 0 };
    /// Zones that the request visited before this one.
    std::vector<std::string> visitedZones;
    /// Time until the caller gives up, where it is known.
    std::optional<Duration> timeLeft;
    /// Count of this entry's decisions, which round robin goes by.
    std::uint64_t sequence { 0 };
};

/// An endpoint chosen for a request.
struct Placement {
    EndpointHandle endpoint { 0 };
    Duration predictedTimeToFirstToken { 0 };
    /// Tokens expected to be prefilled; goes into CellView::recordDispatch.
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
    /// Each endpoint of the model is leaving.
    AllLeaving,
    /// Each endpoint of the model is leaving or ejected.
    AllUnhealthy,
    /// Each endpoint that takes new work is at its limit for this entry.
    NoSlot,
    /// Each endpoint with a free slot was tried before.
    AllTried
};

/// Says that no endpoint of the cell was chosen.
struct NoPlacement {
    NoPlacementReason reason { NoPlacementReason::UnknownModel };
};

using PlacementResult = std::variant<Placement, NoPlacement>;

/// Chooses the endpoint of \p cell for \p request by the algorithm that
/// \p policy names. Residency is checked before anything else.
PlacementResult choosePlacement(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, const RoutingPolicy& policy, Random& random, TimePoint now);

/// Returns why no endpoint of \p cell can take \p request, tried ones aside, or
/// nothing where one can.
std::optional<NoPlacementReason> whyNoPlacement(const RoutingRequest& request, const CellView& cell);

/// Returns whether \p request has been sent to the endpoint \p name before.
bool wasTried(const RoutingRequest& request, absl::string_view name);

/// Returns whether \p endpoint must load the request's adapter first.
bool needsAdapterLoad(const RoutingRequest& request, const EndpointView& endpoint);

/// Says in one word why, such as "no-slot", for reports.
const char* toString(NoPlacementReason reason);

} // namespace catkinwing
