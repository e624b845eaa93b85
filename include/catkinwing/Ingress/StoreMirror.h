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
    /// is ignored; one of a later era isn't older, whatever its revision.
    void applyListing(const StoreListing& listing);
    void applyEvents(const std::vector<StoreEvent>& events);
    /// Records that the events applied since \p before ended with the differences of a listing
    /// at \p listed, made by another entry. An entry at a revision in between may know keys
    /// that these differences don't contain.
    void recordGap(StoreRevision before, StoreRevision listed);
    /// Returns the changes after \p revision, or all keys for zero; nothing before
    /// the first listing, or if the changes since then aren't all known.
    std::optional<StoreChanges> changesAfter(StoreRevision revision) const;
    /// Returns the revision of the contents; zero before the first listing.
    StoreRevision revision() const { return m_revision; }
    /// Returns whether the store has come back from a copy since the first listing.
    bool hasSeenEras() const { return m_firstEra != m_revision.era; }

private:
    StoreChanges allValues() const;
    static bool isUnchanged(const StoredValue& before, const StoredValue& value);
    void recordDifferences(const StoreListing& listing);
    void trim();

    std::size_t m_maxChanges;
    std::map<std::string, StoredValue> m_values;
    std::deque<StoreChange> m_changes;
    StoreRevision m_revision {};
    std::int64_t m_firstEra { 0 };
    /// All known changes after this revision are in m_changes.
    StoreRevision m_completeAfter {};
    /// Revision of the last listing, which covers all events up to it.
    StoreRevision m_listedRevision {};
    /// Revision of the contents before the last listing.
    StoreRevision m_revisionBeforeListing {};
};

} // namespace catkinwing
