#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include "catkinwing/Routing/RoutingPolicy.h"

namespace catkinwing {

/// The request-dependent inputs of a cost prediction for one endpoint.
struct CostInputs {
    double promptTokens { 0 };
    /// Prompt tokens expected in the endpoint's prefix cache.
    double cachedTokens { 0 };
    /// True if the endpoint must load the request's adapter first.
    bool needsAdapterLoad { false };
};

/// The terms of a predicted time to first token.
struct CostTerms {
    /// Time to prefill the requests that are ahead in the endpoint's queue.
    Duration queue { 0 };
    /// Wait until the engine has a free slot.
    Duration slotWait { 0 };
    /// Time to prefill the request's own uncached tokens.
    Duration prefill { 0 };
    /// Round-trip time to the endpoint.
    Duration network { 0 };
    Duration adapterLoad { 0 };
    /// Surcharge while the endpoint is in slow start.
    Duration slowStart { 0 };
    /// Sum of all terms above.
    Duration total { 0 };
    /// Uncached prompt tokens of the request.
    double prefillTokens { 0 };
};

/// Estimates the requests in flight at \p endpoint, from this entry and, if the
/// load report is recent enough, from other entries.
unsigned estimatedInFlight(const EndpointView& endpoint, const RoutingPolicy& policy, TimePoint now);

/// Predicts the time to first token of a request at \p endpoint.
CostTerms predictTimeToFirstToken(const EndpointView& endpoint, const CostInputs& inputs, const RoutingPolicy& policy, TimePoint now);

/// Returns the margin within which predictions count as equal to \p best, the
/// shortest prediction, which is that of \p endpoint.
Duration nearBestMargin(Duration best, const EndpointView& endpoint, const RoutingPolicy& policy, TimePoint now);

/// Returns whether \p candidate counts as equal to \p best: its prediction is
/// within \p margin, and it has at most RoutingPolicy::nearBestTokens more tokens
/// to prefill. The second condition keeps the random choice among equal
/// candidates, which spreads the load, from losing cache hits.
bool isNearBest(const CostTerms& candidate, const CostTerms& best, Duration margin, const RoutingPolicy& policy);

} // namespace catkinwing
