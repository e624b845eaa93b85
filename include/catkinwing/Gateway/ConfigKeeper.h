#pragma once

#include "catkinwing/Config/RevisionedTree.h"
#include "catkinwing/Coordination/ConfigSource.h"
#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// A document as the store holds it: with the id of the write that made it, so
/// that a repeated write can be told from a new one.
struct StoredDocument {
    std::string writeId;
    std::string text;
};

/// Returns the value under which \p document is stored.
std::string encodeStoredDocument(const StoredDocument& document);
/// Reads a stored value; one that an operator wrote by hand has no write id.
StoredDocument decodeStoredDocument(absl::string_view value);

/// What a configuration keeper reports.
struct ConfigKeeperEvents {
    /// The configuration in force changed.
    std::function<void(const std::shared_ptr<const ConfigSnapshot>&)> onChanged;
    /// Documents came from the store that peers may not have yet.
    std::function<void(const std::vector<ConfigEntry>&)> onNews;
};

/// Keeps the configuration in force: from the store while this entry watches
/// it, from peers otherwise. A document only moves to higher revisions.
class ConfigKeeper {
public:
    /// All references must outlive the keeper.
    ConfigKeeper(Store& store, Scheduler& scheduler, Random& random, ConfigKeeperEvents events);

    /// Begins or ends the watch on the store.
    void setWatching(bool isWatching);
    bool isWatching() const { return m_isWatching; }
    /// Tells whether the store is being followed with no failure since.
    bool isFollowing() const { return m_isWatching && m_source.isFollowing(); }
    /// Reads the whole tree from the store once, for an entry that has none.
    void listOnce();

    /// Takes in a document that this entry has just written.
    void offerOwnWrite(const DocumentPath& path, std::int64_t revision, std::optional<std::string> text);
    /// Takes in documents from a peer; returns the number that came into force.
    std::size_t offerFromPeer(const std::vector<ConfigEntry>& entries);
    /// Returns what a peer with the revisions \p known lacks.
    std::vector<ConfigEntry> newerThan(const std::vector<ConfigRevision>& known) const;
    std::vector<ConfigRevision> revisions() const;

    const RevisionedTree& tree() const { return m_tree; }
    std::shared_ptr<const ConfigSnapshot> snapshot() const { return m_tree.snapshot(); }

private:
    void applyFromStore(const std::vector<ConfigChange>& changes);
    bool offer(const std::string& path, std::int64_t revision, const std::optional<std::string>& text);
    void announceChange();

    ConfigKeeperEvents m_events;
    RevisionedTree m_tree;
    ConfigSource m_source;
    Store& m_store;
    bool m_isWatching { false };
    bool m_isListing { false };
};

/// Prefix of the store's keys that hold configuration.
constexpr const char* configKeyPrefix = "/catkinwing/config/";

} // namespace catkinwing
