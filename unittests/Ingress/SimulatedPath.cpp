#include "SimulatedPath.h"

#include <utility>

namespace catkinwing {

void SimulatedPath::setState(PathState state)
{
    m_state = state;
    if (state == PathState::Resetting) {
        m_idle.clear();
        for (const auto& [number, breakConnection] : std::exchange(m_breakers, {}))
            breakConnection();
    }
    if (state == PathState::Hanging)
        return;
    for (const std::function<void()>& callback : std::exchange(m_held, {}))
        callback();
}

bool SimulatedPath::takeIdle(const SocketAddress& address)
{
    auto found = m_idle.find(address);
    if (found == m_idle.end() || found->second == 0)
        return false;
    --found->second;
    return true;
}

void SimulatedPath::deliver(std::function<void()> callback)
{
    if (m_state == PathState::Hanging)
        m_held.push_back(std::move(callback));
    else
        callback();
}

} // namespace catkinwing
