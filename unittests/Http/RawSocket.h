// Plain sockets that play the other side, and may break every rule of HTTP.
#pragma once

#include "LoopDriver.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/strings/string_view.h>
#include <memory>
#include <string>

namespace catkinwing {

/// One end of a TCP connection; never blocks.
class RawConnection {
public:
    /// Takes over \p descriptor.
    explicit RawConnection(int descriptor);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    /// Connects to a listening address of loopback.
    static std::unique_ptr<RawConnection> connect(const SocketAddress& server);

    /// Sends all of \p bytes, which must fit the socket's buffer.
    void send(absl::string_view bytes);
    /// Sends what fits and returns how much that was.
    std::size_t sendSome(absl::string_view bytes);
    /// Takes in what has arrived.
    void receive();
    /// Takes in at most \p limit bytes.
    void receiveAtMost(std::size_t limit);
    /// Ends the sending side only.
    void shutdownSend();
    void close();
    /// Closes so that the other side gets a reset.
    void reset();

    /// Runs \p loop until \p text has been received.
    bool receiveUntil(EventLoop& loop, absl::string_view text);
    /// Runs \p loop until the other side has closed.
    bool receiveToEnd(EventLoop& loop);

    const std::string& received() const { return m_received; }
    void clear() { m_received.clear(); }
    /// Tells whether the other side has closed or reset the connection.
    bool isEnded() const { return m_isEnded; }
    bool wasReset() const { return m_wasReset; }
    int descriptor() const { return m_descriptor; }

private:
    int m_descriptor;
    std::string m_received;
    bool m_isEnded { false };
    bool m_wasReset { false };
};

/// A listening socket of loopback.
class RawServer {
public:
    explicit RawServer(int backlog = 16);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    SocketAddress address() const { return m_address; }
    /// Returns a connection that has arrived, or null.
    std::unique_ptr<RawConnection> accept();
    /// Runs \p loop until a connection arrives; returns null after the bound.
    std::unique_ptr<RawConnection> waitForConnection(EventLoop& loop);
    /// Stops listening.
    void close();

private:
    int m_descriptor;
    SocketAddress m_address;
};

} // namespace catkinwing
