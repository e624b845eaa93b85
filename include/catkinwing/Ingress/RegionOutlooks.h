#pragma once

#include "catkinwing/PeerProtocol/RegionReport.h"
#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>

namespace catkinwing {

/// Expected waiting times in the other regions, computed from their last region reports
/// and from the prompt tokens that this entry has sent there since.
class RegionOutlooks {
public:
    /// Records the outlooks of \p report. Ignores a report that arrives after a later one
    /// of the same entry.
    void update(const RegionReport& report, TimePoint now);
    /// Counts a request with \p tokens prompt tokens that is forwarded to \p region.
    void recordSent(const std::string& region, absl::string_view service, std::int64_t tokens, TimePoint now);
    /// Returns how long a request is expected to wait in \p region, or std::nullopt if
    /// there is no recent report.
    std::optional<Duration> estimatedWait(const std::string& region, absl::string_view service, TimePoint now) const;
    /// Returns the time between two events of a stream in \p region as last reported;
    /// zero if unknown.
    Duration timePerEventIn(const std::string& region, absl::string_view service) const;
    /// Returns the age of the newest report of \p region, or std::nullopt without a report.
    std::optional<Duration> age(const std::string& region, TimePoint now) const;

private:
    struct ReceivedOutlook {
        ServiceOutlook outlook;
        TimePoint at {};
        /// Thousands of prompt tokens that were sent to the region and are estimated to be
        /// missing from its reports at the time sentAt.
        double sentKilotokens { 0 };
        TimePoint sentAt {};
    };
    static double unreportedKilotokens(const ReceivedOutlook& received, TimePoint now);

    struct Region {
        TimePoint at {};
        absl::flat_hash_map<std::uint32_t, ReceivedOutlook> services;
        absl::flat_hash_map<std::string, std::uint64_t> sequences;
    };
    std::map<std::string, Region> m_regions;
};

} // namespace catkinwing
