#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// First byte of every workspace report, by which it differs from other datagrams.
constexpr char workspaceReportMark = 3;

/// What one workspace requests of one service at one entry: about 30 bytes.
struct WorkspaceRow {
    /// Hash of the service's name.
    std::uint32_t service { 0 };
    /// Hash of the workspace's name; zero for requests without a workspace.
    std::uint64_t workspace { 0 };
    /// Tokens per second of requests that can still meet their latency target.
    std::uint32_t requested { 0 };
    /// Tokens per second that were sent to endpoints.
    std::uint32_t admitted { 0 };
    /// Tokens per second of requests that have missed their latency target.
    std::uint32_t late { 0 };
};

/// Sent once a second to a few entries of the region while endpoints can't serve all requests.
struct WorkspaceReport {
    /// Key of the entry, which is another one after each start.
    std::string entry;
    /// Grows with each report, since datagrams may overtake each other.
    std::uint64_t sequence { 0 };
    std::vector<WorkspaceRow> rows;
};

/// Max number of rows in a report, which keeps it below 600 bytes.
constexpr std::size_t maxWorkspaceRows = 16;

std::string encodeWorkspaceReport(const WorkspaceReport& report);
/// Refuses reports whose rates are above any possible load or whose admitted tokens exceed
/// the requested ones.
absl::StatusOr<WorkspaceReport> decodeWorkspaceReport(absl::string_view bytes);

} // namespace catkinwing
