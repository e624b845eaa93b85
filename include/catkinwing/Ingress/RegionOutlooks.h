#pragma once

#include "catkinwing/PeerProtocol/RegionReport.h"
#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>

namespace catkinwing {

/// What the other regions say of their endpoints, and what this entry has sent
/// there since.
class RegionOutlooks {
public:
    /// Takes a report; one that the same entry's later report has overtaken is
    /// left out.
    void take(const RegionReport& report, TimePoint now);
    /// Counts a request of \p tokens that goes to \p region.
    void noteSent(const std::string& region, absl::string_view service, std::int64_t tokens, TimePoint now);
    /// Returns how long a request would wait in \p region; nothing if no report
    /// is fresh enough to be believed.
    std::optional<Duration> waitIn(const std::string& region, absl::string_view service, TimePoint now) const;
    /// Returns the time between two events of a stream in \p region as last
    /// heard; zero if unknown.
    Duration timePerEventIn(const std::string& region, absl::string_view service) const;
    /// Returns how old the newest report of \p region is; nothing without one.
    std::optional<Duration> age(const std::string& region, TimePoint now) const;

private:
    struct Heard {
        ServiceOutlook outlook;
        TimePoint at {};
        /// Thousands of tokens sent there and not yet in the report, as of sentAt.
        double sentKilotokens { 0 };
        TimePoint sentAt {};
    };
    static double unreported(const Heard& heard, TimePoint now);

    struct Region {
        TimePoint at {};
        absl::flat_hash_map<std::uint32_t, Heard> services;
        absl::flat_hash_map<std::string, std::uint64_t> sequences;
    };
    std::map<std::string, Region> m_regions;
};

} // namespace catkinwing
