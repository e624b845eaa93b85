#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

namespace catkinwing {

/// Origin of a report about an endpoint.
enum class LifecycleSource {
    /// A reply of the endpoint itself: a refusal, health reply or load reply.
    Endpoint,
    /// The platform's list of instances, which may be out of date.
    InstanceList,
    /// Another entry.
    Peer
};

/// A report about the state of an endpoint.
struct LifecycleReport {
    /// Name of the endpoint; a new instance may take over the name.
    std::string endpoint;
    /// Incarnation to which the report applies.
    std::string incarnation;
    LifecycleSource source { LifecycleSource::InstanceList };
    bool leaving { false };
};

/// State change caused by a report.
enum class LifecycleChange { None,
    /// A new incarnation has taken over the name.
    Started,
    /// The present incarnation has begun to leave.
    Leaving };

/// State of one incarnation of an endpoint.
struct LifecycleStatus {
    std::string incarnation;
    bool leaving { false };
    /// Source and time of the first report that the incarnation is leaving.
    LifecycleSource leavingSource { LifecycleSource::Endpoint };
    TimePoint leavingSince {};
    /// When this incarnation was first reported; start of its slow start.
    TimePoint startedAt {};
};

/// Tracks per incarnation whether endpoints are live or leaving. Once an
/// incarnation is reported as leaving, it remains so: an outdated instance list
/// can't make it live again. A new incarnation of the same name starts as live
/// unless it is itself reported as leaving.
class EndpointLifecycle {
public:
    /// Records one report. A report about a replaced incarnation doesn't change the
    /// present one, unless it comes from the endpoint itself.
    LifecycleChange record(const LifecycleReport& report, TimePoint now);
    /// Returns the state of the present incarnation of \p endpoint, or null if
    /// the endpoint is unknown.
    const LifecycleStatus* status(absl::string_view endpoint) const;
    /// Returns whether \p endpoint is known and accepts new requests.
    bool acceptsRequests(absl::string_view endpoint) const;
    /// Removes all state of \p endpoint. Call it only once no source lists the
    /// endpoint any more.
    void remove(absl::string_view endpoint);

private:
    struct TrackedEndpoint {
        LifecycleStatus present;
        /// Whether the endpoint itself has reported the present incarnation.
        bool confirmed { false };
        /// Replaced incarnations, oldest first.
        std::vector<LifecycleStatus> replaced;
    };

    LifecycleChange recordOtherIncarnation(TrackedEndpoint& tracked, const LifecycleReport& report, TimePoint now) const;

    absl::flat_hash_map<std::string, TrackedEndpoint> m_endpoints;
};

} // namespace catkinwing
