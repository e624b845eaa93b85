// Reads times from JSON numbers.
#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace catkinwing {

/// Returns a number of milliseconds as a time; nothing if it is beyond some 30,000 years.
/// Throws nlohmann::json::type_error if it isn't a number.
inline std::optional<std::chrono::milliseconds> millisecondsOf(const nlohmann::json& number)
{
    // All integers up to it are exact as doubles.
    constexpr double maxMilliseconds = 1e15;
    auto value = number.get<double>();
    if (!(std::abs(value) <= maxMilliseconds))
        return std::nullopt;
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

} // namespace catkinwing
