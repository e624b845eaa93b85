#include "catkinwing/Dispatch/Outcome.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>

namespace catkinwing {

static constexpr int statusTooManyRequests = 429;
static constexpr int statusServerError = 500;
static constexpr int statusUnavailable = 503;

const char* outcomeWord(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

absl::optional<Outcome> parseOutcome(absl::string_view word)
{
    for (Outcome outcome : { Outcome::Completed, Outcome::NotRun, Outcome::Unknown }) {
        if (word == outcomeWord(outcome))
            return outcome;
    }
    return absl::nullopt;
}

// A header that comes twice with different values says nothing reliable, so
// every field of that name has to carry the value.
static bool alwaysSays(const HttpHeaders& headers, absl::string_view name, absl::string_view value)
{
    bool isPresent = false;
    for (const HttpHeader& field : headers.fields()) {
        if (!absl::EqualsIgnoreCase(field.name, name))
            continue;
        if (!absl::EqualsIgnoreCase(field.value, value))
            return false;
        isPresent = true;
    }
    return isPresent;
}

static absl::string_view firstValue(const HttpHeaders& headers, absl::string_view name)
{
    for (const HttpHeader& field : headers.fields()) {
        if (absl::EqualsIgnoreCase(field.name, name))
            return field.value;
    }
    return {};
}

static bool isFailureStatus(int status)
{
    return status >= statusServerError || status == statusTooManyRequests;
}

// Only an endpoint speaks of execution in this header: an entry may hand on the
// header of the last of several endpoints that it tried.
static bool isRefusedByEndpoint(const HttpResponseHead& head)
{
    bool isRefusal = head.status == statusUnavailable || head.status == statusTooManyRequests;
    return isRefusal && alwaysSays(head.headers, executedHeader, "false");
}

static std::chrono::seconds retryAfterOf(const HttpHeaders& headers)
{
    constexpr std::uint32_t longestWait = 24 * 60 * 60;
    std::uint32_t seconds = 0;
    if (!absl::SimpleAtoi(firstValue(headers, "Retry-After"), &seconds))
        return std::chrono::seconds(0);
    return std::chrono::seconds(std::min(seconds, longestWait));
}

static void classifyEndpointAnswer(const HttpResponseHead& head, bool isWhole, AttemptResult& result)
{
    if (isRefusedByEndpoint(head)) {
        result.outcome = Outcome::NotRun;
        return;
    }
    if (isWhole && !isFailureStatus(head.status))
        result.outcome = Outcome::Completed;
}

static void classifyEntryAnswer(const HttpResponseHead& head, bool isWhole, AttemptResult& result)
{
    if (alwaysSays(head.headers, outcomeHeader, outcomeWord(Outcome::NotRun))) {
        result.outcome = Outcome::NotRun;
        result.mayHaveReachedEndpoint = !alwaysSays(head.headers, endpointAttemptsHeader, "0");
        return;
    }
    bool hasOutcome = !firstValue(head.headers, outcomeHeader).empty();
    if (isWhole && !hasOutcome && !isFailureStatus(head.status))
        result.outcome = Outcome::Completed;
}

AttemptResult classifyAttempt(AttemptTarget target, const HttpResult& end, const HttpResponseHead* head)
{
    AttemptResult result;
    if (!end.mayHaveReachedServer) {
        result.outcome = Outcome::NotRun;
        result.mayHaveReachedEndpoint = false;
        return result;
    }
    // What isn't HTTP may be left over from another exchange: believe nothing of it.
    if (!head || end.end == HttpEnd::Malformed)
        return result;
    bool isWhole = end.end == HttpEnd::Complete;
    result.status = head->status;
    result.hasWholeAnswer = isWhole;
    result.retryAfter = retryAfterOf(head->headers);
    if (target == AttemptTarget::Endpoint)
        classifyEndpointAnswer(*head, isWhole, result);
    else
        classifyEntryAnswer(*head, isWhole, result);
    return result;
}

bool isDeliverableHead(AttemptTarget target, const HttpResponseHead& head)
{
    if (isFailureStatus(head.status))
        return false;
    return target == AttemptTarget::Endpoint || firstValue(head.headers, outcomeHeader).empty();
}

} // namespace catkinwing
