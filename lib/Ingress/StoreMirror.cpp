#include "catkinwing/Ingress/StoreMirror.h"

#include <algorithm>

namespace catkinwing {

StoreMirror::StoreMirror(std::size_t maxChanges)
    : m_maxChanges(maxChanges)
{
}

void StoreMirror::takeListing(const StoreListing& listing)
{
    m_values.clear();
    m_changes.clear();
    for (const StoredValue& value : listing.values)
        m_values[value.key] = value;
    m_revision = listing.revision;
    m_completeAfter = listing.revision;
}

void StoreMirror::takeEvents(const std::vector<StoreEvent>& events)
{
    for (const StoreEvent& event : events) {
        const StoredValue& current = event.current;
        // An event may come twice, from a watch that went on elsewhere.
        if (current.revision <= m_completeAfter && current.revision <= m_revision)
            continue;
        if (event.isDeletion)
            m_values.erase(current.key);
        else
            m_values[current.key] = current;
        m_changes.push_back({ current.key, current.value, current.revision, event.isDeletion });
        m_revision = std::max(m_revision, current.revision);
    }
    while (m_changes.size() > m_maxChanges) {
        m_completeAfter = std::max(m_completeAfter, m_changes.front().revision);
        m_changes.pop_front();
    }
}

StoreChanges StoreMirror::everything() const
{
    StoreChanges all;
    all.revision = m_revision;
    for (const auto& [key, value] : m_values)
        all.changes.push_back({ key, value.value, value.revision, false });
    return all;
}

std::optional<StoreChanges> StoreMirror::changesAfter(StoreRevision revision) const
{
    if (m_revision == 0)
        return std::nullopt;
    if (revision == 0)
        return everything();
    if (revision < m_completeAfter)
        return std::nullopt;
    StoreChanges changes;
    // Whoever asks from further on knows more than this entry.
    changes.revision = std::max(m_revision, revision);
    for (const StoreChange& change : m_changes) {
        if (change.revision > revision)
            changes.changes.push_back(change);
    }
    return changes;
}

} // namespace catkinwing
