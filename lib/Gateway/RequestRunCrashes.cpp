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

bool RequestRun::refuseIfCrashing()
{
    TimePoint now = m_broker.m_parts.scheduler.clock().now();
    std::optional<Duration> left = m_broker.m_crashing.isEmpty() ? std::nullopt : m_broker.m_crashing.remainingRefusal(fingerprint(), now);
    if (!left)
        return false;
    bool mayHaveRun = m_attempts.mayHaveRun();
    ApiError error;
    error.status = mayHaveRun ? 502 : 503;
    error.code = "crashes_endpoints";
    error.message = absl::StrCat("endpoints crashed when they ran this request", mayHaveRun ? "" : "; it was not run now");
    error.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*left);
    refuse(error);
    return true;
}

// A later start of the endpoint may crash as well.
std::uint32_t RequestRun::startHash(const std::string& endpoint) const
{
    const LifecycleStatus* status = m_broker.m_parts.endpoints.lifecycle(endpoint);
    return endpointHash(status ? absl::StrCat(endpoint, "@", status->incarnation) : endpoint);
}

void RequestRun::learnCrash(const Attempt& attempt, const HttpResult& result, Outcome outcome)
{
    if (attempt.target != AttemptTarget::Endpoint)
        return;
    TimePoint now = m_broker.m_parts.scheduler.clock().now();
    CrashingRequests& crashing = m_broker.m_crashing;
    bool isBroken = outcome == Outcome::Unknown && (result.end == HttpEnd::NoResponse || result.end == HttpEnd::Truncated);
    if (isBroken)
        crashing.recordBrokenConnection(fingerprint(), attempt.startHash, {}, now);
    if (result.end == HttpEnd::ConnectFailed)
        crashing.recordEndpointUnreachable(attempt.startHash, now);
    if (outcome == Outcome::Completed && !crashing.isEmpty())
        crashing.recordSurvival(fingerprint(), now);
}

} // namespace catkinwing
