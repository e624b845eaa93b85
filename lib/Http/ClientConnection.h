// A connection of the client, kept between requests.
#pragma once

#include "EventLoopImpl.h"
#include "catkinwing/Http/HttpClient.h"
#include <vector>

namespace catkinwing {

/// One connection to a server. h2o takes connections from a pool and brings
/// them back to it, so each has a pool of its own: that way it is known which
/// connection served a request, and one can be kept from being used again.
class ClientConnection {
public:
    ClientConnection(EventLoop::Impl& loop, sockaddr* address, socklen_t length, bool isTls);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    h2o_socketpool_t* pool() { return m_pool.get(); }
    /// Notes the socket that a request goes out on.
    void setSocket(h2o_socket_t* socket) { m_descriptor = h2o_socket_get_fd(socket); }
    /// Notes that the socket isn't fit for another request.
    void spoil() { m_isSpoilt = true; }
    /// Notes that h2o may close the socket only after the pool would be gone.
    void expectLateClose() { m_closesLate = true; }
    /// Tells whether h2o brought the socket back and nothing came in on it since.
    bool isReusable() const;

    /// Makes the connection end by a reset when it is closed, which discards the bytes that
    /// the server hasn't received.
    void resetOnClose() const;
    /// Tells whether the server ended the connection by a reset.
    bool wasReset() const;
    /// Returns how much of what was sent the server has yet to acknowledge.
    std::size_t unacknowledgedBytes() const;

    /// Tells whether a request with the echoed value \p value has gone out on the connection.
    bool hasCarried(absl::string_view value) const;
    void addCarried(absl::string_view value);
    /// Notes a HEAD request. The length in its response isn't that of a body.
    void addHeadRequest() { m_hasCarriedHead = true; }
    bool hasCarriedHead() const { return m_hasCarriedHead; }

    HttpConnectionUse use() const { return m_use; }
    void setNumber(std::uint64_t number) { m_use.number = number; }
    void countRequest() { ++m_use.earlierRequests; }

    TimePoint idleSince() const { return m_idleSince; }
    void setIdleSince(TimePoint time) { m_idleSince = time; }

private:
    EventLoop::Impl& m_loop;
    std::unique_ptr<h2o_socketpool_t> m_pool;
    int m_descriptor { -1 };
    HttpConnectionUse m_use;
    /// Hashes of the echoed values of all requests.
    std::vector<std::uint64_t> m_carried;
    bool m_hasCarriedHead { false };
    bool m_isSpoilt { false };
    bool m_closesLate { false };
    TimePoint m_idleSince {};
};

} // namespace catkinwing
