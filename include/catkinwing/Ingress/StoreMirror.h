#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/PeerProtocol/StoreChanges.h"
#include <deque>
#include <map>
#include <optional>

namespace catkinwing {

/// What this entry has seen of the store, kept for other entries: every key as
/// it is, and the last changes in their order.
class StoreMirror {
public:
    /// \p maxChanges bounds the changes that are kept.
    explicit StoreMirror(std::size_t maxChanges = 4'096);

    /// Takes a whole listing. What it says differently than before counts as
    /// changes, so that an entry that knows no more than this one did need not
    /// list the store as well. A listing older than the mirror is ignored.
    void takeListing(const StoreListing& listing);
    void takeEvents(const std::vector<StoreEvent>& events);
    /// Returns what changed after \p revision, or everything for zero; nothing
    /// if that can't be told.
    std::optional<StoreChanges> changesAfter(StoreRevision revision) const;
    /// Revision up to which the mirror holds; zero before the first listing.
    StoreRevision revision() const { return m_revision; }

private:
    StoreChanges everything() const;
    void noteDifferences(const StoreListing& listing);
    void trim();

    std::size_t m_maxChanges;
    std::map<std::string, StoredValue> m_values;
    std::deque<StoreChange> m_changes;
    StoreRevision m_revision { 0 };
    /// Changes after this revision are all in m_changes.
    StoreRevision m_completeAfter { 0 };
    /// Revision of the last listing; events up to it are part of it.
    StoreRevision m_listedRevision { 0 };
    /// Revision up to which the mirror held before that listing.
    StoreRevision m_listedAfter { 0 };
};

} // namespace catkinwing
