#pragma once

#include <absl/strings/string_view.h>
#include <string>
#include <vector>

namespace catkinwing {

/// Number of members of a zone that may exchange digests with one other zone: the
/// first does, the second steps in when no digest comes.
constexpr std::size_t relaysPerZone = 2;

/// Orders \p members by rendezvous hash for the exchange between zones \p from and
/// \p to. Each zone is shared out over the members evenly, and a member that comes
/// or goes moves only its own part.
std::vector<std::string> rankRelays(std::vector<std::string> members, absl::string_view from, absl::string_view to);

} // namespace catkinwing
