#include "catkinwing/Ingress/PeerLoads.h"

#include <utility>
#include <vector>

namespace catkinwing {

/// Entries with load send at least five reports a second. If a report is older than this,
/// the following ones were lost or its entry has terminated.
static constexpr std::chrono::milliseconds reportLifetime { 1'000 };

// Subtracts by adding the negated value; unsigned arithmetic wraps around.
void PeerLoads::applyToSums(const LoadReport& report, bool isAdded)
{
    for (const EndpointWorkload& load : report.loads) {
        EndpointWorkload& sum = m_sums.try_emplace(load.endpoint, EndpointWorkload { load.endpoint, 0, 0, 0, 0 }).first->second;
        sum.requests += isAdded ? load.requests : -load.requests;
        sum.unreadKilotokens += isAdded ? load.unreadKilotokens : -load.unreadKilotokens;
        sum.suspicions += isAdded ? load.suspicions : -load.suspicions;
        sum.users += isAdded ? load.users : -load.users;
        sum.heldKilotokens += isAdded ? load.heldKilotokens : -load.heldKilotokens;
        if (sum.users == 0)
            m_sums.erase(load.endpoint);
    }
}

void PeerLoads::update(LoadReport report, TimePoint now)
{
    ReceivedReport& received = m_reports[report.entry];
    bool isOutOfOrder = received.at != TimePoint {} && report.sequence <= received.report.sequence;
    if (isOutOfOrder)
        return;
    applyToSums(received.report, false);
    received.report = std::move(report);
    received.at = now;
    applyToSums(received.report, true);
}

void PeerLoads::expire(TimePoint now)
{
    std::vector<std::string> stale;
    for (const auto& [entry, received] : m_reports) {
        if (now - received.at > reportLifetime)
            stale.push_back(entry);
    }
    for (const std::string& entry : stale) {
        applyToSums(m_reports[entry].report, false);
        m_reports.erase(entry);
    }
}

EndpointWorkload PeerLoads::sumFor(std::uint32_t endpoint) const
{
    auto found = m_sums.find(endpoint);
    return found == m_sums.end() ? EndpointWorkload { endpoint, 0, 0, 0, 0 } : found->second;
}

std::uint64_t PeerLoads::nextSequence(const std::string& entry) const
{
    auto found = m_reports.find(entry);
    return found == m_reports.end() ? 1 : found->second.report.sequence + 1;
}

std::vector<EndpointWorkload> PeerLoads::all() const
{
    std::vector<EndpointWorkload> loads;
    loads.reserve(m_sums.size());
    for (const auto& [endpoint, load] : m_sums)
        loads.push_back(load);
    return loads;
}

} // namespace catkinwing
