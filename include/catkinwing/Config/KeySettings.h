#pragma once

#include "catkinwing/Config/KeyDigest.h"
#include <string>

namespace catkinwing {

/// A key or token that the configuration knows by its digest alone.
struct KeySettings {
    /// For logs and metrics.
    std::string name;
    KeyDigest digest;
};

} // namespace catkinwing
