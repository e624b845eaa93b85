#pragma once

#include "catkinwing/Admission/DecayingRate.h"
#include "catkinwing/Admission/WorkspaceShares.h"
#include "catkinwing/Config/Workspace.h"
#include "catkinwing/PeerProtocol/WorkspaceReport.h"
#include <absl/container/flat_hash_map.h>
#include <map>
#include <string>
#include <vector>

namespace catkinwing {

/// A shortage of a service that began or ended.
struct ShortageChange {
    std::string service;
    bool hasBegun { false };
};

/// One workspace at a service, in tokens per second, as far as this entry knows.
struct WorkspaceStanding {
    std::string service;
    /// Hash of the workspace's name; zero for requests without a workspace.
    std::uint64_t workspace { 0 };
    double requested { 0 };
    double admitted { 0 };
    double late { 0 };
    /// Equal to requested if the service has no shortage.
    double share { 0 };
};

/// Counts what each workspace requests of each service in this region and divides the capacity
/// of a service by workspace while its endpoints can't serve all requests. Contains the counts
/// of this entry and of a few others, whose reports count for three seconds. An entry without
/// reports divides by its own counts.
class ShortageTable {
public:
    /// Counts a request that is sent to an endpoint or refused for lack of capacity; \p isLate
    /// if it has missed its latency target.
    void record(const std::string& service, std::uint64_t workspace, double tokens, bool isAdmitted, bool isLate, TimePoint now);
    void handleReport(WorkspaceReport report, TimePoint now);
    /// Returns which fraction of the requests of a workspace is within its share: 1 unless the
    /// service has a shortage.
    double fractionWithinShare(const std::string& service, std::uint64_t workspace, const WorkspaceTable& workspaces, TimePoint now);
    bool hasShortage(const std::string& service, const WorkspaceTable& workspaces, TimePoint now);
    /// Returns the rows of services with a shortage, the largest first; no rows if there are none.
    WorkspaceReport makeReport(const std::string& entry, std::uint64_t sequence, const WorkspaceTable& workspaces, TimePoint now);
    /// Returns all workspaces with requests, for operators.
    std::vector<WorkspaceStanding> standings(const WorkspaceTable& workspaces, TimePoint now);
    /// Returns the shortages that began or ended since the last call.
    std::vector<ShortageChange> takeChanges(const WorkspaceTable& workspaces, TimePoint now);

private:
    struct Usage {
        DecayingRate requested;
        DecayingRate admitted;
        DecayingRate late;

        Usage();
    };
    struct Service {
        std::string name;
        absl::flat_hash_map<std::uint64_t, Usage> usages;
        /// As of dividedAt.
        absl::flat_hash_map<std::uint64_t, WorkspaceStanding> standings;
        TimePoint dividedAt {};
        bool hasShortage { false };
        /// As last returned by takeChanges().
        bool hadShortage { false };
    };
    struct ReceivedReport {
        WorkspaceReport report;
        TimePoint at {};
    };

    Service& serviceNamed(const std::string& name);
    Usage& usageOf(const std::string& service, std::uint64_t workspace);
    /// Divides the capacity anew if the last division is too old.
    void divide(std::uint32_t hash, Service& service, const WorkspaceTable& workspaces, TimePoint now);
    void expire(TimePoint now);

    std::map<std::uint32_t, Service> m_services;
    absl::flat_hash_map<std::string, ReceivedReport> m_reports;
};

} // namespace catkinwing
