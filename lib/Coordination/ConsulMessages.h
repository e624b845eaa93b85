#pragma once

#include "catkinwing/Coordination/Instance.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

namespace catkinwing {

/// Body of PUT /v1/catalog/register for \p instance under \p service.
std::string registerBody(const Instance& instance, const std::string& service);
/// Body of PUT /v1/catalog/deregister for one instance.
std::string deregisterBody(const std::string& instanceId);
/// Reads the answer of GET /v1/health/service/NAME, sorted by id. Entries that
/// can't be read are left out and counted in \p unreadable; Unavailable if the
/// whole is not a list.
absl::StatusOr<std::vector<Instance>> readHealth(absl::string_view body, std::size_t& unreadable);

} // namespace catkinwing
