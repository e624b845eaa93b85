// Hands a routed request over to another entry of the region, while this one reaches no
// endpoints or while another one fills the slots of brittle endpoints.
#include "catkinwing/Ingress/RoutedRun.h"

#include "catkinwing/Support/Logging.h"
#include <algorithm>

namespace catkinwing {

static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
/// A request that couldn't reach this many endpoints is handed over, also if others are
/// reached.
static constexpr unsigned maxUnreachedHere = 2;
/// A request that has looked for an endpoint this long without reaching any is refused: the
/// next entry would most likely be cut off as well, and may take two tenths of a second to find out.
static constexpr std::chrono::milliseconds maxCutOffSearch { 250 };

// A connection that hung may have delivered the request, but says as little of the endpoint
// as one that failed. Idle connections to endpoints that aren't reached would lose a request
// each.
void RoutedRun::recordReach(const Attempt& attempt, HttpEnd end, AttemptVerdict verdict)
{
    if (attempt.isPeerCutOff) {
        m_parts.entries.recordPeerCutOff(attempt.peer, now());
        m_triedRegions.erase(std::remove(m_triedRegions.begin(), m_triedRegions.end(), attempt.region), m_triedRegions.end());
    }
    bool hasFailed = end != HttpEnd::Complete && end != HttpEnd::Malformed && verdict != AttemptVerdict::Answered;
    if (!attempt.endpoint || attempt.head || !hasFailed)
        return;
    m_parts.metrics.count("attempts_without_endpoint");
    m_parts.endpointClient.forget(attempt.endpoint->record.address);
    m_parts.endpoints.recordUnreached(*attempt.endpoint, now());
    if (m_parts.endpoints.reach().takeNewCut(now()))
        m_parts.handleCutOff();
}

void IngressContext::handleCutOff()
{
    metrics.count("cuts_from_endpoints");
    std::vector<std::uint32_t> failed = endpoints.reach().failedEndpoints();
    logChange(LogLevel::Warning, "cut_off_from_endpoints", { { "failed_endpoints", failed.size() } });
    crashSuspects.dropBrokenByCut(failed);
    endpoints.forEach([this](const RoutedEndpoint& endpoint) {
        if (endpoint.region == region)
            endpointClient.forget(endpoint.record.address);
    });
}

// Entries of this region reach the same endpoints and are near. Forwarding to another region
// comes second. Endpoints here that haven't failed come last: the entry may not be cut off
// after all.
bool RoutedRun::handOverIfCutOff()
{
    if (!isAllowedHere())
        return false;
    bool isCutOff = m_parts.endpoints.isCutOff(m_service, now());
    if (!isCutOff && m_unreachedAttempts < maxUnreachedHere)
        return false;
    if (isCutOff && m_unreachedAttempts == 0 && m_parts.endpoints.reach().tryProbe(m_service, mayRepeat(*m_route), now()))
        return false;
    bool hasSearchedLong = m_unreachedAttempts >= maxUnreachedHere && now() - m_request.arrivedAt >= maxCutOffSearch;
    if (isCutOff && (m_request.isForwarded || hasSearchedLong))
        return refuseAsCutOff();
    if (m_request.isForwarded)
        return false;
    std::optional<SocketAddress> peer = chooseRoomHolder();
    if (!peer)
        peer = m_parts.entries.choosePeer(m_parts.region, now(), m_parts.random, m_triedEntries);
    if (peer) {
        m_parts.metrics.count("requests_handed_over");
        sendToEntry(*peer, m_parts.region, "cut_off");
        return true;
    }
    if (sendToRegion(m_service, "cut_off"))
        return true;
    return isCutOff && !m_parts.endpoints.hasUntriedEndpoint(m_service, now()) && refuseAsCutOff();
}

bool RoutedRun::refuseAsCutOff()
{
    m_notSentReason = m_possiblyDeliveredAttempts == 0 ? notSentCutOff : nullptr;
    if (m_failureHead)
        sendAnswer(*m_failureHead, std::move(m_failureBody));
    else if (m_mayHaveRun)
        sendOwnAnswer(statusBadGateway, Outcome::Unknown, "cut_off");
    else
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, "cut_off");
    return true;
}

std::optional<SocketAddress> RoutedRun::chooseRoomHolder()
{
    const ServiceSettings* settings = m_routes->findService(m_service);
    if (!settings || !m_parts.endpoints.rejectionLimit(m_service))
        return std::nullopt;
    std::vector<std::string> excluded;
    for (const SocketAddress& entry : m_triedEntries)
        excluded.push_back(entry.toString());
    std::optional<std::string> holder = m_parts.endpoints.chooseRoomHolder(*settings, excluded, now(), m_parts.random);
    if (!holder)
        return std::nullopt;
    absl::StatusOr<SocketAddress> address = parseSocketAddress(*holder);
    return address.ok() ? std::optional<SocketAddress>(*address) : std::nullopt;
}

bool RoutedRun::sendToRoomHolder()
{
    std::optional<SocketAddress> holder = m_request.isForwarded ? std::nullopt : chooseRoomHolder();
    if (!holder)
        return false;
    m_parts.metrics.count("requests_handed_over");
    sendToEntry(*holder, m_parts.region, "fills_slots");
    return true;
}

// An answer that another entry relays shows as much, unless that entry may have chosen
// another service.
void RoutedRun::recordRejectionLimit(const Attempt& attempt) const
{
    const ResponseFacts& facts = attempt.facts;
    bool isOfService = attempt.endpoint || m_route->services.size() == 1;
    bool isOwnAnswer = attempt.isForThisRequest && (facts.isEndpointAnswer || (attempt.endpoint && facts.wasNotExecuted));
    if (isOfService && (facts.rejectionLimit || (isOwnAnswer && !facts.isRejectionLimitInvalid)))
        m_parts.endpoints.recordRejectionLimit(m_service, facts.rejectionLimit, now());
}

} // namespace catkinwing
