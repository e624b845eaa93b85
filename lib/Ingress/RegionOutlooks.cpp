#include "catkinwing/Ingress/RegionOutlooks.h"

#include "catkinwing/Routing/ResponseTimes.h"
#include <algorithm>
#include <cmath>

namespace catkinwing {

/// Regions report several times a second. Waiting times of an older report are not used.
static constexpr std::chrono::milliseconds reportLifetime { 1'500 };
/// Mean time until the reports of a region include a request that was sent there: the
/// round trip between the regions and one report interval.
static constexpr std::chrono::milliseconds meanReportDelay { 300 };
/// Expected wait in a region without endpoints. No request may wait this long.
static constexpr std::chrono::hours noEndpointWait { 1 };
/// Max number of entries of a region whose last sequence number is kept.
static constexpr std::size_t maxTrackedEntries = 256;

void RegionOutlooks::update(const RegionReport& report, TimePoint now)
{
    Region& region = m_regions[report.region];
    if (region.sequences.size() >= maxTrackedEntries)
        region.sequences.clear();
    std::uint64_t& sequence = region.sequences[report.entry];
    if (report.sequence <= sequence)
        return;
    sequence = report.sequence;
    region.at = now;
    for (const ServiceOutlook& outlook : report.services) {
        ReceivedOutlook& received = region.services[outlook.service];
        received.outlook = outlook;
        received.at = now;
    }
}

double RegionOutlooks::unreportedKilotokens(const ReceivedOutlook& received, TimePoint now)
{
    double elapsedDelays = std::chrono::duration<double>(now - received.sentAt) / meanReportDelay;
    return received.sentKilotokens * std::exp(-elapsedDelays);
}

void RegionOutlooks::recordSent(const std::string& region, absl::string_view service, std::int64_t tokens, TimePoint now)
{
    auto found = m_regions.find(region);
    if (found == m_regions.end())
        return;
    auto received = found->second.services.find(serviceHash(service));
    if (received == found->second.services.end())
        return;
    received->second.sentKilotokens = unreportedKilotokens(received->second, now) + static_cast<double>(tokens) / tokensPerKilotoken;
    received->second.sentAt = now;
}

std::optional<Duration> RegionOutlooks::estimatedWait(const std::string& region, absl::string_view service, TimePoint now) const
{
    auto found = m_regions.find(region);
    if (found == m_regions.end())
        return std::nullopt;
    auto entry = found->second.services.find(serviceHash(service));
    if (entry == found->second.services.end() || now - entry->second.at > reportLifetime)
        return std::nullopt;
    const ReceivedOutlook& received = entry->second;
    if (received.outlook.endpoints == 0)
        return noEndpointWait;
    double kilotokens = unreportedKilotokens(received, now) / received.outlook.endpoints;
    return received.outlook.wait + std::chrono::duration_cast<Duration>(received.outlook.perKilotoken * kilotokens);
}

Duration RegionOutlooks::timePerEventIn(const std::string& region, absl::string_view service) const
{
    auto found = m_regions.find(region);
    if (found == m_regions.end())
        return Duration::zero();
    auto entry = found->second.services.find(serviceHash(service));
    return entry == found->second.services.end() ? Duration::zero() : Duration(entry->second.outlook.perEvent);
}

std::optional<Duration> RegionOutlooks::age(const std::string& region, TimePoint now) const
{
    auto found = m_regions.find(region);
    if (found == m_regions.end())
        return std::nullopt;
    return now - found->second.at;
}

} // namespace catkinwing
