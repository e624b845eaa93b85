#pragma once

#include "PeerChannel.h"

namespace catkinwing {

/// Turns the running totals of one source into increments.
class ServedTracker {
public:
    /// Returns the tokens since the last total of the team. A team's first total
    /// counts only if all were known before, and one that fell not at all: the
    /// source started again.
    std::uint64_t increment(const TeamTokens& total);
    /// Notes that the source has told all that it had.
    void noteComplete() { m_isComplete = true; }
    /// Forgets all totals.
    void reset() { *this = ServedTracker(); }

private:
    CountTable m_totals;
    bool m_isComplete { false };
};

} // namespace catkinwing
