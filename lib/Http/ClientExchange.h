// One request of the client and its response.
#pragma once

#include "ClientCore.h"
#include "ClientMessage.h"
#include "ForeignResponseFilter.h"
#include <array>
#include <optional>

namespace catkinwing {

/// An exchange under way; owns itself until it has ended.
class ClientExchange final : public HttpExchange, public std::enable_shared_from_this<ClientExchange> {
public:
    static std::shared_ptr<HttpExchange> start(std::shared_ptr<ClientCore> core, HttpClientRequest request,
        HttpClientCallbacks callbacks);
    ~ClientExchange() override = default;
    ClientExchange(const ClientExchange&) = delete;
    ClientExchange& operator=(const ClientExchange&) = delete;

    HttpConnectionUse connection() const override { return m_use; }
    void cancel() override;
    void pause() override;
    void resume() override;
    bool mayHaveReachedServer() const override { return m_mayHaveReachedServer; }

private:
    enum class Phase {
        Connecting,
        AwaitingHead,
        InBody,
        Ended,
    };

    ClientExchange(std::shared_ptr<ClientCore> core, HttpClientRequest request, HttpClientCallbacks callbacks);

    static h2o_http1client_head_cb onConnect(h2o_http1client_t*, const char* error, h2o_iovec_t** buffers, std::size_t* count,
        int* isHead);
    static h2o_http1client_body_cb onHead(h2o_http1client_t*, const char* error, int minorVersion, int status, h2o_iovec_t phrase,
        h2o_header_t* fields, std::size_t fieldCount, int headLength);
    static int onBody(h2o_http1client_t*, const char* error);

    static void onHeadInput(h2o_socket_t* socket, const char* error);
    static void onUnframedBodyInput(h2o_socket_t* socket, const char* error);

    void connect();
    /// Returns the value that tells the response apart; empty if nothing does.
    std::string echoedValue() const;
    /// Tells whether the response is known to be the one to this request.
    bool bearsEchoedField(const HttpResponseHead& head) const;
    /// Comes between the socket and h2o once the request is out; returns true then.
    bool guardHead();
    void readHead(h2o_socket_t& socket);
    void failHead(const char* fault);
    /// Comes between the socket and h2o for the rest of a body that ends with the connection.
    void guardUnframedEnd();
    /// Tells h2o of the end of the connection once the server has acknowledged the whole request or reset
    /// the connection; without either the body is cut.
    void settleUnframedEnd();
    void didConnect(h2o_http1client_t& client, h2o_iovec_t** buffers, std::size_t* count);
    void didFailToConnect(h2o_http1client_t& client, const char* error);
    bool didGetHead(h2o_http1client_t& client, int status, const h2o_header_t* fields, std::size_t fieldCount);
    bool didGetBody(h2o_http1client_t& client, const char* error);
    /// Returns why the body isn't whole though \p error may say so, or null.
    const char* bodyFault(const h2o_http1client_t& client, const char* error) const;
    void passOnBody(absl::string_view bytes);
    /// Passes on what is held: body bytes, then the end.
    void deliver();
    void deliverEnd();

    void enter(Phase phase, std::chrono::milliseconds timeout);
    void didTimeOut();
    void stopReading();
    void continueReading();
    /// Notes the end; it is told at the end of the turn, when h2o has brought
    /// the connection back.
    void end(HttpEnd end, std::string detail);
    void dropClient();
    void settle();
    /// Lets go of all that keeps this alive.
    void release();

    EventLoop& m_loop;
    std::shared_ptr<ClientCore> m_core;
    std::shared_ptr<ClientExchange> m_self;
    HttpClientRequest m_request;
    std::shared_ptr<HttpClientCallbacks> m_callbacks;
    std::unique_ptr<ClientConnection> m_connection;
    h2o_http1client_t* m_client { nullptr };
    std::string m_head;
    std::array<h2o_iovec_t, 2> m_buffers {};
    Phase m_phase { Phase::Connecting };
    BodyFraming m_framing { BodyFraming::UntilClose };
    TimerId m_timer { 0 };
    TimePoint m_lastActivity {};
    HttpResult m_result;
    HttpConnectionUse m_use;
    std::string m_held;
    std::optional<ForeignResponseFilter> m_filter;
    h2o_socket_cb m_headReader { nullptr };
    /// Bytes received before the end of the head, without those of other requests.
    std::size_t m_headBytes { 0 };
    h2o_socket_cb m_pausedReader { nullptr };
    h2o_socket_cb m_bodyReader { nullptr };
    /// How a body that ends with the connection ended; null before.
    const char* m_unframedEnd { nullptr };
    /// Of the request, when last looked at after that end.
    std::size_t m_unacknowledgedBytes { 0 };
    bool m_mayHaveReachedServer { false };
    bool m_isInClient { false };
    bool m_isOver { false };
    bool m_isPaused { false };
};

} // namespace catkinwing
