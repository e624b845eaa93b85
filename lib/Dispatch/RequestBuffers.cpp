#include "catkinwing/Dispatch/RequestBuffers.h"

namespace catkinwing {

/// Large requests don't keep out those of at most this size.
static constexpr std::size_t maxSmallBody = 16u << 10;

bool BufferedRequest::reserve(std::size_t bytes)
{
    bool hasRoom = bytes <= maxSmallBody || (m_buffers.m_used <= m_buffers.m_capacity && bytes <= m_buffers.m_capacity - m_buffers.m_used);
    if (!hasRoom)
        return false;
    m_buffers.m_used += bytes;
    m_bytes = bytes;
    return true;
}

} // namespace catkinwing
