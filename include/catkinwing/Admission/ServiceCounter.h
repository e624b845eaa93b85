#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <string>

namespace catkinwing {

/// Tokens served to a team from a pool since the daemon's start, as told to the
/// other daemons of the region in heartbeats.
struct ServiceCounter {
    std::string team;
    std::string pool;
    std::uint64_t tokens { 0 };
};

/// Who told a counter: a daemon or a whole cell, and which life of it.
struct ServiceSource {
    std::string name;
    std::uint64_t incarnation { 0 };
};

} // namespace catkinwing
