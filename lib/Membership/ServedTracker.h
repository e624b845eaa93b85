#pragma once

#include "PeerChannel.h"

namespace catkinwing {

/// Converts the running totals of one source into increments.
class ServedTracker {
public:
    /// Returns the tokens since the last total of the team. For the first total of a team,
    /// returns zero before recordComplete() and the whole total afterwards. Returns zero for
    /// a total that decreased, since the source has restarted.
    std::uint64_t increment(const TeamTokens& total);
    /// Records that the source has reported the totals of all its teams.
    void recordComplete() { m_isComplete = true; }
    /// Drops all totals.
    void reset() { *this = ServedTracker(); }

private:
    CountTable m_totals;
    bool m_isComplete { false };
};

} // namespace catkinwing
