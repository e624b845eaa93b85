#include "catkinwing/Gateway/ApiError.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

static constexpr int badRequest = 400;
static constexpr int tooManyRequests = 429;
static constexpr int unavailable = 503;

static const char* errorType(int status)
{
    constexpr int firstServerError = 500;
    if (status == tooManyRequests)
        return "rate_limit_error";
    return status < firstServerError ? "invalid_request_error" : "server_error";
}

std::string errorBody(const ApiError& error)
{
    nlohmann::json body = {
        { "error", {
                       { "message", error.message },
                       { "type", errorType(error.status) },
                       { "code", error.code },
                       { "outcome", outcomeWord(error.outcome) },
                   } },
    };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Whole seconds, rounded up: coming back too early would be refused again.
static std::string retryAfterSeconds(std::chrono::milliseconds wait)
{
    auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return absl::StrCat(std::max<std::int64_t>(seconds, 1));
}

HttpResponseHead errorHead(const ApiError& error)
{
    HttpResponseHead head { error.status, error.headers };
    head.headers.set("Content-Type", "application/json");
    head.headers.set(outcomeHeader, outcomeWord(error.outcome));
    if (error.retryAfter)
        head.headers.set("Retry-After", retryAfterSeconds(*error.retryAfter));
    return head;
}

void sendError(HttpResponder& responder, const std::string& requestId, const ApiError& error)
{
    HttpResponseHead head = errorHead(error);
    if (!requestId.empty())
        head.headers.set(requestIdHeader, requestId);
    responder.send(head, errorBody(error));
}

void sendJson(HttpResponder& responder, int status, const std::string& body)
{
    responder.send({ status, { { "Content-Type", "application/json" } } }, body);
}

static int statusFor(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownTeam:
    case RefusalReason::PolicyRemoved:
        return unavailable;
    case RefusalReason::UnknownClass:
        return badRequest;
    case RefusalReason::RequestRate:
    case RefusalReason::CallerConcurrency:
    case RefusalReason::TeamQueueFull:
        return tooManyRequests;
    case RefusalReason::DuplicateId:
    case RefusalReason::QueueFull:
    case RefusalReason::QueueBytesFull:
    case RefusalReason::PredictedLate:
    case RefusalReason::Expired:
    case RefusalReason::Evicted:
        break;
    }
    return unavailable;
}

ApiError errorFor(const Refusal& refusal)
{
    ApiError error;
    error.status = statusFor(refusal.reason);
    error.code = refusalReasonName(refusal.reason);
    error.message = absl::StrCat("request refused: ", refusalReasonName(refusal.reason));
    if (refusal.retryAfter)
        error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*refusal.retryAfter);
    return error;
}

} // namespace catkinwing
