#pragma once

#include "catkinwing/PeerProtocol/LoadReport.h"
#include <nlohmann/json.hpp>

namespace catkinwing {

/// Upper bound of the memory in one row, in thousands of tokens. No endpoint has a hundredth of it;
/// sums over all entries of a region stay within 32 bits.
constexpr std::uint32_t maxHeldKilotokens = 1'000'000;

/// Returns the memory held at endpoints as a flat array of counts.
nlohmann::json encodeHeldMemory(const std::vector<EndpointWorkload>& loads);
/// Adds the memory to the loads of the same endpoints. Returns false if \p held is no such array.
bool decodeHeldMemory(const nlohmann::json& held, std::vector<EndpointWorkload>& loads);

} // namespace catkinwing
