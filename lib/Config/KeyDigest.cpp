#include "catkinwing/Config/KeyDigest.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <algorithm>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace catkinwing {

std::string KeyDigest::toHex() const
{
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

bool operator==(const KeyDigest& a, const KeyDigest& b)
{
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), KeyDigest::size) == 0;
}

KeyDigest digestKey(absl::string_view key)
{
    KeyDigest digest;
    unsigned int written = 0;
    int status = EVP_Digest(key.data(), key.size(), digest.bytes.data(), &written, EVP_sha256(), nullptr);
    assert(status == 1 && written == KeyDigest::size && "SHA-256 is always there");
    static_cast<void>(status);
    return digest;
}

static bool isLowerHexDigit(char character)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(character)) || (character >= 'a' && character <= 'f');
}

std::optional<KeyDigest> parseKeyDigest(absl::string_view hex)
{
    if (hex.size() != 2 * KeyDigest::size || !std::all_of(hex.begin(), hex.end(), isLowerHexDigit))
        return std::nullopt;
    KeyDigest digest;
    std::string bytes = absl::HexStringToBytes(hex);
    std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
    return digest;
}

std::string sha256Hex(absl::string_view key)
{
    return digestKey(key).toHex();
}

} // namespace catkinwing
