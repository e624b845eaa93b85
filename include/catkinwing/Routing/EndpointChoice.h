#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <absl/strings/string_view.h>
#include <absl/types/span.h>
#include <cstdint>
#include <optional>
#include <string>

namespace catkinwing {

/// Outstanding work of an endpoint, as known to the entries of its region.
struct EndpointWork {
    /// Requests without a complete response.
    double requests { 0 };
    /// Thousands of prompt tokens that are not prefilled yet.
    double unprefilledKilotokens { 0 };
};

/// An endpoint that is eligible for a request.
struct EndpointCandidate {
    /// Index in the list of the function's caller.
    std::size_t index { 0 };
    absl::string_view incarnation;
    /// Predicted wait before the endpoint starts the request.
    Duration wait { 0 };
    /// Load of the endpoint, expressed as a time: its wait plus the mutual
    /// slowdown of the requests that run there.
    Duration load { 0 };
    /// Whether the endpoint failed recently. Suspects are chosen only if all
    /// candidates are suspects.
    bool isSuspect { false };
    /// Whether the wait exceeds the request's limit. Such a candidate is chosen
    /// only for its shared prompt segment.
    bool isTooBusy { false };
    /// Whether the endpoint accepts only a limited request rate. Such a candidate doesn't
    /// become the owner of a segment while others have no limit.
    bool isLimited { false };
    /// Whether the endpoint probably caches the request's shared prompt segment.
    bool cachesSegment { false };
};

/// Properties of the request that affect the choice.
struct EndpointDemand {
    /// Identifies the shared prompt segment; empty if there is none that is worth
    /// reusing.
    std::string sharedSegment;
    /// Time to prefill the shared segment again.
    Duration prefillTime { 0 };
    /// Maximum wait of the request.
    Duration maxWait { Duration::max() };
};

/// Returns the maximum wait of a request for the endpoint that owns its shared
/// segment. The time saved by not prefilling the segment again extends it.
Duration maxWaitForOwner(const EndpointDemand& demand);

/// Returns the rendezvous-hash score of an endpoint for a shared segment. The
/// endpoint with the highest score owns the segment. The score is the same in
/// every entry.
std::uint64_t ownershipScore(absl::string_view incarnation, absl::string_view sharedSegment);

/// Chooses among \p candidates. Returns nothing if there are none or all are too
/// busy. A request with a shared segment goes to the endpoint that caches the
/// segment, or to the one with the shortest wait if several do. If none does, the
/// request goes to the owner of the segment (see ownershipScore), which all entries
/// compute alike without communication. Endpoints
/// whose wait is far above the mean are not chosen for their segments.
std::optional<std::size_t> chooseEndpoint(absl::Span<const EndpointCandidate> candidates, const EndpointDemand& demand, Random& random);

} // namespace catkinwing
