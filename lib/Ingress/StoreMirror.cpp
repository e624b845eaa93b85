#include "catkinwing/Ingress/StoreMirror.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace catkinwing {

StoreMirror::StoreMirror(std::size_t maxChanges)
    : m_maxChanges(maxChanges)
{
}

bool StoreMirror::isUnchanged(const StoredValue& before, const StoredValue& value)
{
    return before.revision.number == value.revision.number && before.value == value.value;
}

// After a compaction or in a new era the events since the last received one are lost, and
// every entry that waits at this one would have to list the store. Their net effect follows
// from the listing: the keys written since, and the keys that no longer exist. In a new era
// all revisions are later than the known ones, but most keys are as they were.
void StoreMirror::recordDifferences(const StoreListing& listing)
{
    std::vector<StoreChange> changes;
    std::map<std::string, StoredValue> removed = std::exchange(m_values, {});
    for (const StoredValue& value : listing.values) {
        auto before = removed.find(value.key);
        bool wasCopied = before != removed.end() && before->second.revision.era < value.revision.era && isUnchanged(before->second, value);
        if (value.revision > m_revision && !wasCopied)
            changes.push_back({ value.key, value.value, value.revision, false });
        if (before != removed.end())
            removed.erase(before);
        m_values[value.key] = value;
    }
    for (const auto& [key, value] : removed)
        changes.push_back({ key, "", listing.revision, true });
    std::stable_sort(changes.begin(), changes.end(), [](const StoreChange& a, const StoreChange& b) { return a.revision < b.revision; });
    m_changes.insert(m_changes.end(), changes.begin(), changes.end());
}

void StoreMirror::applyListing(const StoreListing& listing)
{
    if (listing.revision < m_revision)
        return;
    bool isFirst = m_revision == StoreRevision {};
    recordDifferences(listing);
    // The differences cover only the last gap. An entry whose revision is before an
    // earlier gap would miss changes.
    if (m_revisionBeforeListing < m_listedRevision)
        m_completeAfter = std::max(m_completeAfter, m_listedRevision);
    m_revisionBeforeListing = m_revision;
    m_revision = listing.revision;
    m_listedRevision = listing.revision;
    if (isFirst) {
        m_changes.clear();
        m_completeAfter = listing.revision;
        m_firstEra = listing.revision.era;
    }
    trim();
}

void StoreMirror::applyEvents(const std::vector<StoreEvent>& events)
{
    for (const StoreEvent& event : events) {
        const StoredValue& current = event.current;
        // An event may arrive twice, after the watch has resumed at another source.
        if (current.revision <= std::max(m_completeAfter, m_listedRevision))
            continue;
        if (event.isDeletion)
            m_values.erase(current.key);
        else
            m_values[current.key] = current;
        m_changes.push_back({ current.key, current.value, current.revision, event.isDeletion });
        m_revision = std::max(m_revision, current.revision);
    }
    trim();
}

void StoreMirror::recordGap(StoreRevision before, StoreRevision listed)
{
    if (m_revisionBeforeListing < m_listedRevision)
        m_completeAfter = std::max(m_completeAfter, m_listedRevision);
    m_revisionBeforeListing = before;
    m_listedRevision = listed;
    m_revision = std::max(m_revision, listed);
}

void StoreMirror::trim()
{
    while (m_changes.size() > m_maxChanges) {
        m_completeAfter = std::max(m_completeAfter, m_changes.front().revision);
        m_changes.pop_front();
    }
}

StoreChanges StoreMirror::allValues() const
{
    StoreChanges all;
    all.revision = m_revision;
    for (const auto& [key, value] : m_values)
        all.changes.push_back({ key, value.value, value.revision, false });
    return all;
}

std::optional<StoreChanges> StoreMirror::changesAfter(StoreRevision revision) const
{
    if (m_revision == StoreRevision {})
        return std::nullopt;
    if (revision == StoreRevision {})
        return allValues();
    if (revision < m_completeAfter)
        return std::nullopt;
    // An entry whose revision is inside the gap may know keys that were created and
    // deleted in the gap, which the differences don't contain.
    if (m_revisionBeforeListing < revision && revision < m_listedRevision)
        return std::nullopt;
    StoreChanges changes;
    // The requesting entry may be at a later revision than this one.
    changes.revision = std::max(m_revision, revision);
    changes.spansListing = revision < m_listedRevision;
    for (const StoreChange& change : m_changes) {
        if (change.revision > revision)
            changes.changes.push_back(change);
    }
    return changes;
}

} // namespace catkinwing
