#pragma once

#include <absl/strings/string_view.h>
#include <cstddef>
#include <string>

namespace catkinwing {

/// Returns the JSON pointer of a member of the object at \p parent.
std::string memberPointer(absl::string_view parent, absl::string_view member);
/// Returns the JSON pointer of an item of the array at \p parent.
std::string itemPointer(absl::string_view parent, std::size_t index);

} // namespace catkinwing
