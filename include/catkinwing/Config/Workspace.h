#pragma once

#include "catkinwing/Config/KeyDigest.h"
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// What the limit of a workspace counts.
enum class LimitUnit {
    Requests,
    /// Prompt tokens and the maximum number of output tokens.
    Tokens,
};

/// Limit on the requests of a workspace at all entries together.
struct WorkspaceLimit {
    LimitUnit unit { LimitUnit::Requests };
    /// Units per second; zero means that there is no limit.
    double perSecond { 0 };
    /// Units that may be used at once in addition to the rate.
    double burst { 0 };
    /// Units of a request that doesn't state its number of tokens.
    std::int64_t plainTokens { 0 };

    bool isLimited() const { return perSecond > 0; }
};

/// The callers of a group and what they may do.
struct Workspace {
    std::string name;
    /// Digests of the keys that its callers use.
    std::vector<KeyDigest> keys;
    /// Zero is the most urgent. Goes before the priority of the route.
    std::optional<int> priority;
    WorkspaceLimit limit;
    /// Regions that may process the requests; all if empty.
    std::vector<std::string> homeRegions;
};

/// Longest key of a caller in bytes.
constexpr std::size_t maxKeyBytes = 256;

/// Returns whether \p key may be the key of a caller: visible ASCII characters, up to the
/// maximum length.
bool isWellFormedKey(absl::string_view key);

/// Returns the hash by which entries name a workspace to each other.
std::uint64_t workspaceHash(absl::string_view name);

/// The workspaces of one version of the configuration. The time of a look-up doesn't
/// depend on the number of workspaces or keys.
class WorkspaceTable {
public:
    WorkspaceTable() = default;
    explicit WorkspaceTable(std::vector<Workspace> workspaces);

    bool empty() const { return m_workspaces.empty(); }
    const std::vector<Workspace>& all() const { return m_workspaces; }
    /// Returns the workspace that holds \p key; null if there is none.
    const Workspace* findByKey(absl::string_view key) const;
    /// Returns the workspace with the given name; null if there is none.
    const Workspace* findByName(absl::string_view name) const { return findByHash(workspaceHash(name)); }
    /// Returns the workspace whose name has the given workspaceHash(); null if there is none.
    const Workspace* findByHash(std::uint64_t hash) const;

private:
    std::vector<Workspace> m_workspaces;
    /// Indexes in m_workspaces.
    absl::flat_hash_map<KeyDigest, std::size_t, KeyDigestHash> m_indexByKey;
    absl::flat_hash_map<std::uint64_t, std::size_t> m_indexByHash;
};

} // namespace catkinwing
