// What the connections and requests of one server share.
#pragma once

#include "EventLoopImpl.h"
#include "PeerCloseWatcher.h"
#include "RequestGuard.h"
#include "TlsPeer.h"
#include "catkinwing/Http/HttpServer.h"
#include <list>
#include <unordered_map>

namespace catkinwing {

class ServerCore;

/// One accepted connection.
struct ServerConnection : std::enable_shared_from_this<ServerConnection> {
    ServerCore* core;
    int descriptor;
    SocketAddress caller;
    TlsPeer peer;
    h2o_socket_t* socket { nullptr };
    h2o_socket_cb handshakeReader { nullptr };
    TimerId handshakeTimer { 0 };
    RequestGuard guard;
    /// h2o's own callbacks, while ours stand in their place.
    h2o_socket_cb reader { nullptr };
    h2o_socket_cb writer { nullptr };
    /// Bytes of the input that the guard has seen.
    std::size_t checkedInput { 0 };
    bool isClosed { false };
    bool isHttp2 { false };
    bool hadRequest { false };
    /// The server itself has closed the receiving side, so that its end says
    /// nothing about the caller.
    bool isReadShut { false };
    std::size_t openRequests { 0 };
    /// Answers that have ended but not gone out whole.
    std::size_t endedAnswers { 0 };
    std::size_t bytesAtCheck { 0 };
    int checksWithoutBytes { 0 };
    std::list<std::shared_ptr<ServerConnection>>::iterator position;
};

/// The h2o configuration and context of a server, with its connections. It
/// outlives the server until the last connection has closed.
class ServerCore {
public:
    ServerCore(EventLoop& loop, HttpServerOptions options, HttpHandler handler);
    ~ServerCore();
    ServerCore(const ServerCore&) = delete;
    ServerCore& operator=(const ServerCore&) = delete;

    /// Serves an accepted descriptor, or closes it if a limit is reached.
    void accept(int descriptor, SocketAddress caller);
    void replaceTls(std::shared_ptr<TlsContext> tls);
    /// Asks HTTP/2 callers to go and closes HTTP/1 connections without a request.
    void drain();
    /// Cuts every connection; the handler isn't called any more.
    void shutDown();

    /// Lets the guard see what arrives on a connection from the end of this turn.
    void guardInputLater(ServerConnection& connection);

    std::size_t openConnections() const { return m_connections.size(); }
    std::size_t unsentAnswers() const;
    bool isDraining() const { return m_isDraining; }
    bool isShutDown() const { return m_isShutDown; }
    EventLoop::Impl& loop() { return m_loop.impl(); }
    PeerCloseWatcher& peerCloseWatcher() { return m_peerCloseWatcher; }

private:
    struct Handler {
        h2o_handler_t base;
        ServerCore* core;
    };

    static int onRequest(h2o_handler_t* self, h2o_req_t* request);
    static void onHandshakeInput(h2o_socket_t* socket, const char* error);
    static void onHandshakeEnd(h2o_socket_t* socket, const char* error);
    static void onInput(h2o_socket_t* socket, const char* error);
    static void onOutput(h2o_socket_t* socket, const char* error);
    static void onConnectionClosed(void* data);
    void startHandshake(ServerConnection& connection);
    void startHttp1(ServerConnection& connection);
    void startHttp2(ServerConnection& connection);
    void guardInput(ServerConnection& connection) const;
    void filterInput(ServerConnection& connection);
    void reportRefusal(const ServerConnection& connection, FramingFault fault) const;
    void handle(h2o_req_t* request);
    void forget(ServerConnection& connection);
    /// Tells whether a request is still arriving on an HTTP/2 stream.
    bool isReceivingStreams();
    void announceShutdown();
    void closeIdleConnections();
    void closeStalledConnections();
    void scheduleStallCheck();

    EventLoop& m_loop;
    HttpServerOptions m_options;
    std::shared_ptr<HttpHandler> m_handler;
    PeerCloseWatcher m_peerCloseWatcher;
    h2o_globalconf_t m_configuration {};
    h2o_context_t m_context {};
    h2o_accept_ctx_t m_acceptContext {};
    std::list<std::shared_ptr<ServerConnection>> m_connections;
    std::unordered_map<std::string, std::size_t> m_connectionsOfCaller;
    bool m_isDraining { false };
    bool m_isShutDown { false };
    TimePoint m_announceLimit {};
    TimerId m_announceTimer { 0 };
    TimerId m_idleCloseTimer { 0 };
    TimerId m_stallTimer { 0 };
};

} // namespace catkinwing
