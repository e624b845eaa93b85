// Keeps a stream at the software version that began it.
#include "catkinwing/Ingress/RoutedRun.h"

#include "catkinwing/Routing/RequestIdentity.h"
#include <algorithm>

namespace catkinwing {

static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;

bool RoutedRun::isResumableStream() const
{
    return m_route->kind == RequestKind::Streaming && m_route->isResumable;
}

// Another caller, workspace or route that names the same attempt asks for another stream.
RequestFingerprint RoutedRun::streamFingerprint() const
{
    const RequestFacts& facts = m_request.facts;
    const std::string& attempt = facts.resumedAttemptId.empty() ? facts.attemptId : facts.resumedAttemptId;
    return fingerprintOf({ facts.host, facts.caller + m_workspaceName, "stream", m_request.http.path, attempt, {} });
}

// Where a route has several services, or was moved to another one while the stream may have
// run, the only version of a service doesn't tell which service began the stream.
std::string RoutedRun::concludableService() const
{
    auto moved = m_parts.routesMovedAt.find(m_route->name);
    bool wasMoved = moved != m_parts.routesMovedAt.end() && now() - moved->second < m_parts.endpoints.streamLifetime();
    return m_route->services.size() == 1 && !wasMoved ? m_service : std::string();
}

// An entry outside of the regions that may process the request leaves it to one of them to
// find out. An entry that forwards the rest of a broken stream, or the attempt of a client
// that names no earlier one, may not know that this one needs the version.
void RoutedRun::resolveStreamBuild()
{
    m_isStreamBound = isResumableStream() && m_request.facts.resumeAfter;
    if (!m_isStreamBound || !isAllowedHere()) {
        dispatch();
        return;
    }
    m_parts.metrics.count("streams_resumed");
    if (m_request.streamBuild || !m_parts.streamOrigins) {
        onStreamBuildResolved(m_request.streamBuild ? m_request.streamBuild : m_parts.endpoints.soleVersion(concludableService(), now()));
        return;
    }
    m_parts.streamOrigins->resolve(streamFingerprint(), concludableService(), m_homeRegions, [self = shared_from_this()](std::optional<BuildId> build) {
        if (!self->m_isDone)
            self->onStreamBuildResolved(build);
    });
}

void RoutedRun::onStreamBuildResolved(std::optional<BuildId> build)
{
    if (!build) {
        m_parts.metrics.count("streams_of_unknown_version");
        refuseForVersion("stream_version_unknown");
        return;
    }
    m_streamBuild = build;
    // The route may divide its requests among services, and only one of them has the version.
    for (const WeightedService& service : m_route->services) {
        if (m_parts.endpoints.hasBuild(service.service, *build))
            m_service = service.service;
    }
    dispatch();
}

// Endpoints that pause or are evacuated may serve again soon, but hardly before the client's
// deadline.
bool RoutedRun::refuseIfVersionGone()
{
    if (!m_streamBuild)
        return false;
    std::map<std::string, std::size_t> usable = m_parts.endpoints.usableByRegion(m_service, now(), m_streamBuild);
    auto isReachable = [this](const auto& region) {
        bool isHere = region.first == m_parts.region;
        return isHome(region.first) && (isHere || !m_request.isForwarded);
    };
    if (std::any_of(usable.begin(), usable.end(), isReachable))
        return false;
    m_parts.metrics.count("streams_without_version");
    refuseForVersion("stream_version_gone");
    return true;
}

void RoutedRun::refuseForVersion(const char* reason)
{
    m_omitsRetryAfter = true;
    if (m_possiblyDeliveredAttempts == 0)
        m_notSentReason = notSentNoVersion;
    if (m_mayHaveRun)
        sendOwnAnswer(statusBadGateway, Outcome::Unknown, reason);
    else
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, reason);
}

// The head of an answer comes with or before its first event, so that other entries know of
// the version when the client can have seen an event.
void RoutedRun::stateStreamBuild(const Attempt& attempt)
{
    if (!isResumableStream() || !m_parts.streamOrigins || !isAllowedHere())
        return;
    StartedStream stream { streamFingerprint(), concludableService(), attempt.build.value_or(uncertainBuild), attempt.endpoint ? attempt.endpoint->hash : 0, m_homeRegions };
    m_parts.streamOrigins->state(std::move(stream));
}

void RoutedRun::updateStreamBuild(const Attempt& attempt)
{
    bool needsNoUpdate = !attempt.endpoint || !attempt.isEventStream || attempt.build;
    if (needsNoUpdate || m_parts.endpoints.mayHaveRestarted(*attempt.endpoint, now()))
        return;
    m_attempt->build = attempt.endpoint->build;
    if (attempt.hasBroughtEvents)
        m_streamBuild = attempt.endpoint->build;
    stateStreamBuild(*m_attempt);
}

bool RoutedRun::bindStream(const Attempt& attempt)
{
    if (!isResumableStream())
        return true;
    updateStreamBuild(attempt);
    if (m_streamBuild && attempt.build != m_streamBuild) {
        abandonAttempt("other_software_version");
        return false;
    }
    if (!m_hasSentHead)
        m_streamBuild = attempt.build;
    m_isStreamBound = true;
    m_attempt->hasBroughtEvents = true;
    return true;
}

} // namespace catkinwing
