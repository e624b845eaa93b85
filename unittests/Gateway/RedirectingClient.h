// An HTTP client for fixtures whose endpoints have no processes behind their addresses.
#pragma once

#include "catkinwing/Http/HttpClient.h"

namespace catkinwing {

/// Sends all requests to one server.
class RedirectingClient final : public HttpClient {
public:
    /// \p client must outlive it.
    RedirectingClient(HttpClient& client, SocketAddress target)
        : m_client(client)
        , m_target(std::move(target))
    {
    }

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        request.server = m_target;
        return m_client.send(std::move(request), std::move(callbacks));
    }
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

private:
    HttpClient& m_client;
    SocketAddress m_target;
};

} // namespace catkinwing
