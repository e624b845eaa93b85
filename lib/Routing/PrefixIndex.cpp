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

static std::size_t stepAt(std::size_t depth)
{
    std::size_t step = 1;
    while (step * depthsPerDoubling * 2 <= depth)
        step *= 2;
    return step;
}

static std::size_t nextDepth(std::size_t depth)
{
    return depth + stepAt(depth);
}

/// Returns the hashes at the depths that the index keeps. \p blocksBefore is the
/// number of blocks of the prompt before the first hash.
static std::vector<std::uint64_t> keptHashes(absl::Span<const std::uint64_t> hashes, std::size_t blocksBefore)
{
    std::vector<std::uint64_t> kept;
    kept.reserve(std::min(hashes.size(), 4 * depthsPerDoubling));
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        std::size_t depth = blocksBefore + i + 1;
        if (depth % stepAt(depth) == 0)
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
    storeChain(endpoint, keptHashes(hashes, 0), false);
}

void PrefixIndex::applyEvent(EndpointHandle endpoint, const CacheEvent& event)
{
    if (!isNewEvent(source(endpoint), event))
        return;
    switch (event.kind) {
    case CacheEventKind::Stored:
        storeChain(endpoint, event.firstBlock ? keptHashes(event.hashes, *event.firstBlock) : event.hashes, true);
        return;
    case CacheEventKind::Evicted:
        for (std::uint64_t hash : event.hashes)
            evict(endpoint, hash);
        return;
    case CacheEventKind::Cleared:
        clearHolds(source(endpoint));
        return;
    }
}

bool PrefixIndex::isNewEvent(Source& source, const CacheEvent& event)
{
    if (event.incarnation != source.incarnation) {
        // Late events of the previous incarnation may still arrive.
        if (event.incarnation == source.previousIncarnation)
            return false;
        source.previousIncarnation = std::exchange(source.incarnation, event.incarnation);
        source.sequenceKnown = false;
        clearHolds(source);
    }
    if (source.sequenceKnown && event.sequence <= source.lastSequence)
        return false;
    if (source.sequenceKnown && event.sequence > source.lastSequence + 1)
        source.epoch += 1;
    source.lastSequence = event.sequence;
    source.sequenceKnown = true;
    return true;
}

void PrefixIndex::setIncarnation(EndpointHandle endpoint, absl::string_view incarnation)
{
    Source& known = source(endpoint);
    if (known.incarnation == incarnation)
        return;
    known.previousIncarnation = std::exchange(known.incarnation, std::string(incarnation));
    known.sequenceKnown = false;
    clearHolds(known);
}

void PrefixIndex::forget(EndpointHandle endpoint)
{
    Source& known = source(endpoint);
    clearHolds(known);
    known.incarnation.clear();
    known.previousIncarnation.clear();
    known.sequenceKnown = false;
}

std::vector<CachedPrefix> PrefixIndex::cachedTokens(absl::Span<const std::uint64_t> hashes) const
{
    struct Reach {
        float blocks;
        std::uint32_t depth;
    };
    std::vector<CachedPrefix> found;
    std::vector<Reach> reached(m_sources.size(), Reach { 0, 0 });
    for (std::size_t depth = 1; depth <= hashes.size(); depth = nextDepth(depth)) {
        auto known = m_nodeOf.find(hashes[depth - 1]);
        // Shorter prefixes are evicted last, so no deeper one is recorded either.
        if (known == m_nodeOf.end())
            break;
        for (const Holder& holder : node(known->second).holders) {
            double weight = belief(holder);
            if (weight == 0)
                continue;
            Reach& reach = reached[holder.endpoint];
            if (reach.depth == 0)
                found.push_back({ holder.endpoint, 0 });
            // An endpoint that has this block cached also has all blocks before
            // it, even if it is not among their recorded holders.
            reach.blocks += static_cast<float>(weight * static_cast<double>(depth - reach.depth));
            reach.depth = static_cast<std::uint32_t>(depth);
        }
    }
    for (CachedPrefix& prefix : found)
        prefix.tokens = reached[prefix.endpoint].blocks * m_policy.tokensPerBlock;
    return found;
}

std::size_t PrefixIndex::memoryBytes() const
{
    std::size_t slotBytes = sizeof(std::pair<const std::uint64_t, NodeIndex>) + 1;
    return m_chunks.size() * nodesPerChunk * sizeof(Node)
        + m_nodeOf.capacity() * slotBytes
        + m_sources.capacity() * sizeof(Source)
        + m_overflowBytes;
}

std::size_t PrefixIndex::liveBytes() const
{
    // Adds one chunk to the nodes in use, since chunks are allocated whole.
    std::size_t fixed = nodesPerChunk * sizeof(Node) + m_sources.capacity() * sizeof(Source);
    return fixed + m_nodeOf.size() * (sizeof(Node) + tableBytesPerEntry) + m_overflowBytes;
}

