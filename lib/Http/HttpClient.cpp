#include "catkinwing/Http/HttpClient.h"

#include "ClientCore.h"
#include "ClientExchange.h"

namespace catkinwing {

namespace {

    class H2oClient final : public HttpClient {
    public:
        H2oClient(EventLoop& loop, HttpClientOptions options)
            : m_core(std::make_shared<ClientCore>(loop, std::move(options)))
        {
        }
        // h2o may be going through its timeouts, one of which is the core's.
        ~H2oClient() override
        {
            m_core->shutDown();
            EventLoop::Impl& loop = m_core->loop().impl();
            loop.defer([core = std::move(m_core)] {});
        }
        H2oClient(const H2oClient&) = delete;
        H2oClient& operator=(const H2oClient&) = delete;

        std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
        {
            return ClientExchange::start(m_core, std::move(request), std::move(callbacks));
        }
        void forget(const SocketAddress& server) override { m_core->forget(server); }
        void replaceTls(std::shared_ptr<TlsContext> tls) override { m_core->replaceTls(std::move(tls)); }

    private:
        std::shared_ptr<ClientCore> m_core;
    };

    /// Gathers a response for sendForWhole().
    struct WholeResponse {
        HttpResponseHead head;
        std::string body;
        bool isTooLong { false };
        std::weak_ptr<HttpExchange> exchange;
        std::function<void(const HttpResult&, const HttpResponseHead&, std::string body)> done;
    };

} // namespace

std::unique_ptr<HttpClient> makeHttpClient(EventLoop& loop, HttpClientOptions options)
{
    return std::make_unique<H2oClient>(loop, std::move(options));
}

static void appendBody(WholeResponse& response, absl::string_view bytes, std::size_t maxBodyBytes)
{
    if (response.body.size() + bytes.size() <= maxBodyBytes) {
        response.body.append(bytes.data(), bytes.size());
        return;
    }
    if (auto exchange = response.exchange.lock())
        exchange->cancel();
    response.done({ HttpEnd::Malformed, true, "body longer than allowed", true }, response.head, {});
}

std::shared_ptr<HttpExchange> sendForWhole(HttpClient& client, HttpClientRequest request, std::size_t maxBodyBytes,
    std::function<void(const HttpResult&, const HttpResponseHead&, std::string body)> done)
{
    auto response = std::make_shared<WholeResponse>();
    response->done = std::move(done);
    HttpClientCallbacks callbacks;
    callbacks.onHead = [response](const HttpResponseHead& head) { response->head = head; };
    callbacks.onBody = [response, maxBodyBytes](absl::string_view bytes) { appendBody(*response, bytes, maxBodyBytes); };
    callbacks.onEnd = [response](const HttpResult& result) {
        response->done(result, response->head, std::move(response->body));
    };
    auto exchange = client.send(std::move(request), std::move(callbacks));
    response->exchange = exchange;
    return exchange;
}

} // namespace catkinwing
