#pragma once

#include "catkinwing/Support/Random.h"
#include <string>

namespace catkinwing {

/// Returns a fresh 128-bit identifier in lower-case hexadecimal.
std::string makeId(Random& random);

} // namespace catkinwing
