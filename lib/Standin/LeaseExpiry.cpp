#include "catkinwing/Standin/LeaseExpiry.h"

namespace catkinwing::standin {

LeaseExpiry::~LeaseExpiry()
{
    m_scheduler.cancel(m_timer);
}

void LeaseExpiry::run()
{
    TimePoint now = m_scheduler.clock().now();
    m_state.expireLeases(now);
    m_scheduler.cancel(m_timer);
    m_timer = 0;
    if (auto next = m_state.nextExpiry())
        m_timer = m_scheduler.callAfter(*next - now, [this] { run(); });
}

} // namespace catkinwing::standin
