#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Identifies an endpoint within one process. CellView assigns handles and reuses
/// them after the endpoint's removal.
using EndpointHandle = std::uint32_t;

/// Whether an endpoint accepts new requests.
enum class EndpointState {
    /// Accepts new requests.
    Live,
    /// Is being stopped or replaced; completes its present requests.
    Leaving,
    /// Is temporarily excluded by the outlier detector.
    Ejected
};

/// Load reported by an endpoint.
struct EndpointLoadReport {
    /// When the load was measured, on this process's clock: time of receipt minus
    /// the age stated in the report.
    TimePoint measuredAt {};
    /// Requests in the engine's batch.
    unsigned running { 0 };
    /// Requests in the engine's own queue.
    unsigned waiting { 0 };
    /// Prompt tokens accepted but not prefilled yet.
    double queuedPrefillTokens { 0 };
};

/// A request of this entry that the latest load report may not include.
struct OwnDispatch {
    TimePoint sentAt {};
    double prefillTokens { 0 };
};

/// Prefill work at an endpoint, modelled as a queue that drains at the prefill
/// speed.
struct PrefillBacklog {
    double tokens { 0 };
    TimePoint asOf {};
};

/// An entry's view of one endpoint of its cell.
struct EndpointView {
    /// Name in the configuration; unique in the cell.
    std::string name;
    std::string zone;
    /// Identifies one run of the endpoint process; changes at each restart.
    std::string incarnation;
    /// Kept sorted by CellView.
    std::vector<std::string> models;
    /// Adapters that are currently loaded; kept sorted by CellView.
    std::vector<std::string> adapters;

    EndpointState state { EndpointState::Live };
    /// Fraction of the normal load allowed by slow start; above 0 and at most 1.
    double slowStartWeight { 1 };
    /// Requests that the engine runs at once.
    unsigned slots { 1 };
    /// Maximum requests of this entry in flight here: its share of the slots.
    unsigned credits { 1 };
    /// Requests of this entry in flight here.
    unsigned ownInFlight { 0 };
    /// Prefill tokens of this entry's requests without a first token yet.
    double ownPendingPrefillTokens { 0 };

    std::optional<EndpointLoadReport> report;
    /// Requests that this entry sent after the report was measured, oldest first.
    std::vector<OwnDispatch> dispatchesSinceReport;
    /// End times of this entry's requests that ended after the report was
    /// measured, oldest first.
    std::vector<TimePoint> requestEndTimesSinceReport;
    /// Requests of other entries in flight here, derived from the report.
    unsigned othersInFlight { 0 };
    PrefillBacklog backlog;

    /// Prompt tokens per second, configured by the operator or estimated.
    double prefillTokensPerSecond { 10000 };
    /// Output tokens per second of one request, configured or estimated.
    double decodeTokensPerSecond { 30 };
    /// Estimated mean time from dispatch to the last token.
    Duration requestDuration { std::chrono::seconds(2) };
    Duration roundTripTime { std::chrono::milliseconds(1) };
};

/// Returns how many requests this entry may have in flight at \p endpoint: its
/// credits scaled by slow start, but at least one if it has any.
unsigned inFlightLimit(const EndpointView& endpoint);

/// Returns whether this entry may send one more request to \p endpoint now.
bool acceptsRequest(const EndpointView& endpoint);

/// Returns the tokens that remain in \p backlog at \p now if it drains at
/// \p tokensPerSecond.
double remainingTokens(const PrefillBacklog& backlog, double tokensPerSecond, TimePoint now);

/// Records that this entry sent a request with \p prefillTokens uncached prompt
/// tokens at \p now.
void recordDispatch(EndpointView& endpoint, double prefillTokens, TimePoint now);

/// Records the first token of a request that was recorded with \p prefillTokens.
void recordFirstToken(EndpointView& endpoint, double prefillTokens);

/// Records that a request of this entry ended at \p now, whatever its outcome.
void recordRequestEnded(EndpointView& endpoint, TimePoint now);

/// Records \p report unless it is older than the present one. Adds the requests
/// that this entry sent after the report was measured.
void recordReport(EndpointView& endpoint, const EndpointLoadReport& report);

/// Measurements of one finished request, used to estimate an endpoint's speeds.
struct ServiceSample {
    /// Prompt tokens that were prefilled; zero leaves the prefill speed unchanged.
    double prefillTokens { 0 };
    /// Time that the engine spent on the prefill, without queueing and network
    /// delay.
    Duration prefillTime { 0 };
    /// Output tokens after the first; zero leaves the decode speed unchanged.
    double decodeTokens { 0 };
    Duration decodeTime { 0 };
    /// Time from dispatch to the last token; zero leaves the mean duration
    /// unchanged.
    Duration requestDuration { 0 };
};

/// Updates the estimated speeds and request duration of \p endpoint from
/// \p sample.
void updateSpeeds(EndpointView& endpoint, const ServiceSample& sample);

} // namespace catkinwing
