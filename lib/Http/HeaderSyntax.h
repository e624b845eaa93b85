// Checks that keep what we are given from breaking a message's framing.
#pragma once

#include <absl/strings/string_view.h>

namespace catkinwing {

/// Tells whether \p name is a field name or method, in HTTP's terms a token.
bool isFieldName(absl::string_view name);
/// Tells whether \p value holds no control character but the tab.
bool isFieldValue(absl::string_view value);
/// Tells whether \p target can stand in a request line.
bool isRequestTarget(absl::string_view target);
/// Returns the customary phrase of a status code.
const char* reasonPhrase(int status);

} // namespace catkinwing
