#pragma once

#include "catkinwing/Dispatch/Claim.h"
#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <optional>

namespace catkinwing {

// The ledger's types and their forms in the inner protocol.

/// Returns the claim as it is sent to a coordinator.
Claim toMessage(const ClaimRecord& record);
/// Returns the answer to \p record.
ClaimAnswer toMessage(const ClaimRecord& record, const ClaimResult& result);
/// Returns the claim that a coordinator was sent.
ClaimRecord toRecord(const Claim& claim);
/// Returns what a coordinator answered to \p record; nothing if the answer is to
/// another claim.
std::optional<ClaimResult> toResult(const ClaimRecord& record, const ClaimAnswer& answer);

} // namespace catkinwing
