#pragma once

#include "catkinwing/Gateway/ConfigKeeper.h"
#include "catkinwing/Gateway/RequestBroker.h"
#include "catkinwing/Membership/Membership.h"
#include <nlohmann/json.hpp>

namespace catkinwing {

/// Returns what an operator wants to see of an entry: itself, other entries and
/// zones, endpoints, queues, and the revisions in force.
nlohmann::json statusReport(const RequestBroker& broker, Membership& membership, const ConfigKeeper& config, TimePoint now);

/// Explains where a request would go or why it would be refused. \p body is a
/// JSON object with team, model, and optionally adapter and prompt.
absl::StatusOr<nlohmann::json> explainRequest(const std::string& body, RequestBroker& broker, const ConfigSnapshot& snapshot, TimePoint now);

/// Sets the gauges that are read rather than counted.
void updateGauges(RequestBroker& broker, Membership& membership, const ConfigKeeper& config);

} // namespace catkinwing
