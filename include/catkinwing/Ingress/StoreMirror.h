#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/PeerProtocol/StoreChanges.h"
#include <deque>
#include <map>
#include <optional>

namespace catkinwing {

/// A copy of the store that this entry serves to other entries: the current value
/// of every key, and the latest changes in order.
class StoreMirror {
public:
    /// \p maxChanges limits the number of changes that are kept.
    explicit StoreMirror(std::size_t maxChanges = 4'096);

    /// Replaces the contents by a whole listing. Its differences from the earlier
    /// contents are recorded as changes, so that an entry at the mirror's earlier
    /// revision need not list the store as well. A listing older than the mirror
    /// is ignored.
    void applyListing(const StoreListing& listing);
    void applyEvents(const std::vector<StoreEvent>& events);
    /// Returns the changes after \p revision, or all keys for zero; nothing before
    /// the first listing, or if the changes since then aren't all known.
    std::optional<StoreChanges> changesAfter(StoreRevision revision) const;
    /// Returns the revision of the contents; zero before the first listing.
    StoreRevision revision() const { return m_revision; }

private:
    StoreChanges allValues() const;
    void recordDifferences(const StoreListing& listing);
    void trim();

    std::size_t m_maxChanges;
    std::map<std::string, StoredValue> m_values;
    std::deque<StoreChange> m_changes;
    StoreRevision m_revision { 0 };
    /// All known changes after this revision are in m_changes.
    StoreRevision m_completeAfter { 0 };
    /// Revision of the last listing, which covers all events up to it.
    StoreRevision m_listedRevision { 0 };
    /// Revision of the contents before the last listing.
    StoreRevision m_revisionBeforeListing { 0 };
};

} // namespace catkinwing
