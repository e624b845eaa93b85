// Puts samples into figures.
#pragma once

#include "LoadRun.h"
#include <nlohmann/json.hpp>

namespace catkinwing {

/// Returns the figures of one target.
nlohmann::json makeReport(const SocketAddress& target, const LoadSamples& samples, bool isStream);
/// Returns each figure of \p second divided by that of \p first.
nlohmann::json makeRatios(const nlohmann::json& first, const nlohmann::json& second);

} // namespace catkinwing
