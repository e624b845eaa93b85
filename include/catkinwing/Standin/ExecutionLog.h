#pragma once

#include "catkinwing/Http/HttpMessage.h"
#include "catkinwing/Support/Clock.h"
#include <absl/status/statusor.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace catkinwing::standin {

/// What a request says about itself in its headers and body.
struct CallIdentity {
    std::string requestId;
    std::string idempotencyKey;
    std::string team;
    std::string attempt;
    /// Name of the calling process, from Catkinwing-From.
    std::string from;
    /// Role of the caller, from Catkinwing-Role.
    std::string role;
    std::string method;
    std::string path;
    /// The WORD of "marker=WORD" in the body or the query.
    std::string marker;
};

/// Returns the WORD of the first "marker=WORD" in \p text, or the empty string.
std::string findMarker(absl::string_view text);

/// Reads the identity of \p request.
CallIdentity identifyCall(const HttpRequest& request);

/// One step of a request's life in a stand-in.
enum class ExecutionEvent {
    Received,
    Started,
    Finished,
    /// The caller went, or asked for the cancellation.
    Cancelled,
    /// A fault switch cut the connection.
    Cut,
    /// Bytes served in one second; weight store only.
    Served,
};

/// Record of what a stand-in did, one JSON object a line, flushed by line.
class ExecutionLog {
public:
    /// Opens \p file for appending; an empty name makes a log that keeps nothing.
    static absl::StatusOr<std::unique_ptr<ExecutionLog>> open(const std::string& file, std::string standinName, const Clock& clock);
    /// Writes to \p output, which may be null.
    ExecutionLog(std::unique_ptr<std::ostream> output, std::string standinName, const Clock& clock);

    const std::string& standinName() const { return m_standinName; }
    /// Writes one line; \p fields are added to it.
    void record(const CallIdentity& identity, ExecutionEvent event, const nlohmann::json& fields = nlohmann::json::object());

private:
    std::unique_ptr<std::ostream> m_output;
    std::string m_standinName;
    const Clock& m_clock;
};

} // namespace catkinwing::standin
