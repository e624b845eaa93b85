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

/// Bounds of sending requests a second time, over all entries together.
struct RetryLimits {
    /// Retries earned by each request.
    double ratio { 0.2 };
    /// Retries that may be made beyond that in any window.
    double slack { 50 };
    Duration window { std::chrono::seconds(10) };
};

/// The planned stop of an entry.
struct PlannedStop {
    TimePoint began;
    /// What hasn't been answered by then is cut.
    TimePoint endsBy;
};

/// What the requests of one entry share. All references outlive the requests.
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
    /// This entry's part of the budget of each service.
    absl::flat_hash_map<std::string, RetryWindow> retryBudgets;
    /// How readily each region takes the requests of each service.
    absl::flat_hash_map<std::string, RegionPressure> pressures;
    /// What other regions say of themselves.
    RegionOutlooks outlooks;
    /// How many events the streams of each route have.
    absl::flat_hash_map<std::string, StreamLength> streamLengths;
    /// When refused clients of each service are to come back.
    absl::flat_hash_map<std::string, ReturnSchedule> returns;
    /// The configuration in force; null before the first one is known.
    std::shared_ptr<const RouteTable> routes;
    /// Present once the entry stops.
    std::optional<PlannedStop> stop;
    std::size_t openRequests { 0 };
    /// Number of the last attempt of any request.
    std::uint64_t lastAttempt { 0 };
    CrashingRequests crashing {};
    /// When this entry's process started.
    TimePoint startedAt {};

    RetryWindow& retryBudgetOf(const std::string& service);
};

} // namespace catkinwing
