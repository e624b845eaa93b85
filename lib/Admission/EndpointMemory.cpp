#include "catkinwing/Admission/EndpointMemory.h"

#include <algorithm>

namespace catkinwing {

/// Fraction of the memory that requests may take together. Reports are up to 0.2 s old, in which
/// time other entries send a few requests to the same endpoint.
static constexpr double usableFraction = 0.9;

bool hasMemoryFor(const HeldMemory& held, std::int64_t needed, std::int64_t capacity)
{
    if (capacity <= 0)
        return true;
    std::int64_t own = std::max<std::int64_t>(held.ownTokens, 0);
    std::int64_t others = std::max<std::int64_t>(held.otherTokens, 0);
    // An endpoint that runs nothing takes any request that it can hold at all.
    if (own == 0 && others == 0)
        return fitsMemory(needed, capacity);
    double sum = static_cast<double>(own) + static_cast<double>(others) + static_cast<double>(std::max<std::int64_t>(needed, 0));
    return sum <= static_cast<double>(capacity) * usableFraction;
}

bool fitsMemory(std::int64_t needed, std::int64_t capacity)
{
    return capacity <= 0 || needed <= capacity;
}

} // namespace catkinwing
