#pragma once

namespace catkinwing {

/// The published JSON Schemas, compiled in from schema/.
extern const char* const globalSchemaText;
extern const char* const regionSchemaText;
extern const char* const modelSchemaText;
extern const char* const teamSchemaText;
extern const char* const daemonSchemaText;

} // namespace catkinwing
