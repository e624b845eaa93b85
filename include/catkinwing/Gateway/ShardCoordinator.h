#pragma once

#include "catkinwing/Membership/MembershipView.h"
#include <string>

namespace catkinwing {

/// Returns the entry of the own region that coordinates a shard of the ledger,
/// as far as \p self can see: perhaps itself.
std::string shardCoordinator(const EntryIdentity& self, const MembershipView& view, unsigned shard);

} // namespace catkinwing
