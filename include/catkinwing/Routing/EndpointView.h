#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Small number that stands for an endpoint within one process. CellView hands
/// it out and reuses it after the endpoint's removal.
using EndpointHandle = std::uint32_t;

/// Whether an endpoint takes new work.
enum class EndpointState {
    /// Takes new work.
    Live,
    /// Is being stopped or replaced; finishes what it has.
    Leaving,
    /// Is set aside by the outlier detector for a while.
    Ejected
};

/// Load as an endpoint reported it.
struct EndpointLoadReport {
    /// When it was measured, on this process's clock: arrival less stated age.
    TimePoint measuredAt {};
    /// Requests in the batch.
    unsigned running { 0 };
    /// Requests in the engine's own queue.
    unsigned waiting { 0 };
    /// Prompt tokens accepted and not yet prefilled.
    double queuedPrefillTokens { 0 };
};

/// A request of this entry that the last report may not include.
struct OwnDispatch {
    TimePoint sentAt {};
    double prefillTokens { 0 };
};

/// Prefill work at an endpoint as a queue that drains at the prefill speed.
struct PrefillBacklog {
    double tokens { 0 };
    TimePoint asOf {};
};

/// What an entry knows of one endpoint of its cell.
struct EndpointView {
    /// Name in the configuration; unique in the cell.
    std::string name;
    std::string zone;
    /// Identity of this start of the endpoint; changes at each restart.
    std::string incarnation;
    /// Kept sorted by CellView.
    std::vector<std::string> models;
    /// Adapters that are loaded now; kept sorted by CellView.
    std::vector<std::string> adapters;

    EndpointState state { EndpointState::Live };
    /// Share of the usual work, from SlowStart; above 0 and at most 1.
    double slowStartWeight { 1 };
    /// Requests that the engine runs at once.
    unsigned slots { 1 };
    /// Requests that this entry may have in flight here; its part of the slots.
    unsigned credits { 1 };
    /// Requests that this entry has in flight here.
    unsigned ownInFlight { 0 };
    /// Prefill tokens of own requests whose first token has not come yet.
    double ownPendingPrefillTokens { 0 };

    std::optional<EndpointLoadReport> report;
    /// Own dispatches after the report was measured, oldest first.
    std::vector<OwnDispatch> dispatchesSinceReport;
    /// When own requests ended after the report was measured, oldest first.
    std::vector<TimePoint> endingsSinceReport;
    /// Requests of other entries that the report showed.
    unsigned othersInFlight { 0 };
    PrefillBacklog backlog;

    /// Prompt tokens a second, stated by the operator or learned.
    double prefillTokensPerSecond { 10000 };
    /// Output tokens a second of one request, stated or learned.
    double decodeTokensPerSecond { 30 };
    /// Mean time from dispatch to the last token, learned.
    Duration requestDuration { std::chrono::seconds(2) };
    Duration roundTripTime { std::chrono::milliseconds(1) };
};

/// Returns how many requests this entry may have in flight at \p endpoint: its
/// credits under slow start, but at least one where it has any.
unsigned inFlightLimit(const EndpointView& endpoint);

/// Returns whether \p endpoint takes one more request of this entry now.
bool isOpen(const EndpointView& endpoint);

/// Returns the tokens of \p backlog left at \p now when it drains at
/// \p tokensPerSecond.
double remainingTokens(const PrefillBacklog& backlog, double tokensPerSecond, TimePoint now);

/// Records a request with \p prefillTokens not cached, sent at \p now.
void recordDispatch(EndpointView& endpoint, double prefillTokens, TimePoint now);

/// Records the first token of a request that was sent with \p prefillTokens.
void recordFirstToken(EndpointView& endpoint, double prefillTokens);

/// Records that a request of this entry ended at \p now, in whatever way.
void recordSettled(EndpointView& endpoint, TimePoint now);

/// Takes in \p report, unless it is older than the one held, and adds to it the
/// own dispatches that it can't have seen yet.
void recordReport(EndpointView& endpoint, const EndpointLoadReport& report);

/// One finished request, for learning an endpoint's speed.
struct ServiceSample {
    /// Prompt tokens that were computed; zero leaves the prefill speed alone.
    double prefillTokens { 0 };
    /// Time the engine spent on them, without queue and network.
    Duration prefillTime { 0 };
    /// Output tokens after the first; zero leaves the decode speed alone.
    double decodeTokens { 0 };
    Duration decodeTime { 0 };
    /// Dispatch to last token; zero leaves the mean alone.
    Duration total { 0 };
};

/// Moves the learned speeds of \p endpoint towards \p sample.
void learnSpeeds(EndpointView& endpoint, const ServiceSample& sample);

} // namespace catkinwing
