#pragma once

#include <absl/hash/hash.h>
#include <absl/strings/string_view.h>
#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace catkinwing {

/// SHA-256 of a key or token; compared in constant time.
struct KeyDigest {
    static constexpr std::size_t size = 32;
    std::array<unsigned char, size> bytes {};

    /// Returns the digest in lower-case hexadecimal.
    std::string toHex() const;
    friend bool operator==(const KeyDigest& a, const KeyDigest& b);
    friend bool operator!=(const KeyDigest& a, const KeyDigest& b) { return !(a == b); }
};

/// Hash of a digest for tables.
struct KeyDigestHash {
    std::size_t operator()(const KeyDigest& digest) const { return absl::Hash<decltype(digest.bytes)>()(digest.bytes); }
};

/// Returns the SHA-256 of \p key.
KeyDigest digestKey(absl::string_view key);

/// Reads 64 lower-case hexadecimal digits.
std::optional<KeyDigest> parseKeyDigest(absl::string_view hex);

/// Returns the SHA-256 of \p key as the configuration holds it.
std::string sha256Hex(absl::string_view key);

} // namespace catkinwing
