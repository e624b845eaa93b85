#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <absl/types/span.h>
#include <string>

namespace catkinwing {

/// A region that may take a request with a shared part.
struct PartRegionOption {
    std::string region;
    /// How long the request would wait there for an endpoint.
    Duration wait { 0 };
    /// What the way there adds; zero for the region of this entry.
    Duration way { 0 };
    /// Its endpoints probably keep the part, or it owns the part that none keeps.
    bool keepsPart { false };
};

/// Chooses the region for a request with a shared part, which takes
/// \p readingAgain to read. It goes to where the part is kept unless another
/// region is so much less busy that reading the part there costs less; a part
/// that has moved stays, so that it moves once. Nothing if \p options is empty.
const PartRegionOption* choosePartRegion(absl::Span<const PartRegionOption> options, Duration readingAgain, Random& random);

} // namespace catkinwing
