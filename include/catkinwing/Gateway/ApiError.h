#pragma once

#include "catkinwing/Admission/AdmissionDecision.h"
#include "catkinwing/Dispatch/Outcome.h"
#include "catkinwing/Http/HttpServer.h"
#include <chrono>
#include <optional>
#include <string>

namespace catkinwing {

/// Header that names a request in answers, logs and endpoints' records.
constexpr const char* requestIdHeader = "Catkinwing-Request-Id";
/// Header by which our processes name themselves to each other and the platform.
constexpr const char* fromHeader = "Catkinwing-From";

/// An answer that refuses a request or says that it failed.
struct ApiError {
    int status { 500 };
    /// Machine-readable reason, such as "model_not_found".
    std::string code;
    /// Sentence for people; names the thing at fault.
    std::string message;
    Outcome outcome { Outcome::NotRun };
    /// When coming back is expected to help; empty where it isn't.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Further header fields, such as a location.
    HttpHeaders headers;
};

/// Returns the error as a JSON body of the OpenAI form, with the outcome word.
std::string errorBody(const ApiError& error);
/// Returns the head of an answer with errorBody().
HttpResponseHead errorHead(const ApiError& error);
/// Answers the request with \p error at once.
void sendError(HttpResponder& responder, const std::string& requestId, const ApiError& error);
/// Answers with a JSON document.
void sendJson(HttpResponder& responder, int status, const std::string& body);

/// Returns the answer to a request that admission refused or dropped.
ApiError errorFor(const Refusal& refusal);

} // namespace catkinwing
