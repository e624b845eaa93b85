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
    /// Returns how many of them use the endpoint.
    std::uint32_t usersOf(std::uint32_t endpoint) const;
    /// Returns when the entry was last heard; nothing if it never was.
    bool hasHeard(const std::string& entry) const { return m_reports.count(entry) > 0; }
    std::size_t entries() const { return m_reports.size(); }

private:
    struct Heard {
        LoadReport report;
        TimePoint at {};
    };

    void add(const LoadReport& report, bool isAdded);

    absl::flat_hash_map<std::string, Heard> m_reports;
    struct Sum {
        EndpointWorkload load;
        std::uint32_t users { 0 };
    };

    absl::flat_hash_map<std::uint32_t, Sum> m_sums;
};

} // namespace catkinwing
