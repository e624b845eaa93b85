#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Dispatch/LedgerDocument.h"
#include <absl/container/flat_hash_map.h>
#include <absl/types/optional.h>

namespace catkinwing {

/// A compare-and-swap that adds claims to a shard, or only seals a generation
/// that has no room left.
struct LedgerSwap {
    unsigned slot { 0 };
    StoreRevision expected { 0 };
    LedgerGeneration generation;
    bool addsClaims { true };
};

/// Departures from the rules, to show that the checks notice them. Only tests set one.
struct LedgerFaults;

/// One shard of the ledger as it was last read. Whatever has changed since
/// makes the planned swap fail.
class LedgerView {
public:
    /// Reads the documents of a shard, as received at \p receivedAt.
    static absl::StatusOr<LedgerView> fromListing(const LedgerLayout& layout, unsigned shard, const StoreListing& listing, TimePoint receivedAt);

    /// Returns the claim that holds a key, if one does.
    absl::optional<ClaimRecord> find(const ClaimKey& key) const;
    /// Plans the swap that adds claims, replacing those that hold the same
    /// keys; nothing if there is no room.
    absl::optional<LedgerSwap> plan(const std::vector<ClaimRecord>& claims, TimePoint now, const LedgerFaults& faults) const;
    /// Returns how long until the next generation can be opened; zero if it can now.
    std::chrono::milliseconds timeUntilRoom(TimePoint now) const;
    /// Notes that a planned swap was committed, as was learned at \p receivedAt.
    void commit(LedgerSwap swap, StoreRevision revision, TimePoint receivedAt);

private:
    struct Slot {
        StoreRevision revision { 0 };
        absl::optional<LedgerGeneration> generation;
    };
    struct Location {
        unsigned slot { 0 };
        std::size_t index { 0 };
    };

    LedgerView(const LedgerLayout& layout, TimePoint receivedAt);
    absl::Status checkSequence() const;
    void indexClaims(unsigned slot, std::size_t first);
    void rebuildIndex();
    const LedgerGeneration* latest() const;
    unsigned slotOf(std::uint64_t number) const;
    std::chrono::milliseconds ageAt(TimePoint now) const;
    bool hasOpenGeneration() const;
    LedgerSwap beginSwap(TimePoint now, bool opensNext) const;
    absl::optional<LedgerSwap> planNext(const std::vector<ClaimRecord>& claims, TimePoint now) const;
    void applyClaims(const std::vector<ClaimRecord>& claims, LedgerSwap& swap) const;
    /// Tells whether a generation is old or large enough to be sealed.
    bool isDue(const LedgerGeneration& generation) const;

    LedgerLayout m_layout;
    std::vector<Slot> m_slots;
    /// Slot of the generation with the highest number, if there is any.
    absl::optional<unsigned> m_latestSlot;
    /// When the latest generation's age was known to have been written.
    TimePoint m_ageReceivedAt;
    absl::flat_hash_map<ClaimKey, Location> m_index;
};

/// Returns the prefix of a shard's documents in the store.
std::string shardPrefix(const LedgerLayout& layout, unsigned shard);
/// Returns the store key of a slot.
std::string slotKey(const LedgerLayout& layout, unsigned shard, unsigned slot);

} // namespace catkinwing
