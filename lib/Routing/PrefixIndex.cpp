#include "catkinwing/Routing/PrefixIndex.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace catkinwing {

std::vector<std::uint64_t> scopedPrefixHashes(absl::Span<const std::uint64_t> hashes, absl::string_view model, absl::string_view adapter)
{
    std::uint64_t scope = stableHash(adapter, stableHash(model));
    std::vector<std::uint64_t> scoped(hashes.begin(), hashes.end());
    for (std::uint64_t& hash : scoped)
        hash ^= scope;
    return scoped;
}

/// Number of depths (in blocks) that the index keeps per doubling of the depth.
/// The first depths are all kept. A cached depth is known to within an eighth.
static constexpr std::size_t depthsPerDoubling = 8;

static std::size_t depthStep(std::size_t depth)
{
    std::size_t step = 1;
    while (step * depthsPerDoubling * 2 <= depth)
        step *= 2;
    return step;
}

static std::size_t nextDepth(std::size_t depth)
{
    return depth + depthStep(depth);
}

/// Returns the hashes at the depths that the index keeps. \p blocksBefore is the
/// number of blocks of the prompt before the first hash.
static std::vector<std::uint64_t> hashesAtKeptDepths(absl::Span<const std::uint64_t> hashes, std::size_t blocksBefore)
{
    std::vector<std::uint64_t> kept;
    kept.reserve(std::min(hashes.size(), 4 * depthsPerDoubling));
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        std::size_t depth = blocksBefore + i + 1;
        if (depth % depthStep(depth) == 0)
            kept.push_back(hashes[i]);
    }
    return kept;
}

PrefixIndex::PrefixIndex(PrefixIndexPolicy policy)
    : m_policy(policy)
{
}

void PrefixIndex::recordDispatch(EndpointHandle endpoint, absl::Span<const std::uint64_t> hashes)
{
    storePrefix(endpoint, hashesAtKeptDepths(hashes, 0), false);
}

void PrefixIndex::applyEvent(EndpointHandle endpoint, const CacheEvent& event)
{
    if (!acceptEvent(eventStream(endpoint), event))
        return;
    switch (event.kind) {
    case CacheEventKind::Stored:
        storePrefix(endpoint, event.firstBlock ? hashesAtKeptDepths(event.hashes, *event.firstBlock) : event.hashes, true);
        return;
    case CacheEventKind::Evicted:
        for (std::uint64_t hash : event.hashes)
            evict(endpoint, hash);
        return;
    case CacheEventKind::Cleared:
        discardBlocks(eventStream(endpoint));
        return;
    }
}

bool PrefixIndex::acceptEvent(EventStream& stream, const CacheEvent& event)
{
    if (event.incarnation != stream.incarnation) {
        // Late events of the previous incarnation may still arrive.
        if (event.incarnation == stream.previousIncarnation)
            return false;
        stream.previousIncarnation = std::exchange(stream.incarnation, event.incarnation);
        stream.sequenceKnown = false;
        discardBlocks(stream);
    }
    if (stream.sequenceKnown && event.sequence <= stream.lastSequence)
        return false;
    if (stream.sequenceKnown && event.sequence > stream.lastSequence + 1)
        stream.epoch += 1;
    stream.lastSequence = event.sequence;
    stream.sequenceKnown = true;
    return true;
}

void PrefixIndex::setIncarnation(EndpointHandle endpoint, absl::string_view incarnation)
{
    EventStream& stream = eventStream(endpoint);
    if (stream.incarnation == incarnation)
        return;
    stream.previousIncarnation = std::exchange(stream.incarnation, std::string(incarnation));
    stream.sequenceKnown = false;
    discardBlocks(stream);
}

void PrefixIndex::remove(EndpointHandle endpoint)
{
    EventStream& stream = eventStream(endpoint);
    discardBlocks(stream);
    stream.incarnation.clear();
    stream.previousIncarnation.clear();
    stream.sequenceKnown = false;
}

