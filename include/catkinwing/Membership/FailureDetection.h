#pragma once

#include "catkinwing/Membership/MembershipOptions.h"
#include "catkinwing/Membership/MembershipView.h"

namespace catkinwing {

/// Returns the time between two exchanges with the same member of a zone that has
/// \p members other entries. The interval grows with their number, which limits the
/// bytes sent per second.
Duration exchangeInterval(const MembershipOptions& options, std::size_t members);

/// Returns the state of a member from which no message was received for \p silence;
/// \p interval is the time between exchanges.
MemberState stateAfterSilence(const MembershipOptions& options, Duration silence, Duration interval);

/// Returns the time between exchanges with a zone of \p zoneRegion for an entry of
/// \p ownRegion.
Duration digestInterval(const MembershipOptions& options, const std::string& zoneRegion, const std::string& ownRegion);

/// Returns whether a zone whose digest has \p age counts as reachable. Forwarding a
/// digest inside the zone may take one further \p exchange interval.
bool isDigestFresh(const MembershipOptions& options, Duration age, Duration interval, Duration exchange);

/// Returns twice \p interval, limited to the maximum probe interval.
Duration nextProbeInterval(const MembershipOptions& options, Duration interval);

} // namespace catkinwing
