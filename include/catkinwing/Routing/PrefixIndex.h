#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/strings/string_view.h>
#include <absl/types/span.h>
#include <memory>

namespace catkinwing {

/// Settings of the prefix index.
struct PrefixIndexPolicy {
    /// Maximum memory of the index.
    std::size_t maxBytes { std::size_t { 16 } * 1024 * 1024 };
    /// Maximum number of endpoints recorded for one block. A higher limit improves
    /// the estimates for prefixes that many prompts share.
    std::size_t maxHolders { 64 };
    /// Tokens in one block of Support/PrefixHash.h.
    double tokensPerBlock { 64 };
    /// Confidence in a block reported by a cache event, with no gap in the
    /// endpoint's events since.
    double confirmedWeight { 1.0 };
    /// Confidence in a block known only from a dispatch of this entry.
    double dispatchedWeight { 0.95 };
    /// Factor on the confidence for each later gap in the endpoint's events.
    double gapFactor { 0.8 };
    /// A confidence below this counts as 0 after a further gap.
    double negligibleWeight { 0.05 };
};

/// Kind of an endpoint's cache event.
enum class CacheEventKind { Stored,
    Evicted,
    /// The endpoint cleared its whole cache.
    Cleared };

/// A cache event published by an endpoint. Events arrive late, and some are lost.
struct CacheEvent {
    std::string incarnation;
    /// Increases by one with each event of an incarnation.
    std::uint64_t sequence { 0 };
    CacheEventKind kind { CacheEventKind::Stored };
    /// Hashes of the affected blocks, as returned by scopedPrefixHashes.
    std::vector<std::uint64_t> hashes;
    /// Number of blocks of the prompt before the first hash, if the endpoint
    /// reports it. If it doesn't, the index also keeps depths that are never
    /// looked up.
    std::optional<std::size_t> firstBlock;
};

/// The prompt tokens that an endpoint is expected to have cached.
struct CachedPrefix {
    EndpointHandle endpoint { 0 };
    /// Sum over the cached blocks, each weighted by its confidence.
    double tokens { 0 };
};

/// Combines the hashes of Support/PrefixHash.h with a model and an adapter, since
/// cached blocks are valid only for the same weights.
std::vector<std::uint64_t> scopedPrefixHashes(absl::Span<const std::uint64_t> hashes, absl::string_view model, absl::string_view adapter);

/// Estimates which endpoints of one cell have which prompt prefixes cached.
/// Updated from this entry's dispatches and from the endpoints' cache events.
/// Memory is bounded: the least recently used blocks are evicted first, and only
/// some depths of long prompts are kept. A wrong estimate costs latency, but does
/// not affect correctness. The index is never sent to another process, so prefix
/// hashes of teams with a residency stay within the region.
class PrefixIndex {
public:
    PrefixIndex() = default;
    explicit PrefixIndex(PrefixIndexPolicy policy);

    /// Records that a prompt was dispatched to \p endpoint, which will likely
    /// cache it.
    void recordDispatch(EndpointHandle endpoint, absl::Span<const std::uint64_t> hashes);
    /// Applies one event. A gap in the sequence numbers lowers the confidence in
    /// all recorded blocks of the endpoint. Events with an old sequence number or
    /// of the previous incarnation are ignored. An event of a new incarnation
    /// first discards the recorded blocks of the endpoint.
    void applyEvent(EndpointHandle endpoint, const CacheEvent& event);
    /// Sets the endpoint's incarnation. A change discards its recorded blocks.
    void setIncarnation(EndpointHandle endpoint, absl::string_view incarnation);
    /// Removes an endpoint, so that its handle may be reused.
    void remove(EndpointHandle endpoint);

    /// Returns each endpoint that is expected to have a prefix of the prompt
    /// cached, with the expected number of tokens, in unspecified order.
    std::vector<CachedPrefix> cachedTokens(absl::Span<const std::uint64_t> hashes) const;

    /// Returns the number of recorded blocks.
    std::size_t size() const { return m_nodeOf.size(); }
    /// Returns the allocated bytes, including the hash table and the heap storage
    /// of the holder lists.
    std::size_t memoryBytes() const;

private:
    using NodeIndex = std::uint32_t;
    static constexpr NodeIndex noNode = UINT32_MAX;
    static constexpr std::size_t inlineHolders = 2;

    /// An endpoint that is expected to have a block cached.
    struct Holder {
        std::uint16_t endpoint;
        /// True if a cache event reported the block.
        bool confirmed;
        /// Epoch of the endpoint's event stream when the block was last recorded.
        std::uint32_t epoch;
    };
    struct Node {
        std::uint64_t hash;
        NodeIndex newer;
        NodeIndex older;
        absl::InlinedVector<Holder, inlineHolders> holders;
    };
    /// State of an endpoint's event stream. The epoch increases with each gap in
    /// the sequence numbers and whenever the recorded blocks are discarded.
    struct EventStream {
        std::string incarnation;
        std::string previousIncarnation;
        std::uint64_t lastSequence { 0 };
        bool sequenceKnown { false };
        std::uint32_t epoch { 0 };
        /// Blocks recorded in an earlier epoch are invalid.
        std::uint32_t firstValidEpoch { 0 };
    };

    /// Hash table bytes per element at the lowest load factor, just after growing.
    static constexpr std::size_t tableBytesPerEntry = 40;
    static constexpr std::size_t nodesPerChunk = 1024;

    Node& node(NodeIndex index);
    const Node& node(NodeIndex index) const;
    EventStream& eventStream(EndpointHandle endpoint);
    double confidence(const Holder& holder) const;
    void discardBlocks(EventStream& stream);
    bool acceptEvent(EventStream& stream, const CacheEvent& event);
    void store(EndpointHandle endpoint, std::uint64_t hash, bool confirmed);
    void storePrefix(EndpointHandle endpoint, absl::Span<const std::uint64_t> hashes, bool confirmed);
    void evict(EndpointHandle endpoint, std::uint64_t hash);
    void addHolder(Node& node, const Holder& holder);
    NodeIndex findOrAdd(std::uint64_t hash);
    NodeIndex allocateNode();
    void linkNewest(NodeIndex index);
    void unlink(NodeIndex index);
    void removeNode(NodeIndex index);
    void evictToLimit();
    std::size_t liveBytes() const;

    PrefixIndexPolicy m_policy;
    std::vector<std::unique_ptr<Node[]>> m_chunks;
    /// Head of the free list, which is linked by Node::older.
    NodeIndex m_firstFree { noNode };
    std::size_t m_nodesAllocated { 0 };
    /// Heap bytes of the holder lists that don't fit inline.
    std::size_t m_holderHeapBytes { 0 };
    NodeIndex m_newest { noNode };
    NodeIndex m_oldest { noNode };
    std::size_t m_holderReplacementCount { 0 };
    absl::flat_hash_map<std::uint64_t, NodeIndex> m_nodeOf;
    std::vector<EventStream> m_eventStreams;
};

} // namespace catkinwing
