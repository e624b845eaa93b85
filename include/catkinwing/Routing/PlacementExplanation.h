#pragma once

#include "catkinwing/Routing/Placement.h"

namespace catkinwing {

/// Why an endpoint was no candidate.
enum class ExclusionReason { Leaving,
    Ejected,
    NoSlot,
    AlreadyTried };

/// One endpoint of the model and its place in the decision.
struct CandidateExplanation {
    std::string endpoint;
    /// Set where the endpoint was left out; there are no terms then.
    std::optional<ExclusionReason> exclusion;
    CostTerms terms;
    double cachedTokens { 0 };
    /// True where the endpoint is within the margin of the best, so that the
    /// choice among these is random.
    bool nearBest { false };
};

/// The scoring of one decision as data.
struct PlacementExplanation {
    /// Set where no endpoint can be chosen.
    std::optional<NoPlacementReason> noPlacement;
    /// Margin within which predictions count as equal.
    Duration margin { 0 };
    /// The endpoints of the model, best first, those left out last.
    std::vector<CandidateExplanation> candidates;
};

/// Explains where choosePlacement would send \p request, by the same scoring.
/// All candidates are scored; in large cells choosePlacement scores a sample.
PlacementExplanation explainPlacement(const RoutingRequest& request, const CellView& cell, const PrefixIndex& prefixes, const RoutingPolicy& policy, TimePoint now);

/// Says in one word why, such as "leaving", for reports.
const char* toString(ExclusionReason reason);

} // namespace catkinwing
