#include "catkinwing/Dispatch/RequestBuffers.h"

namespace catkinwing {

/// The HTTP server, the request's run and its attempt each hold the body.
static constexpr std::size_t copiesOfBody = 3;
/// Fraction of the memory that requests may use.
static constexpr std::size_t memoryFraction = 2;
/// Large requests don't keep out those of at most this size.
static constexpr std::size_t maxSmallBody = 16u << 10;

std::size_t RequestBuffers::capacityWithin(std::size_t memoryBytes)
{
    return memoryBytes / memoryFraction / copiesOfBody;
}

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
