// What the exchanges of one client share.
#pragma once

#include "ClientConnection.h"
#include "SocketAddressBytes.h"
#include "catkinwing/Http/HttpClient.h"
#include <map>
#include <set>

namespace catkinwing {

class ClientExchange;

/// The idle connections and running exchanges of a client.
class ClientCore {
public:
    ClientCore(EventLoop& loop, HttpClientOptions options);
    ~ClientCore();
    ClientCore(const ClientCore&) = delete;
    ClientCore& operator=(const ClientCore&) = delete;

    /// Returns an idle connection to \p server that hasn't carried \p echoedValue, or a new one;
    /// \p bytes is its address.
    std::unique_ptr<ClientConnection> take(const SocketAddress& server, SocketAddressBytes& bytes, bool mustBeFresh, absl::string_view echoedValue);
    /// Keeps \p connection for another request if it is fit for one.
    void giveBack(const SocketAddress& server, std::unique_ptr<ClientConnection> connection);
    void forget(const SocketAddress& server);
    void replaceTls(std::shared_ptr<TlsContext> tls);
    /// Cancels every exchange and drops every connection.
    void shutDown();

    void addExchange(ClientExchange& exchange) { m_exchanges.insert(&exchange); }
    void removeExchange(ClientExchange& exchange) { m_exchanges.erase(&exchange); }

    EventLoop& loop() { return m_loop; }
    h2o_http1client_ctx_t* context() { return &m_context; }
    bool acceptsUnframedBodies() const { return m_options.acceptsUnframedBodies; }

private:
    using IdleConnections = std::vector<std::unique_ptr<ClientConnection>>;

    void scheduleSweep();
    void sweep();

    EventLoop& m_loop;
    HttpClientOptions m_options;
    h2o_timeout_t m_ioTimeout {};
    h2o_http1client_ctx_t m_context {};
    std::map<SocketAddress, IdleConnections> m_idle;
    std::set<ClientExchange*> m_exchanges;
    TimerId m_sweepTimer { 0 };
    std::uint64_t m_lastConnection { 0 };
    bool m_isShutDown { false };
};

} // namespace catkinwing
