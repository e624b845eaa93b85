#pragma once

#include "catkinwing/Dispatch/Claim.h"
#include <absl/status/statusor.h>
#include <vector>

namespace catkinwing {

/// Layout of the ledger in the store: the same on every entry, for good, since
/// entries that disagree would look for a key in different places.
struct LedgerLayout {
    std::string keyPrefix { "catkinwing/ledger/" };
    /// Number of shards among which the keys are divided.
    unsigned shards { 16 };
    /// Documents of a shard, which take turns as its open generation.
    unsigned slots { 8 };
    /// How long a key is kept at least.
    std::chrono::milliseconds retention { std::chrono::hours(24) };
    /// Added to the retention for clocks that run fast; covers 690 ppm in 24 h.
    std::chrono::milliseconds retentionMargin { std::chrono::minutes(1) };
    /// Size at which a generation is sealed if the next slot is free.
    std::size_t targetDocumentBytes { 64u << 10 };
    /// Size that a document never passes; claims are refused before that.
    std::size_t maxDocumentBytes { 768u << 10 };
};

/// An incarnation that has claims in a generation.
struct Claimant {
    std::string entry;
    std::uint64_t incarnation { 0 };
};

/// One claim in a generation.
struct StoredClaim {
    ClaimKey key;
    std::uint64_t fingerprint { 0 };
    /// Index into the claimants of the generation.
    std::uint32_t claimant { 0 };
    std::uint64_t serial { 0 };
};

/// The claims of a shard during some span of time; one document of the store.
struct LedgerGeneration {
    /// Counts the generations of the shard from zero; its slot is number % slots.
    std::uint64_t number { 0 };
    /// No claim is ever added again.
    bool isSealed { false };
    /// Age of the shard at the last write of this document, and when the
    /// generation was opened; see LedgerView.
    std::chrono::milliseconds age { 0 };
    std::chrono::milliseconds openedAtAge { 0 };
    std::vector<Claimant> claimants;
    std::vector<StoredClaim> claims;

    /// Adds a claim.
    void add(const ClaimRecord& claim);
    /// Replaces the claim at \p index by another one of the same key.
    void replace(std::size_t index, const ClaimRecord& claim);
    /// Returns the claim at \p index.
    ClaimRecord recordAt(std::size_t index) const;

private:
    std::uint32_t claimantIndex(const ClaimId& id);
};

/// Returns an upper bound of the document's size, without encoding it.
std::size_t maxEncodedBytes(const LedgerGeneration& generation);
/// Encodes a generation as CBOR. \p slots is recorded, so that entries with
/// another layout notice.
std::string encodeGeneration(const LedgerGeneration& generation, unsigned slots);
/// Decodes a generation; DataLoss if it isn't one, FailedPrecondition if it was
/// written with another number of slots.
absl::StatusOr<LedgerGeneration> decodeGeneration(absl::string_view bytes, unsigned slots);

} // namespace catkinwing
