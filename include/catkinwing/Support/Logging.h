#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace catkinwing {

/// Weight of a log line.
enum class LogLevel { Info,
    Warning,
    Error };

/// Sends log lines to standard output as JSON, one object a line.
void initializeLogging();

/// Logs a change of state: \p event names it, \p fields say what changed.
void logChange(LogLevel level, const std::string& event, const nlohmann::json& fields);

} // namespace catkinwing
