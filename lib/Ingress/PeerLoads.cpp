#include "catkinwing/Ingress/PeerLoads.h"

#include <utility>
#include <vector>

namespace catkinwing {

/// Reports come five times a second; one older than this has been followed by
/// others that were lost, or its entry is gone.
static constexpr std::chrono::milliseconds reportLifetime { 1'000 };

void PeerLoads::add(const LoadReport& report, bool isAdded)
{
    for (const EndpointWorkload& load : report.loads) {
        EndpointWorkload& sum = m_sums[load.endpoint];
        sum.endpoint = load.endpoint;
        sum.requests += isAdded ? load.requests : -load.requests;
        sum.unreadKilotokens += isAdded ? load.unreadKilotokens : -load.unreadKilotokens;
        if (sum.requests == 0 && sum.unreadKilotokens == 0)
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
    return found == m_sums.end() ? EndpointWorkload { endpoint, 0, 0 } : found->second;
}

} // namespace catkinwing
