#include "InputBudget.h"

namespace catkinwing {

bool InputBudget::renew()
{
    m_spent = 0;
    for (std::size_t resumed = 0; resumed < bytesPerTurn / readBytes && !m_waiting.empty(); ++resumed) {
        std::function<void()> resume = std::move(m_waiting.front());
        m_waiting.pop_front();
        resume();
    }
    return !m_waiting.empty();
}

} // namespace catkinwing
