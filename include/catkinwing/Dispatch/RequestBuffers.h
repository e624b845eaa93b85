#pragma once

#include <cstddef>
#include <limits>

namespace catkinwing {

/// Bytes of request bodies that an entry holds for all of its callers together.
class RequestBuffers {
public:
    /// \p capacity is the number of bytes of bodies above which large requests are refused.
    explicit RequestBuffers(std::size_t capacity = std::numeric_limits<std::size_t>::max())
        : m_capacity(capacity)
    {
    }

    std::size_t used() const { return m_used; }

private:
    friend class BufferedRequest;

    std::size_t m_capacity;
    std::size_t m_used { 0 };
};

/// The part of the buffers that one request uses. Released with the object.
class BufferedRequest {
public:
    explicit BufferedRequest(RequestBuffers& buffers)
        : m_buffers(buffers)
    {
    }
    ~BufferedRequest() { m_buffers.m_used -= m_bytes; }
    BufferedRequest(const BufferedRequest&) = delete;
    BufferedRequest& operator=(const BufferedRequest&) = delete;

    /// Reserves room for a body of \p bytes, once only. Returns false if there is none; a small
    /// body always has room.
    bool reserve(std::size_t bytes);

private:
    RequestBuffers& m_buffers;
    std::size_t m_bytes { 0 };
};

} // namespace catkinwing
