#pragma once

#include <absl/strings/string_view.h>
#include <cstdint>
#include <vector>

namespace catkinwing {

/// Bytes of prompt text covered by one step of the chain.
constexpr std::size_t prefixBlockBytes = 256;

/// Returns the chained hash of each whole block of \p prompt: entry i names the
/// first (i + 1) blocks. At most \p maxBlocks entries are returned.
std::vector<std::uint64_t> prefixHashes(absl::string_view prompt, std::size_t maxBlocks = 256);

} // namespace catkinwing
