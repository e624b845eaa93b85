#pragma once

#include "catkinwing/Admission/RetryWindow.h"
#include "catkinwing/Dispatch/AnswerBuffers.h"
#include "catkinwing/Dispatch/RequestBuffers.h"
#include "catkinwing/Http/ClientMemory.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Ingress/CreditExchange.h"
#include "catkinwing/Ingress/Dialect.h"
#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/LimitExchange.h"
#include "catkinwing/Ingress/RegionOutlooks.h"
#include "catkinwing/Ingress/ShortageTable.h"
#include "catkinwing/Ingress/StreamOriginExchange.h"
#include "catkinwing/Ingress/VersionRecord.h"
#include "catkinwing/Membership/CrashSuspectTable.h"
#include "catkinwing/Reporting/DecisionLog.h"
#include "catkinwing/Reporting/Metrics.h"
#include "catkinwing/Routing/RegionAcceptance.h"
#include "catkinwing/Routing/StreamLength.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>

namespace catkinwing {

/// Limits of the retries of a service. They apply to all entries together.
struct RetryLimits {
    /// Number of retries that each request adds to the retry budget.
    double ratio { 0.2 };
    /// Number of retries that are allowed in any window in addition to those by the ratio.
    double allowance { 50 };
    /// Length of the window over which requests and retries are counted.
    Duration window { std::chrono::seconds(10) };
};

/// Times of the planned stop of an entry.
struct PlannedStop {
    /// When the entry began to stop.
    TimePoint startedAt;
    /// Requests that are unanswered at this time are aborted.
    TimePoint abortAt;
};

/// State shared by the requests of one entry. All references outlive the requests.
struct IngressContext {
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
    absl::flat_hash_map<std::string, RegionAcceptance> regionAcceptances;
    /// Load reported by other regions.
    RegionOutlooks outlooks;
    /// Estimates of the number of events in a stream, by route.
    absl::flat_hash_map<std::string, StreamLength> streamLengths;
    /// Schedules that assign retry-after times to refused requests, by service.
    absl::flat_hash_map<std::string, RetryAfterSchedule> retryAfterSchedules;
    /// The configuration in force; null until the first one is received.
    std::shared_ptr<const RouteTable> routes;
    /// Set when the entry begins to stop.
    std::optional<PlannedStop> plannedStop;
    /// Number of requests that have no final answer yet.
    std::size_t openRequestCount { 0 };
    /// Number of the latest attempt of any request; attempts are numbered from 1.
    std::uint64_t lastAttemptNumber { 0 };
    /// Requests that crash endpoints or are suspected to.
    CrashSuspectTable crashSuspects {};
    /// When this entry's process started.
    TimePoint startedAt {};
    /// When a configuration last gave a route other services, by the route's name.
    absl::flat_hash_map<std::string, TimePoint> routesMovedAt {};
    /// The software versions that entries have recorded in the store.
    StoredVersionRecord versionRecord {};
    /// Limits of workspaces; null if they aren't enforced.
    CreditExchange* credit { nullptr };
    /// Obtains requests at endpoints with a limit; null if other entries aren't asked.
    LimitExchange* limitExchange { nullptr };
    /// Knows at which software versions streams began; null if entries don't tell each other.
    StreamOriginExchange* streamOrigins { nullptr };
    /// Divides scarce capacity between workspaces; null if the settings don't ask for that.
    ShortageTable* shortages { nullptr };
    /// What the entry knows of the configuration may be outdated, since neither the store nor
    /// a relay has answered for a while.
    bool isConfigurationStale { false };
    /// Bytes of answers that are held until they are whole, or for slow clients. An entry of the
    /// smallest size has some 100 MB for everything.
    AnswerBuffers answerBuffers { 24u << 20 };
    /// Bytes of the bodies of open requests. They are held until the request has ended, since
    /// another attempt may need them.
    RequestBuffers requestBuffers {};
    /// Counts all that the entry holds for its clients.
    std::shared_ptr<ClientMemory> clientMemory {};

    /// Drops what this entry has concluded from broken connections, and its idle connections,
    /// after it was cut off from the endpoints of its region.
    void handleCutOff();
    /// Returns the retry budget of \p service after updating its allowance.
    RetryWindow& retryBudgetOf(const std::string& service);
};

} // namespace catkinwing
