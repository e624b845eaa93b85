#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <absl/types/span.h>
#include <string>

namespace catkinwing {

/// A region that is eligible for a request with a shared prompt segment.
struct SegmentRegionOption {
    std::string region;
    /// Predicted wait for an endpoint in the region.
    Duration wait { 0 };
    /// Network delay to the region; zero for the region of this entry.
    Duration networkDelay { 0 };
    /// Whether endpoints of the region probably cache the segment, or no endpoint
    /// caches it and the endpoint that owns it (see ownershipScore) is in the region.
    bool cachesSegment { false };
};

/// Chooses the region for a request with a shared segment, which takes
/// \p prefillTime to prefill. Prefers the region that caches the segment unless
/// another region would start the response sooner despite the repeated prefill.
/// The region that prefilled the segment is then preferred, so that the segment
/// moves only once. Returns null if \p options is empty.
const SegmentRegionOption* chooseSegmentRegion(absl::Span<const SegmentRegionOption> options, Duration prefillTime, Random& random);

} // namespace catkinwing
