#pragma once

#include "catkinwing/Config/ConfigDocument.h"
#include "catkinwing/Config/ConfigSnapshot.h"
#include "catkinwing/Config/DocumentPath.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Revision of the platform's store at which a document was written or deleted.
using Revision = std::int64_t;

/// A document as it was written, or its deletion.
struct TreeEntry {
    DocumentPath path;
    Revision revision { 0 };
    /// Null for a tombstone.
    std::shared_ptr<const std::string> text;
};

/// The newest revision known of a path.
struct PathRevision {
    DocumentPath path;
    Revision revision { 0 };
};

/// What became of an offer.
enum class OfferOutcome {
    /// The entry is in force.
    Applied,
    /// The same or a newer revision of the path is known.
    AlreadyNewer,
    /// The document is not valid; what was in force stays so.
    Invalid,
};

/// Result of an offer.
struct OfferResult {
    OfferOutcome outcome { OfferOutcome::AlreadyNewer };
    /// What is wrong with an invalid document.
    std::vector<ConfigFault> faults;
};

/// Offers by what became of them.
struct OfferCounts {
    std::uint64_t applied { 0 };
    std::uint64_t alreadyNewer { 0 };
    std::uint64_t invalid { 0 };
};

/// An invalid document that is newer than what is in force.
struct RejectedDocument {
    DocumentPath path;
    Revision revision { 0 };
    /// The first of its faults, or all of them where it was just offered.
    std::vector<ConfigFault> faults;
};

/// The configuration tree of one entry, by revision. Each path only moves to
/// higher revisions, deletions included, in whatever order entries are offered.
class RevisionedTree {
public:
    /// Takes in a document or tombstone from the store's watch or from a peer.
    OfferResult offer(const TreeEntry& entry);
    /// Takes in a listing of the whole tree as of \p revision of the store: what
    /// it leaves out was deleted. Returns the documents that it names and that
    /// were found invalid by this call.
    std::vector<RejectedDocument> applyListing(const std::vector<TreeEntry>& listing, Revision revision);

    /// Returns the configuration in force; the same object until it changes.
    std::shared_ptr<const ConfigSnapshot> snapshot() const;
    /// Returns what is in force at \p path, tombstones included.
    std::optional<TreeEntry> find(const DocumentPath& path) const;

    /// Returns a hash over all paths and their newest revisions: two trees that
    /// know the same revisions have the same digest.
    std::uint64_t digest() const { return m_digest; }
    /// Returns the newest revision of every path, tombstones included.
    std::vector<PathRevision> revisions() const;
    /// Returns the entries, in the order to offer them in, that a tree with the
    /// revisions \p known lacks.
    std::vector<TreeEntry> newerThan(const std::vector<PathRevision>& known) const;

    /// Returns the invalid documents that are newer than what is in force.
    std::vector<RejectedDocument> rejected() const;
    const OfferCounts& counts() const { return m_counts; }
    /// Returns the number of deleted paths that are remembered.
    std::size_t tombstones() const { return m_tombstones; }

private:
    struct Node {
        TreeEntry inForce;
        /// The newest entry, if it is invalid.
        std::optional<TreeEntry> newest;
        std::vector<ConfigFault> faults;
    };

    bool isNews(const TreeEntry& entry) const;
    bool isDeletedSince(const PathRevision& path) const;
    void putInForce(Node& node, const TreeEntry& entry);
    void publish(const DocumentPath& path, ConfigDocument document);
    void withdraw(const DocumentPath& path);
    void moveDigest(const DocumentPath& path, Revision from, Revision to);
    static Revision newestRevision(const Node& node);

    std::map<DocumentPath, Node> m_nodes;
    /// The store's revision as of which every live path is known.
    Revision m_completeAsOf { 0 };
    std::uint64_t m_digest { 0 };
    std::size_t m_tombstones { 0 };
    OfferCounts m_counts;
    ConfigSnapshot m_current;
    mutable std::shared_ptr<const ConfigSnapshot> m_published;
};

} // namespace catkinwing
