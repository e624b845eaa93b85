#pragma once

#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// The crash of an endpoint while it ran a request with a suspect, as it is told.
struct ToldCrash {
    /// Hash of the start of the endpoint.
    std::uint32_t endpoint { 0 };
    std::chrono::milliseconds age { 0 };
    /// How long the request had been there.
    std::chrono::milliseconds ranFor { 0 };
    /// The endpoint is known to be gone; else its connections broke a moment ago.
    bool isSettled { true };
};

/// What an entry knows of one suspect, with which endpoints crashed. Times are
/// told as ages, since entries have no clock in common.
struct CrashNotice {
    /// Name of the request, or of something that several requests have in common.
    RequestFingerprint suspect;
    std::vector<ToldCrash> crashes;
    /// How long ago an endpoint answered a request with it.
    std::optional<std::chrono::milliseconds> survivedAgo;
    /// How much longer requests with it are refused.
    std::chrono::milliseconds refusedFor { 0 };
    /// How often it has been refused.
    std::uint32_t refusals { 0 };
    /// Hashes of the regions whose entries may know of it; all if empty.
    std::vector<std::uint32_t> regions;
};

/// What one datagram tells: about 30 bytes for each suspect and 14 for each crash.
struct CrashReport {
    std::vector<CrashNotice> notices;
};

/// Notices that fit one datagram.
constexpr std::size_t mostNotices = 8;
/// Crashes told of one suspect, the latest ones.
constexpr std::size_t mostToldCrashes = 8;

/// Returns the hash by which reports name a region.
std::uint32_t regionHash(absl::string_view region);
std::string encodeCrashReport(const CrashReport& report);
absl::StatusOr<CrashReport> decodeCrashReport(absl::string_view bytes);

} // namespace catkinwing
