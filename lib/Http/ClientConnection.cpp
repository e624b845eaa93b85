#include "ClientConnection.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace catkinwing {

using std::chrono::milliseconds;

// Far longer than idle connections are kept.
static constexpr std::chrono::hours poolTimeout { 1 };

// h2o's pool reads the loop's time whenever it is used, but only setting a
// timeout by its own function tells it the loop. That would add a timer list
// for each connection, and h2o goes through all of them every turn.
ClientConnection::ClientConnection(EventLoop::Impl& loop, sockaddr* address, socklen_t length, bool isTls)
    : m_loop(loop)
    , m_pool(std::make_unique<h2o_socketpool_t>())
{
    h2o_socketpool_init_by_address(m_pool.get(), address, length, isTls, 1);
    m_pool->timeout = static_cast<std::uint64_t>(milliseconds(poolTimeout).count());
    m_pool->_interval_cb.loop = loop.evloop;
}

// A copy of a response may come at any time, so no value is forgotten before its connection ends.
static constexpr std::size_t maxCarried = 1'024;

static void disposePool(h2o_socketpool_t& pool)
{
    pool._interval_cb.loop = nullptr;
    h2o_socketpool_dispose(&pool);
}

// A TLS connection says goodbye before it closes, and then counts itself out
// of its pool.
ClientConnection::~ClientConnection()
{
    if (!m_closesLate) {
        disposePool(*m_pool);
        return;
    }
    std::shared_ptr<h2o_socketpool_t> pool(std::move(m_pool));
    m_loop.retire([pool] {
        bool isOpen = pool->_shared.count > 0 && h2o_linklist_is_empty(&pool->_shared.sockets);
        if (!isOpen)
            disposePool(*pool);
        return !isOpen;
    });
}

// Two values with the same hash cost a connection and nothing else.
bool ClientConnection::hasCarried(absl::string_view value) const
{
    return std::find(m_carried.begin(), m_carried.end(), stableHash(value)) != m_carried.end();
}

void ClientConnection::addCarried(absl::string_view value)
{
    m_carried.push_back(stableHash(value));
}

// Input on an idle connection is its end, or bytes that belong to no request.
static bool hasInput(int descriptor)
{
    char byte = 0;
    ssize_t count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool isQuiet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !isQuiet;
}

bool ClientConnection::isReusable() const
{
    bool isBack = !h2o_linklist_is_empty(&m_pool->_shared.sockets);
    return isBack && !m_isSpoilt && m_carried.size() < maxCarried && !hasInput(m_descriptor);
}

void ClientConnection::resetOnClose() const
{
    linger discard { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

// A connection that the server closed in an orderly way waits for our close.
bool ClientConnection::wasReset() const
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    int status = getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &length);
    return status != 0 || info.tcpi_state != TCP_CLOSE_WAIT;
}

std::size_t ClientConnection::unacknowledgedBytes() const
{
    int bytes = 0;
    bool isKnown = ioctl(m_descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return isKnown ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace catkinwing