std::vector<CachedPrefix> PrefixIndex::cachedTokens(absl::Span<const std::uint64_t> hashes) const
{
    struct CachedDepth {
        // Number of cached blocks, each weighted by its confidence.
        float weightedBlocks;
        std::uint32_t depth;
    };
    std::vector<CachedPrefix> found;
    std::vector<CachedDepth> cachedDepths(m_eventStreams.size(), CachedDepth { 0, 0 });
    for (std::size_t depth = 1; depth <= hashes.size(); depth = nextDepth(depth)) {
        auto known = m_nodeOf.find(hashes[depth - 1]);
        // Shorter prefixes are evicted last, so no deeper one is recorded either.
        if (known == m_nodeOf.end())
            break;
        for (const Holder& holder : node(known->second).holders) {
            double weight = confidence(holder);
            if (weight == 0)
                continue;
            CachedDepth& cached = cachedDepths[holder.endpoint];
            if (cached.depth == 0)
                found.push_back({ holder.endpoint, 0 });
            // An endpoint that has this block cached also has all blocks before
            // it, even if the endpoint is not among their recorded holders.
            cached.weightedBlocks += static_cast<float>(weight * static_cast<double>(depth - cached.depth));
            cached.depth = static_cast<std::uint32_t>(depth);
        }
    }
    for (CachedPrefix& prefix : found)
        prefix.tokens = cachedDepths[prefix.endpoint].weightedBlocks * m_policy.tokensPerBlock;
    return found;
}

std::size_t PrefixIndex::memoryBytes() const
{
    std::size_t slotBytes = sizeof(std::pair<const std::uint64_t, NodeIndex>) + 1;
    return m_chunks.size() * nodesPerChunk * sizeof(Node)
        + m_nodeOf.capacity() * slotBytes
        + m_eventStreams.capacity() * sizeof(EventStream)
        + m_holderHeapBytes;
}

std::size_t PrefixIndex::liveBytes() const
{
    // Adds one chunk to the nodes in use, since chunks are allocated whole.
    std::size_t fixed = nodesPerChunk * sizeof(Node) + m_eventStreams.capacity() * sizeof(EventStream);
    return fixed + m_nodeOf.size() * (sizeof(Node) + tableBytesPerEntry) + m_holderHeapBytes;
}

PrefixIndex::Node& PrefixIndex::node(NodeIndex index)
{
    return m_chunks[index / nodesPerChunk][index % nodesPerChunk];
}

const PrefixIndex::Node& PrefixIndex::node(NodeIndex index) const
{
    return m_chunks[index / nodesPerChunk][index % nodesPerChunk];
}

PrefixIndex::EventStream& PrefixIndex::eventStream(EndpointHandle endpoint)
{
    assert(endpoint <= std::numeric_limits<std::uint16_t>::max() && "endpoint handle does not fit into Holder::endpoint");
    if (endpoint >= m_eventStreams.size())
        m_eventStreams.resize(endpoint + 1);
    return m_eventStreams[endpoint];
}

double PrefixIndex::confidence(const Holder& holder) const
{
    const EventStream& stream = m_eventStreams[holder.endpoint];
    if (holder.epoch < stream.firstValidEpoch)
        return 0;
    double weight = holder.confirmed ? m_policy.confirmedWeight : m_policy.dispatchedWeight;
    for (std::uint32_t epoch = holder.epoch; epoch < stream.epoch && weight > 0; ++epoch)
        weight = weight < m_policy.negligibleWeight ? 0 : weight * m_policy.gapFactor;
    return weight;
}

void PrefixIndex::discardBlocks(EventStream& stream)
{
    stream.epoch += 1;
    stream.firstValidEpoch = stream.epoch;
}

void PrefixIndex::storePrefix(EndpointHandle endpoint, absl::Span<const std::uint64_t> hashes, bool confirmed)
{
    // Stores the deepest block first, so that a prefix is always more recent than
    // its extensions and eviction removes the ends of chains first.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash)
        store(endpoint, *hash, confirmed);
    evictToLimit();
}

