#pragma once

#include "catkinwing/Routing/SlowStart.h"
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// When an endpoint is ejected, and for how long.
struct OutlierPolicy {
    /// Consecutive failed connections after which an endpoint is ejected,
    /// regardless of its peers, since it can't serve any request.
    unsigned consecutiveUnreachable { 3 };
    /// Duration of the first ejection of an unreachable endpoint. Doubles with each
    /// further ejection as unreachable, up to \c baseEjection.
    Duration baseUnreachableEjection { std::chrono::seconds(1) };
    /// Consecutive errors that make an endpoint suspect.
    unsigned consecutiveErrors { 5 };
    /// Error rate (0 to 1) that makes an endpoint suspect.
    double errorRate { 0.5 };
    /// An endpoint is suspect if its latency exceeds the median of its peer group
    /// by this factor.
    double latencyFactor { 4.0 };
    /// Minimum number of outcomes (or latencies) before the error rate (or the
    /// latency) of an endpoint is used.
    unsigned minimumOutcomes { 10 };
    /// Weight of the newest outcome in the exponential moving averages.
    double smoothing { 0.1 };
    /// Duration of the first ejection of an endpoint that is reachable. Doubles with
    /// each further ejection, up to \c maxEjection.
    Duration baseEjection { std::chrono::seconds(10) };
    Duration maxEjection { std::chrono::minutes(5) };
    /// Time without an ejection after which the count of earlier ejections drops
    /// by one.
    Duration ejectionDecayInterval { std::chrono::minutes(2) };
    /// Maximum fraction of a peer group that is ejected at once, rounded down to
    /// whole endpoints.
    double maxEjectedFraction { 0.34 };
    /// When this fraction of a group is suspect or ejected, the cause is likely
    /// outside of the endpoints: none is ejected and all ejections end.
    double panicFraction { 0.6 };
    SlowStartPolicy slowStart;
};

/// The outcome of one request at an endpoint.
struct EndpointOutcome {
    std::string endpoint;
    /// Name of the group of endpoints that are compared with each other, such as
    /// all endpoints of one model.
    std::string peerGroup;
    std::string incarnation;
    bool failed { false };
    /// A latency that can be compared across requests, such as the mean time
    /// between tokens, or to the first token for each prefilled token.
    std::optional<Duration> latency;
    /// True if no connection could be made, so that nothing was sent.
    bool unreachable { false };
};

/// Why an endpoint was ejected.
enum class EjectionCause { Unreachable,
    ConsecutiveErrors,
    ErrorRate,
    Latency };

/// A change made by OutlierDetector::evaluate.
struct EjectionChange {
    std::string endpoint;
    /// Set if the endpoint was ejected; empty if its ejection ended.
    std::optional<EjectionCause> cause;
    /// When the ejection ends.
    TimePoint ejectedUntil {};
};

/// Detects endpoints that fail or are slow compared with their peers. Ejects them
/// for a time that grows with each ejection, and then ramps them up by slow start.
class OutlierDetector {
public:
    OutlierDetector() = default;
    explicit OutlierDetector(OutlierPolicy policy);

    /// Records the outcome of a request. A new incarnation of an endpoint starts
    /// with no recorded outcomes or ejections.
    void record(const EndpointOutcome& outcome, TimePoint now);
    /// Adds an endpoint that has no outcomes yet, so that it counts as a member of
    /// its peer group.
    void add(absl::string_view endpoint, absl::string_view peerGroup, absl::string_view incarnation, TimePoint now);
    void remove(absl::string_view endpoint);
    /// Starts and ends ejections and returns the changes. To be called about once
    /// per second and after errors.
    std::vector<EjectionChange> evaluate(TimePoint now);

    bool isEjected(absl::string_view endpoint) const;
    /// Returns the weight of \p endpoint in routing: 0 while ejected, then the slow
    /// start ramp up to 1; 1 for an unknown endpoint.
    double weight(absl::string_view endpoint, TimePoint now) const;

private:
    struct TrackedEndpoint {
        std::string peerGroup;
        std::string incarnation;
        unsigned unreachableInARow { 0 };
        /// Ejections as unreachable since the last successful connection.
        unsigned unreachableEjections { 0 };
        /// True while ejected as unreachable. Neither \c maxEjectedFraction nor
        /// \c panicFraction applies to such an ejection.
        bool unreachable { false };
        unsigned errorsInARow { 0 };
        unsigned outcomes { 0 };
        double errorRate { 0 };
        unsigned latencies { 0 };
        double latencySeconds { 0 };
        unsigned ejections { 0 };
        bool ejected { false };
        TimePoint ejectedUntil {};
        std::optional<TimePoint> reinstatedAt;
        TimePoint healthySince {};
    };
    using Group = std::vector<std::pair<std::string, TrackedEndpoint*>>;

    TrackedEndpoint& findOrAdd(absl::string_view endpoint, absl::string_view peerGroup, absl::string_view incarnation, TimePoint now);
    std::optional<EjectionCause> ejectionCause(const TrackedEndpoint& tracked, std::optional<double> medianLatency) const;
    std::optional<double> medianLatency(const Group& group) const;
    void evaluateGroup(Group& group, TimePoint now, std::vector<EjectionChange>& changes);
    void ejectUnreachable(Group& group, TimePoint now, std::vector<EjectionChange>& changes) const;
    void eject(TrackedEndpoint& tracked, TimePoint now) const;
    void endEjection(TrackedEndpoint& tracked, TimePoint now) const;
    void decayEjections(TrackedEndpoint& tracked, TimePoint now) const;

    OutlierPolicy m_policy;
    absl::flat_hash_map<std::string, std::unique_ptr<TrackedEndpoint>> m_endpoints;
};

} // namespace catkinwing
