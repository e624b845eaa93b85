#include "catkinwing/Reporting/DecisionLog.h"

namespace catkinwing {

DecisionLog::DecisionLog(const Clock& clock, DecisionLogLimits limits)
    : m_clock(clock)
    , m_limits(limits)
    , m_secondBegan(clock.now())
{
}

void DecisionLog::beginSecond()
{
    TimePoint now = m_clock.now();
    if (now - m_secondBegan < std::chrono::seconds(1))
        return;
    m_secondBegan = now;
    m_plainLines = 0;
    m_notableLines = 0;
    if (m_dropped > 0)
        logChange(LogLevel::Info, "log_lines_dropped", { { "lines", m_dropped } });
    m_dropped = 0;
}

bool DecisionLog::admits(unsigned& lines, unsigned limit)
{
    beginSecond();
    if (lines < limit) {
        ++lines;
        return true;
    }
    ++m_dropped;
    ++m_droppedInAll;
    return false;
}

void DecisionLog::write(LogLevel level, const std::string& event, const nlohmann::json& fields)
{
    logChange(level, event, fields);
}

} // namespace catkinwing
