#include "catkinwing/Ingress/PeerLoads.h"

#include <utility>
#include <vector>

namespace catkinwing {

/// Reports come five times a second; one older than this has been followed by
/// others that were lost, or its entry is gone.
static constexpr std::chrono::milliseconds reportLifetime { 1'000 };

// Unsigned sums wrap, so taking away is adding the negative.
void PeerLoads::add(const LoadReport& report, bool isAdded)
{
    for (const EndpointWorkload& load : report.loads) {
        Sum& sum = m_sums[load.endpoint];
        sum.load.endpoint = load.endpoint;
        sum.load.requests += isAdded ? load.requests : -load.requests;
        sum.load.unreadKilotokens += isAdded ? load.unreadKilotokens : -load.unreadKilotokens;
        sum.load.suspicions += isAdded ? load.suspicions : -load.suspicions;
        sum.users += isAdded ? 1 : -1;
        if (sum.users == 0)
            m_sums.erase(load.endpoint);
    }
}

void PeerLoads::take(LoadReport report, TimePoint now)
{
    Heard& heard = m_reports[report.entry];
    bool isOvertaken = heard.at != TimePoint {} && report.sequence <= heard.report.sequence;
    if (isOvertaken)
        return;
    add(heard.report, false);
    heard.report = std::move(report);
    heard.at = now;
    add(heard.report, true);
}

void PeerLoads::expire(TimePoint now)
{
    std::vector<std::string> stale;
    for (const auto& [entry, heard] : m_reports) {
        if (now - heard.at > reportLifetime)
            stale.push_back(entry);
    }
    for (const std::string& entry : stale) {
        add(m_reports[entry].report, false);
        m_reports.erase(entry);
    }
}

EndpointWorkload PeerLoads::at(std::uint32_t endpoint) const
{
    auto found = m_sums.find(endpoint);
    return found == m_sums.end() ? EndpointWorkload { endpoint, 0, 0, 0 } : found->second.load;
}

std::uint32_t PeerLoads::usersOf(std::uint32_t endpoint) const
{
    auto found = m_sums.find(endpoint);
    return found == m_sums.end() ? 0 : found->second.users;
}

} // namespace catkinwing
