#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Logging.h"
#include <cstdint>

namespace catkinwing {

/// Lines a second that requests may cause, by weight.
struct DecisionLogLimits {
    /// Requests that were served as they should be.
    unsigned plainLines { 20 };
    /// All others, which are what one looks for afterwards.
    unsigned notableLines { 60 };
};

/// Logs decisions on requests, one line each, within a budget: what goes beyond
/// it is counted, and the count is logged with the next second's first line.
class DecisionLog {
public:
    explicit DecisionLog(const Clock& clock, DecisionLogLimits limits = {});

    /// Tells whether a line would be logged now; counts it as dropped if not.
    bool admitsPlain() { return admits(m_plainLines, m_limits.plainLines); }
    bool admitsNotable() { return admits(m_notableLines, m_limits.notableLines); }
    void write(LogLevel level, const std::string& event, const nlohmann::json& fields);
    std::uint64_t dropped() const { return m_droppedInAll; }

private:
    bool admits(unsigned& lines, unsigned limit);
    void beginSecond();

    const Clock& m_clock;
    DecisionLogLimits m_limits;
    TimePoint m_secondBegan {};
    unsigned m_plainLines { 0 };
    unsigned m_notableLines { 0 };
    std::uint64_t m_dropped { 0 };
    std::uint64_t m_droppedInAll { 0 };
};

} // namespace catkinwing
