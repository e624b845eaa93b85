#pragma once

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

/// Parses \p bytes as one CBOR item; the result is discarded (is_discarded())
/// if they are none, or nest deeper than any message of ours.
nlohmann::json parseCbor(absl::string_view bytes);

} // namespace catkinwing
