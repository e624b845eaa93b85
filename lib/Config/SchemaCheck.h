#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include <nlohmann/json.hpp>
#include <vector>

namespace catkinwing {

/// The published JSON Schemas.
enum class SchemaKind {
    Global,
    Region,
    Model,
    Team,
    Daemon,
};

/// Adds every violation of the schema to \p faults. Overlong strings in
/// \p document become null, so that nothing after this handles them.
void checkSchema(SchemaKind kind, nlohmann::json& document, std::vector<ConfigFault>& faults);

} // namespace catkinwing
