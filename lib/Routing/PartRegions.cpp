#include "catkinwing/Routing/PartRegions.h"

namespace catkinwing {

/// A part that nobody here has sent for this long has probably been pushed out:
/// an engine of 300,000 tokens that reads 20,000 a second keeps it so long.
static constexpr std::chrono::seconds keptUnused { 10 };
/// Parts that are remembered; beyond it all are learnt anew within seconds.
static constexpr std::size_t maxParts = 32'768;

void PartRegions::noteSent(std::uint32_t part, std::uint32_t region, TimePoint now)
{
    if (m_uses.size() >= maxParts)
        m_uses.clear();
    m_uses[part] = { region, now };
}

std::optional<std::uint32_t> PartRegions::regionOf(std::uint32_t part, TimePoint now) const
{
    auto found = m_uses.find(part);
    if (found == m_uses.end() || now - found->second.at > keptUnused)
        return std::nullopt;
    return found->second.region;
}

} // namespace catkinwing
