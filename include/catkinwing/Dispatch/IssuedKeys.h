#pragma once

#include "catkinwing/Dispatch/Claim.h"
#include <absl/status/statusor.h>
#include <absl/types/optional.h>
#include <array>
#include <deque>
#include <vector>

namespace catkinwing {

/// The entry that issued a key, which alone may run it.
struct KeyAuthority {
    std::string entry;
    std::uint64_t incarnation { 0 };

    friend bool operator==(const KeyAuthority& a, const KeyAuthority& b) { return a.incarnation == b.incarnation && a.entry == b.entry; }
};

/// Returns the authority that an idempotency key names; nothing if the key
/// was made by the caller. The authority alone can check that it is genuine.
absl::optional<KeyAuthority> authorityOf(absl::string_view key);

/// What the authority says of the use of a key.
enum class IssuedKeyVerdict {
    /// First use: run it, once.
    Won,
    /// Used before for the same request: join the answer under the id.
    AlreadyUsed,
    /// Used before for another request: answer 422.
    OtherRequest,
    /// Not issued by this incarnation to this team: answer 422.
    Invalid,
    /// Too old; it may have been used: answer `unknown`.
    Expired,
};

/// Result of the use of a key.
struct IssuedKeyUse {
    IssuedKeyVerdict verdict { IssuedKeyVerdict::Invalid };
    /// Names the run in RunningAnswers and FinishedAnswers.
    ClaimId id;
};

/// Bounds of issued keys.
struct IssuedKeyLimits {
    std::chrono::milliseconds lifetime { std::chrono::hours(24) };
    /// Keys that are not expired; more are refused. 24 bytes each.
    std::size_t maxKeys { 500'000 };
};

/// Issues idempotency keys whose use needs no store, since this incarnation
/// alone decides on them. Another entry that gets such a key forwards the
/// request to the authority. If that incarnation is gone, a used key can't be
/// told from an unused one, so the answer is `unknown`: the request at hand
/// was not run, but an earlier one with the key may have been. A caller that
/// knows that it sent the key once only may then ask for a new one.
class IssuedKeys {
public:
    static constexpr std::size_t secretBytes = 32;
    using Secret = std::array<unsigned char, secretBytes>;

    /// \p secret must be fresh in each incarnation; see makeSecret().
    IssuedKeys(const Clock& clock, IssuedKeyLimits limits, KeyAuthority self, const Secret& secret);

    /// Returns a secret from the system's cryptographic generator.
    static absl::StatusOr<Secret> makeSecret();
    /// Issues a key; ResourceExhausted if too many are out.
    absl::StatusOr<std::string> issue(absl::string_view team);
    /// Uses a key for a request of \p team.
    IssuedKeyUse use(absl::string_view team, absl::string_view key, std::uint64_t fingerprint);
    /// Takes a use back, because nothing was executed under it and nothing will
    /// be. The key's next use gets another id.
    void release(const ClaimId& id);
    std::size_t keysOut() const { return m_uses.size(); }

private:
    struct Use {
        TimePoint issuedAt;
        /// Zero while unused; a used key's fingerprint is never zero.
        std::uint64_t fingerprint { 0 };
        /// Counts the uses that were taken back.
        std::uint32_t releases { 0 };
    };

    void dropExpired();
    std::string macOf(absl::string_view team, std::uint64_t serial) const;
    Use* find(std::uint64_t serial);
    ClaimId idOf(std::uint64_t serial, std::uint32_t releases) const;

    const Clock& m_clock;
    IssuedKeyLimits m_limits;
    KeyAuthority m_self;
    Secret m_secret;
    /// Serial of the front of m_uses.
    std::uint64_t m_firstSerial { 1 };
    std::deque<Use> m_uses;
};

} // namespace catkinwing
