#include "catkinwing/Support/RecentMaximum.h"

#include <algorithm>

namespace catkinwing {

std::size_t RecentMaximum::take(std::size_t value, TimePoint now)
{
    if (now - m_began >= m_period) {
        m_previous = now - m_began >= 2 * m_period ? 0 : m_current;
        m_current = 0;
        m_began = now;
    }
    m_current = std::max(m_current, value);
    return std::max(m_current, m_previous);
}

} // namespace catkinwing
