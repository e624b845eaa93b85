#pragma once

#include "catkinwing/PeerProtocol/LoadReport.h"
#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <string>

namespace catkinwing {

/// Loads that entries cause at the endpoints, as of their last load reports. Keeps the
/// sum over these entries for each endpoint.
class PeerLoads {
public:
    /// Replaces the last report of the same entry. Ignores a report that arrives after a
    /// later one of the same entry.
    void update(LoadReport report, TimePoint now);
    /// Removes reports that are older than their lifetime.
    void expire(TimePoint now);
    /// Returns the sum over all entries for one endpoint. \p endpoint is the hash of its
    /// incarnation.
    EndpointWorkload sumFor(std::uint32_t endpoint) const;
    /// Returns the sequence number that follows the last report of \p entry, or 1 if there
    /// is none.
    std::uint64_t nextSequence(const std::string& entry) const;
    /// Returns the sums of all endpoints that occur in a report.
    std::vector<EndpointWorkload> all() const;
    /// Returns the number of entries with a report, as of the last call of expire().
    std::size_t entryCount() const { return m_reports.size(); }

private:
    struct ReceivedReport {
        LoadReport report;
        TimePoint at {};
    };

    void applyToSums(const LoadReport& report, bool isAdded);

    absl::flat_hash_map<std::string, ReceivedReport> m_reports;
    absl::flat_hash_map<std::uint32_t, EndpointWorkload> m_sums;
};

} // namespace catkinwing
