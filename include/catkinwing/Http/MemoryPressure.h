#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>
#include <cstdint>
#include <vector>

namespace catkinwing {

/// Bodies of at most this size are taken without asking for room.
constexpr std::size_t smallBodyBytes = 16u << 10;

/// What is held for a connection that could release it.
struct ConnectionLoad {
    /// Names the connection to its holder.
    std::uint64_t connection { 0 };
    std::size_t bytes { 0 };
    /// Bytes that have moved since the request or the answer began.
    std::size_t moved { 0 };
    Duration age {};
    /// Time since bytes last moved.
    Duration idleFor {};
    /// The client has sent more, which the process hasn't read yet.
    bool hasUnreadInput { false };
};

/// Tells whether a client keeps memory without getting on.
bool isStalled(const ConnectionLoad& load);

/// Returns the indices of the stalled connections, the largest first, that release \p bytes; none
/// if all of them together don't.
std::vector<std::size_t> chooseStalled(const std::vector<ConnectionLoad>& loads, std::size_t bytes);

/// Returns the indices of the connections that yield so that \p bytes are released: stalled ones
/// before moving ones, and large ones before small ones. Small ones that move never yield, so fewer
/// bytes may be released.
std::vector<std::size_t> chooseYielding(const std::vector<ConnectionLoad>& loads, std::size_t bytes);

} // namespace catkinwing
