#include "catkinwing/Routing/PartHolders.h"

#include "catkinwing/Routing/AnswerTimes.h"
#include "catkinwing/Support/Hash.h"
#include <algorithm>

namespace catkinwing {

/// Fraction of an engine's cache that is available for segments that no running
/// request uses. The rest is taken by running requests and by prompts that aren't
/// announced to the other entries.
static constexpr double memoryForParts = 0.6;
/// Default for engines that don't state their cache size.
static constexpr std::int64_t usualMemoryTokens = 300'000;
/// Maximum number of recorded segments, of about 40 bytes each: enough for three
/// hundred engines with a hundred segments each.
static constexpr std::size_t maxParts = 32'768;

std::uint32_t partHash(absl::string_view sharedPart)
{
    return static_cast<std::uint32_t>(stableHash(sharedPart));
}

bool PartHolders::isKept(const Holder& holder) const
{
    auto stored = m_stored.find(holder.endpoint);
    return stored == m_stored.end() || stored->second <= holder.keptUntil;
}

PartHolders::PartHolders()
{
    setMemory(usualMemoryTokens);
}

void PartHolders::setMemory(std::int64_t tokens)
{
    if (tokens > 0)
        m_room = static_cast<std::uint64_t>(static_cast<double>(tokens) * memoryForParts / tokensPerKilotoken);
}

void PartHolders::noteSent(std::uint32_t endpoint, std::uint32_t part, std::uint32_t kilotokens)
{
    if (m_holders.size() >= maxParts)
        dropStale();
    std::uint64_t& stored = m_stored[endpoint];
    stored += kilotokens;
    std::uint64_t keptUntil = stored + m_room;
    Holders& holders = m_holders[part];
    auto known = std::find_if(holders.begin(), holders.end(), [endpoint](const Holder& holder) { return holder.endpoint == endpoint; });
    if (known != holders.end())
        known->keptUntil = keptUntil;
    else
        holders.push_back({ endpoint, keptUntil });
}

void PartHolders::forget(std::uint32_t endpoint, std::uint32_t part)
{
    auto found = m_holders.find(part);
    if (found == m_holders.end())
        return;
    Holders& holders = found->second;
    holders.erase(std::remove_if(holders.begin(), holders.end(), [endpoint](const Holder& holder) { return holder.endpoint == endpoint; }), holders.end());
    if (holders.empty())
        m_holders.erase(found);
}

bool PartHolders::holds(std::uint32_t endpoint, std::uint32_t part) const
{
    auto found = m_holders.find(part);
    if (found == m_holders.end())
        return false;
    const Holders& holders = found->second;
    return std::any_of(holders.begin(), holders.end(), [&](const Holder& holder) { return holder.endpoint == endpoint && isKept(holder); });
}

// Segments of removed endpoints never become stale, since those endpoints cache
// nothing more. If too many segments remain, all records are dropped; new dispatches
// restore them within seconds.
void PartHolders::dropStale()
{
    for (auto part = m_holders.begin(); part != m_holders.end();) {
        Holders& holders = part->second;
        holders.erase(std::remove_if(holders.begin(), holders.end(), [this](const Holder& holder) { return !isKept(holder); }), holders.end());
        if (holders.empty())
            m_holders.erase(part++);
        else
            ++part;
    }
    if (m_holders.size() < maxParts)
        return;
    m_holders.clear();
    m_stored.clear();
}

} // namespace catkinwing
