#include "catkinwing/Config/RevisionedTree.h"

#include "catkinwing/Support/Hash.h"
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace catkinwing {

// Why tombstones are kept for as long as the process lives
//
// An entry that was cut off comes back with documents that were deleted
// meanwhile, and offers them. What refuses them is the tombstone, or, on an
// entry that started after the deletion, the revision as of which it has read
// the whole tree from the store: whatever it then did not hold and is not newer
// than that was deleted. The second makes the first look spare, but it is not:
//
// - Digests are compared between entries. If each could drop a tombstone in its
//   own time, equal trees would differ, or, with tombstones left out of the
//   digest, an entry that missed the newest deletion of a path that had been
//   deleted before would look equal while it still accepts what lay between.
// - A horizon that all entries agree on would need all of them to answer, those
//   cut off for an hour included, which is what we have no service for.
//
// A tombstone is one node without text, and there is at most one for each name
// that was ever deleted, so their number grows with names and not with changes.
// It is in the metrics; should it ever matter, replacing the entries zone by
// zone while the store answers forgets them, for a listing carries none.

/// Faults of an invalid document that are kept for the operators to ask for.
static constexpr std::size_t maximumKeptFaults = 20;

Revision RevisionedTree::newestRevision(const Node& node)
{
    return node.newest ? node.newest->revision : node.inForce.revision;
}

// Both terms of a path's move come from the same hash, so the sum does not
// depend on the order in which the paths moved.
void RevisionedTree::moveDigest(const DocumentPath& path, Revision from, Revision to)
{
    std::string key = path.toString();
    if (from > 0)
        m_digest -= stableHash(key, static_cast<std::uint64_t>(from));
    m_digest += stableHash(key, static_cast<std::uint64_t>(to));
}

// A listing as of m_completeAsOf held every document that was live then, so one
// of that age that is not known by now was deleted or replaced since.
bool RevisionedTree::isNews(const TreeEntry& entry) const
{
    auto found = m_nodes.find(entry.path);
    Revision known = found == m_nodes.end() ? 0 : newestRevision(found->second);
    if (entry.revision <= known)
        return false;
    return !entry.text || entry.revision > m_completeAsOf;
}

OfferResult RevisionedTree::offer(const TreeEntry& entry)
{
    OfferResult result;
    if (!isNews(entry)) {
        ++m_counts.alreadyNewer;
        return result;
    }
    std::optional<ConfigDocument> document;
    if (entry.text) {
        auto parsed = parseDocument(entry.path, *entry.text);
        document = std::move(parsed.document);
        result.faults = std::move(parsed.faults);
    }
    Node& node = m_nodes[entry.path];
    moveDigest(entry.path, newestRevision(node), entry.revision);
    if (entry.text && !document) {
        node.inForce.path = entry.path;
        node.newest = entry;
        auto keptFaults = std::min(result.faults.size(), maximumKeptFaults);
        node.faults.assign(result.faults.begin(), result.faults.begin() + static_cast<std::ptrdiff_t>(keptFaults));
        ++m_counts.invalid;
        result.outcome = OfferOutcome::Invalid;
        return result;
    }
    putInForce(node, entry);
    if (document)
        publish(entry.path, *std::move(document));
    else
        withdraw(entry.path);
    ++m_counts.applied;
    result.outcome = OfferOutcome::Applied;
    return result;
}

void RevisionedTree::putInForce(Node& node, const TreeEntry& entry)
{
    bool wasTombstone = node.inForce.revision > 0 && !node.inForce.text;
    bool isTombstone = !entry.text;
    m_tombstones += static_cast<std::size_t>(isTombstone);
    m_tombstones -= static_cast<std::size_t>(wasTombstone);
    node.inForce = entry;
    node.newest.reset();
    node.faults.clear();
}

namespace {

    /// Puts a document into the map of its kind.
    struct Publisher {
        ConfigSnapshot& snapshot;
        const std::string& name;

        void operator()(const GlobalDocument& document) const { snapshot.global = std::make_shared<GlobalDocument>(document); }
        void operator()(RegionDocument document) const { snapshot.regions[name] = std::make_shared<RegionIndex>(std::move(document)); }
        void operator()(ModelDocument document) const { snapshot.models[name] = std::make_shared<ModelDocument>(std::move(document)); }
        void operator()(TeamDocument document) const { snapshot.teams[name] = std::make_shared<TeamDocument>(std::move(document)); }
    };

} // namespace

void RevisionedTree::publish(const DocumentPath& path, ConfigDocument document)
{
    std::visit(Publisher { m_current, path.name }, std::move(document));
    m_published.reset();
}

void RevisionedTree::withdraw(const DocumentPath& path)
{
    switch (path.kind) {
    case DocumentKind::Global:
        m_current.global = std::make_shared<GlobalDocument>();
        break;
    case DocumentKind::Region:
        m_current.regions.erase(path.name);
        break;
    case DocumentKind::Model:
        m_current.models.erase(path.name);
        break;
    case DocumentKind::Team:
        m_current.teams.erase(path.name);
        break;
    }
    m_published.reset();
}

std::vector<RejectedDocument> RevisionedTree::applyListing(const std::vector<TreeEntry>& listing, Revision revision)
{
    std::vector<RejectedDocument> rejected;
    absl::flat_hash_set<std::string> listed;
    for (const TreeEntry& entry : listing) {
        listed.insert(entry.path.toString());
        OfferResult result = offer(entry);
        if (result.outcome == OfferOutcome::Invalid)
            rejected.push_back({ entry.path, entry.revision, std::move(result.faults) });
    }
    std::vector<DocumentPath> deleted;
    for (const auto& [path, node] : m_nodes) {
        bool isLive = node.newest || node.inForce.text;
        if (isLive && newestRevision(node) <= revision && !listed.contains(path.toString()))
            deleted.push_back(path);
    }
    for (const DocumentPath& path : deleted)
        offer(TreeEntry { path, revision, nullptr });
    m_completeAsOf = std::max(m_completeAsOf, revision);
    return rejected;
}

// Changes come singly and are rare beside reads, and a listing brings hundreds
// at once, so the maps of pointers are copied when somebody asks, not before.
std::shared_ptr<const ConfigSnapshot> RevisionedTree::snapshot() const
{
    if (!m_published) {
        auto next = std::make_shared<ConfigSnapshot>(m_current);
        indexKeys(*next);
        m_published = std::move(next);
    }
    return m_published;
}

std::optional<TreeEntry> RevisionedTree::find(const DocumentPath& path) const
{
    auto found = m_nodes.find(path);
    if (found == m_nodes.end() || found->second.inForce.revision == 0)
        return std::nullopt;
    return found->second.inForce;
}

std::vector<PathRevision> RevisionedTree::revisions() const
{
    std::vector<PathRevision> revisions;
    revisions.reserve(m_nodes.size());
    for (const auto& [path, node] : m_nodes)
        revisions.push_back({ path, newestRevision(node) });
    return revisions;
}

// True of what another tree holds although the store's listing had it no more.
bool RevisionedTree::isDeletedSince(const PathRevision& path) const
{
    auto found = m_nodes.find(path.path);
    Revision known = found == m_nodes.end() ? 0 : newestRevision(found->second);
    return known < path.revision && path.revision <= m_completeAsOf;
}

std::vector<TreeEntry> RevisionedTree::newerThan(const std::vector<PathRevision>& known) const
{
    absl::flat_hash_map<std::string, Revision> knownByPath;
    std::vector<TreeEntry> entries;
    for (const PathRevision& path : known) {
        knownByPath[path.path.toString()] = path.revision;
        if (isDeletedSince(path))
            entries.push_back({ path.path, m_completeAsOf, nullptr });
    }
    for (const auto& [path, node] : m_nodes) {
        auto found = knownByPath.find(path.toString());
        Revision theirs = found == knownByPath.end() ? 0 : found->second;
        // The one in force goes first: a newer one that is invalid would hide it.
        if (node.inForce.revision > theirs)
            entries.push_back(node.inForce);
        if (node.newest && node.newest->revision > theirs)
            entries.push_back(*node.newest);
    }
    return entries;
}

std::vector<RejectedDocument> RevisionedTree::rejected() const
{
    std::vector<RejectedDocument> rejected;
    for (const auto& [path, node] : m_nodes) {
        if (node.newest)
            rejected.push_back({ path, node.newest->revision, node.faults });
    }
    return rejected;
}

} // namespace catkinwing
