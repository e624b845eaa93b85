#include "catkinwing/Standin/EngineCache.h"

#include <utility>

namespace catkinwing::standin {

void CacheEventLog::append(CacheEventKind kind, std::vector<std::uint64_t> hashes, TimePoint now)
{
    Entry entry;
    entry.event = CacheEvent { ++m_lastSequence, kind, std::move(hashes) };
    entry.publishedAt = now + m_settings.lag;
    entry.isLost = m_settings.gapRate > 0 && m_random.unit() < m_settings.gapRate;
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_settings.maxKept)
        m_entries.pop_front();
}

CacheEventPage CacheEventLog::read(std::uint64_t after, TimePoint now) const
{
    CacheEventPage page;
    page.first = m_entries.empty() ? m_lastSequence + 1 : m_entries.front().event.sequence;
    page.next = page.first;
    for (const Entry& entry : m_entries) {
        if (entry.publishedAt > now)
            break;
        page.next = entry.event.sequence + 1;
        if (!entry.isLost && entry.event.sequence > after)
            page.events.push_back(entry.event);
    }
    return page;
}

std::size_t EngineCache::countCached(const std::vector<std::uint64_t>& hashes) const
{
    std::size_t count = 0;
    while (count < hashes.size() && m_blocks.count(hashes[count]) != 0)
        ++count;
    return count;
}

EngineCache::Change EngineCache::store(const std::vector<std::uint64_t>& hashes)
{
    Change change;
    // Backwards, so that the end of a prefix is evicted before its beginning.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        auto found = m_blocks.find(*hash);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(*hash);
        m_blocks[*hash] = m_order.begin();
        change.stored.insert(change.stored.begin(), *hash);
    }
    while (m_blocks.size() > m_capacity) {
        change.evicted.push_back(m_order.back());
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
    return change;
}

} // namespace catkinwing::standin
