#include "catkinwing/Dispatch/Claim.h"

#include "catkinwing/Support/Hash.h"
#include <absl/strings/str_cat.h>
#include <cassert>
#include <cstring>
#include <openssl/evp.h>

namespace catkinwing {

static std::uint64_t loadWord(const unsigned char* bytes)
{
    constexpr unsigned bitsPerByte = 8;
    std::uint64_t word = 0;
    for (std::size_t index = 0; index < sizeof(word); ++index)
        word = (word << bitsPerByte) | bytes[index];
    return word;
}

// A cryptographic digest: with a weaker one, a team could look for keys that
// collide with another team's and so use them up.
ClaimKey digestOfKey(absl::string_view team, absl::string_view key)
{
    std::string text = absl::StrCat(team.size(), ":", team, key);
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    int ok = EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
    assert(ok == 1 && size >= 2 * sizeof(std::uint64_t) && "SHA-256 is part of the library");
    (void)ok;
    return { loadWord(digest), loadWord(digest + sizeof(std::uint64_t)) };
}

std::uint64_t requestFingerprint(absl::string_view method, absl::string_view target, absl::string_view body)
{
    std::uint64_t hash = stableHash(method);
    hash = stableHash(target, hash);
    return stableHash(body, hash);
}

} // namespace catkinwing
