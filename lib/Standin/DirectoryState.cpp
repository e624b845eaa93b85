#include "catkinwing/Standin/DirectoryState.h"

#include <utility>

namespace catkinwing::standin {

void DirectoryState::registerService(ServiceEntry entry, TimePoint now)
{
    Change change;
    change.entry = std::move(entry);
    enqueue(std::move(change), now);
}

void DirectoryState::deregister(const std::string& node, const std::string& id, TimePoint now)
{
    Change change;
    change.node = node;
    change.id = id;
    enqueue(std::move(change), now);
}

void DirectoryState::enqueue(Change change, TimePoint now)
{
    change.due = now + m_lag;
    m_pending.push_back(std::move(change));
    update(now);
}

void DirectoryState::update(TimePoint now)
{
    while (!m_pending.empty() && m_pending.front().due <= now) {
        apply(m_pending.front());
        m_pending.pop_front();
    }
}

std::optional<TimePoint> DirectoryState::nextUpdate() const
{
    if (m_pending.empty())
        return std::nullopt;
    return m_pending.front().due;
}

void DirectoryState::apply(const Change& change)
{
    ++m_index;
    if (change.entry)
        insert(*change.entry);
    else
        remove(change.node, change.id);
}

void DirectoryState::insert(ServiceEntry entry)
{
    auto key = std::make_pair(entry.node, entry.id);
    auto found = m_entries.find(key);
    bool isNew = found == m_entries.end();
    // An id that changes its name leaves the list of the old one.
    if (!isNew && found->second.name != entry.name)
        m_indexes[found->second.name] = m_index;
    entry.createIndex = isNew ? m_index : found->second.createIndex;
    entry.modifyIndex = m_index;
    m_indexes[entry.name] = m_index;
    m_entries[key] = std::move(entry);
}

void DirectoryState::remove(const std::string& node, const std::string& id)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        bool isMeant = entry->first.first == node && (id.empty() || entry->first.second == id);
        if (!isMeant) {
            ++entry;
            continue;
        }
        m_indexes[entry->second.name] = m_index;
        entry = m_entries.erase(entry);
    }
}

std::vector<ServiceEntry> DirectoryState::list(const std::string& name) const
{
    std::vector<ServiceEntry> entries;
    for (const auto& entry : m_entries) {
        if (entry.second.name == name)
            entries.push_back(entry.second);
    }
    return entries;
}

std::uint64_t DirectoryState::indexOf(const std::string& name) const
{
    auto found = m_indexes.find(name);
    return found == m_indexes.end() ? 1 : found->second;
}

} // namespace catkinwing::standin
