#pragma once

#include "catkinwing/Routing/EndpointChoice.h"
#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <absl/strings/string_view.h>
#include <absl/types/span.h>
#include <cstddef>
#include <optional>

namespace catkinwing {

/// An endpoint that is eligible for a request of a service that serves mixed prompts.
struct PlacementCandidate {
    /// Index in the list of the function's caller.
    std::size_t index { 0 };
    absl::string_view incarnation;
    /// Predicted wait before the endpoint starts the request.
    Duration wait { 0 };
    /// Predicted time in which the endpoint prefills the prompt, or fetches and prefills it.
    Duration prefill { 0 };
    /// Predicted time to prefill the segment that the endpoint evicts from its cache for that of
    /// the request; zero if it caches the segment.
    Duration evicted { 0 };
    /// Predicted time from the first event of the response to its end, with the mutual slowdown
    /// of the requests that run there.
    Duration decode { 0 };
    /// Requests that run at the endpoint or wait there.
    double requests { 0 };
    /// Requests that the endpoint runs at once; zero if unknown.
    unsigned slots { 0 };
    bool isSuspect { false };
    /// Whether the wait exceeds the request's limit.
    bool isTooBusy { false };
    /// Whether the endpoint accepts only a limited request rate.
    bool isLimited { false };
    /// Whether the endpoint probably caches the request's shared prompt segment.
    bool cachesSegment { false };
};

/// Returns the cost of a request at an endpoint, as a time: that until its response ends, plus the
/// engine time that its prefill takes from the requests that run there, plus part of
/// the prefill that evicting another segment causes. An engine that prefills a prompt in chunks
/// makes one decode step for each chunk. Long prompts therefore gather at endpoints that run few
/// other requests, and short ones, which wait for the prompts ahead, keep away from these.
Duration placementCost(const PlacementCandidate& candidate);

/// Chooses among \p candidates. Returns nothing if there are none or all are too busy. A request
/// with a long shared segment is compared at the endpoints that cache it, at the two that own
/// it (see ownershipScore) and at two random ones; another one at two random ones.
std::optional<std::size_t> choosePlacement(absl::Span<const PlacementCandidate> candidates, absl::string_view sharedSegment, Random& random);

} // namespace catkinwing
