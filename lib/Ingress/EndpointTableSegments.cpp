// Tracks which endpoints and regions cache shared prompt segments.
#include "catkinwing/Ingress/EndpointTable.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

/// Maximum number of sent segments in a load report, so that the report fits a datagram.
static constexpr std::size_t maxSegmentsReported = 64;

std::uint32_t EndpointTable::reportedRegionHash(absl::string_view region)
{
    return endpointHash(region);
}

std::int64_t EndpointTable::recordSegmentAndGetPrefillTokens(const RoutedEndpoint& endpoint, std::int64_t promptTokens, std::int64_t sharedTokens, absl::string_view sharedSegment, TimePoint now, bool isFetched)
{
    if (sharedSegment.empty())
        return promptTokens;
    std::uint32_t segment = segmentHash(sharedSegment);
    bool isCached = m_segmentHolders.holds(endpoint.hash, segment);
    std::int64_t tokens = isCached ? std::max<std::int64_t>(promptTokens - sharedTokens, 0) : promptTokens;
    auto kilotokens = static_cast<std::uint32_t>(std::lround(static_cast<double>(tokens) / tokensPerKilotoken));
    m_segmentHolders.recordSent(endpoint.hash, segment, kilotokens);
    m_segmentRegions.recordSent(segment, reportedRegionHash(m_region), now);
    addSentSegment({ endpoint.hash, segment, kilotokens });
    return isFetched ? std::max<std::int64_t>(promptTokens - sharedTokens, 0) : tokens;
}

static SegmentTransfer transferOf(const ServiceSettings& service)
{
    return { service.tokenBytes, service.transferBitsPerSecond };
}

std::vector<SegmentSource> EndpointTable::fetchSources(const Endpoints& endpoints, const EndpointRequest& request, const RoutedEndpoint* target, TimePoint now) const
{
    std::vector<SegmentSource> sources;
    bool isPossible = request.isMixed && !request.sharedSegment.empty() && request.service->tokenBytes > 0;
    if (!isPossible)
        return sources;
    std::uint32_t segment = segmentHash(request.sharedSegment);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const RoutedEndpoint& endpoint = *endpoints[i];
        bool isSuitable = &endpoint != target && endpoint.region == m_region && m_segmentHolders.holds(endpoint.hash, segment)
            && isUsable(endpoint) && now >= endpoint.coldUntil && !isSuspect(endpoint, now);
        if (!isSuitable || (target && target->build != endpoint.build))
            continue;
        Duration wait = predictedWait(endpoint, responseEstimateOf(endpoint, now), pendingWork(endpoint), *request.service);
        sources.push_back({ i, wait, endpoint.segmentTransfers });
    }
    return sources;
}

std::shared_ptr<RoutedEndpoint> EndpointTable::chooseFetchSource(const RoutedEndpoint& target, const EndpointRequest& request, TimePoint now) const
{
    auto found = m_endpointsByService.find(request.service->name);
    bool isCached = m_segmentHolders.holds(target.hash, segmentHash(request.sharedSegment));
    if (found == m_endpointsByService.end() || isCached)
        return nullptr;
    std::vector<SegmentSource> sources = fetchSources(found->second, request, &target, now);
    Duration prefill = std::chrono::duration_cast<Duration>(timePerKilotoken(responseEstimateOf(target, now)) * (static_cast<double>(request.sharedTokens) / tokensPerKilotoken));
    std::optional<std::size_t> source = catkinwing::chooseFetchSource(sources, transferOf(*request.service), request.sharedTokens, prefill);
    return source ? found->second[*source] : nullptr;
}

Duration EndpointTable::prefillTimeAt(const EndpointRequest& request, const ResponseEstimate& estimate, bool isCached, std::optional<Duration> fetchTime)
{
    auto timeFor = [&estimate](std::int64_t tokens) { return std::chrono::duration_cast<Duration>(timePerKilotoken(estimate) * (static_cast<double>(std::max<std::int64_t>(tokens, 0)) / tokensPerKilotoken)); };
    Duration own = timeFor(request.promptTokens - request.sharedTokens);
    if (isCached)
        return own;
    Duration shared = timeFor(request.sharedTokens);
    return own + (fetchTime ? std::min(*fetchTime, shared) : shared);
}

