#pragma once

#include "catkinwing/Membership/MembershipOptions.h"
#include "catkinwing/Membership/MembershipView.h"

namespace catkinwing {

/// Returns the time between two exchanges with the same member of a zone of
/// \p members other entries. It grows with them, so that bytes don't.
Duration exchangeInterval(const MembershipOptions& options, std::size_t members);

/// Judges a member that was silent for \p silence, \p interval being the time
/// between exchanges.
MemberState judgeSilence(const MembershipOptions& options, Duration silence, Duration interval);

/// Returns the time between exchanges with a zone of \p zoneRegion for an entry of
/// \p ownRegion.
Duration digestInterval(const MembershipOptions& options, const std::string& zoneRegion, const std::string& ownRegion);

/// Returns whether a zone whose digest has \p age counts as reachable. A digest
/// may spend one \p exchange on its way inside the zone.
bool isDigestFresh(const MembershipOptions& options, Duration age, Duration interval, Duration exchange);

/// Returns twice \p interval, up to the longest between probes.
Duration nextProbeInterval(const MembershipOptions& options, Duration interval);

} // namespace catkinwing
