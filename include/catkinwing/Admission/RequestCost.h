#pragma once

namespace catkinwing {

/// Components of the cost of a request, in tokens.
struct RequestCostInputs {
    double promptTokens { 0 };
    /// Prompt tokens expected in the cache of the endpoints. More than promptTokens
    /// counts as all of them.
    double cachedTokens { 0 };
    double expectedOutputTokens { 0 };
    /// Cost of one output token, in prefill tokens.
    double outputWeight { 4 };
};

/// Returns the cost in tokens: uncached prompt tokens + outputWeight x expected
/// output tokens. The cost is at least one, so that no request is free.
double estimateCost(const RequestCostInputs&);

} // namespace catkinwing
