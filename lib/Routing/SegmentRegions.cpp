#include "catkinwing/Routing/SegmentRegions.h"

namespace catkinwing {

/// Time after its last use at which a segment has probably been evicted. An engine
/// with a cache of 300,000 tokens that prefills 20,000 tokens per second keeps an
/// unused segment for about as long.
static constexpr std::chrono::seconds segmentLifetime { 10 };
/// Maximum number of recorded segments. Beyond it all records are dropped; new
/// dispatches restore them within seconds.
static constexpr std::size_t maxSegments = 32'768;

void SegmentRegions::recordSent(std::uint32_t segment, std::uint32_t region, TimePoint now)
{
    if (m_uses.size() >= maxSegments)
        m_uses.clear();
    m_uses[segment] = { region, now };
}

std::optional<std::uint32_t> SegmentRegions::regionOf(std::uint32_t segment, TimePoint now) const
{
    auto found = m_uses.find(segment);
    if (found == m_uses.end() || now - found->second.at > segmentLifetime)
        return std::nullopt;
    return found->second.region;
}

} // namespace catkinwing
