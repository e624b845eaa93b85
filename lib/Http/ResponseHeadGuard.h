// Looks at a response before h2o's client does.
#pragma once

#include <absl/strings/string_view.h>

namespace catkinwing {

/// Returns what in \p input, the bytes received so far, h2o's client could
/// not cope with; null if nothing is.
const char* responseHeadFault(absl::string_view input);

} // namespace catkinwing
