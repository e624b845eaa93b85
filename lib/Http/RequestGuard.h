// Looks at the bytes of an HTTP/1 connection before h2o does.
#pragma once

#include "H2o.h"
#include "RequestFraming.h"
#include <string>

namespace catkinwing {

/// HTTP/2 as h2o numbers versions.
constexpr int http2Version = 0x200;

/// Keeps requests whose end is in doubt from h2o 2.2, which reads fields with tolerance and would take
/// what follows such a request for another one. h2o gets one head at a time and no bodies.
class RequestGuard {
public:
    explicit RequestGuard(bool allowsHttp2)
        : m_framing(allowsHttp2)
    {
    }

    /// Checks the last \p newBytes of the socket's input and takes back what h2o may not see yet.
    /// Where the end of a head comes into doubt, h2o is given bytes that it answers 400, and
    /// nothing after them.
    void filter(h2o_socket_t& socket, std::size_t newBytes);
    /// Lets everything through from now on: HTTP/2 frames its messages itself.
    void passHttp2() { m_isHttp2 = true; }
    bool isHttp2() const { return m_isHttp2 || m_framing.isHttp2(); }
    /// Checks that the next request that h2o has taken from the input is the one read here.
    FramingFault check(const h2o_req_t& request);
    FramingFault fault() const { return m_framing.fault(); }
    /// Returns what the head of the request in progress says about its body.
    const RequestBodyFraming& body() const { return m_framing.body(); }
    bool isInBody() const { return m_framing.isInBody(); }
    /// Reads on in the body, in what was kept back and \p newBytes; what isn't read is kept back. See
    /// RequestFraming::readBody().
    template <typename Sink>
    void readBody(absl::string_view newBytes, Sink&& sink);
    /// Tells whether bytes are kept back.
    bool holdsInput() const { return !m_held.empty(); }
    std::size_t heldBytes() const { return m_held.size(); }
    /// Drops what was kept back and what is unread.
    void dropInput();

private:
    void giveBack(h2o_socket_t& socket, std::size_t newBytes) const;
    void spoil(h2o_socket_t& socket, std::size_t unreadBytes) const;

    RequestFraming m_framing;
    bool m_isHttp2 { false };
    /// A head was given to h2o, which hasn't taken it for a request yet.
    bool m_isHeadRead { false };
    /// Bytes at the end of the input that begin a head.
    std::size_t m_headBytes { 0 };
    /// What follows the head that h2o was given last, or the beginning of the preface of HTTP/2.
    std::string m_held;
};

template <typename Sink>
void RequestGuard::readBody(absl::string_view newBytes, Sink&& sink)
{
    if (m_held.empty()) {
        std::size_t count = m_framing.readBody(newBytes, sink);
        newBytes.remove_prefix(count);
        m_held.assign(newBytes.data(), newBytes.size());
        return;
    }
    m_held.append(newBytes.data(), newBytes.size());
    m_held.erase(0, m_framing.readBody(m_held, sink));
}

} // namespace catkinwing
