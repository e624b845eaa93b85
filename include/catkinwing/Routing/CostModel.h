#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include "catkinwing/Routing/RoutingPolicy.h"

namespace catkinwing {

/// What the cost of one request at one endpoint depends on.
struct CostInputs {
    double promptTokens { 0 };
    /// Tokens expected in the endpoint's prefix cache.
    double cachedTokens { 0 };
    /// True where the request's adapter must be loaded first.
    bool needsAdapterLoad { false };
};

/// The parts of a predicted time to first token.
struct CostTerms {
    /// Prefill of others that goes first.
    Duration queue { 0 };
    /// Wait for a slot in the engine.
    Duration slotWait { 0 };
    /// The request's own prefill that is not cached.
    Duration prefill { 0 };
    Duration network { 0 };
    Duration adapterLoad { 0 };
    /// Surcharge while the endpoint is in slow start.
    Duration slowStart { 0 };
    /// Sum of the above.
    Duration total { 0 };
    /// Tokens to be prefilled.
    double prefillTokens { 0 };
};

/// Returns the requests believed to be at \p endpoint, of this entry and others.
unsigned believedInFlight(const EndpointView& endpoint, const RoutingPolicy& policy, TimePoint now);

/// Predicts the time to first token of a request at \p endpoint.
CostTerms predictTimeToFirstToken(const EndpointView& endpoint, const CostInputs& inputs, const RoutingPolicy& policy, TimePoint now);

/// Returns the margin within which predictions count as equal to \p best, the
/// least one, which belongs to \p endpoint.
Duration nearBestMargin(Duration best, const EndpointView& endpoint, const RoutingPolicy& policy, TimePoint now);

/// Returns whether \p candidate counts as equal to \p best: within \p margin, and
/// with no more left to prefill. Random choice spreads the queues; it doesn't
/// give up what is cached.
bool isNearBest(const CostTerms& candidate, const CostTerms& best, Duration margin, const RoutingPolicy& policy);

} // namespace catkinwing
