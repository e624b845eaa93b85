// Looks at a response before h2o's client does.
#pragma once

#include <absl/strings/string_view.h>
#include <cstddef>

namespace catkinwing {

/// Bound on a response's head, and on all of its interim responses and its head together.
constexpr std::size_t maxResponseHeadBytes = 256u << 10;

/// Returns what in \p input, the bytes received so far, h2o's client could
/// not cope with; null if nothing is.
const char* responseHeadFault(absl::string_view input);

} // namespace catkinwing
