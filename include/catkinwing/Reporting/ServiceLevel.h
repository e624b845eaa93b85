#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/status/statusor.h>
#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace catkinwing {

/// Names what a service level is kept for.
struct ServiceLevelKey {
    std::string team;
    std::string className;

    friend bool operator<(const ServiceLevelKey& a, const ServiceLevelKey& b)
    {
        return a.team != b.team ? a.team < b.team : a.className < b.className;
    }
};

/// Requests that met their target and requests that missed it.
struct ServiceLevelCounts {
    std::uint64_t good { 0 };
    std::uint64_t bad { 0 };

    std::uint64_t total() const { return good + bad; }
};

/// The windows over which burn is reported, shortest first.
constexpr std::array<std::chrono::minutes, 4> burnWindows {
    std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(6 * 60), std::chrono::minutes(24 * 60)
};

/// Counts of one service level in buckets as fine as each window needs.
class WindowedCounts {
public:
    void record(bool isGood, TimePoint now);
    /// Returns the counts of the last burnWindows[\p window], to the bucket.
    ServiceLevelCounts counts(std::size_t window, TimePoint now) const;

private:
    static constexpr std::size_t bucketsPerWindow = 60;

    struct Bucket {
        std::int64_t slot { -1 };
        std::uint32_t good { 0 };
        std::uint32_t bad { 0 };
    };

    std::array<std::array<Bucket, bucketsPerWindow>, burnWindows.size()> m_buckets;
};

/// One line of a burn report: what one team's class did in each window.
struct ServiceLevelLine {
    ServiceLevelKey key;
    /// Fraction of requests that should meet the target, in (0, 1).
    double targetRatio { 0 };
    std::array<ServiceLevelCounts, burnWindows.size()> windows;
};

/// Returns how many times faster than allowed the error budget is being
/// spent; 1 spends it exactly, 0 is returned where there were no requests.
double burnRate(const ServiceLevelCounts& counts, double targetRatio);

/// Records outcomes against their targets; holds at most maxKeys service levels.
class ServiceLevelRecorder {
public:
    static constexpr std::size_t maxKeys = 4096;

    /// Records one request; past maxKeys new service levels are only counted as dropped.
    void record(const ServiceLevelKey& key, double targetRatio, bool isGood, TimePoint now);
    std::vector<ServiceLevelLine> lines(TimePoint now) const;
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Level {
        double targetRatio { 0 };
        WindowedCounts counts;
    };

    std::map<ServiceLevelKey, Level> m_levels;
    std::uint64_t m_dropped { 0 };
};

/// Writes lines as the JSON that entries serve at /v1/service-levels.
nlohmann::json toJson(const std::vector<ServiceLevelLine>& lines);
/// Reads what toJson() wrote; InvalidArgument names the fault.
absl::StatusOr<std::vector<ServiceLevelLine>> serviceLevelLinesFromJson(const nlohmann::json& json);

} // namespace catkinwing
