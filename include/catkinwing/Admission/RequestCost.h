#pragma once

namespace catkinwing {

/// What the cost of a request is made of, in tokens.
struct RequestCostInputs {
    double promptTokens { 0 };
    /// Prompt tokens expected in the cache of the endpoints; at most the prompt's.
    double cachedTokens { 0 };
    double expectedOutputTokens { 0 };
    /// Cost of one output token in prefill tokens.
    double outputWeight { 4 };
};

/// Returns the cost in tokens: prefill not cached + weight x expected output; at
/// least one, so that no request is free.
double estimateCost(const RequestCostInputs&);

} // namespace catkinwing
