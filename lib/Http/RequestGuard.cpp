#include "RequestGuard.h"

#include <absl/strings/string_view.h>
#include <algorithm>
#include <cstring>

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

// A line that h2o has seen the beginning of can't be made unacceptable, so it gets whole lines of
// chunked bodies only. It parses a head again from the start whenever bytes arrive.
void RequestGuard::filter(h2o_socket_t& socket, std::size_t newBytes)
{
    if (isHttp2() || newBytes == 0)
        return;
    if (m_framing.fault() != FramingFault::None) {
        socket.input->size -= newBytes;
        return;
    }
    giveBack(socket, newBytes);
    std::size_t unread = m_headBytes + m_held.size() + newBytes;
    char* bytes = socket.input->bytes + (socket.input->size - unread);
    unread -= m_framing.read(bytes, unread);
    m_headBytes = 0;
    m_held.clear();
    if (m_framing.fault() != FramingFault::None)
        return spoil(socket, unread);
    if (m_framing.isHeadBegun()) {
        m_headBytes = unread;
        return;
    }
    m_held.assign(socket.input->bytes + (socket.input->size - unread), unread);
    socket.input->size -= unread;
}

// h2o refuses a method of null bytes and a chunk of the size "z". Trailers it takes whatever they
// are, and check() refuses the request then.
void RequestGuard::spoil(h2o_socket_t& socket, std::size_t unreadBytes) const
{
    if (m_framing.isHeadBegun()) {
        std::memset(socket.input->bytes + (socket.input->size - unreadBytes), 0, unreadBytes);
        append(socket, "\r\n\r\n");
        return;
    }
    socket.input->size -= unreadBytes;
    append(socket, "z\r\n\r\n");
}

FramingFault RequestGuard::check(const h2o_req_t& request)
{
    if (request.version >= http2Version)
        return isHttp2() ? FramingFault::None : FramingFault::Mismatch;
    std::optional<std::uint64_t> bodyBytes = m_framing.takeRequest();
    if (!bodyBytes && fault() != FramingFault::None)
        return fault();
    return bodyBytes && *bodyBytes == request.entity.len ? FramingFault::None : FramingFault::Mismatch;
}

} // namespace catkinwing
