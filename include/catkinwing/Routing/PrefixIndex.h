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
    /// Bound on the memory of the index.
    std::size_t maxBytes { std::size_t { 16 } * 1024 * 1024 };
    /// Endpoints remembered for one block; the more, the better known are
    /// prefixes that all share.
    std::size_t maxHolders { 64 };
    /// Tokens that one block of Support/PrefixHash.h stands for.
    double tokensPerBlock { 64 };
    /// Belief in a block that an event reported with no gap since.
    double confirmedWeight { 1.0 };
    /// Belief in a block known only from an own dispatch.
    double dispatchedWeight { 0.95 };
    /// Factor on the belief for each gap in the endpoint's events since.
    double gapFactor { 0.8 };
    /// A belief below this counts as none.
    double negligibleWeight { 0.05 };
};

/// Kind of an endpoint's cache event.
enum class CacheEventKind { Stored,
    Evicted,
    /// The endpoint dropped its whole cache.
    Cleared };

/// A cache event as an endpoint publishes it: late, and at times missing.
struct CacheEvent {
    std::string incarnation;
    /// One more than that of the event before it, within an incarnation.
    std::uint64_t sequence { 0 };
    CacheEventKind kind { CacheEventKind::Stored };
    /// Scoped hashes (see scopedPrefixHashes) of the blocks concerned.
    std::vector<std::uint64_t> hashes;
    /// Blocks of the prompt before the first hash, where the endpoint tells it.
    /// Without it, depths that are never looked up are kept too.
    std::optional<std::size_t> firstBlock;
};

/// Tokens of a prompt that an endpoint is expected to hold.
struct CachedPrefix {
    EndpointHandle endpoint { 0 };
    /// Weighted by the belief in each block.
    double tokens { 0 };
};

/// Returns the hashes of Support/PrefixHash.h bound to a model and an adapter,
/// since a cache is of use only to the same weights.
std::vector<std::uint64_t> scopedPrefixHashes(absl::Span<const std::uint64_t> hashes, absl::string_view model, absl::string_view adapter);

/// Which endpoint of one cell likely holds which prompt prefix. It is fed by own
/// dispatches and by cache events, is bounded in memory (least recently used
/// goes first; of long prompts, only some depths are kept), and is a belief: a wrong entry costs time, never correctness.
/// It belongs to one cell and is never sent anywhere, so prefix hashes of
/// resident teams stay within the region.
class PrefixIndex {
public:
    PrefixIndex() = default;
    explicit PrefixIndex(PrefixIndexPolicy policy);

    /// Records that a prompt went to \p endpoint and will likely be cached.
    void recordDispatch(EndpointHandle endpoint, absl::Span<const std::uint64_t> hashes);
    /// Takes in one event. A jump in the sequence makes all that is held of the
    /// endpoint doubtful; an event seen before is left out, and so is one of the
    /// incarnation before; one of another incarnation clears first.
    void applyEvent(EndpointHandle endpoint, const CacheEvent& event);
    /// States the endpoint's incarnation; a change clears what is held of it.
    void setIncarnation(EndpointHandle endpoint, absl::string_view incarnation);
    /// Forgets an endpoint, so that its handle may be reused.
    void forget(EndpointHandle endpoint);

    /// Returns each endpoint that holds a beginning of the prompt with the
    /// tokens expected there, in one pass and in no order.
    std::vector<CachedPrefix> cachedTokens(absl::Span<const std::uint64_t> hashes) const;

    /// Returns the number of blocks held.
    std::size_t size() const { return m_nodeOf.size(); }
    /// Returns the bytes in use, heap blocks and table included.
    std::size_t memoryBytes() const;

private:
    using NodeIndex = std::uint32_t;
    static constexpr NodeIndex noNode = UINT32_MAX;
    static constexpr std::size_t inlineHolders = 2;

    /// One endpoint's hold on a block. Its epoch says since when.
    struct Holder {
        std::uint16_t endpoint;
        bool confirmed;
        std::uint32_t epoch;
    };
    struct Node {
        std::uint64_t hash;
        NodeIndex newer;
        NodeIndex older;
        absl::InlinedVector<Holder, inlineHolders> holders;
    };
    /// Events of an endpoint. The epoch grows with each gap and each clearing.
    struct Source {
        std::string incarnation;
        std::string previousIncarnation;
        std::uint64_t lastSequence { 0 };
        bool sequenceKnown { false };
        std::uint32_t epoch { 0 };
        /// Holds from before this epoch are gone.
        std::uint32_t validFrom { 0 };
    };

    /// Bytes of the table for one entry at its emptiest, after growing.
    static constexpr std::size_t tableBytesPerEntry = 40;
    static constexpr std::size_t nodesPerChunk = 1024;

    Node& node(NodeIndex index);
    const Node& node(NodeIndex index) const;
    Source& source(EndpointHandle endpoint);
    double belief(const Holder& holder) const;
    void clearHolds(Source& source);
    bool isNewEvent(Source& source, const CacheEvent& event);
    void store(EndpointHandle endpoint, std::uint64_t hash, bool confirmed);
    void storeChain(EndpointHandle endpoint, absl::Span<const std::uint64_t> hashes, bool confirmed);
    void evict(EndpointHandle endpoint, std::uint64_t hash);
    void addHolder(Node& node, const Holder& holder);
    NodeIndex findOrAdd(std::uint64_t hash);
    NodeIndex takeNode();
    void linkNewest(NodeIndex index);
    void unlink(NodeIndex index);
    void removeNode(NodeIndex index);
    void keepWithinBound();
    std::size_t liveBytes() const;

    PrefixIndexPolicy m_policy;
    std::vector<std::unique_ptr<Node[]>> m_chunks;
    /// First of the unused nodes, which are linked by their older link.
    NodeIndex m_firstFree { noNode };
    std::size_t m_nodesMade { 0 };
    std::size_t m_overflowBytes { 0 };
    NodeIndex m_newest { noNode };
    NodeIndex m_oldest { noNode };
    std::size_t m_replaced { 0 };
    absl::flat_hash_map<std::uint64_t, NodeIndex> m_nodeOf;
    std::vector<Source> m_sources;
};

} // namespace catkinwing
