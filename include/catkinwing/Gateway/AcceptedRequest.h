#pragma once

#include "catkinwing/Config/TeamDocument.h"
#include "catkinwing/Dispatch/Claim.h"
#include "catkinwing/Dispatch/RetryDecision.h"
#include "catkinwing/Http/HttpMessage.h"
#include "catkinwing/Routing/Placement.h"
#include <optional>
#include <string>

namespace catkinwing {

/// A request that was read and found to be in order.
struct AcceptedRequest {
    std::string id;
    HttpRequest http;
    /// Path and query that an endpoint is asked for.
    std::string endpointTarget;
    std::string team;
    /// Revision of the team's document by which it was accepted.
    std::int64_t teamRevision { 0 };
    /// Tells the callers of a team apart.
    std::string caller;
    RequestClass requestClass;
    /// What is placed and queued for; see serviceModelName().
    RoutingRequest routing;
    RequestTraits traits;
    /// Session that the caller named; empty for none.
    std::string session;
    double expectedOutputTokens { 0 };
    /// Cost of an output token in prefill tokens.
    double outputWeight { 1 };
    /// True for a model call, false for a plain service.
    bool isModelCall { false };
    /// Names of the segments of a model call's prompt, in their order.
    std::vector<std::string> promptSegments;
    std::string idempotencyKey;
    /// Claim under which it runs, if it is keyed.
    std::optional<ClaimId> claim;
    TimePoint arrivedAt;
};

} // namespace catkinwing
