#include "catkinwing/Dispatch/AnswerBuffers.h"

#include <algorithm>

namespace catkinwing {

/// An answer of less than this fraction of the capacity is held even while the buffers are full.
static constexpr std::size_t smallFraction = 64;
/// The same once the buffers hold half as much again as their capacity. Ordinary answers have a few
/// kilobytes.
static constexpr std::size_t minimalFraction = 1'024;
/// Fraction of the capacity above which less is held for each slow client.
static constexpr std::size_t scarceFraction = 2;
/// Bytes that are always held for a slow client: a few events.
static constexpr std::size_t minPendingBytes = 4u << 10;

bool AnswerBuffers::mayHold(std::size_t bytes) const
{
    if (m_used <= m_capacity)
        return true;
    bool isOverfull = m_used > m_capacity + m_capacity / 2;
    return bytes < m_capacity / (isOverfull ? minimalFraction : smallFraction);
}

std::size_t AnswerBuffers::pendingLimit(std::size_t usual) const
{
    return m_used < m_capacity / scarceFraction ? usual : std::min(usual, minPendingBytes);
}

void BufferedBytes::set(std::size_t bytes)
{
    m_buffers.m_used += bytes;
    m_buffers.m_used -= m_bytes;
    m_bytes = bytes;
}

} // namespace catkinwing
