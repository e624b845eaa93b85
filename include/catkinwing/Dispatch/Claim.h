#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace catkinwing {

/// Names one claim for good: no two claims of any entry ever share one.
struct ClaimId {
    /// Name of the claimant.
    std::string entry;
    /// Incarnation of the claimant; an entry that starts anew has another.
    std::uint64_t incarnation { 0 };
    /// Counts the claims of that incarnation.
    std::uint64_t serial { 0 };

    friend bool operator==(const ClaimId& a, const ClaimId& b)
    {
        return a.serial == b.serial && a.incarnation == b.incarnation && a.entry == b.entry;
    }
    friend bool operator!=(const ClaimId& a, const ClaimId& b) { return !(a == b); }
    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): abseil looks for this name.
    friend H AbslHashValue(H state, const ClaimId& id)
    {
        return H::combine(std::move(state), id.entry, id.incarnation, id.serial);
    }
};

/// Digest of a team and its idempotency key.
struct ClaimKey {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    friend bool operator==(const ClaimKey& a, const ClaimKey& b) { return a.high == b.high && a.low == b.low; }
    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): abseil looks for this name.
    friend H AbslHashValue(H state, const ClaimKey& digest)
    {
        return H::combine(std::move(state), digest.high, digest.low);
    }
};

/// Returns the digest of a key, which one team can't steer to another's.
ClaimKey digestOfKey(absl::string_view team, absl::string_view key);

/// Returns the fingerprint by which a repeat is known to be the same request.
std::uint64_t requestFingerprint(absl::string_view method, absl::string_view target, absl::string_view body);

/// A claim as the ledger records it.
struct ClaimRecord {
    ClaimKey key;
    std::uint64_t fingerprint { 0 };
    ClaimId id;
};

/// What a ledger says about one claim.
enum class ClaimVerdict {
    /// A compare-and-swap recorded the claim.
    Won,
    /// The key is claimed under another id.
    AlreadyClaimed,
    /// The claim is given up, and its claimant never runs it.
    NotAvailable,
};

/// Result of a claim. The claimant alone may run a request, once, and only
/// under an id that was Won; no other verdict gives leave to run.
struct ClaimResult {
    ClaimVerdict verdict { ClaimVerdict::NotAvailable };
    /// The claim that holds the key: one's own if Won, another one if AlreadyClaimed.
    ClaimId holder;
    /// With AlreadyClaimed: the key was used for another request (answer 422).
    bool isOtherRequest { false };
    /// With NotAvailable: when to come back.
    std::chrono::milliseconds retryAfter { 0 };
};

} // namespace catkinwing
