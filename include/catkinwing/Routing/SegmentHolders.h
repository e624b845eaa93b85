#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/strings/string_view.h>
#include <cstdint>

namespace catkinwing {

/// Returns the hash that identifies a shared prompt segment.
std::uint32_t segmentHash(absl::string_view sharedSegment);

/// Estimates which endpoints of a region cache which shared prompt segments, from
/// the prompts that all entries of the region have sent. Endpoints evict the least
/// recently used segments; a segment therefore counts as cached until later
/// prompts sent to the endpoint fill the memory available for segments.
class SegmentHolders {
public:
    SegmentHolders();

    /// Records that a prompt with \p segment was sent to \p endpoint, which adds
    /// \p kilotokens to its cache.
    void recordSent(std::uint32_t endpoint, std::uint32_t segment, std::uint32_t kilotokens);
    /// Sets the cache size assumed for every endpoint; zero leaves it unchanged.
    void setCacheSize(std::int64_t tokens);
    /// Removes \p endpoint as a holder of \p segment, because it did not run the
    /// request.
    void remove(std::uint32_t endpoint, std::uint32_t segment);
    bool holds(std::uint32_t endpoint, std::uint32_t segment) const;
    std::size_t segmentCount() const { return m_holders.size(); }

private:
    struct Holder {
        std::uint32_t endpoint { 0 };
        /// The segment counts as evicted once the endpoint's total of cached
        /// kilotokens exceeds this value.
        std::uint64_t evictionThreshold { 0 };
    };
    using Holders = absl::InlinedVector<Holder, 2>;

    bool isCached(const Holder& holder) const;
    void removeEvictedSegments();

    absl::flat_hash_map<std::uint32_t, Holders> m_holders;
    /// Thousands of tokens that each endpoint has added to its cache so far.
    absl::flat_hash_map<std::uint32_t, std::uint64_t> m_stored;
    /// Thousands of tokens of segments that an endpoint can cache.
    std::uint64_t m_segmentCapacity { 0 };
};

} // namespace catkinwing
