// Moves a routed request from an endpoint that is silent to another one.
#include "catkinwing/Ingress/RoutedRun.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// A region whose acceptance is below this may refuse the request, and the attempt would have been
/// given up for nothing.
static constexpr double minAcceptance = 0.9;

// A silent endpoint may go on at any time. Its attempt is given up only if another one can be
// made: all that allows it is checked on the state after the attempt, the target is chosen, and
// then exactly that is done.
void RoutedRun::replaceSilentAttempt()
{
    // A connection that isn't open yet has a timeout of its own.
    if (!m_attempt->exchange->mayHaveReachedServer())
        return;
    updateStreamBuild(*m_attempt);
    if (const char* obstacle = obstacleToReplacement()) {
        recordKept(obstacle);
        return;
    }
    std::optional<Replacement> replacement = chooseReplacement();
    if (!replacement) {
        recordKept("no_target");
        return;
    }
    m_parts.retryBudgetOf(m_service).tryRetry(now(), retryOrder(1));
    ++m_replacedAttempts;
    m_parts.metrics.count("retries");
    m_parts.metrics.count("silent_attempts_replaced");
    std::string silent = m_attempt->endpoint->record.incarnation;
    m_attempt->exchange->cancel();
    recordAttemptEnd(HttpEnd::Malformed, true, "endpoint_silent");
    m_attempt.reset();
    startReplacement(std::move(*replacement));
    // It has refused nothing, so the request may return there if the replacement is refused.
    m_triedEndpoints.erase(std::remove(m_triedEndpoints.begin(), m_triedEndpoints.end(), silent), m_triedEndpoints.end());
}

const char* RoutedRun::obstacleToReplacement()
{
    if (m_isReadingPaused)
        return "reading_paused";
    if (m_hasSentHead && isResumableStream() && !m_streamBuild)
        return "stream_version_unknown";
    RunProgress after = progress(1);
    bool hasRetryBudget = std::exchange(after.hasRetryBudget, true);
    if (decideNext(AttemptVerdict::Unknown, after) != NextStep::Retry)
        return "no_attempt_left";
    if (!hasRetryBudget)
        return "retry_budget";
    return mayMoveDespiteCrashes() ? nullptr : "crash_unsettled";
}

std::optional<RoutedRun::Replacement> RoutedRun::chooseReplacement()
{
    // One refusal for lack of room makes others likely.
    bool isRefusalLikelyHere = m_wasRefusedHere || m_parts.endpoints.isCutOff(m_service, now());
    std::optional<Replacement> replacement;
    if (!isRefusalLikelyHere)
        replacement = chooseReplacementEndpoint();
    return replacement ? replacement : chooseReplacementEntry();
}

std::optional<RoutedRun::Replacement> RoutedRun::chooseReplacementEndpoint()
{
    EndpointRequest request = endpointRequest();
    if (!request.service)
        return std::nullopt;
    WaitLimitInputs demand = waitDemand();
    request.demand = &demand;
    request.excludesSuspects = true;
    std::shared_ptr<RoutedEndpoint> endpoint = m_parts.endpoints.choose(request, now(), m_parts.random);
    return endpoint ? std::optional<Replacement>({ std::move(endpoint), {}, m_parts.region }) : std::nullopt;
}

// Another entry may be cut off as well, or all endpoints of its region may be silent, so only one
// that has just relayed an answer is certain. Entries of this region are chosen only while this one
// is cut off from the endpoints that they share.
std::optional<RoutedRun::Replacement> RoutedRun::chooseReplacementEntry()
{
    if (m_request.isForwarded || m_parts.endpoints.rejectionLimit(m_service))
        return std::nullopt;
    std::vector<std::string> regions;
    if (m_parts.endpoints.isCutOff(m_service, now()))
        regions.push_back(m_parts.region);
    Duration longest = maxWait();
    for (const auto& [region, usable] : untriedRegions(m_service)) {
        std::optional<Duration> wait = expectedWaitIn(region);
        if (regionAcceptance().acceptanceOf(region, now()) >= minAcceptance && (!wait || *wait <= longest))
            regions.push_back(region);
    }
    for (const std::string& region : regions) {
        if (std::optional<SocketAddress> peer = m_parts.entries.chooseServingPeer(region, m_service, now(), m_parts.random, m_triedEntries))
            return Replacement { nullptr, *peer, region };
    }
    return std::nullopt;
}

void RoutedRun::recordKept(const char* reason)
{
    if (m_attempt->keptBecause == reason)
        return;
    if (!std::exchange(m_attempt->keptBecause, reason))
        m_parts.metrics.count("silent_attempts_kept");
    if (!m_parts.log.admitsNotable())
        return;
    m_parts.log.write(LogLevel::Info, "silent_attempt_kept",
        { { "request", m_request.facts.attemptId }, { "route", m_route->name }, { "to", m_lastTarget }, { "reason", reason }, { "attempt", m_attemptCount },
            { "took_ms", std::chrono::duration_cast<milliseconds>(now() - m_attempt->startedAt).count() } });
}

void RoutedRun::startReplacement(Replacement replacement)
{
    if (!m_parts.crashSuspects.isEmpty())
        recordTurnAfterCrash();
    if (replacement.endpoint)
        startAtEndpoint(std::move(replacement.endpoint), "endpoint_silent");
    else if (replacement.region == m_parts.region)
        sendToEntry(replacement.peer, replacement.region, "cut_off");
    else
        sendToRegionEntry(replacement.peer, replacement.region, "endpoint_silent");
}

} // namespace catkinwing
