#pragma once

#include "catkinwing/Routing/SlowStart.h"
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// When an endpoint is set aside, and for how long.
struct OutlierPolicy {
    /// Refused connections in a row that set an endpoint aside, whatever its peers
    /// do: nothing is served there.
    unsigned consecutiveUnreachable { 3 };
    /// Time until an unreachable endpoint is tried again; doubles with each
    /// further refusal up to \c baseEjection.
    Duration unreachableRetry { std::chrono::seconds(1) };
    /// Errors in a row that make an endpoint suspect.
    unsigned consecutiveErrors { 5 };
    /// Share of errors that makes an endpoint suspect.
    double errorRate { 0.5 };
    /// An endpoint slower than its peers' median by this factor is suspect.
    double latencyFactor { 4.0 };
    /// Outcomes seen before the error rate and the latency count.
    unsigned minimumOutcomes { 10 };
    /// Weight of the newest outcome in the averages.
    double smoothing { 0.1 };
    /// First ejection; doubles with each further one.
    Duration baseEjection { std::chrono::seconds(10) };
    Duration maxEjection { std::chrono::minutes(5) };
    /// Healthy time after which one earlier ejection is forgiven.
    Duration forgiveAfter { std::chrono::minutes(2) };
    /// At most this share of a peer group is out at once, rounded down.
    double maxEjectedFraction { 0.34 };
    /// When this share of a group is suspect or out, the fault is likely not
    /// theirs: none is ejected and all return.
    double panicFraction { 0.6 };
    SlowStartPolicy slowStart;
};

/// The end of one request at an endpoint.
struct EndpointOutcome {
    std::string endpoint;
    /// Endpoints compared with each other, such as those of one model.
    std::string peerGroup;
    std::string incarnation;
    bool failed { false };
    /// A latency that can be compared across requests, such as the mean time
    /// between tokens, or to the first token for each prefilled token.
    std::optional<Duration> latency;
    /// True where no connection could be made, so that nothing was sent.
    bool unreachable { false };
};

/// Why an endpoint was set aside.
enum class EjectionCause { Unreachable,
    ConsecutiveErrors,
    ErrorRate,
    Latency };

/// A change that evaluate made.
struct EjectionChange {
    std::string endpoint;
    /// Set where the endpoint was ejected; else it returned.
    std::optional<EjectionCause> cause;
    /// When an ejected endpoint returns.
    TimePoint until {};
};

/// Finds endpoints that fail or are slow beside their peers, sets them aside for
/// a growing time and lets them return by slow start.
class OutlierDetector {
public:
    OutlierDetector() = default;
    explicit OutlierDetector(OutlierPolicy policy);

    /// Takes in the outcome of a request. A new incarnation starts afresh.
    void record(const EndpointOutcome& outcome, TimePoint now);
    /// Makes an endpoint known with no outcome, so that it counts in its group.
    void add(absl::string_view endpoint, absl::string_view peerGroup, absl::string_view incarnation, TimePoint now);
    void remove(absl::string_view endpoint);
    /// Ejects and returns endpoints as is due; called about each second and
    /// after errors.
    std::vector<EjectionChange> evaluate(TimePoint now);

    bool isEjected(absl::string_view endpoint) const;
    /// Returns the share of work for \p endpoint: 0 while ejected, then a ramp
    /// to 1; 1 for an unknown one.
    double weight(absl::string_view endpoint, TimePoint now) const;

private:
    struct Entry {
        std::string peerGroup;
        std::string incarnation;
        unsigned unreachableInARow { 0 };
        /// Times in a row that it was set aside as unreachable.
        unsigned unreachableTimes { 0 };
        /// Ejected as unreachable, which neither cap nor panic concerns.
        bool unreachable { false };
        unsigned errorsInARow { 0 };
        unsigned outcomes { 0 };
        double errorRate { 0 };
        unsigned latencies { 0 };
        double latencySeconds { 0 };
        unsigned ejections { 0 };
        bool ejected { false };
        TimePoint until {};
        std::optional<TimePoint> returnedAt;
        TimePoint healthySince {};
    };
    using Group = std::vector<std::pair<std::string, Entry*>>;

    Entry& entry(absl::string_view endpoint, absl::string_view peerGroup, absl::string_view incarnation, TimePoint now);
    std::optional<EjectionCause> suspicion(const Entry& entry, std::optional<double> medianLatency) const;
    std::optional<double> medianLatency(const Group& group) const;
    void evaluateGroup(Group& group, TimePoint now, std::vector<EjectionChange>& changes);
    void ejectUnreachable(Group& group, TimePoint now, std::vector<EjectionChange>& changes) const;
    void eject(Entry& entry, TimePoint now) const;
    void comeBack(Entry& entry, TimePoint now) const;
    void forgive(Entry& entry, TimePoint now) const;

    OutlierPolicy m_policy;
    absl::flat_hash_map<std::string, std::unique_ptr<Entry>> m_entries;
};

} // namespace catkinwing
