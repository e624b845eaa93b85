#pragma once

#include <absl/status/statusor.h>
#include <string>

namespace catkinwing {

/// Returns the whole of a file; NotFound names it if it can't be read.
absl::StatusOr<std::string> readFile(const std::string& name);

} // namespace catkinwing
