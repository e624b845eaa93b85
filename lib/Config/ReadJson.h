#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace catkinwing {

/// Reads JSON and puts what is wrong with it into \p faults, which must be
/// empty. Well-formed text with repeated members gives both faults and a value,
/// so that the checks that follow can find the other faults.
std::optional<nlohmann::json> readJson(absl::string_view text, std::vector<ConfigFault>& faults);

} // namespace catkinwing