std::optional<std::size_t> EndpointTable::chooseMixed(const Endpoints& endpoints, const std::vector<EndpointCandidate>& candidates, const EndpointRequest& request, TimePoint now, Random& random)
{
    std::optional<Duration> fetchTime;
    for (const SegmentSource& source : fetchSources(endpoints, request, nullptr, now)) {
        std::optional<Duration> time = transferTime(transferOf(*request.service), request.sharedTokens, source.transfers);
        if (time && (!fetchTime || *time < *fetchTime))
            fetchTime = time;
    }
    std::vector<PlacementCandidate> placements;
    placements.reserve(candidates.size());
    for (const EndpointCandidate& candidate : candidates) {
        const RoutedEndpoint& endpoint = *endpoints[candidate.index];
        ResponseEstimate estimate = responseEstimateOf(endpoint, now);
        PlacementCandidate placement;
        placement.index = candidate.index;
        placement.incarnation = candidate.incarnation;
        placement.wait = candidate.wait;
        placement.prefill = prefillTimeAt(request, estimate, candidate.cachesSegment, fetchTime);
        if (!candidate.cachesSegment)
            placement.evicted = std::chrono::duration_cast<Duration>(timePerKilotoken(estimate) * (static_cast<double>(request.sharedTokens) / tokensPerKilotoken));
        placement.decode = candidate.load - candidate.wait;
        placement.requests = pendingWork(endpoint).requests;
        placement.slots = slotsOf(endpoint, *request.service);
        placement.isSuspect = candidate.isSuspect;
        bool canEnd = !request.demand || canEndInTime({ placement.wait, placement.prefill, placement.decode }, request.demand->timeLeft);
        m_passedOver.cannotEnd += canEnd ? 0 : 1;
        placement.isTooBusy = candidate.isTooBusy || !canEnd;
        placement.isLimited = candidate.isLimited;
        placement.cachesSegment = candidate.cachesSegment;
        placements.push_back(placement);
    }
    return choosePlacement(placements, request.sharedSegment, random);
}

void EndpointTable::addSentSegment(const PartSent& sent)
{
    if (m_segmentsSent.size() < maxSegmentsReported)
        m_segmentsSent.push_back(sent);
}

void EndpointTable::recordSentToRegion(const std::string& region, absl::string_view sharedSegment, TimePoint now)
{
    std::uint32_t segment = segmentHash(sharedSegment);
    m_segmentRegions.recordSent(segment, reportedRegionHash(region), now);
    addSentSegment({ reportedRegionHash(region), segment, 0 });
}

void EndpointTable::removeSegment(const RoutedEndpoint& endpoint, absl::string_view sharedSegment)
{
    m_segmentHolders.remove(endpoint.hash, segmentHash(sharedSegment));
}

void EndpointTable::recordPeerSegments(const std::vector<PartSent>& segments, TimePoint now)
{
    for (const PartSent& sent : segments) {
        bool isRegion = m_regionByHash.count(sent.place) > 0;
        m_segmentRegions.recordSent(sent.part, isRegion ? sent.place : reportedRegionHash(m_region), now);
        if (!isRegion)
            m_segmentHolders.recordSent(sent.place, sent.part, sent.kilotokens);
    }
}

std::optional<Duration> EndpointTable::minWaitForSegment(const ServiceSettings& service, absl::string_view sharedSegment, TimePoint now) const
{
    auto found = m_endpointsByService.find(service.name);
    if (found == m_endpointsByService.end())
        return std::nullopt;
    std::uint32_t segment = segmentHash(sharedSegment);
    std::optional<Duration> shortest;
    for (const auto& endpoint : found->second) {
        if (endpoint->region != m_region || !m_segmentHolders.holds(endpoint->hash, segment) || !isAvailable(*endpoint, now) || isSuspect(*endpoint, now))
            continue;
        if (!EndpointLimits::hasRequest(endpoint->limit, now))
            continue;
        Duration wait = predictedWait(*endpoint, responseEstimateOf(*endpoint, now), pendingWork(*endpoint), service);
        if (!shortest || wait < *shortest)
            shortest = wait;
    }
    return shortest;
}

static bool isAllowedIn(const std::string& region, const std::vector<std::string>& regions)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::optional<std::string> EndpointTable::regionOfSegment(absl::string_view service, absl::string_view sharedSegment, const std::vector<std::string>& regions, TimePoint now) const
{
    auto found = m_endpointsByService.find(service);
    if (found == m_endpointsByService.end())
        return std::nullopt;
    std::optional<std::uint32_t> lastUsed = m_segmentRegions.regionOf(segmentHash(sharedSegment), now);
    auto region = lastUsed ? m_regionByHash.find(*lastUsed) : m_regionByHash.end();
    const std::string* lastRegion = region == m_regionByHash.end() ? nullptr : &region->second;
    const RoutedEndpoint* owner = nullptr;
    std::uint64_t best = 0;
    for (const auto& endpoint : found->second) {
        if (!isAllowedIn(endpoint->region, regions) || !isUsable(*endpoint))
            continue;
        if (lastRegion && endpoint->region == *lastRegion)
            return *lastRegion;
        std::uint64_t score = ownershipScore(endpoint->record.incarnation, sharedSegment);
        if (owner && score <= best)
            continue;
        owner = endpoint.get();
        best = score;
    }
    if (!owner)
        return std::nullopt;
    return owner->region;
}

} // namespace catkinwing
