#pragma once

#include "catkinwing/Routing/Placement.h"

namespace catkinwing {

/// Why an endpoint is not a candidate.
enum class ExclusionReason { Leaving,
    Ejected,
    NoSlot,
    AlreadyTried };

/// The scoring of one endpoint in a placement decision.
struct CandidateExplanation {
    std::string endpoint;
    /// Set if the endpoint is not a candidate; \c terms is unused then.
    std::optional<ExclusionReason> exclusion;
    CostTerms terms;
    double cachedTokens { 0 };
    /// True if the endpoint counts as equal to the best one. The choice among
    /// these endpoints is random.
    bool nearBest { false };
};

/// The scoring of one placement decision.
struct PlacementExplanation {
    /// Set if no endpoint can be chosen.
    std::optional<NoPlacementReason> noPlacement;
    /// Margin within which predictions count as equal.
    Duration margin { 0 };
    /// The endpoints of the model, best first, excluded ones last.
    std::vector<CandidateExplanation> candidates;
};

/// Explains how choosePlacement scores the endpoints of \p cell for \p request
/// when it predicts the time to first token. Scores all candidates, whereas
/// choosePlacement scores only a sample in large cells.
PlacementExplanation explainPlacement(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, const RoutingPolicy& policy, TimePoint now);

/// Returns the name of \p reason as used in reports, such as "leaving".
const char* toString(ExclusionReason reason);

} // namespace catkinwing
