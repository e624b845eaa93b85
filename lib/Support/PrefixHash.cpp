#include "catkinwing/Support/PrefixHash.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>

namespace catkinwing {

std::vector<std::uint64_t> prefixHashes(absl::string_view prompt, std::size_t maxBlocks)
{
    std::size_t blocks = std::min(prompt.size() / prefixBlockBytes, maxBlocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(blocks);
    std::uint64_t chain = 0;
    for (std::size_t block = 0; block < blocks; ++block) {
        chain = stableHash(prompt.substr(block * prefixBlockBytes, prefixBlockBytes), chain);
        hashes.push_back(chain);
    }
    return hashes;
}

} // namespace catkinwing
