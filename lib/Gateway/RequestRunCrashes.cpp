// What a request's attempts say of crashes under it, and its refusal for them.
#include "catkinwing/Gateway/RequestRun.h"

#include "catkinwing/Gateway/RequestBroker.h"
#include "catkinwing/PeerProtocol/LoadReport.h"
#include "catkinwing/Routing/RequestIdentity.h"
#include <absl/strings/str_cat.h>

namespace catkinwing {

const RequestFingerprint& RequestRun::fingerprint()
{
    if (!m_fingerprint) {
        const HttpRequest& http = m_request.http;
        m_fingerprint = fingerprintOf({ m_request.team, m_request.caller, http.method, http.path, http.query, http.body });
    }
    return *m_fingerprint;
}

const RequestSuspects& RequestRun::suspects()
{
    if (m_suspects.empty())
        m_suspects = requestSuspects(fingerprint(), { m_request.promptSegments.begin(), m_request.promptSegments.end() });
    return m_suspects;
}

bool RequestRun::refuseIfCrashing()
{
    TimePoint now = m_broker.m_parts.scheduler.clock().now();
    std::optional<CrashSuspectTable::Refusal> refusal = m_broker.m_crashing.isEmpty() ? std::nullopt : m_broker.m_crashing.refusalOf(suspects(), now);
    if (!refusal)
        return false;
    // Entries don't tell each other of crashes, so that each one tries by itself.
    if (refusal->mayBeTrial && m_endpointAttempts == 0 && m_broker.m_crashing.beginTrial(refusal->suspect, {}, now))
        return false;
    bool mayHaveRun = m_attempts.mayHaveRun();
    ApiError error;
    error.status = mayHaveRun ? 502 : 503;
    error.code = "crashes_endpoints";
    error.message = absl::StrCat("endpoints crashed when they ran this request", mayHaveRun ? "" : "; it was not run now");
    error.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(refusal->remaining);
    refuse(error);
    return true;
}

// A later start of the endpoint may crash as well.
std::uint32_t RequestRun::startHash(const std::string& endpoint) const
{
    const LifecycleStatus* status = m_broker.m_parts.endpoints.lifecycle(endpoint);
    return endpointHash(status ? absl::StrCat(endpoint, "@", status->incarnation) : endpoint);
}

// A stream is whole only by its last event, and an answer of an engine only as JSON. Any other
// answer that ends with its connection may be whole or not. A stream that another attempt has
// replaced tells nothing by its end.
void RequestRun::learnCrash(const Attempt& attempt, const HttpResult& result, Outcome outcome)
{
    if (attempt.target != AttemptTarget::Endpoint)
        return;
    TimePoint now = m_broker.m_parts.scheduler.clock().now();
    CrashSuspectTable& crashing = m_broker.m_crashing;
    bool isCurrent = m_attempts.current() && &m_attemptData.at(*m_attempts.current()) == &attempt;
    bool endsEarly = attempt.isEventStream && isCurrent && result.end == HttpEnd::Complete;
    bool isBroken = outcome == Outcome::Unknown && (result.end == HttpEnd::NoResponse || result.end == HttpEnd::Truncated || endsEarly);
    if (isBroken)
        crashing.recordBrokenConnection(suspects(), attempt.startHash, {}, now);
    if (result.end == HttpEnd::ConnectFailed)
        crashing.recordEndpointUnreachable(attempt.startHash, now);
    if (outcome != Outcome::Completed)
        return;
    bool isSuccess = attempt.head->status >= 200 && attempt.head->status < 300;
    RequestSuspects survivors = isSuccess ? suspects() : RequestSuspects { fingerprint() };
    if (!m_request.isModelCall && endsWithConnection(*attempt.head))
        crashing.recordUnframedEnd(survivors, attempt.startHash, {}, now);
    else
        crashing.recordSurvival(survivors, now);
}

} // namespace catkinwing
