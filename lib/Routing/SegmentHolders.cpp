#include "catkinwing/Routing/SegmentHolders.h"

#include "catkinwing/Routing/ResponseTimes.h"
#include "catkinwing/Support/Hash.h"
#include <algorithm>

namespace catkinwing {

/// Fraction of an engine's cache that is available for segments that no running
/// request uses. The rest is taken by running requests and by prompts that aren't
/// announced to the other entries.
static constexpr double segmentCacheFraction = 0.6;
/// Default for engines that don't state their cache size.
static constexpr std::int64_t defaultCacheTokens = 300'000;
/// Maximum number of recorded segments, of about 40 bytes each: enough for three
/// hundred engines with a hundred segments each.
static constexpr std::size_t maxSegments = 32'768;

std::uint32_t segmentHash(absl::string_view sharedSegment)
{
    return static_cast<std::uint32_t>(stableHash(sharedSegment));
}

bool SegmentHolders::isCached(const Holder& holder) const
{
    auto stored = m_stored.find(holder.endpoint);
    return stored == m_stored.end() || stored->second <= holder.evictionThreshold;
}

SegmentHolders::SegmentHolders()
{
    setCacheSize(defaultCacheTokens);
}

void SegmentHolders::setCacheSize(std::int64_t tokens)
{
    if (tokens > 0)
        m_segmentCapacity = static_cast<std::uint64_t>(static_cast<double>(tokens) * segmentCacheFraction / tokensPerKilotoken);
}

void SegmentHolders::recordSent(std::uint32_t endpoint, std::uint32_t segment, std::uint32_t kilotokens)
{
    if (m_holders.size() >= maxSegments)
        removeEvictedSegments();
    std::uint64_t& stored = m_stored[endpoint];
    stored += kilotokens;
    std::uint64_t evictionThreshold = stored + m_segmentCapacity;
    Holders& holders = m_holders[segment];
    auto known = std::find_if(holders.begin(), holders.end(), [endpoint](const Holder& holder) { return holder.endpoint == endpoint; });
    if (known != holders.end())
        known->evictionThreshold = evictionThreshold;
    else
        holders.push_back({ endpoint, evictionThreshold });
}

void SegmentHolders::remove(std::uint32_t endpoint, std::uint32_t segment)
{
    auto found = m_holders.find(segment);
    if (found == m_holders.end())
        return;
    Holders& holders = found->second;
    holders.erase(std::remove_if(holders.begin(), holders.end(), [endpoint](const Holder& holder) { return holder.endpoint == endpoint; }), holders.end());
    if (holders.empty())
        m_holders.erase(found);
}

bool SegmentHolders::holds(std::uint32_t endpoint, std::uint32_t segment) const
{
    auto found = m_holders.find(segment);
    if (found == m_holders.end())
        return false;
    const Holders& holders = found->second;
    return std::any_of(holders.begin(), holders.end(), [&](const Holder& holder) { return holder.endpoint == endpoint && isCached(holder); });
}

// Removes the records of segments that count as evicted. Those of removed endpoints never
// do, since these endpoints cache nothing more. If too many segments remain, all records are dropped; new dispatches
// restore them within seconds.
void SegmentHolders::removeEvictedSegments()
{
    for (auto segment = m_holders.begin(); segment != m_holders.end();) {
        Holders& holders = segment->second;
        holders.erase(std::remove_if(holders.begin(), holders.end(), [this](const Holder& holder) { return !isCached(holder); }), holders.end());
        if (holders.empty())
            m_holders.erase(segment++);
        else
            ++segment;
    }
    if (m_holders.size() < maxSegments)
        return;
    m_holders.clear();
    m_stored.clear();
}

} // namespace catkinwing
