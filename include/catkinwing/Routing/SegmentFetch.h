#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/types/span.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace catkinwing {

/// How endpoints of a service transfer cached segments to each other.
struct SegmentTransfer {
    /// Bytes of one cached token; zero if endpoints transfer none.
    std::int64_t tokenBytes { 0 };
    double bitsPerSecond { 0 };
};

/// An endpoint that caches the segment of a request.
struct SegmentSource {
    /// Index in the list of the function's caller.
    std::size_t index { 0 };
    /// Predicted wait of a request there.
    Duration wait { 0 };
    /// Transfers from the endpoint that this entry has started and that are probably
    /// unfinished.
    unsigned transfers { 0 };
};

/// Returns the predicted time to transfer \p tokens from a source that has \p transfers others to
/// send first, which it does one after the other; nothing if endpoints transfer none.
std::optional<Duration> transferTime(const SegmentTransfer& transfer, std::int64_t tokens, unsigned transfers);

/// Returns the source from which an endpoint fetches the \p tokens of a segment: the one that is
/// ready first and, among equals, the one with the shortest wait. Returns nothing if fetching
/// saves less than half of \p prefillTime, the time to prefill the segment again.
std::optional<std::size_t> chooseFetchSource(absl::Span<const SegmentSource> sources, const SegmentTransfer& transfer, std::int64_t tokens, Duration prefillTime);

} // namespace catkinwing
