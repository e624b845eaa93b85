// Ends a routed request: sends the answers that the entry makes itself, and logs the outcome.
#include "catkinwing/Ingress/RoutedRun.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr int statusTooManyRequests = 429;
static constexpr int statusUnavailable = 503;
static constexpr int statusGatewayTimeout = 504;
static constexpr int firstServerErrorStatus = 500;
/// The retry-after time is at most the remaining time of the request divided by
/// this; after a longer wait the client would have no time left for the retry.
static constexpr int timeLeftDivisor = 3;
/// Retry-after time that is sent while no load estimate exists: before a configuration
/// is known, or if no route matches. An entry takes about this long to load its first
/// configuration.
static constexpr milliseconds retryAfterWithoutRoute { 500 };

// Adds the number of attempts to the answer to a forwarded request. The forwarding entry
// counts them against the limit of its route.
HttpResponseHead RoutedRun::withAttemptsHeader(HttpResponseHead head) const
{
    if (!m_request.isForwarded)
        return head;
    head.headers.add(endpointAttemptsHeader, std::to_string(std::max(m_possiblyRunAttempts, 1u)));
    if (m_isAnswerUnframed)
        head.headers.add(unframedAnswerHeader, "1");
    if (m_isStreamBound && m_streamBuild)
        head.headers.add(streamBuildHeader, absl::StrCat(absl::Hex(*m_streamBuild)));
    return head;
}

// Retry-after times are spaced by the work per request, so that clients retry no faster
// than this entry's share of the region's endpoints can handle.
milliseconds RoutedRun::retryAfter() const
{
    if (!m_route)
        return retryAfterWithoutRoute;
    if (m_retryAfter)
        return *m_retryAfter;
    milliseconds longest = std::max(timeLeft() / timeLeftDivisor, milliseconds(1));
    Duration work = m_parts.endpoints.requestInterval(m_service, m_request.facts.promptTokens, now());
    milliseconds pause = std::chrono::ceil<milliseconds>(m_parts.endpoints.minRemainingPause(m_service, now()));
    return std::max(m_parts.retryAfterSchedules[m_service].bookRetry(work, longest, now(), m_parts.random), pause);
}

// Sends an answer that this entry makes itself, with the outcome of the request.
void RoutedRun::sendOwnAnswer(int status, Outcome outcome, const char* reason)
{
    if (m_hasSentHead) {
        abortAnswer(reason);
        return;
    }
    HttpResponseHead head;
    head.status = status;
    head.headers.add("content-type", "application/json");
    head.headers.add(outcomeHeader, outcomeWord(outcome));
    bool tellsRetryAfter = (status == statusUnavailable || status == statusTooManyRequests) && !m_omitsRetryAfter;
    if (tellsRetryAfter)
        head.headers.add("retry-after", absl::StrCat(std::chrono::duration<double>(retryAfter()).count()));
    if (m_request.isForwarded && !m_request.facts.attemptId.empty())
        head.headers.add(m_parts.dialect.attemptIdHeader, m_request.facts.attemptId);
    if (m_retryAfter && m_request.isForwarded)
        head.headers.add(refusedEverywhereHeader, absl::StrCat(std::chrono::duration<double>(*m_retryAfter).count()));
    if (m_notSentReason && m_request.isForwarded)
        head.headers.add(notSentHeader, m_notSentReason);
    m_responder->send(withAttemptsHeader(head), absl::StrCat("{\"error\":{\"code\":\"", reason, "\",\"outcome\":\"", outcomeWord(outcome), "\"}}"));
    finish(status, outcomeWord(outcome), reason);
}

void RoutedRun::abortAnswer(const char* reason)
{
    m_responder->abort();
    finish(0, "unknown", reason);
}

void RoutedRun::onDeadline()
{
    m_deadlineTimer = 0;
    m_wasTimedOut = true;
    bool mayHaveReached = m_attempt && m_attempt->exchange->mayHaveReachedServer();
    if (m_attempt)
        m_attempt->exchange->cancel();
    if (mayHaveReached || m_mayHaveRun)
        sendOwnAnswer(statusGatewayTimeout, Outcome::Unknown, "timeout");
    else
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, "timeout");
}

void RoutedRun::onClientClosed()
{
    if (m_isDone)
        return;
    if (m_attempt)
        m_attempt->exchange->cancel();
    finish(0, "client_gone", "client_gone");
}

void RoutedRun::finish(int status, const char* outcome, const char* reason)
{
    auto self = shared_from_this();
    m_isDone = true;
    returnCredit(absl::string_view(outcome) == outcomeWord(Outcome::NotRun));
    m_parts.scheduler.cancel(m_deadlineTimer);
    if (m_attempt && m_attempt->endpoint) {
        releaseEndpoint(*m_attempt);
        bool wasSilent = m_wasTimedOut && !m_attempt->head;
        m_parts.endpoints.recordAttemptEnded(*m_attempt->endpoint, wasSilent, now());
    }
    m_parts.metrics.count(absl::StrCat("requests_", absl::string_view(outcome) == "not-run" ? "not_run" : outcome));
    if (m_firstByteAt != TimePoint {}) {
        m_parts.metrics.observeStage("first_byte", m_service, m_firstByteAt - m_request.arrivedAt);
        m_parts.metrics.observeStage("whole", m_service, now() - m_request.arrivedAt);
    }
    bool isPlain = absl::string_view(outcome) == "completed" && status < firstServerErrorStatus;
    if (isPlain ? m_parts.log.admitsPlain() : m_parts.log.admitsNotable()) {
        auto sinceArrival = [this](TimePoint time) { return std::chrono::duration_cast<milliseconds>(time - m_request.arrivedAt).count(); };
        nlohmann::json fields = {
            { "request", m_request.facts.attemptId }, { "route", m_route ? m_route->name : "" }, { "status", status },
            { "outcome", outcome }, { "reason", reason }, { "attempts", m_attemptCount }, { "forwarded", m_request.isForwarded },
            { "workspace", m_workspaceName }, { "version", m_routes ? m_routes->version() : 0 }, { "took_ms", sinceArrival(now()) }
        };
        if (m_firstByteAt != TimePoint {})
            fields["first_byte_ms"] = sinceArrival(m_firstByteAt);
        if (m_wasDeniedRetry)
            fields["retry_denied"] = true;
        if (m_limitRefusal) {
            fields["amount"] = limitedAmount();
            fields["limit_per_second"] = m_workspace->limit.perSecond;
            fields["credit_here"] = m_limitRefusal->remaining;
            fields["pool"] = m_limitRefusal->pool;
            fields["retry_after_ms"] = m_limitRefusal->retryAfter.count();
        }
        if (m_cursor.events() > 0)
            fields["events"] = m_cursor.events();
        if (!m_lastSoftwareVersion.empty())
            fields["software_version"] = m_lastSoftwareVersion;
        if (!m_request.facts.resumedAttemptId.empty())
            fields["resumes"] = m_request.facts.resumedAttemptId;
        if (m_attemptCount > 0) {
            fields["to"] = m_lastTarget;
            fields["why"] = m_lastWhy;
            fields["load_reports"] = m_parts.endpoints.peerLoads().entryCount();
        }
        m_parts.log.write(LogLevel::Info, "request_ended", fields);
    }
    m_attempt.reset();
    m_responder.reset();
}

} // namespace catkinwing
