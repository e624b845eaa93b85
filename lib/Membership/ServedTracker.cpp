#include "ServedTracker.h"

namespace catkinwing {

std::uint64_t ServedTracker::increment(const TeamTokens& total)
{
    auto known = m_totals.find(total.team);
    std::uint64_t first = m_isComplete ? 0 : total.tokens;
    std::uint64_t before = known == m_totals.end() ? first : known->second;
    m_totals[total.team] = total.tokens;
    return total.tokens < before ? 0 : total.tokens - before;
}

} // namespace catkinwing
