#pragma once

#include <cstddef>
#include <vector>

namespace catkinwing {

/// Enumerates, depth first, every run that departs from the default choice
/// (option zero) at most a given number of times. A run is repeated from its
/// list of choices, so the code under test needs no way to go back.
class ScheduleExplorer {
public:
    explicit ScheduleExplorer(unsigned maxDepartures)
        : m_maxDepartures(maxDepartures)
    {
    }

    /// Returns the option to take among \p options.
    std::size_t choose(std::size_t options)
    {
        if (m_position < m_choices.size())
            return m_choices[m_position++].taken;
        // Past the bound only the default is left.
        std::size_t open = m_departures < m_maxDepartures ? options : 1;
        m_choices.push_back({ 0, open });
        ++m_position;
        return 0;
    }

    /// Moves on to the next run; false when all have been made.
    bool advance()
    {
        while (!m_choices.empty() && m_choices.back().taken + 1 >= m_choices.back().options) {
            m_departures -= m_choices.back().taken > 0 ? 1 : 0;
            m_choices.pop_back();
        }
        m_position = 0;
        if (m_choices.empty())
            return false;
        m_departures += m_choices.back().taken == 0 ? 1 : 0;
        ++m_choices.back().taken;
        return true;
    }

private:
    struct Choice {
        std::size_t taken;
        std::size_t options;
    };

    unsigned m_maxDepartures;
    unsigned m_departures { 0 };
    std::size_t m_position { 0 };
    std::vector<Choice> m_choices;
};

} // namespace catkinwing
