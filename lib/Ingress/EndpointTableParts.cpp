// Tracks which endpoints and regions cache shared prompt segments.
#include "catkinwing/Ingress/EndpointTable.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

/// Maximum number of sent segments in a load report, so that the report fits a datagram.
static constexpr std::size_t maxPartsReported = 64;

std::uint32_t EndpointTable::placeHash(absl::string_view region)
{
    return endpointHash(region);
}

std::int64_t EndpointTable::tokensToRead(const RoutedEndpoint& endpoint, std::int64_t promptTokens, std::int64_t sharedTokens, absl::string_view sharedPart, TimePoint now)
{
    if (sharedPart.empty())
        return promptTokens;
    std::uint32_t part = partHash(sharedPart);
    bool isKept = m_partHolders.holds(endpoint.hash, part);
    std::int64_t toRead = isKept ? std::max<std::int64_t>(promptTokens - sharedTokens, 0) : promptTokens;
    auto kilotokens = static_cast<std::uint32_t>(std::lround(static_cast<double>(toRead) / tokensPerKilotoken));
    m_partHolders.noteSent(endpoint.hash, part, kilotokens);
    m_partRegions.noteSent(part, placeHash(m_region), now);
    reportPart({ endpoint.hash, part, kilotokens });
    return toRead;
}

void EndpointTable::reportPart(const PartSent& sent)
{
    if (m_partsSent.size() < maxPartsReported)
        m_partsSent.push_back(sent);
}

void EndpointTable::noteSentToRegion(const std::string& region, absl::string_view sharedPart, TimePoint now)
{
    std::uint32_t part = partHash(sharedPart);
    m_partRegions.noteSent(part, placeHash(region), now);
    reportPart({ placeHash(region), part, 0 });
}

void EndpointTable::noteNotRead(const RoutedEndpoint& endpoint, absl::string_view sharedPart)
{
    m_partHolders.forget(endpoint.hash, partHash(sharedPart));
}

void EndpointTable::takePartsSent(const std::vector<PartSent>& parts, TimePoint now)
{
    for (const PartSent& sent : parts) {
        bool isElsewhere = m_regionOfPlace.count(sent.place) > 0;
        m_partRegions.noteSent(sent.part, isElsewhere ? sent.place : placeHash(m_region), now);
        if (!isElsewhere)
            m_partHolders.noteSent(sent.place, sent.part, sent.kilotokens);
    }
}

std::optional<Duration> EndpointTable::waitForHolder(const ServiceSettings& service, absl::string_view sharedPart, TimePoint now) const
{
    auto found = m_ofService.find(service.name);
    if (found == m_ofService.end())
        return std::nullopt;
    std::uint32_t part = partHash(sharedPart);
    std::optional<Duration> least;
    for (const auto& endpoint : found->second) {
        if (endpoint->region != m_region || !m_partHolders.holds(endpoint->hash, part) || !isOpen(*endpoint, now) || isSuspect(*endpoint, now))
            continue;
        Duration wait = waitAt(*endpoint, answersOf(*endpoint, now), workOf(*endpoint), service);
        if (!least || wait < *least)
            least = wait;
    }
    return least;
}

static bool isAllowedIn(const std::string& region, const std::vector<std::string>& regions)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::optional<std::string> EndpointTable::regionOfPart(absl::string_view service, absl::string_view sharedPart, const std::vector<std::string>& regions, TimePoint now) const
{
    auto found = m_ofService.find(service);
    if (found == m_ofService.end())
        return std::nullopt;
    std::optional<std::uint32_t> lastUsed = m_partRegions.regionOf(partHash(sharedPart), now);
    auto place = lastUsed ? m_regionOfPlace.find(*lastUsed) : m_regionOfPlace.end();
    const std::string* usedIn = place == m_regionOfPlace.end() ? nullptr : &place->second;
    const RoutedEndpoint* owner = nullptr;
    std::uint64_t best = 0;
    for (const auto& endpoint : found->second) {
        if (!isAllowedIn(endpoint->region, regions) || !isUsable(*endpoint))
            continue;
        if (usedIn && endpoint->region == *usedIn)
            return *usedIn;
        std::uint64_t score = ownershipScore(endpoint->record.incarnation, sharedPart);
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
