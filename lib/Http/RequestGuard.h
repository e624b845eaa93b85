// Looks at the bytes of an HTTP/1 connection before h2o does.
#pragma once

#include "H2o.h"
#include "RequestFraming.h"
#include <string>

namespace catkinwing {

/// HTTP/2 as h2o numbers versions.
constexpr int http2Version = 0x200;

/// Keeps requests whose end is in doubt from h2o 2.2, which reads fields and chunks with tolerance
/// and would take what follows such a request for another one.
class RequestGuard {
public:
    /// Checks the last \p newBytes of the socket's input and takes back what h2o may not see yet.
    /// Where the end of a request comes into doubt, h2o is given bytes that it answers 400, and
    /// nothing after them.
    void filter(h2o_socket_t& socket, std::size_t newBytes);
    /// Lets everything through from now on: HTTP/2 frames its messages itself.
    void passHttp2() { m_isHttp2 = true; }
    bool isHttp2() const { return m_isHttp2 || m_framing.isHttp2(); }
    /// Compares the next request that h2o has taken from the input with what was read here.
    FramingFault check(const h2o_req_t& request);
    FramingFault fault() const { return m_framing.fault(); }
    /// Tells whether bytes are kept back until more arrive.
    bool holdsInput() const { return !m_held.empty(); }

private:
    void giveBack(h2o_socket_t& socket, std::size_t newBytes) const;
    void spoil(h2o_socket_t& socket, std::size_t unreadBytes) const;

    RequestFraming m_framing;
    bool m_isHttp2 { false };
    /// Bytes at the end of the input that begin a head.
    std::size_t m_headBytes { 0 };
    /// The beginning of a line of a chunked body, or of the preface of HTTP/2.
    std::string m_held;
};

} // namespace catkinwing
