#pragma once

namespace catkinwing {

/// Returns the release of this build, such as "0.1.0".
const char* versionString();

} // namespace catkinwing
