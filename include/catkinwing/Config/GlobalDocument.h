#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Support/Clock.h"
#include <absl/strings/string_view.h>

namespace catkinwing {

/// When a request is sent to another region.
struct ForwardingSettings {
    /// Least predicted gain in time to first token.
    Duration minimumGain { std::chrono::milliseconds(100) };
    /// Gain demanded on top before forwarding that has stopped starts again.
    Duration hysteresis { std::chrono::milliseconds(50) };
    /// Largest fraction of a region's requests sent away.
    double maximumShareAway { 0.2 };
};

/// Second attempts of idempotent requests whose first token is late.
struct HedgingSettings {
    bool enabled { false };
    /// Percentile of the observed time to first token after which a hedge may start.
    double percentile { 0.95 };
    /// Least delay before a hedge.
    Duration minimumDelay { std::chrono::milliseconds(100) };
};

/// When a failing endpoint gets no requests for a while.
struct OutlierEjectionSettings {
    /// Consecutive failures after which an endpoint is ejected.
    int failureThreshold { 5 };
    /// Length of the first ejection.
    Duration baseEjectionTime { std::chrono::seconds(10) };
    /// Largest fraction of the endpoints of a model or service ejected at a time.
    double maximumEjectedFraction { 0.5 };
};

/// The ledger of idempotency keys.
struct IdempotencySettings {
    Duration keepFor { std::chrono::hours(24) };
    int shards { 64 };
};

/// Settings that hold in every region.
struct GlobalDocument {
    ForwardingSettings forwarding;
    /// Retries allowed as a fraction of first attempts.
    double retryBudgetFraction { 0.1 };
    HedgingSettings hedging;
    OutlierEjectionSettings outlierEjection;
    IdempotencySettings idempotency;
    Duration heartbeatInterval { std::chrono::seconds(1) };
    /// Silence after which an entry is taken for failed.
    Duration failureTimeout { std::chrono::seconds(3) };
    /// Span over which an endpoint or region that came back gets its traffic back.
    Duration slowStart { std::chrono::seconds(30) };
    /// How long a draining entry waits for the requests in progress.
    Duration drainGrace { std::chrono::minutes(5) };
};

/// Reads the document `global`.
ConfigResult<GlobalDocument> parseGlobalDocument(absl::string_view text);

} // namespace catkinwing
