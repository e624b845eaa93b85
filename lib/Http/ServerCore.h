// What the connections and requests of one server share.
#pragma once

#include "EventLoopImpl.h"
#include "PeerCloseWatcher.h"
#include "RequestGuard.h"
#include "TlsPeer.h"
#include "catkinwing/Http/ClientMemory.h"
#include "catkinwing/Http/HttpServer.h"
#include <array>
#include <list>
#include <unordered_map>

namespace catkinwing {

class BodyReception;
class ServerCore;
class ServerResponse;

/// One accepted connection.
struct ServerConnection : std::enable_shared_from_this<ServerConnection> {
    ServerConnection(ServerCore& server, const HttpServerOptions& options);

    ServerCore* core;
    std::uint64_t number { 0 };
    int descriptor { -1 };
    SocketAddress caller;
    TlsPeer peer;
    h2o_socket_t* socket { nullptr };
    h2o_socket_cb handshakeReader { nullptr };
    TimerId handshakeTimer { 0 };
    RequestGuard guard;
    /// h2o's own callback, while ours stands in its place.
    h2o_socket_cb reader { nullptr };
    /// The body of the request in progress, while it arrives.
    std::shared_ptr<BodyReception> reception;
    /// What h2o and the guard hold of the input.
    HeldBytes heldInput;
    /// Bytes of answers that the transport hasn't taken.
    std::size_t answerBytes { 0 };
    /// Bytes that have come in on HTTP/2 streams whose requests aren't whole yet; no fewer than
    /// these, since streams that are reset aren't seen.
    std::size_t http2Arrived { 0 };
    /// What h2o keeps of the HTTP/2 streams whose requests are whole.
    std::size_t http2Held { 0 };
    /// The kernel's buffer has the size for HTTP/2.
    bool hasHttp2Buffer { false };
    /// Streams with a head at the last count.
    std::size_t http2Streams { 0 };
    /// When bytes last moved in either direction, and what had been written then.
    TimePoint movedAt {};
    std::size_t writtenAtMove { 0 };
    /// It is being closed, so that another can be accepted.
    bool isGivenUp { false };
    /// An answer isn't all out whose body ends with the connection.
    bool endsBody { false };
    /// An interim response is being written.
    bool isInterimPending { false };
    std::weak_ptr<ServerResponse> interimOf;
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
class ServerCore final : private MemoryHolder {
public:
    ServerCore(EventLoop& loop, HttpServerOptions options, HttpHandler handler);
    ~ServerCore() override;
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
    void setMaxBodyBytes(std::size_t bytes);

    static ServerConnection& connectionOf(h2o_socket_t* socket);
    /// Notes whether an answer isn't all out whose body ends with the connection. Whatever ends the connection
    /// meanwhile, the end of the process included, resets it.
    static void setEndsBody(ServerConnection& connection, bool endsBody);
    /// Ends a connection at once, so that no answer on it looks whole that isn't all out.
    static void cut(const ServerConnection& connection);
    /// Reads some of the input behind what h2o has been given; \p bytes stay valid until the next
    /// read. Returns h2o's error, or null.
    const char* receive(ServerConnection& connection, absl::string_view& bytes);
    /// Counts what is held of a connection's input.
    void countInput(ServerConnection& connection);
    /// Returns whether there is room for \p bytes more, for which other connections may have yielded.
    bool makeRoom(std::size_t bytes, const ServerConnection& except);
    /// Observes whether the client takes its answers, if much of them waits for it.
    void watchAnswers(const ServerConnection& connection);
    /// Hands a whole request to the handler.
    void dispatch(HttpRequest request, const std::shared_ptr<ServerResponse>& response, std::shared_ptr<HttpResponder> responder);
    void reportRefusal(const ServerConnection& connection, FramingFault fault) const;
    /// Returns the answer to a request whose body isn't taken.
    HttpRefusal refusal(int status) const;

    std::size_t openConnections() const { return m_connections.size(); }
    std::size_t unsentAnswers() const;
    bool isDraining() const { return m_isDraining; }
    bool isShutDown() const { return m_isShutDown; }
    EventLoop::Impl& loop() { return m_loop.impl(); }
    TimePoint now() const { return m_loop.clock().now(); }
    TimerId callAfter(Duration delay, EventLoop::Callback callback) { return m_loop.callAfter(delay, std::move(callback)); }
    void cancel(TimerId timer) { m_loop.cancel(timer); }
    const HttpServerOptions& options() const { return m_options; }
    const std::shared_ptr<ClientMemory>& memory() const { return m_options.memory; }
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
    static void onHttp2Input(h2o_socket_t* socket, const char* error);
    static void onConnectionClosed(void* data);
    /// Closes the connection that has been stalled for longest, of \p caller if that is set; returns
    /// whether there was one.
    bool giveUpStalled(const std::string* caller);
    void startHandshake(ServerConnection& connection);
    void startHttp1(ServerConnection& connection);
    void startHttp2(ServerConnection& connection);
    void guardInput(ServerConnection& connection);
    void guardHttp2Input(ServerConnection& connection);
    void filterInput(ServerConnection& connection);
    void readOnLater(ServerConnection& connection);
    void passInput(ServerConnection& connection, const char* error);
    void appendLoads(std::vector<ConnectionLoad>& loads) override;
    void release(std::uint64_t connection) override;
    /// Tells whether a connection, for which \p arrived bytes are held, has to go for want of room.
    bool mustClose(ServerConnection& connection, std::size_t arrived);
    ConnectionLoad loadOf(ServerConnection& connection) const;
    void sampleWrites();
    void relieveLater();
    void handle(h2o_req_t* request);
    void forget(ServerConnection& connection);
    void hold(HttpRequest& request, HeldFor kind, std::size_t bytes);
    void countStreams();
    /// Tells whether a request is still arriving on an HTTP/2 stream.
    bool isReceivingStreams();
    /// Forgets what had come in on HTTP/2 streams that have been reset since.
    void recountStreams();
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
    std::uint64_t m_lastNumber { 0 };
    std::array<char, InputBudget::readBytes> m_input;
    /// Excluded from the loads while it asks for room itself.
    const ServerConnection* m_asking { nullptr };
    TimePoint m_noRoomUntil {};
    TimerId m_relieveTimer { 0 };
    TimerId m_sampleTimer { 0 };
    std::unordered_map<std::string, std::size_t> m_connectionsOfCaller;
    bool m_isDraining { false };
    bool m_isShutDown { false };
    TimePoint m_announceLimit {};
    TimerId m_announceTimer { 0 };
    TimerId m_idleCloseTimer { 0 };
    TimerId m_stallTimer { 0 };
};

} // namespace catkinwing
