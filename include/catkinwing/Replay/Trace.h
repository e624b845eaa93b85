#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <string>
#include <vector>

namespace catkinwing {

/// One request of a recorded trace.
struct TraceRequest {
    /// Time from the start of the trace.
    std::chrono::milliseconds at { 0 };
    /// Region whose entries the caller used.
    std::string region;
    /// Bearer key of the caller.
    std::string key;
    std::string requestClass;
    std::string method;
    std::string path;
    std::string body;
    /// Empty for none.
    std::string idempotencyKey;
};

/// Reads a trace in JSON Lines; InvalidArgument names the line at fault.
absl::StatusOr<std::vector<TraceRequest>> parseTrace(absl::string_view text);

} // namespace catkinwing
