// Looks at a response before h2o's client does.
#pragma once

#include <absl/strings/string_view.h>
#include <cstddef>
#include <optional>

namespace catkinwing {

/// Bound on a response's head, and on all of its interim responses and its head together.
constexpr std::size_t maxResponseHeadBytes = 256u << 10;

/// Returns the status of a status line, 100 to 599; nothing if \p line isn't one of HTTP/1.
std::optional<int> parseStatusLine(absl::string_view line);
/// Tells whether another head follows one with \p status.
bool isInterimStatus(int status);

/// Returns why \p input, the bytes received so far, isn't the beginning of a response, or why h2o's
/// client could not cope with it; null if neither is so.
const char* responseHeadFault(absl::string_view input);

} // namespace catkinwing
