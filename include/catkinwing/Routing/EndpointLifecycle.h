#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

namespace catkinwing {

/// Where word of an endpoint came from.
enum class LifecycleSource {
    /// The endpoint's own answer: a refusal, a health or a load reply.
    Endpoint,
    /// The platform's list of instances, which lags.
    InstanceList,
    /// Another entry.
    Peer
};

/// One word about an endpoint.
struct LifecycleSign {
    /// Name of the endpoint, which may pass to a new instance.
    std::string endpoint;
    /// Incarnation that the sign speaks of.
    std::string incarnation;
    LifecycleSource source { LifecycleSource::InstanceList };
    bool leaving { false };
};

/// What a sign changed.
enum class LifecycleChange { None,
    /// A new incarnation took over the name.
    Started,
    /// The present incarnation is leaving.
    Leaving };

/// What is known of the present incarnation.
struct LifecycleStatus {
    std::string incarnation;
    bool leaving { false };
    /// Source and time of the first sign of leaving.
    LifecycleSource leavingSource { LifecycleSource::Endpoint };
    TimePoint leavingSince {};
    /// When this incarnation was first seen; slow start begins there.
    TimePoint startedAt {};
};

/// Whether endpoints are live or leaving, per incarnation. The first sign of
/// leaving wins and is never taken back for that incarnation, so a lagging list
/// can't bring it back; a new incarnation of the same name starts afresh.
class EndpointLifecycle {
public:
    /// Takes in one sign. A sign of an incarnation that was replaced changes
    /// nothing, unless the endpoint itself gives it.
    LifecycleChange record(const LifecycleSign& sign, TimePoint now);
    /// Returns what is known of \p endpoint, or null.
    const LifecycleStatus* status(absl::string_view endpoint) const;
    /// Returns whether new work may go to \p endpoint.
    bool takesWork(absl::string_view endpoint) const;
    /// Drops what is known of \p endpoint; only once no source names it.
    void forget(absl::string_view endpoint);

private:
    struct Entry {
        LifecycleStatus present;
        /// True once the endpoint itself stated the present incarnation.
        bool confirmed { false };
        /// Incarnations that were present before, oldest first.
        std::vector<LifecycleStatus> replaced;
    };

    LifecycleChange recordOther(Entry& entry, const LifecycleSign& sign, TimePoint now) const;

    absl::flat_hash_map<std::string, Entry> m_entries;
};

} // namespace catkinwing
