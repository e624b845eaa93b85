#include "catkinwing/Config/Workspace.h"

#include "catkinwing/Support/Hash.h"
#include <absl/strings/ascii.h>
#include <algorithm>

namespace catkinwing {

bool isWellFormedKey(absl::string_view key)
{
    auto isVisible = [](char character) { return absl::ascii_isgraph(static_cast<unsigned char>(character)); };
    return !key.empty() && key.size() <= maxKeyBytes && std::all_of(key.begin(), key.end(), isVisible);
}

std::uint64_t workspaceHash(absl::string_view name)
{
    return stableHash(name);
}

WorkspaceTable::WorkspaceTable(std::vector<Workspace> workspaces)
    : m_workspaces(std::move(workspaces))
{
    for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
        m_indexByHash.emplace(workspaceHash(m_workspaces[i].name), i);
        for (const KeyDigest& key : m_workspaces[i].keys)
            m_indexByKey.emplace(key, i);
    }
}

// The table holds digests only, so the time of a look-up tells nothing about how much of
// a guessed key is right.
const Workspace* WorkspaceTable::findByKey(absl::string_view key) const
{
    if (!isWellFormedKey(key))
        return nullptr;
    auto found = m_indexByKey.find(digestKey(key));
    return found == m_indexByKey.end() ? nullptr : &m_workspaces[found->second];
}

const Workspace* WorkspaceTable::findByHash(std::uint64_t hash) const
{
    auto found = m_indexByHash.find(hash);
    return found == m_indexByHash.end() ? nullptr : &m_workspaces[found->second];
}

} // namespace catkinwing
