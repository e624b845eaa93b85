#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <string>

namespace catkinwing {

/// Tokens served to a team from a pool since the start of the daemon, as reported
/// to the other daemons of the region in heartbeats.
struct ServiceCounter {
    std::string team;
    std::string pool;
    std::uint64_t tokens { 0 };
};

/// Sender of a counter and its incarnation. The sender is a daemon, or a relay that
/// reports the service of a whole cell. A relay sums up the increases that it
/// received, so its counter never decreases when a daemon of the cell restarts. A
/// different relay is a different source. A restart raises the incarnation.
struct ServiceSource {
    std::string name;
    std::uint64_t incarnation { 0 };
};

} // namespace catkinwing
