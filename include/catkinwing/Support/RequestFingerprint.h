#pragma once

#include <absl/hash/hash.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace catkinwing {

/// Names what a request asks, so that one that comes again is known at every
/// entry. Half of a SHA-256: another caller's fingerprint can't be forged.
struct RequestFingerprint {
    static constexpr std::size_t size = 16;
    std::array<unsigned char, size> bytes {};

    /// Returns the fingerprint in lower-case hexadecimal.
    std::string toHex() const;
    friend bool operator==(const RequestFingerprint& a, const RequestFingerprint& b) { return a.bytes == b.bytes; }
    friend bool operator!=(const RequestFingerprint& a, const RequestFingerprint& b) { return !(a == b); }
    friend bool operator<(const RequestFingerprint& a, const RequestFingerprint& b) { return a.bytes < b.bytes; }
};

/// Hash of a fingerprint that is the same at every entry.
std::uint64_t stableHash(const RequestFingerprint& fingerprint, std::uint64_t seed = 0);

/// Hash of a fingerprint for tables.
struct RequestFingerprintHash {
    std::size_t operator()(const RequestFingerprint& fingerprint) const { return absl::Hash<decltype(fingerprint.bytes)>()(fingerprint.bytes); }
};

} // namespace catkinwing
