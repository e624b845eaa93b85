// Divides a loop's turns between clients that send large bodies and everything else.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>

namespace catkinwing {

/// Bounds the bytes of large bodies that are read in one turn of the loop. Connections that would
/// exceed it wait, and are resumed in their order in later turns.
class InputBudget {
public:
    /// Returns whether nothing more may be read in this turn, or others wait already.
    bool isSpent() const { return m_spent >= bytesPerTurn || !m_waiting.empty(); }
    void spend(std::size_t bytes) { m_spent += bytes; }
    /// Calls \p resume in a later turn.
    void wait(std::function<void()> resume) { m_waiting.push_back(std::move(resume)); }
    /// Begins the next turn and resumes as many as it has room for; returns whether any are left.
    bool renew();

    /// Bytes read from a connection at a time.
    static constexpr std::size_t readBytes = 16u << 10;

private:
    // Keeps a turn within some milliseconds even if each byte is a chunk of its own.
    static constexpr std::size_t bytesPerTurn = 256u << 10;

    std::size_t m_spent { 0 };
    std::deque<std::function<void()>> m_waiting;
};

} // namespace catkinwing