void PrefixIndex::store(EndpointHandle endpoint, std::uint64_t hash, bool confirmed)
{
    std::uint32_t epoch = eventStream(endpoint).epoch;
    NodeIndex index = findOrAdd(hash);
    unlink(index);
    linkNewest(index);
    Node& block = node(index);
    for (Holder& holder : block.holders) {
        if (holder.endpoint != endpoint)
            continue;
        bool stillConfirmed = holder.confirmed && holder.epoch == epoch;
        holder.confirmed = confirmed || stillConfirmed;
        holder.epoch = epoch;
        return;
    }
    addHolder(block, { static_cast<std::uint16_t>(endpoint), confirmed, epoch });
}

void PrefixIndex::addHolder(Node& node, const Holder& holder)
{
    for (Holder& old : node.holders) {
        if (old.epoch < m_eventStreams[old.endpoint].firstValidEpoch) {
            old = holder;
            return;
        }
    }
    if (node.holders.size() >= m_policy.maxHolders) {
        node.holders[m_holderReplacementCount++ % node.holders.size()] = holder;
        return;
    }
    std::size_t before = node.holders.capacity();
    node.holders.push_back(holder);
    std::size_t after = node.holders.capacity();
    if (after > before)
        m_holderHeapBytes += (after - (before > inlineHolders ? before : 0)) * sizeof(Holder);
}

void PrefixIndex::evict(EndpointHandle endpoint, std::uint64_t hash)
{
    auto known = m_nodeOf.find(hash);
    if (known == m_nodeOf.end())
        return;
    auto& holders = node(known->second).holders;
    auto removed = std::remove_if(holders.begin(), holders.end(), [endpoint](const Holder& holder) { return holder.endpoint == endpoint; });
    holders.erase(removed, holders.end());
    if (holders.empty())
        removeNode(known->second);
}

PrefixIndex::NodeIndex PrefixIndex::findOrAdd(std::uint64_t hash)
{
    auto known = m_nodeOf.find(hash);
    if (known != m_nodeOf.end())
        return known->second;
    NodeIndex index = allocateNode();
    node(index).hash = hash;
    m_nodeOf.emplace(hash, index);
    linkNewest(index);
    return index;
}

PrefixIndex::NodeIndex PrefixIndex::allocateNode()
{
    if (m_firstFree != noNode)
        return std::exchange(m_firstFree, node(m_firstFree).older);
    if (m_nodesAllocated == m_chunks.size() * nodesPerChunk)
        m_chunks.push_back(std::make_unique<Node[]>(nodesPerChunk));
    return static_cast<NodeIndex>(m_nodesAllocated++);
}

void PrefixIndex::linkNewest(NodeIndex index)
{
    Node& linked = node(index);
    linked.newer = noNode;
    linked.older = m_newest;
    if (m_newest != noNode)
        node(m_newest).newer = index;
    m_newest = index;
    if (m_oldest == noNode)
        m_oldest = index;
}

void PrefixIndex::unlink(NodeIndex index)
{
    Node& linked = node(index);
    if (linked.newer != noNode)
        node(linked.newer).older = linked.older;
    else
        m_newest = linked.older;
    if (linked.older != noNode)
        node(linked.older).newer = linked.newer;
    else
        m_oldest = linked.newer;
}

void PrefixIndex::removeNode(NodeIndex index)
{
    Node& removed = node(index);
    unlink(index);
    m_nodeOf.erase(removed.hash);
    if (removed.holders.capacity() > inlineHolders)
        m_holderHeapBytes -= removed.holders.capacity() * sizeof(Holder);
    removed.holders = {};
    removed.older = std::exchange(m_firstFree, index);
}

void PrefixIndex::evictToLimit()
{
    while (liveBytes() > m_policy.maxBytes && m_oldest != noNode)
        removeNode(m_oldest);
}

} // namespace catkinwing
