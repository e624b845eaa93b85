#pragma once

#include "catkinwing/Http/HttpClient.h"
#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

namespace catkinwing {

/// What is known about whether a request was executed.
enum class Outcome {
    /// It was executed and its whole answer is there.
    Completed,
    /// It was certainly not executed, and will not be.
    NotRun,
    /// It may have been executed.
    Unknown,
};

/// Header by which an entry states the outcome of a request that failed.
constexpr const char* outcomeHeader = "Catkinwing-Outcome";
/// Header by which an endpoint states whether it executed what it refuses.
constexpr const char* executedHeader = "Catkinwing-Executed";
/// Header by which an entry states to how many endpoints a byte of the request
/// may have gone.
constexpr const char* endpointAttemptsHeader = "Catkinwing-Endpoint-Attempts";

/// Returns the word of the wire: "completed", "not-run" or "unknown".
const char* outcomeWord(Outcome outcome);
/// Reads the word of the wire; nothing for any other text.
absl::optional<Outcome> parseOutcome(absl::string_view word);

/// What stands at the other end of an attempt.
enum class AttemptTarget {
    /// A model engine or a plain service.
    Endpoint,
    /// Another entry, to which the request was forwarded.
    Entry,
};

/// What one attempt came to.
struct AttemptResult {
    Outcome outcome { Outcome::Unknown };
    /// False only if it is certain that no endpoint got a byte of the request.
    bool mayHaveReachedEndpoint { true };
    /// The whole answer is there and may be handed on, although it is a failure.
    bool hasWholeAnswer { false };
    /// Status of the answer; zero without one.
    int status { 0 };
    /// The wait that the other side asked for; zero if none.
    std::chrono::seconds retryAfter { 0 };
};

/// Classifies the end of an attempt. \p head is null if none arrived.
AttemptResult classifyAttempt(AttemptTarget target, const HttpResult& end, const HttpResponseHead* head);

/// Tells whether an answer with this head may be handed to the caller as it
/// arrives; the others are judged by classifyAttempt() once they have ended.
bool isDeliverableHead(AttemptTarget target, const HttpResponseHead& head);

} // namespace catkinwing
