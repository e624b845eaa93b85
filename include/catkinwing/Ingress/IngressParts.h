#pragma once

#include "catkinwing/Admission/RetryWindow.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Ingress/Dialect.h"
#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/RegionOutlooks.h"
#include "catkinwing/Membership/CrashingRequests.h"
#include "catkinwing/Reporting/DecisionLog.h"
#include "catkinwing/Reporting/Metrics.h"
#include "catkinwing/Routing/RegionPressure.h"
#include "catkinwing/Routing/StreamLength.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>

namespace catkinwing {

/// Limits of retries, over all entries together.
struct RetryLimits {
    /// Retries that each request adds to the budget.
    double ratio { 0.2 };
    /// Retries that are allowed beyond the ratio in any window.
    double allowance { 50 };
    Duration window { std::chrono::seconds(10) };
};

/// The planned stop of an entry.
struct PlannedStop {
    TimePoint began;
    /// Requests that are unanswered at this time are aborted.
    TimePoint endsBy;
};

/// State shared by the requests of one entry. All references outlive the requests.
struct IngressParts {
    Scheduler& scheduler;
    Random& random;
    HttpClient& endpointClient;
    HttpClient& peerClient;
    Metrics& metrics;
    DecisionLog& log;
    const Dialect& dialect;
    std::string region;
    EndpointTable endpoints;
    EntryTable entries;
    RetryLimits retryLimits;
    /// This entry's share of the retry budget, by service.
    absl::flat_hash_map<std::string, RetryWindow> retryBudgets;
    /// Acceptance of each region, by service.
    absl::flat_hash_map<std::string, RegionPressure> regionAcceptances;
    /// Load reported by other regions.
    RegionOutlooks outlooks;
    /// Number of events in a stream, by route.
    absl::flat_hash_map<std::string, StreamLength> streamLengths;
    /// Retry-after times given to refused clients, by service.
    absl::flat_hash_map<std::string, ReturnSchedule> retryAfterSchedules;
    /// The configuration in force; null until the first one is received.
    std::shared_ptr<const RouteTable> routes;
    /// Set when the entry begins to stop.
    std::optional<PlannedStop> stop;
    std::size_t openRequests { 0 };
    /// Number of the latest attempt of any request; attempts are numbered from 1.
    std::uint64_t lastAttempt { 0 };
    CrashingRequests crashing {};
    /// When this entry's process started.
    TimePoint startedAt {};

    RetryWindow& retryBudgetOf(const std::string& service);
};

} // namespace catkinwing
