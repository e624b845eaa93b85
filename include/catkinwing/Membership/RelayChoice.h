#pragma once

#include <absl/strings/string_view.h>
#include <string>
#include <vector>

namespace catkinwing {

/// Number of members of a zone that may exchange digests with one other zone. The
/// first is active; the second replaces it when no digest arrives.
constexpr std::size_t relaysPerZone = 2;

/// Orders \p members by rendezvous hash for the exchange between zones \p from and
/// \p to. Zones are distributed evenly over the members, and adding or removing a
/// member reassigns only the zones of that member.
std::vector<std::string> rankRelays(std::vector<std::string> members, absl::string_view from, absl::string_view to);

} // namespace catkinwing
