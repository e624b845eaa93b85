// A caller that speaks just enough HTTP/2 to test a server.
#pragma once

#include "LoopDriver.h"
#include "RawSocket.h"
#include <cstdint>
#include <string>
#include <vector>

struct ssl_st;

namespace catkinwing {

enum class FrameType : std::uint8_t {
    Data = 0,
    Headers = 1,
    ResetStream = 3,
    Settings = 4,
    GoAway = 7,
    WindowUpdate = 8,
    Other = 255,
};

/// One frame received.
struct Http2Frame {
    FrameType type;
    bool endsStream;
    std::uint32_t stream;
    std::string payload;
};

/// An HTTP/2 connection to a server, in clear text or by TLS.
class Http2Caller {
public:
    /// Connects in clear text with prior knowledge.
    Http2Caller(EventLoop& loop, const SocketAddress& server);
    /// Connects by TLS, offering h2; checks nothing of the server.
    Http2Caller(EventLoop& loop, const SocketAddress& server, const std::string& certificateFile, const std::string& keyFile);
    ~Http2Caller();
    Http2Caller(const Http2Caller&) = delete;
    Http2Caller& operator=(const Http2Caller&) = delete;

    /// Sends a GET, or a POST whose body is to follow.
    void sendHeaders(std::uint32_t stream, const std::string& path, bool endsStream = true);
    void sendData(std::uint32_t stream, const std::string& bytes, bool endsStream);
    void sendReset(std::uint32_t stream);
    /// Lets the server send \p bytes more on \p stream; 0 stands for the connection.
    void sendWindowUpdate(std::uint32_t stream, std::uint32_t bytes);

    /// Takes in what has arrived.
    void receive();
    /// Runs the loop until \p condition holds, receiving all the while.
    bool receiveUntil(const std::function<bool()>& condition);
    /// Returns the first frame of a kind on a stream, or null.
    const Http2Frame* find(FrameType type, std::uint32_t stream) const;
    /// Returns the bytes of all data frames of a stream.
    std::string bodyOf(std::uint32_t stream) const;
    /// Tells whether the server has ended a stream in good order.
    bool hasEnded(std::uint32_t stream) const;
    bool isClosed() const { return m_connection->isEnded() || m_isTlsClosed; }
    /// Closes the connection.
    void close() { m_connection->close(); }
    std::string negotiatedProtocol() const;

private:
    void start();
    void handshake(const std::string& certificateFile, const std::string& keyFile);
    void sendFrame(FrameType type, std::uint8_t flags, std::uint32_t stream, const std::string& payload);
    void sendBytes(const std::string& bytes);
    void parse();

    EventLoop& m_loop;
    std::unique_ptr<RawConnection> m_connection;
    ssl_st* m_tls { nullptr };
    bool m_isTlsClosed { false };
    std::string m_input;
    std::vector<Http2Frame> m_frames;
};

} // namespace catkinwing
