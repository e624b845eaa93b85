#pragma once

#include <absl/strings/string_view.h>
#include <cstdint>

namespace catkinwing {

/// Returns a 64-bit hash that is the same in every process and release.
std::uint64_t stableHash(absl::string_view bytes, std::uint64_t seed = 0);

} // namespace catkinwing
