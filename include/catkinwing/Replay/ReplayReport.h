#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// What became of one replayed request.
struct ReplayResult {
    std::string requestClass;
    /// Zero if the connection broke before an answer.
    int status { 0 };
    /// The answer ended as a whole one does.
    bool isWhole { false };
    /// Word of the outcome header; empty if there was none.
    std::string outcome;
    /// To the first byte of the body; empty if none came.
    std::optional<std::chrono::nanoseconds> timeToFirstByte;
    std::chrono::nanoseconds total {};
};

/// Stated outcome of one class; what is empty is not checked.
struct StatedOutcome {
    /// Least part of the requests that is answered whole.
    std::optional<double> answered;
    /// Largest part whose outcome is unknown.
    std::optional<double> unknown;
    std::optional<std::chrono::milliseconds> medianTimeToFirstByte;
    std::optional<std::chrono::milliseconds> p99TimeToFirstByte;
};

/// Stated outcomes by class.
using StatedOutcomes = std::map<std::string, StatedOutcome>;

/// Reads stated outcomes; InvalidArgument names the fault.
absl::StatusOr<StatedOutcomes> parseStatedOutcomes(absl::string_view json);

/// Figures of one class.
struct ClassFigures {
    std::size_t requests { 0 };
    std::size_t answered { 0 };
    std::size_t notRun { 0 };
    std::size_t unknown { 0 };
    std::chrono::nanoseconds medianTimeToFirstByte {};
    std::chrono::nanoseconds p99TimeToFirstByte {};
};

/// Returns the figures by class.
std::map<std::string, ClassFigures> summarize(const std::vector<ReplayResult>& results);
/// Returns one line for each stated outcome that was missed.
std::vector<std::string> findMissed(const std::map<std::string, ClassFigures>& figures, const StatedOutcomes& stated);
/// Returns figures and missed outcomes as JSON.
nlohmann::json toJson(const std::map<std::string, ClassFigures>& figures, const std::vector<std::string>& missed);

} // namespace catkinwing
