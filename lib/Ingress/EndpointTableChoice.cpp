// Prediction of the wait at each endpoint, and the choice of an endpoint.
#include "catkinwing/Ingress/EndpointTable.h"

#include <algorithm>
#include <numeric>

namespace catkinwing {

using std::chrono::milliseconds;

/// Lower bound of the estimated work of a request.
static constexpr double minWorkSeconds = 0.001;

EndpointWork EndpointTable::pendingWork(const RoutedEndpoint& endpoint) const
{
    EndpointWorkload others = m_peerLoads.sumFor(endpoint.hash);
    EndpointWork work;
    work.requests = endpoint.requestsInFlight + others.requests;
    work.unprefilledKilotokens = static_cast<double>(endpoint.unprefilledTokens) / tokensPerKilotoken + others.unreadKilotokens;
    return work;
}

ResponseEstimate EndpointTable::responseEstimateOf(const RoutedEndpoint& endpoint, TimePoint now)
{
    return estimateResponses(endpoint.responseTimes, estimateResponses(*endpoint.serviceResponseTimes, defaultResponseEstimate(), now), now);
}

void EndpointTable::recordFirstByte(RoutedEndpoint& endpoint, double kilotokens, Duration took, TimePoint now)
{
    addFirstByteSample(endpoint.responseTimes, kilotokens, took, now);
    addFirstByteSample(*endpoint.serviceResponseTimes, kilotokens, took, now);
}

void EndpointTable::recordSlotTime(RoutedEndpoint& endpoint, Duration held, TimePoint now)
{
    addSlotTimeSample(endpoint.responseTimes, held, now);
    addSlotTimeSample(*endpoint.serviceResponseTimes, held, now);
}

void EndpointTable::recordEvents(RoutedEndpoint& endpoint, std::size_t events, Duration pause, TimePoint now)
{
    addEventSample(endpoint.responseTimes, events, pause, now);
    addEventSample(*endpoint.serviceResponseTimes, events, pause, now);
}

unsigned EndpointTable::slotsOf(const RoutedEndpoint& endpoint, const ServiceSettings& service)
{
    return endpoint.record.slots > 0 ? endpoint.record.slots : service.slots;
}

Duration EndpointTable::predictedWait(const RoutedEndpoint& endpoint, const ResponseEstimate& estimate, const EndpointWork& work, const ServiceSettings& service)
{
    return predictWait(estimate, work, slotsOf(endpoint, service));
}

// Number of concurrent requests that delay a request as much as the prefill of a thousand
// tokens ahead of it.
static constexpr double requestsPerKilotoken = 2;
/// By this time after its registration an entry knows of the others that registered then.
static constexpr milliseconds joinTime { 1'000 };

EndpointCandidate EndpointTable::candidateOf(const RoutedEndpoint& endpoint, const EndpointRequest& request, TimePoint now) const
{
    EndpointWork work = pendingWork(endpoint);
    EndpointCandidate candidate;
    candidate.incarnation = endpoint.record.incarnation;
    ResponseEstimate estimate = responseEstimateOf(endpoint, now);
    candidate.wait = predictedWait(endpoint, estimate, work, *request.service);
    candidate.load = candidate.wait + std::chrono::duration_cast<Duration>(timePerKilotoken(estimate) * (work.requests / requestsPerKilotoken))
        + std::chrono::duration_cast<Duration>(timePerEvent(estimate) * request.expectedEvents);
    candidate.isSuspect = isSuspect(endpoint, now);
    candidate.isLimited = endpoint.limit.named.perSecond.has_value();
    candidate.isTooBusy = request.demand && candidate.wait > maxQueueWait(*request.demand, idleFirstByte(estimate));
    return candidate;
}

// Divides the connections that an endpoint accepts among the entries of the region.
bool EndpointTable::hasFreeConnection(const RoutedEndpoint& endpoint, const ServiceSettings& service) const
{
    if (service.maxConnections == 0)
        return true;
    std::size_t share = std::max<std::size_t>(service.maxConnections / std::max<std::size_t>(m_sharers.size(), 1), 1);
    return endpoint.requestsInFlight < share;
}

bool EndpointTable::hasMemory(const RoutedEndpoint& endpoint, const EndpointRequest& request) const
{
    constexpr std::int64_t tokensPerUnit = 1'000;
    HeldMemory held { endpoint.heldTokens, m_peerLoads.sumFor(endpoint.hash).heldKilotokens * tokensPerUnit };
    return hasMemoryFor(held, request.memoryTokens, request.service->memoryTokens);
}

bool EndpointTable::tryTakeColdToken(RoutedEndpoint& endpoint, const ServiceSettings& service, TimePoint now) const
{
    if (now >= endpoint.coldUntil || service.coldRequestsPerSecond <= 0) {
        endpoint.coldRateLimit.reset();
        return true;
    }
    SharedRate totalRate = m_coldTolerance;
    totalRate.perSecond = service.coldRequestsPerSecond;
    RateShare share = divideRate(m_sharers, m_ownName, endpoint.record.incarnation, totalRate);
    if (share.burst <= 0)
        return false;
    // A cold endpoint gets its requests one by one.
    TokenRate rate { share.perSecond, 1 };
    if (!endpoint.coldRateLimit) {
        endpoint.coldRateLimit.emplace(rate, now);
        // Others that start now may also believe that they have a share.
        if (now - m_joinedSharersAt < joinTime)
            endpoint.coldRateLimit->takeIntoDebt(1, now);
    }
    endpoint.coldRateLimit->setRate(rate, now);
    return endpoint.coldRateLimit->tryTake(1, now);
}

EndpointDemand EndpointTable::demandOf(const EndpointRequest& request)
{
    EndpointDemand demand;
    demand.sharedSegment = request.sharedSegment;
    ResponseEstimate defaults = defaultResponseEstimate();
    demand.prefillTime = std::chrono::duration_cast<Duration>(timePerKilotoken(defaults) * (static_cast<double>(request.sharedTokens) / tokensPerKilotoken));
    if (request.demand)
        demand.maxWait = maxQueueWait(*request.demand, idleFirstByte(defaults));
    return demand;
}

std::shared_ptr<RoutedEndpoint> EndpointTable::choose(const EndpointRequest& request, TimePoint now, Random& random)
{
    auto found = m_endpointsByService.find(request.service->name);
    if (found == m_endpointsByService.end())
        return nullptr;
    m_segmentHolders.setCacheSize(request.service->memoryTokens);
    const Endpoints& endpoints = found->second;
    std::uint32_t segment = segmentHash(request.sharedSegment);
    std::optional<double> rejections = rejectionLimit(request.service->name);
    // An entry that can't know of a new version yet concludes that streams began at another one.
    const ServiceVersions& versions = versionsOf(request.service->name);
    bool avoidsNewVersions = request.beginsResumableStream && hasEstablishedVersion(endpoints, versions, now);
    std::vector<EndpointCandidate> candidates;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        RoutedEndpoint& endpoint = *endpoints[i];
        bool isEligible = endpoint.region == m_region && isAvailable(endpoint, now) && hasFreeConnection(endpoint, *request.service);
        if (!isEligible || !EndpointLimits::hasRequest(endpoint.limit, now))
            continue;
        if (request.build && (endpoint.build != *request.build || mayHaveRestarted(endpoint, now)))
            continue;
        if (avoidsNewVersions && !versions.isEstablished(endpoint.build, now))
            continue;
        if (request.isMixed && !hasMemory(endpoint, request)) {
            ++m_passedOver.lackMemory;
            continue;
        }
        if (rejections && !mayFillSlot(endpoint, *request.service, *rejections, now))
            continue;
        const std::vector<std::string>& tried = *request.attemptedIncarnations;
        bool wasTried = std::find(tried.begin(), tried.end(), endpoint.record.incarnation) != tried.end();
        if (wasTried && !request.allowsAttempted)
            continue;
        EndpointCandidate candidate = candidateOf(endpoint, request, now);
        candidate.cachesSegment = !request.sharedSegment.empty() && m_segmentHolders.holds(endpoint.hash, segment);
        candidate.index = i;
        candidate.isSuspect |= wasTried;
        if (!candidate.isSuspect || !request.excludesSuspects)
            candidates.push_back(candidate);
    }
    EndpointDemand demand = demandOf(request);
    auto chooseNext = [&] { return request.isMixed ? chooseMixed(endpoints, candidates, request, now, random) : chooseEndpoint(candidates, demand, random); };
    while (std::optional<std::size_t> index = chooseNext()) {
        if (tryTakeColdToken(*endpoints[*index], *request.service, now) && EndpointLimits::tryTake(endpoints[*index]->limit, now)) {
            if (rejections)
                recordRoomAttempt(endpoints[*index]->room, now);
            return endpoints[*index];
        }
        candidates.erase(std::find_if(candidates.begin(), candidates.end(), [&](const auto& candidate) { return candidate.index == *index; }));
    }
    return nullptr;
}

std::vector<std::shared_ptr<RoutedEndpoint>> EndpointTable::endpointsWithoutRequest(absl::string_view service, TimePoint now) const
{
    Endpoints endpoints;
    auto found = m_endpointsByService.find(service);
    if (found == m_endpointsByService.end())
        return endpoints;
    for (const auto& endpoint : found->second) {
        if (endpoint->region == m_region && isAvailable(*endpoint, now) && !EndpointLimits::hasRequest(endpoint->limit, now))
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

bool EndpointTable::areLimitsUsedUp(absl::string_view service, TimePoint now) const
{
    auto found = m_endpointsByService.find(service);
    if (found == m_endpointsByService.end())
        return false;
    bool hasAvailable = false;
    for (const auto& endpoint : found->second) {
        if (endpoint->region != m_region || !isAvailable(*endpoint, now))
            continue;
        if (EndpointLimits::hasRequest(endpoint->limit, now))
            return false;
        hasAvailable = true;
    }
    return hasAvailable;
}

// Returns the endpoints of this region that have room for requests in addition to those
// that are sent there now. An endpoint with a limit has none while others have no limit.
EndpointTable::Endpoints EndpointTable::endpointsWithRoom(const ServiceSettings& service, TimePoint now) const
{
    Endpoints unlimited;
    Endpoints limited;
    auto found = m_endpointsByService.find(service.name);
    if (found == m_endpointsByService.end())
        return unlimited;
    for (const auto& endpoint : found->second) {
        bool isCold = now < endpoint->coldUntil && service.coldRequestsPerSecond > 0;
        if (endpoint->region != m_region || !isAvailable(*endpoint, now) || isCold || isSuspect(*endpoint, now))
            continue;
        if (!endpoint->limit.named.perSecond)
            unlimited.push_back(endpoint);
        else if (EndpointLimits::hasRequest(endpoint->limit, now))
            limited.push_back(endpoint);
    }
    return unlimited.empty() ? limited : unlimited;
}

// Averages the waits over the less busy half of the endpoints, since requests are sent to
// endpoints of that half.
ServiceOutlook EndpointTable::outlook(const ServiceSettings& service, TimePoint now) const
{
    ServiceOutlook outlook;
    outlook.service = serviceHash(service.name);
    std::vector<Duration> waits;
    Duration prefill { 0 };
    Duration events { 0 };
    for (const auto& endpoint : endpointsWithRoom(service, now)) {
        ResponseEstimate estimate = responseEstimateOf(*endpoint, now);
        waits.push_back(predictedWait(*endpoint, estimate, pendingWork(*endpoint), service));
        prefill += timePerKilotoken(estimate);
        events += timePerEvent(estimate);
    }
    if (waits.empty())
        return outlook;
    std::size_t half = (waits.size() + 1) / 2;
    std::partial_sort(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(half), waits.end());
    Duration sum = std::accumulate(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(half), Duration::zero());
    outlook.endpoints = static_cast<std::uint32_t>(waits.size());
    outlook.wait = std::chrono::duration_cast<milliseconds>(sum / half);
    outlook.perKilotoken = std::chrono::duration_cast<std::chrono::microseconds>(prefill / waits.size());
    outlook.perEvent = std::chrono::duration_cast<std::chrono::microseconds>(events / waits.size());
    return outlook;
}

// The work of a request at an endpoint is the prefill time of its prompt or the time that it
// occupies a slot divided by the number of slots, whichever is longer.
Duration EndpointTable::requestInterval(absl::string_view service, std::int64_t promptTokens, TimePoint now) const
{
    auto found = m_endpointsByService.find(service);
    double perSecond = 0;
    if (found == m_endpointsByService.end())
        return Duration::zero();
    for (const auto& endpoint : found->second) {
        if (endpoint->region != m_region || !isUsable(*endpoint))
            continue;
        ResponseEstimate estimate = responseEstimateOf(*endpoint, now);
        double prefill = estimate.secondsPerKilotoken * static_cast<double>(promptTokens) / tokensPerKilotoken;
        double slotTime = estimate.slotSeconds / std::max(endpoint->record.slots, 1u);
        double possible = 1 / std::max({ prefill, slotTime, minWorkSeconds });
        perSecond += std::min(possible, endpoint->limit.named.perSecond.value_or(possible));
    }
    if (perSecond <= 0)
        return Duration::zero();
    auto listed = std::count_if(m_sharers.begin(), m_sharers.end(), [](const RateSharer& sharer) { return sharer.isListed; });
    double entries = static_cast<double>(std::max<std::ptrdiff_t>(listed, 1));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(entries / perSecond));
}

} // namespace catkinwing
