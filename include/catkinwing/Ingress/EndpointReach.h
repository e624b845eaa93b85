#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// Evidence of whether this entry reaches the endpoints of its region, from the results of
/// its own requests. Endpoints are named by their hashes.
class EndpointReach {
public:
    /// Records that bytes were received from an endpoint of \p service. Returns true if the
    /// entry was cut off from it until then.
    bool recordReceived(absl::string_view service, TimePoint now);
    /// Records that a connection to the endpoint failed or broke, or that the endpoint leaves
    /// requests unanswered.
    void recordFailure(absl::string_view service, std::uint32_t endpoint, TimePoint now);

    /// Returns whether the entry reaches none of the endpoints of \p service, most likely.
    bool isCutOff(absl::string_view service, TimePoint now) const;
    /// Returns whether a cut has begun, from one service or from all, that an earlier call hasn't
    /// returned. A cut may begin without a further failure, as time passes.
    bool takeNewCut(TimePoint now);
    /// Returns whether an attempt at an endpoint of \p service has failed since the last bytes
    /// were received from any of them.
    bool hasFailed(absl::string_view service, std::uint32_t endpoint) const;
    /// Returns the endpoints of all services that failed since the last bytes were received
    /// from any endpoint.
    std::vector<std::uint32_t> failedEndpoints() const;
    /// Returns when bytes were last received from any endpoint; the epoch if never.
    TimePoint lastReceivedAt() const { return m_all.receivedAt; }

    /// Returns whether a request may test if the endpoints of \p service are reached again. A
    /// request that may not be repeated is used only if no other one has come for a while, since
    /// a connection that hangs loses it.
    bool tryProbe(absl::string_view service, bool mayRepeat, TimePoint now);

private:
    struct Evidence {
        TimePoint receivedAt {};
        /// Endpoints that failed since then, with the time of the last failure.
        absl::flat_hash_map<std::uint32_t, TimePoint> failures;
        TimePoint nextProbeAt {};
        /// takeNewCut() has returned the current cut.
        bool isCutTaken { false };
    };

    static bool showsCut(const Evidence& evidence, TimePoint now);

    /// Evidence of the endpoints of all services together.
    Evidence m_all;
    absl::flat_hash_map<std::string, Evidence> m_services;
};

} // namespace catkinwing
