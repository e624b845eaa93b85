#include "RawSocket.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinwing {

static sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static void makeNonBlocking(int descriptor)
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

RawConnection::RawConnection(int descriptor)
    : m_descriptor(descriptor)
{
    makeNonBlocking(descriptor);
}

RawConnection::~RawConnection()
{
    close();
}

std::unique_ptr<RawConnection> RawConnection::connect(const SocketAddress& server)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopbackAddress(server.port);
    int status = ::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (status != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<RawConnection>(descriptor);
}

void RawConnection::send(absl::string_view bytes)
{
    REQUIRE(sendSome(bytes) == bytes.size());
}

std::size_t RawConnection::sendSome(absl::string_view bytes)
{
    ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

void RawConnection::receive()
{
    std::array<char, 65536> buffer;
    while (!m_isEnded && m_descriptor >= 0) {
        std::size_t before = m_received.size();
        receiveAtMost(buffer.size());
        if (m_received.size() == before)
            return;
    }
}

void RawConnection::receiveAtMost(std::size_t limit)
{
    std::array<char, 65536> buffer;
    ssize_t count = recv(m_descriptor, buffer.data(), std::min(limit, buffer.size()), 0);
    if (count > 0) {
        m_received.append(buffer.data(), static_cast<std::size_t>(count));
        return;
    }
    bool isQuiet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    m_isEnded = m_isEnded || !isQuiet;
    m_wasReset = m_wasReset || (count < 0 && errno == ECONNRESET);
}

void RawConnection::shutdownSend()
{
    shutdown(m_descriptor, SHUT_WR);
}

void RawConnection::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

void RawConnection::reset()
{
    linger atOnce { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    close();
}

bool RawConnection::receiveUntil(EventLoop& loop, absl::string_view text)
{
    return runUntil(loop, [&] {
        receive();
        return m_received.find(text.data(), 0, text.size()) != std::string::npos;
    });
}

bool RawConnection::receiveToEnd(EventLoop& loop)
{
    return runUntil(loop, [&] {
        receive();
        return m_isEnded;
    });
}

RawServer::RawServer(int backlog)
    : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopbackAddress(0);
    socklen_t length = sizeof(address);
    REQUIRE(bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0);
    REQUIRE(listen(m_descriptor, backlog) == 0);
    REQUIRE(getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    makeNonBlocking(m_descriptor);
    m_address = { "127.0.0.1", ntohs(address.sin_port) };
}

RawServer::~RawServer()
{
    close();
}

void RawServer::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

std::unique_ptr<RawConnection> RawServer::accept()
{
    int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    return descriptor >= 0 ? std::make_unique<RawConnection>(descriptor) : nullptr;
}

std::unique_ptr<RawConnection> RawServer::waitForConnection(EventLoop& loop)
{
    std::unique_ptr<RawConnection> connection;
    runUntil(loop, [&] { return (connection = accept()) != nullptr; });
    return connection;
}

} // namespace catkinwing
