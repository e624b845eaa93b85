#include "ClientCore.h"

#include "ClientExchange.h"
#include <algorithm>

namespace catkinwing {

// h2o's own timeout; long, as the exchanges keep time themselves.
static constexpr std::chrono::hours ioTimeout { 24 * 20 };

ClientCore::ClientCore(EventLoop& loop, HttpClientOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
{
    h2o_timeout_init(loop.impl().evloop, &m_ioTimeout, std::chrono::milliseconds(ioTimeout).count());
    m_context.loop = loop.impl().evloop;
    m_context.io_timeout = &m_ioTimeout;
    replaceTls(m_options.tls);
}

ClientCore::~ClientCore()
{
    h2o_timeout_dispose(m_context.loop, &m_ioTimeout);
}

void ClientCore::replaceTls(std::shared_ptr<TlsContext> tls)
{
    m_options.tls = std::move(tls);
    m_context.ssl_ctx = m_options.tls ? m_options.tls->native() : nullptr;
}

// The connection used last is the likeliest to be open still.
std::unique_ptr<ClientConnection> ClientCore::take(const SocketAddress& server, SocketAddressBytes& bytes, bool mustBeFresh, absl::string_view echoedValue)
{
    auto entry = m_idle.find(server);
    TimePoint oldest = m_loop.clock().now() - m_options.keepIdle;
    std::size_t next = mustBeFresh || entry == m_idle.end() ? 0 : entry->second.size();
    while (next > 0) {
        IdleConnections& idle = entry->second;
        auto candidate = idle.begin() + static_cast<IdleConnections::difference_type>(--next);
        bool isUsable = (*candidate)->idleSince() > oldest && (*candidate)->isReusable();
        if (isUsable && !echoedValue.empty() && (*candidate)->hasCarried(echoedValue))
            continue;
        auto connection = std::move(*candidate);
        idle.erase(candidate);
        if (isUsable)
            return connection;
    }
    auto connection = std::make_unique<ClientConnection>(m_loop.impl(), bytes.address(), bytes.length, m_options.tls != nullptr);
    connection->setNumber(++m_lastConnection);
    return connection;
}

void ClientCore::giveBack(const SocketAddress& server, std::unique_ptr<ClientConnection> connection)
{
    if (m_isShutDown || !connection->isReusable())
        return;
    IdleConnections& idle = m_idle[server];
    if (idle.size() >= m_options.maxIdleConnectionsPerServer)
        return;
    connection->countRequest();
    connection->setIdleSince(m_loop.clock().now());
    idle.push_back(std::move(connection));
    scheduleSweep();
}

void ClientCore::scheduleSweep()
{
    if (!m_sweepTimer)
        m_sweepTimer = m_loop.callAfter(m_options.keepIdle, [this] { sweep(); });
}

void ClientCore::sweep()
{
    m_sweepTimer = 0;
    TimePoint oldest = m_loop.clock().now() - m_options.keepIdle;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        IdleConnections& idle = entry->second;
        auto isStale = [oldest](const auto& connection) { return connection->idleSince() <= oldest; };
        idle.erase(std::remove_if(idle.begin(), idle.end(), isStale), idle.end());
        entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
    }
    if (!m_idle.empty())
        scheduleSweep();
}

void ClientCore::forget(const SocketAddress& server)
{
    m_idle.erase(server);
}

void ClientCore::shutDown()
{
    m_isShutDown = true;
    m_loop.cancel(m_sweepTimer);
    while (!m_exchanges.empty())
        (*m_exchanges.begin())->cancel();
    m_idle.clear();
}

} // namespace catkinwing
