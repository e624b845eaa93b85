#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// What a request of one service would meet in a region.
struct ServiceOutlook {
    /// Hash of the service's name.
    std::uint32_t service { 0 };
    /// Endpoints that take requests.
    std::uint32_t endpoints { 0 };
    /// How long a request would wait before an endpoint began with it.
    std::chrono::milliseconds wait { 0 };
    /// How long an endpoint takes to read a thousand tokens of prompts.
    std::chrono::microseconds perKilotoken { 0 };
    /// Time between two events of a stream.
    std::chrono::microseconds perEvent { 0 };
};

/// What an entry tells a few entries of other regions several times a second:
/// about 25 bytes for each service, so that the cost of a region is that of its
/// services, whatever the number of its endpoints.
struct RegionReport {
    std::string region;
    /// Key of the entry.
    std::string entry;
    /// Grows with each report of the entry, since datagrams may overtake each other.
    std::uint64_t sequence { 0 };
    std::vector<ServiceOutlook> services;
};

/// Returns the hash by which reports name a service.
std::uint32_t serviceHash(absl::string_view service);
std::string encodeRegionReport(const RegionReport& report);
absl::StatusOr<RegionReport> decodeRegionReport(absl::string_view bytes);

} // namespace catkinwing
