#pragma once

#include <array>
#include <cstddef>
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
    template <typename H>
    friend H AbslHashValue(H state, const RequestFingerprint& fingerprint) { return H::combine(std::move(state), fingerprint.bytes); }
};

} // namespace catkinwing
