#include "catkinwing/Support/Hash.h"

#include <xxhash.h>

namespace catkinwing {

std::uint64_t stableHash(absl::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace catkinwing
