// Simulation of the network path between one entry and the endpoints of its region.
#pragma once

#include "catkinwing/Support/SocketAddress.h"
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace catkinwing {

enum class PathState {
    Open,
    /// New connections time out. What is sent on open ones arrives when the path opens again.
    Hanging,
    /// Open connections are reset and new ones refused.
    Resetting,
    /// Open connections live on and new ones are refused.
    RefusingNew,
};

/// Keeps the open connections of one entry, and delays or breaks what is sent on them.
class SimulatedPath {
public:
    PathState state() const { return m_state; }
    /// Changes the state. Opening the path delivers what was held back.
    void setState(PathState state);

    /// Takes an idle connection to \p address; false if there is none.
    bool takeIdle(const SocketAddress& address);
    void giveBack(const SocketAddress& address) { ++m_idle[address]; }
    /// Closes the idle connections to \p address.
    void forget(const SocketAddress& address) { m_idle.erase(address); }

    /// Calls \p callback now, or when the path opens again if it hangs.
    void deliver(std::function<void()> callback);
    /// Sets the function that breaks the open connection of exchange \p number.
    void addBreaker(std::uint64_t number, std::function<void()> breaker) { m_breakers[number] = std::move(breaker); }
    void removeBreaker(std::uint64_t number) { m_breakers.erase(number); }

private:
    PathState m_state { PathState::Open };
    std::map<SocketAddress, unsigned> m_idle;
    std::vector<std::function<void()>> m_held;
    std::map<std::uint64_t, std::function<void()>> m_breakers;
};

} // namespace catkinwing
