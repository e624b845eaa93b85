#pragma once

#include "catkinwing/PeerProtocol/LoadReport.h"
#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <string>

namespace catkinwing {

/// What the other entries of the region have under way at the endpoints, as
/// they last reported it. Stale reports count for nothing.
class PeerLoads {
public:
    /// Takes a report; one that was overtaken by a later one is dropped.
    void take(LoadReport report, TimePoint now);
    /// Forgets reports older than the time for which they count.
    void expire(TimePoint now);
    /// Returns the sum over all other entries for one endpoint.
    EndpointWorkload at(std::uint32_t endpoint) const;
    /// Returns a sequence that follows the last report of \p entry.
    std::uint64_t nextSequence(const std::string& entry) const;
    /// Returns the sums for all endpoints that have any.
    std::vector<EndpointWorkload> all() const;
    std::size_t entries() const { return m_reports.size(); }

private:
    struct Heard {
        LoadReport report;
        TimePoint at {};
    };

    void add(const LoadReport& report, bool isAdded);

    absl::flat_hash_map<std::string, Heard> m_reports;
    absl::flat_hash_map<std::uint32_t, EndpointWorkload> m_sums;
};

} // namespace catkinwing
