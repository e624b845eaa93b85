#include "RequestGuard.h"

#include <absl/strings/string_view.h>
#include <algorithm>
#include <cstring>
#include <utility>

namespace catkinwing {

static void append(h2o_socket_t& socket, absl::string_view bytes)
{
    h2o_iovec_t room = h2o_buffer_reserve(&socket.input, bytes.size());
    std::memcpy(room.base, bytes.data(), bytes.size());
    socket.input->size += bytes.size();
}

// Puts what was kept back in front of the new bytes.
void RequestGuard::giveBack(h2o_socket_t& socket, std::size_t newBytes) const
{
    if (m_held.empty())
        return;
    append(socket, m_held);
    char* end = socket.input->bytes + socket.input->size;
    std::rotate(end - m_held.size() - newBytes, end - m_held.size(), end);
}

// h2o parses a head again from the start whenever bytes arrive, so that it may have the beginning of
// one, but nothing behind its end.
void RequestGuard::filter(h2o_socket_t& socket, std::size_t newBytes)
{
    if (isHttp2())
        return;
    if (m_framing.fault() != FramingFault::None) {
        socket.input->size -= newBytes;
        return;
    }
    giveBack(socket, newBytes);
    std::size_t unread = m_headBytes + m_held.size() + newBytes;
    m_headBytes = 0;
    m_held.clear();
    if (unread == 0)
        return;
    std::size_t headBytes = m_framing.readHead(socket.input->bytes + (socket.input->size - unread), unread);
    unread -= headBytes;
    if (m_framing.fault() != FramingFault::None)
        return spoil(socket, unread);
    m_isHeadRead = headBytes > 0;
    if (!m_isHeadRead && m_framing.isHeadBegun()) {
        m_headBytes = unread;
        return;
    }
    m_held.assign(socket.input->bytes + (socket.input->size - unread), unread);
    socket.input->size -= unread;
}

// h2o refuses a method of null bytes.
void RequestGuard::spoil(h2o_socket_t& socket, std::size_t unreadBytes) const
{
    std::memset(socket.input->bytes + (socket.input->size - unreadBytes), 0, unreadBytes);
    append(socket, "\r\n\r\n");
}

FramingFault RequestGuard::check(const h2o_req_t& request)
{
    if (request.version >= http2Version)
        return isHttp2() ? FramingFault::None : FramingFault::Mismatch;
    bool isHeadRead = std::exchange(m_isHeadRead, false);
    if (!isHeadRead && fault() != FramingFault::None)
        return fault();
    return isHeadRead && request.entity.len == 0 ? FramingFault::None : FramingFault::Mismatch;
}

void RequestGuard::dropInput()
{
    m_held.clear();
    m_held.shrink_to_fit();
}

} // namespace catkinwing