PrefixIndex::Node& PrefixIndex::node(NodeIndex index)
{
    return m_chunks[index / nodesPerChunk][index % nodesPerChunk];
}

const PrefixIndex::Node& PrefixIndex::node(NodeIndex index) const
{
    return m_chunks[index / nodesPerChunk][index % nodesPerChunk];
}

PrefixIndex::Source& PrefixIndex::source(EndpointHandle endpoint)
{
    assert(endpoint <= std::numeric_limits<std::uint16_t>::max() && "endpoint handle does not fit into Holder::endpoint");
    if (endpoint >= m_sources.size())
        m_sources.resize(endpoint + 1);
    return m_sources[endpoint];
}

double PrefixIndex::belief(const Holder& holder) const
{
    const Source& known = m_sources[holder.endpoint];
    if (holder.epoch < known.validFrom)
        return 0;
    double weight = holder.confirmed ? m_policy.confirmedWeight : m_policy.dispatchedWeight;
    for (std::uint32_t epoch = holder.epoch; epoch < known.epoch && weight > 0; ++epoch)
        weight = weight < m_policy.negligibleWeight ? 0 : weight * m_policy.gapFactor;
    return weight;
}

void PrefixIndex::clearHolds(Source& source)
{
    source.epoch += 1;
    source.validFrom = source.epoch;
}

void PrefixIndex::storeChain(EndpointHandle endpoint, absl::Span<const std::uint64_t> hashes, bool confirmed)
{
    // Stores the deepest block first, so that a prefix is always more recent than
    // its extensions and eviction removes the ends of chains first.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash)
        store(endpoint, *hash, confirmed);
    keepWithinBound();
}

void PrefixIndex::store(EndpointHandle endpoint, std::uint64_t hash, bool confirmed)
{
    std::uint32_t epoch = source(endpoint).epoch;
    NodeIndex index = findOrAdd(hash);
    unlink(index);
    linkNewest(index);
    Node& held = node(index);
    for (Holder& holder : held.holders) {
        if (holder.endpoint != endpoint)
            continue;
        bool stillConfirmed = holder.confirmed && holder.epoch == epoch;
        holder.confirmed = confirmed || stillConfirmed;
        holder.epoch = epoch;
        return;
    }
    addHolder(held, { static_cast<std::uint16_t>(endpoint), confirmed, epoch });
}

void PrefixIndex::addHolder(Node& node, const Holder& holder)
{
    for (Holder& old : node.holders) {
        if (old.epoch < m_sources[old.endpoint].validFrom) {
            old = holder;
            return;
        }
    }
    if (node.holders.size() >= m_policy.maxHolders) {
        node.holders[m_replaced++ % node.holders.size()] = holder;
        return;
    }
    std::size_t before = node.holders.capacity();
    node.holders.push_back(holder);
    std::size_t after = node.holders.capacity();
    if (after > before)
        m_overflowBytes += (after - (before > inlineHolders ? before : 0)) * sizeof(Holder);
}

void PrefixIndex::evict(EndpointHandle endpoint, std::uint64_t hash)
{
    auto known = m_nodeOf.find(hash);
    if (known == m_nodeOf.end())
        return;
    auto& holders = node(known->second).holders;
    auto gone = std::remove_if(holders.begin(), holders.end(), [endpoint](const Holder& holder) { return holder.endpoint == endpoint; });
    holders.erase(gone, holders.end());
    if (holders.empty())
        removeNode(known->second);
}

PrefixIndex::NodeIndex PrefixIndex::findOrAdd(std::uint64_t hash)
{
    auto known = m_nodeOf.find(hash);
    if (known != m_nodeOf.end())
        return known->second;
    NodeIndex index = takeNode();
    node(index).hash = hash;
    m_nodeOf.emplace(hash, index);
    linkNewest(index);
    return index;
}

PrefixIndex::NodeIndex PrefixIndex::takeNode()
{
    if (m_firstFree != noNode)
        return std::exchange(m_firstFree, node(m_firstFree).older);
    if (m_nodesMade == m_chunks.size() * nodesPerChunk)
        m_chunks.push_back(std::make_unique<Node[]>(nodesPerChunk));
    return static_cast<NodeIndex>(m_nodesMade++);
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
        m_overflowBytes -= removed.holders.capacity() * sizeof(Holder);
    removed.holders = {};
    removed.older = std::exchange(m_firstFree, index);
}

void PrefixIndex::keepWithinBound()
{
    while (liveBytes() > m_policy.maxBytes && m_oldest != noNode)
        removeNode(m_oldest);
}

} // namespace catkinwing
