// Times of the keep-alive probes of a connection.
#pragma once

#include <chrono>

namespace catkinwing {

struct KeepAliveTimes {
    /// Time without input after which the first probe is sent.
    std::chrono::seconds idle { 1 };
    /// Time between two probes.
    std::chrono::seconds interval { 1 };
};

/// Returns times at which several probes are sent within \p timeout, the TCP_USER_TIMEOUT of
/// the connection.
KeepAliveTimes keepAliveTimes(std::chrono::milliseconds timeout);

} // namespace catkinwing
