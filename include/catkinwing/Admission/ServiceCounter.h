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

/// Who told a counter, and which life of it: a daemon, or a relay that tells a
/// whole cell's service. A relay's counter is its own sum of the increases it
/// saw, so that it never goes back when a daemon of the cell restarts; another
/// relay is another source. Later lives have higher incarnations.
struct ServiceSource {
    std::string name;
    std::uint64_t incarnation { 0 };
};

} // namespace catkinwing
