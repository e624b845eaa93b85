#pragma once

#include <cstdint>

namespace catkinwing {

/// Tokens of cache memory that requests in flight at an endpoint may take.
struct HeldMemory {
    /// Those of this entry.
    std::int64_t ownTokens { 0 };
    /// Those of the other entries, as last reported.
    std::int64_t otherTokens { 0 };
};

/// Returns whether an endpoint with \p capacity tokens of cache memory has room for a request that
/// takes \p needed. Always true if the capacity is unknown (zero).
bool hasMemoryFor(const HeldMemory& held, std::int64_t needed, std::int64_t capacity);
/// Returns whether a request could run at an endpoint that runs nothing else.
bool fitsMemory(std::int64_t needed, std::int64_t capacity);

} // namespace catkinwing
