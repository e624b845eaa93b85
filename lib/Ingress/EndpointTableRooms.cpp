// Fills the slots of brittle endpoints, which crash when they reject too many requests.
#include "catkinwing/Ingress/EndpointTable.h"

#include "catkinwing/Support/Logging.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

// What a brittle endpoint rejects is a sum over all entries. One entry of the region, chosen by
// rendezvous hash, fills the slots of an endpoint, so that it knows which of them are free; the
// others hand their requests over to it.

void EndpointTable::recordRejectionLimit(const std::string& service, std::optional<double> perSecond, TimePoint now)
{
    if (!perSecond && m_rejectionLimits.count(service) == 0)
        return;
    NamedLimit& limit = m_rejectionLimits[service];
    if (recordNamedLimit(limit, perSecond, now))
        logChange(LogLevel::Info, "rejection_limit_changed", { { "service", service }, { "limit_per_second", limit.perSecond ? nlohmann::json(*limit.perSecond) : nlohmann::json() } });
}

std::optional<double> EndpointTable::rejectionLimit(absl::string_view service) const
{
    auto found = m_rejectionLimits.find(service);
    return found == m_rejectionLimits.end() ? std::nullopt : found->second.perSecond;
}

const std::string& EndpointTable::roomHolderOf(RoutedEndpoint& endpoint) const
{
    if (endpoint.roomHolderVersion != m_listedSharersVersion) {
        endpoint.roomHolder = chooseDelegate(m_listedSharers, endpoint.record.incarnation);
        endpoint.roomHolderVersion = m_listedSharersVersion;
    }
    return endpoint.roomHolder;
}

// An entry that knows of no registered entry can't hand its requests over.
bool EndpointTable::mayFillSlot(RoutedEndpoint& endpoint, const ServiceSettings& service, double rejectionsPerSecond, TimePoint now) const
{
    const std::string& holder = roomHolderOf(endpoint);
    bool isHolder = holder.empty() || holder == m_ownName;
    auto running = static_cast<unsigned>(pendingWork(endpoint).requests);
    return isHolder && hasRoom(endpoint.room, { rejectionsPerSecond, slotsOf(endpoint, service) }, running, now);
}

void EndpointTable::recordRejection(RoutedEndpoint& endpoint, TimePoint now)
{
    if (std::optional<double> perSecond = rejectionLimit(endpoint.record.service))
        recordRoomRejection(endpoint.room, { *perSecond, 0 }, now);
}

// Load reports may be a few hundred milliseconds old. The holder of a random endpoint with a
// free slot most likely still has one, there or at another of its endpoints.
std::optional<std::string> EndpointTable::chooseRoomHolder(const ServiceSettings& service, const std::vector<std::string>& excluded, TimePoint now, Random& random)
{
    std::vector<std::string> withRoom;
    std::vector<std::string> full;
    auto found = m_endpointsByService.find(service.name);
    if (found == m_endpointsByService.end())
        return std::nullopt;
    for (const auto& endpoint : found->second) {
        if (endpoint->region != m_region || !isAvailable(*endpoint, now))
            continue;
        const std::string& holder = roomHolderOf(*endpoint);
        bool isExcluded = std::find(excluded.begin(), excluded.end(), holder) != excluded.end();
        if (holder.empty() || holder == m_ownName || isExcluded)
            continue;
        unsigned slots = slotsOf(*endpoint, service);
        bool hasFreeSlot = slots == 0 || pendingWork(*endpoint).requests < slots;
        (hasFreeSlot ? withRoom : full).push_back(holder);
    }
    const std::vector<std::string>& holders = withRoom.empty() && excluded.empty() ? full : withRoom;
    if (holders.empty())
        return std::nullopt;
    return holders[random.below(holders.size())];
}

} // namespace catkinwing
