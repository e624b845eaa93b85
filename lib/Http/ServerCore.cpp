#include "ServerCore.h"

#include "BodyReception.h"
#include "HeaderSyntax.h"
#include "KeepAlive.h"
#include "ServerResponse.h"
#include <absl/strings/string_view.h>
#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#if defined(__has_feature)
#if __has_feature(address_sanitizer)
#define __SANITIZE_ADDRESS__ 1
#endif
#endif

#ifdef __SANITIZE_ADDRESS__
// h2o 2.2.5 forgets to free a context's message queue: 88 bytes for each server.
extern "C" const char* __lsan_default_suppressions();
extern "C" const char* __lsan_default_suppressions()
{
    return "leak:h2o_multithread_create_queue\n";
}
#endif

namespace catkinwing {

using std::chrono::milliseconds;

// Gives callers that are about to use a connection time to do so before the
// server closes it for being idle.
static constexpr milliseconds idleCloseDelay { 1'500 };
static constexpr milliseconds announceInterval { 50 };
// A stall is looked for this often within the send timeout.
static constexpr int stallChecks = 4;
// What h2o and this server keep of each connection besides its input.
static constexpr std::size_t connectionBytes = 4u << 10;
// What h2o keeps of an HTTP/2 stream besides its fields and its body.
static constexpr std::size_t http2StreamBytes = 8u << 10;
// The buffer of a body that grows has up to twice its size.
static constexpr std::size_t copiesInHttp2Buffer = 2;
// Kernel buffer of an HTTP/2 connection, which h2o empties in one go.
static constexpr int http2ReceiveBytes = 128 << 10;
// The same of a TLS connection. h2o keeps its buffers at the size of the largest read.
static constexpr int tlsReceiveBytes = 32 << 10;
// What has come in over TLS is there encrypted, too.
static constexpr std::size_t copiesInTls = 2;
// The fields of a head are there again as the handler's, and in what it forwards.
static constexpr std::size_t copiesOfHead = 3;
// Smaller heads are part of what a connection is taken to need.
static constexpr std::size_t minCountedHead = 1u << 10;
static constexpr int statusUnavailable = 503;
// A connection on which nothing has come for this time gives way to a new one where there are too many.
static constexpr milliseconds maxStall { 1'000 };
// Pause between two searches for connections that yield, each of which looks at all of them.
static constexpr milliseconds searchPause { 50 };
// Pause between two looks at answers that wait for their clients.
static constexpr milliseconds sampleInterval { 250 };

static void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

// Callers that vanish without a word would otherwise be kept for hours. A connection ends
// when the caller has acknowledged neither data nor a probe for the send timeout.
static void setSocketOptions(int descriptor, milliseconds sendTimeout)
{
    KeepAliveTimes probes = keepAliveTimes(sendTimeout);
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(probes.idle.count()));
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(probes.interval.count()));
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(sendTimeout.count()));
}

ServerConnection::ServerConnection(ServerCore& server, const HttpServerOptions& options)
    : core(&server)
    , guard(options.allowsHttp2)
    , heldInput(options.memory, HeldFor::Input)
{
}

static HttpServerOptions withMemory(HttpServerOptions options)
{
    if (!options.memory)
        options.memory = std::make_shared<ClientMemory>();
    return options;
}

ServerCore::ServerCore(EventLoop& loop, HttpServerOptions options, HttpHandler handler)
    : m_loop(loop)
    , m_options(withMemory(std::move(options)))
    , m_handler(std::make_shared<HttpHandler>(std::move(handler)))
    , m_peerCloseWatcher(loop.impl())
{
    h2o_config_init(&m_configuration);
    m_configuration.server_name = h2o_iovec_init(H2O_STRLIT("catkinwing"));
    m_configuration.max_request_entity_size = m_options.maxBodyBytes;
    m_configuration.handshake_timeout = static_cast<std::uint64_t>(m_options.requestTimeout.count());
    m_configuration.http1.req_timeout = static_cast<std::uint64_t>(m_options.requestTimeout.count());
    m_configuration.http2.idle_timeout = static_cast<std::uint64_t>(m_options.requestTimeout.count());
    // A context needs a host; the first one serves every name.
    h2o_hostconf_t* host = h2o_config_register_host(&m_configuration, h2o_iovec_init(H2O_STRLIT("default")),
        std::numeric_limits<std::uint16_t>::max());
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* entry = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    entry->base.on_req = onRequest;
    entry->core = this;
    h2o_context_init(&m_context, loop.impl().evloop, &m_configuration);
    m_acceptContext.ctx = &m_context;
    m_acceptContext.hosts = m_configuration.hosts;
    memory()->addHolder(*this);
    scheduleStallCheck();
}

ServerCore::~ServerCore()
{
    assert(m_connections.empty() && "connections hold on to their server");
    memory()->removeHolder(*this);
    // h2o would find its own timer still running when it is stopped early.
    if (h2o_timeout_is_linked(&m_context.http2._graceful_shutdown_timeout))
        h2o_timeout_unlink(&m_context.http2._graceful_shutdown_timeout);
    h2o_context_dispose(&m_context);
    h2o_config_dispose(&m_configuration);
}

void ServerCore::accept(int descriptor, SocketAddress caller)
{
    std::size_t& connectionsOfCaller = m_connectionsOfCaller[caller.host];
    bool isCallerFull = connectionsOfCaller >= m_options.maxConnectionsPerCaller;
    bool isFull = isCallerFull || m_connections.size() >= m_options.maxConnections;
    if (isFull && !giveUpStalled(isCallerFull ? &caller.host : nullptr)) {
        if (connectionsOfCaller == 0)
            m_connectionsOfCaller.erase(caller.host);
        ::close(descriptor);
        return;
    }
    ++connectionsOfCaller;
    setSocketOptions(descriptor, m_options.sendTimeout);
    if (m_options.tls)
        setOption(descriptor, SOL_SOCKET, SO_RCVBUF, tlsReceiveBytes);
    auto connection = std::make_shared<ServerConnection>(*this, m_options);
    connection->number = ++m_lastNumber;
    connection->movedAt = now();
    connection->descriptor = descriptor;
    connection->caller = std::move(caller);
    connection->socket = h2o_evloop_socket_create(loop().evloop, descriptor, H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
    connection->socket->on_close.cb = onConnectionClosed;
    connection->socket->on_close.data = connection.get();
    m_connections.push_front(std::move(connection));
    ServerConnection& added = *m_connections.front();
    added.position = m_connections.begin();
    if (m_options.tls)
        startHandshake(added);
    else
        startHttp1(added);
}

// Clients that only hold connections must not keep out others. One that has begun a request and
// doesn't go on goes before one that is idle between two requests.
bool ServerCore::giveUpStalled(const std::string* caller)
{
    ServerConnection* longest = nullptr;
    auto hasBegun = [](const ServerConnection& connection) {
        return connection.reception || connection.socket->input->size > 0 || connection.guard.holdsInput() || !connection.hadRequest;
    };
    auto rank = [&](const ServerConnection& connection) { return std::make_pair(hasBegun(connection), now() - connection.movedAt); };
    for (const auto& connection : m_connections) {
        bool isWaitedFor = connection->openRequests == 0 || connection->reception;
        bool isEligible = !connection->isGivenUp && (!caller || connection->caller.host == *caller);
        bool isStalled = isWaitedFor && isEligible && now() - connection->movedAt > maxStall;
        if (isStalled && (!longest || rank(*connection) > rank(*longest)))
            longest = connection.get();
    }
    if (!longest)
        return false;
    longest->isGivenUp = true;
    ++memory()->refusals().yielded;
    cut(*longest);
    return true;
}

ServerConnection& ServerCore::connectionOf(h2o_socket_t* socket)
{
    return *static_cast<ServerConnection*>(socket->on_close.data);
}

// The kernel closes the connections of a process that is killed in an orderly way, unless it is to discard
// what is unsent.
void ServerCore::setEndsBody(ServerConnection& connection, bool endsBody)
{
    connection.endsBody = endsBody;
    linger discard { endsBody ? 1 : 0, 0 };
    setsockopt(connection.descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

// Disconnecting sends a reset at once, also past bytes that wait to be sent.
static void resetConnection(int descriptor)
{
    sockaddr nowhere {};
    nowhere.sa_family = AF_UNSPEC;
    static_cast<void>(connect(descriptor, &nowhere, sizeof(nowhere)));
}

// An orderly end shows that an answer with a frame is cut. It also keeps back what h2o would still send.
void ServerCore::cut(const ServerConnection& connection)
{
    if (connection.endsBody)
        resetConnection(connection.descriptor);
    else
        shutdown(connection.descriptor, SHUT_RDWR);
}

// h2o_accept would hand what has come in with the end of the handshake to HTTP/1 before the guard
// could see it.
void ServerCore::startHandshake(ServerConnection& connection)
{
    h2o_socket_ssl_handshake(connection.socket, m_options.tls->native(), nullptr, onHandshakeEnd);
    connection.handshakeReader = connection.socket->_cb.read;
    connection.socket->_cb.read = onHandshakeInput;
    connection.handshakeTimer = m_loop.callAfter(m_options.requestTimeout, [weak = connection.weak_from_this()] {
        if (auto held = weak.lock())
            shutdown(held->descriptor, SHUT_RDWR);
    });
}

// h2o opens the TLS session when the first bytes have come in.
void ServerCore::onHandshakeInput(h2o_socket_t* socket, const char* error)
{
    ServerConnection& connection = connectionOf(socket);
    TlsPeerScope scope(connection.peer);
    connection.handshakeReader(socket, error);
}

static bool isHttp2Protocol(h2o_iovec_t protocol)
{
    for (const h2o_iovec_t* known = h2o_http2_alpn_protocols; known->len > 0; ++known) {
        if (h2o_memis(protocol.base, protocol.len, known->base, known->len))
            return true;
    }
    return false;
}

void ServerCore::onHandshakeEnd(h2o_socket_t* socket, const char* error)
{
    ServerConnection& connection = connectionOf(socket);
    connection.core->m_loop.cancel(connection.handshakeTimer);
    if (error)
        h2o_socket_close(socket);
    else if (connection.core->m_options.allowsHttp2 && isHttp2Protocol(h2o_socket_ssl_get_selected_protocol(socket)))
        connection.core->startHttp2(connection);
    else
        connection.core->startHttp1(connection);
}

static timeval wallTime()
{
    timeval now {};
    gettimeofday(&now, nullptr);
    return now;
}

// Plain input is read here, as h2o would read on while there is any.
void ServerCore::startHttp1(ServerConnection& connection)
{
    auto kept = connection.shared_from_this();
    filterInput(connection);
    if (!connection.socket->ssl)
        h2o_socket_dont_read(connection.socket, 1);
    h2o_http1_accept(&m_acceptContext, connection.socket, wallTime());
    guardInput(connection);
}

void ServerCore::startHttp2(ServerConnection& connection)
{
    auto kept = connection.shared_from_this();
    connection.guard.passHttp2();
    h2o_http2_accept(&m_acceptContext, connection.socket, wallTime());
    guardInput(connection);
}

const char* ServerCore::receive(ServerConnection& connection, absl::string_view& bytes)
{
    h2o_socket_t& socket = *connection.socket;
    if (socket.ssl) {
        bytes = absl::string_view(socket.input->bytes, socket.input->size).substr(connection.checkedInput);
        socket.input->size = connection.checkedInput;
        return nullptr;
    }
    ssize_t count = recv(connection.descriptor, m_input.data(), m_input.size(), 0);
    if (count == 0)
        return h2o_socket_error_closed;
    bool isPending = count < 0 && (errno == EAGAIN || errno == EINTR);
    if (count < 0)
        return isPending ? nullptr : h2o_socket_error_io;
    bytes = absl::string_view(m_input.data(), static_cast<std::size_t>(count));
    connection.movedAt = now();
    return nullptr;
}

// h2o sets its callback anew whenever it begins to read. What has come in behind a request waits in
// the guard until its answer has been sent.
void ServerCore::guardInput(ServerConnection& connection)
{
    if (connection.isClosed || connection.reception)
        return;
    countInput(connection);
    if (connection.guard.isHttp2())
        return guardHttp2Input(connection);
    auto& callbacks = connection.socket->_cb;
    connection.checkedInput = connection.socket->input->size;
    if (!callbacks.read || callbacks.read == onInput)
        return;
    connection.reader = callbacks.read;
    callbacks.read = onInput;
}

// HTTP/2 frames bound what h2o reads ahead, and streams hold what it has read.
void ServerCore::guardHttp2Input(ServerConnection& connection)
{
    if (!connection.socket->ssl)
        h2o_socket_dont_read(connection.socket, 0);
    if (!std::exchange(connection.hasHttp2Buffer, true))
        setOption(connection.descriptor, SOL_SOCKET, SO_RCVBUF, http2ReceiveBytes);
    auto& callbacks = connection.socket->_cb;
    if (!callbacks.read || callbacks.read == onHttp2Input)
        return;
    connection.reader = callbacks.read;
    callbacks.read = onHttp2Input;
}

void ServerCore::guardInputLater(ServerConnection& connection)
{
    loop().defer([weak = connection.weak_from_this()] {
        auto held = weak.lock();
        if (!held)
            return;
        held->core->guardInput(*held);
        bool isReading = !held->isClosed && held->socket->_cb.read == onInput;
        if (isReading && held->guard.holdsInput())
            held->core->readOnLater(*held);
    });
}

// Requests that others have sent meanwhile come before the next one of the same connection, for which
// nothing more is read until then.
void ServerCore::readOnLater(ServerConnection& connection)
{
    h2o_socket_read_stop(connection.socket);
    m_loop.callAfter(Duration::zero(), [weak = connection.weak_from_this()] {
        auto held = weak.lock();
        if (!held || held->isClosed)
            return;
        h2o_socket_read_start(held->socket, onInput);
        held->core->passInput(*held, nullptr);
    });
}

void ServerCore::filterInput(ServerConnection& connection)
{
    FramingFault before = connection.guard.fault();
    connection.guard.filter(*connection.socket, connection.socket->input->size - connection.checkedInput);
    if (connection.guard.fault() != before)
        reportRefusal(connection, connection.guard.fault());
}

// Filters what is new in the input and lets h2o have the rest of it.
void ServerCore::passInput(ServerConnection& connection, const char* error)
{
    auto kept = connection.shared_from_this();
    if (!error)
        filterInput(connection);
    bool hasNews = error || connection.socket->input->size > connection.checkedInput;
    if (!hasNews)
        return countInput(connection);
    if (connection.guard.isHttp2())
        connection.http2Arrived += copiesInHttp2Buffer * (connection.socket->input->size - connection.checkedInput);
    connection.socket->_cb.read = connection.reader;
    connection.reader(connection.socket, error);
    guardInput(connection);
}

// Neither a head nor an HTTP/2 stream can be refused before it is whole.
bool ServerCore::mustClose(ServerConnection& connection, std::size_t arrived)
{
    if (arrived <= smallBodyBytes || makeRoom(0, connection))
        return false;
    ++memory()->refusals().yielded;
    return true;
}

void ServerCore::onInput(h2o_socket_t* socket, const char* error)
{
    ServerConnection& connection = connectionOf(socket);
    if (!error && !socket->ssl) {
        absl::string_view bytes;
        error = connection.core->receive(connection, bytes);
        if (!error && bytes.empty())
            return;
        h2o_iovec_t room = h2o_buffer_reserve(&socket->input, bytes.size());
        if (!bytes.empty())
            std::memcpy(room.base, bytes.data(), bytes.size());
        socket->input->size += bytes.size();
    }
    if (!error && connection.core->mustClose(connection, socket->input->size))
        error = h2o_socket_error_closed;
    connection.core->passInput(connection, error);
}

void ServerCore::onHttp2Input(h2o_socket_t* socket, const char* error)
{
    auto connection = connectionOf(socket).shared_from_this();
    connection->movedAt = connection->core->now();
    connection->http2Arrived += error ? 0 : copiesInHttp2Buffer * socket->bytes_read;
    connection->core->countInput(*connection);
    if (!error && connection->core->mustClose(*connection, connection->http2Arrived))
        error = h2o_socket_error_closed;
    socket->_cb.read = connection->reader;
    connection->reader(socket, error);
    connection->core->guardInput(*connection);
}

void ServerCore::countInput(ServerConnection& connection)
{
    if (connection.isClosed)
        return;
    std::size_t buffered = connection.socket->input->capacity * (connection.socket->ssl ? copiesInTls : 1);
    connection.heldInput.set(connectionBytes + buffered + connection.guard.heldBytes() + connection.http2Arrived);
    relieveLater();
}

// Connections can't be closed here, as this may be called inside a callback of one of them.
void ServerCore::relieveLater()
{
    if (m_relieveTimer || m_isShutDown || memory()->used() <= memory()->capacity())
        return;
    m_relieveTimer = m_loop.callAfter(Duration::zero(), [this] {
        memory()->relieve();
        m_relieveTimer = m_loop.callAfter(searchPause, [this] {
            m_relieveTimer = 0;
            relieveLater();
        });
    });
}

bool ServerCore::makeRoom(std::size_t bytes, const ServerConnection& except)
{
    if (memory()->hasRoom(bytes))
        return true;
    if (now() < m_noRoomUntil)
        return false;
    m_asking = &except;
    bool hasRoom = memory()->makeRoom(bytes);
    m_asking = nullptr;
    if (!hasRoom)
        m_noRoomUntil = now() + searchPause;
    return hasRoom;
}

static void noteWrites(ServerConnection& connection, TimePoint now)
{
    if (std::exchange(connection.writtenAtMove, connection.socket->bytes_written) != connection.socket->bytes_written)
        connection.movedAt = now;
}

static bool hasUnreadInput(int descriptor)
{
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ServerCore::watchAnswers(const ServerConnection& connection)
{
    relieveLater();
    bool isDue = !m_sampleTimer && !m_isShutDown && connection.answerBytes > smallBodyBytes;
    if (isDue)
        m_sampleTimer = m_loop.callAfter(sampleInterval, [this] { sampleWrites(); });
}

// h2o doesn't tell when a part of what it writes is out.
void ServerCore::sampleWrites()
{
    m_sampleTimer = 0;
    for (const auto& connection : m_connections) {
        if (connection->answerBytes == 0)
            continue;
        noteWrites(*connection, now());
        watchAnswers(*connection);
    }
}

// A request that the handler has can't be taken back, so only what arrives and answers that have
// ended count.
ConnectionLoad ServerCore::loadOf(ServerConnection& connection) const
{
    noteWrites(connection, now());
    ConnectionLoad load;
    load.moved = std::numeric_limits<std::size_t>::max();
    load.idleFor = now() - connection.movedAt;
    bool isReleasable = connection.openRequests == connection.endedAnswers || connection.guard.isHttp2();
    if (connection.reception && !connection.reception->isRefused())
        load = connection.reception->load();
    else if (isReleasable)
        load.bytes = connection.heldInput.bytes() + connection.answerBytes + connection.http2Held;
    load.connection = connection.number;
    load.hasUnreadInput = load.bytes > smallBodyBytes && hasUnreadInput(connection.descriptor);
    return load;
}

void ServerCore::appendLoads(std::vector<ConnectionLoad>& loads)
{
    recountStreams();
    for (const auto& connection : m_connections) {
        if (connection.get() != m_asking)
            loads.push_back(loadOf(*connection));
    }
}

void ServerCore::release(std::uint64_t connection)
{
    for (const auto& candidate : m_connections) {
        if (candidate->number != connection)
            continue;
        if (candidate->reception)
            candidate->reception->refuse(statusUnavailable);
        else
            cut(*candidate);
        return;
    }
}

void ServerCore::setMaxBodyBytes(std::size_t bytes)
{
    m_options.maxBodyBytes = bytes;
    m_configuration.max_request_entity_size = bytes;
}

HttpRefusal ServerCore::refusal(int status) const
{
    if (m_options.makeRefusal && !m_isShutDown)
        return m_options.makeRefusal(status);
    return { { status, { { "content-type", "text/plain; charset=utf-8" } } }, reasonPhrase(status) };
}

void ServerCore::reportRefusal(const ServerConnection& connection, FramingFault fault) const
{
    if (m_options.onRefused && !m_isShutDown)
        m_options.onRefused(connection.caller, framingFaultName(fault));
}

void ServerCore::onConnectionClosed(void* data)
{
    auto* connection = static_cast<ServerConnection*>(data);
    connection->core->forget(*connection);
}

void ServerCore::forget(ServerConnection& connection)
{
    connection.isClosed = true;
    connection.reception = nullptr;
    connection.heldInput.set(0);
    m_loop.cancel(connection.handshakeTimer);
    auto count = m_connectionsOfCaller.find(connection.caller.host);
    if (--count->second == 0)
        m_connectionsOfCaller.erase(count);
    m_connections.erase(connection.position);
}

static std::string toString(h2o_iovec_t bytes)
{
    return bytes.len > 0 ? std::string(bytes.base, bytes.len) : std::string();
}

static ServerConnection* ownerOf(h2o_conn_t& connection)
{
    return &ServerCore::connectionOf(connection.callbacks->get_socket(&connection));
}

namespace {

    /// Where a request goes.
    struct RequestTarget {
        h2o_iovec_t authority;
        h2o_iovec_t path;
    };

} // namespace

// A target may name scheme and host, which then replace the host field.
static RequestTarget targetOf(const h2o_req_t& source)
{
    h2o_iovec_t path = source.input.path;
    h2o_url_t url;
    bool isAbsolute = path.len > 0 && path.base[0] != '/' && h2o_url_parse(path.base, path.len, &url) == 0;
    if (isAbsolute)
        return { url.authority, url.path };
    return { source.input.authority, path };
}

static void fillTarget(HttpRequest& request, h2o_iovec_t target)
{
    std::string path = toString(target);
    std::size_t mark = path.find('?');
    request.path = path.substr(0, mark);
    if (mark != std::string::npos)
        request.query = path.substr(mark + 1);
}

// h2o takes host and content-length out of HTTP/1 requests only.
static void fillHeaders(HttpRequest& request, const h2o_req_t& source, h2o_iovec_t authority)
{
    if (authority.len > 0)
        request.headers.add("host", toString(authority));
    for (std::size_t i = 0; i < source.headers.size; ++i) {
        const h2o_header_t& field = source.headers.entries[i];
        std::string name = toString(*field.name);
        if (name != "host" && name != "content-length")
            request.headers.add(std::move(name), toString(field.value));
    }
}

static HttpRequest makeRequest(const h2o_req_t& source, const ServerConnection& connection)
{
    HttpRequest request;
    request.method = toString(source.input.method);
    RequestTarget target = targetOf(source);
    fillTarget(request, target.path);
    fillHeaders(request, source, target.authority);
    request.body = toString(source.entity);
    request.caller = connection.caller;
    request.certificateName = connection.peer.certificateName;
    return request;
}

static std::size_t headBytesOf(const h2o_req_t& request)
{
    std::size_t bytes = request.input.path.len + request.input.authority.len;
    for (std::size_t i = 0; i < request.headers.size; ++i)
        bytes += request.headers.entries[i].name->len + request.headers.entries[i].value.len;
    return bytes;
}

int ServerCore::onRequest(h2o_handler_t* self, h2o_req_t* request)
{
    reinterpret_cast<Handler*>(self)->core->handle(request);
    return 0;
}

void ServerCore::handle(h2o_req_t* request)
{
    ServerConnection* connection = ownerOf(*request->conn);
    connection->hadRequest = true;
    connection->isHttp2 = request->version >= http2Version;
    FramingFault fault = connection->guard.check(*request);
    if (fault != FramingFault::None) {
        if (fault != connection->guard.fault())
            reportRefusal(*connection, fault);
        h2o_send_error_400(request, "Bad Request", "The end of the request is in doubt.", H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
        return;
    }
    auto response = ServerResponse::create(*request, connection);
    std::size_t headBytes = headBytesOf(*request);
    if (connection->isHttp2) {
        connection->http2Arrived -= std::min(connection->http2Arrived, copiesInHttp2Buffer * request->entity.len);
        response->holdStream(http2StreamBytes + headBytes + request->entity.len);
    }
    HttpRequest made = makeRequest(*request, *connection);
    if (headBytes > minCountedHead)
        hold(made, HeldFor::Input, copiesOfHead * headBytes);
    bool isArriving = !connection->isHttp2 && connection->guard.isInBody();
    if (isArriving)
        return BodyReception::begin(*connection, std::move(made), std::move(response));
    hold(made, HeldFor::Body, made.body.size());
    hold(made, HeldFor::Attempt, made.body.size());
    auto responder = response->makeHandle();
    bool isLarge = headBytes + made.body.size() > smallBodyBytes;
    if (isLarge && !makeRoom(0, *connection)) {
        ++memory()->refusals().noRoom;
        HttpRefusal answer = refusal(statusUnavailable);
        responder->send(answer.head, std::move(answer.body));
        return;
    }
    dispatch(std::move(made), response, std::move(responder));
}

void ServerCore::hold(HttpRequest& request, HeldFor kind, std::size_t bytes)
{
    if (bytes == 0)
        return;
    auto held = std::make_shared<HeldBytes>(memory(), kind);
    held->set(bytes);
    request.held.push_back(std::move(held));
    relieveLater();
}

void ServerCore::dispatch(HttpRequest request, const std::shared_ptr<ServerResponse>& response, std::shared_ptr<HttpResponder> responder)
{
    // The handler may destroy the server, and with it itself.
    auto handler = m_handler;
    if (handler)
        (*handler)(std::move(request), std::move(responder));
    response->watchCaller();
}

std::size_t ServerCore::unsentAnswers() const
{
    std::size_t answers = 0;
    for (const auto& connection : m_connections)
        answers += connection->endedAnswers;
    return answers;
}

void ServerCore::replaceTls(std::shared_ptr<TlsContext> tls)
{
    m_options.tls = std::move(tls);
}

void ServerCore::drain()
{
    m_isDraining = true;
    m_announceLimit = m_loop.clock().now() + m_options.requestTimeout;
    announceShutdown();
    m_idleCloseTimer = m_loop.callAfter(idleCloseDelay, [this] { closeIdleConnections(); });
}

static int countStream(h2o_req_t* request, void*)
{
    // Streams without a method only stand for a priority.
    ownerOf(*request->conn)->http2Streams += request->input.method.len > 0 ? 1 : 0;
    return 0;
}

void ServerCore::countStreams()
{
    for (auto& connection : m_connections)
        connection->http2Streams = 0;
    m_configuration.http2.callbacks.foreach_request(&m_context, countStream, nullptr);
}

bool ServerCore::isReceivingStreams()
{
    countStreams();
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto& connection) {
        return connection->http2Streams > (connection->isHttp2 ? connection->openRequests : 0);
    });
}

void ServerCore::recountStreams()
{
    if (!m_options.allowsHttp2)
        return;
    countStreams();
    for (auto& connection : m_connections) {
        if (connection->http2Arrived == 0 || connection->http2Streams > connection->openRequests)
            continue;
        connection->http2Arrived = 0;
        countInput(*connection);
    }
}

// A second after it told HTTP/2 callers to go, h2o cuts the connections whose
// requests are still arriving. So these are waited for, as long as a slow
// sender is.
void ServerCore::announceShutdown()
{
    bool mustWait = isReceivingStreams() && m_loop.clock().now() < m_announceLimit;
    if (mustWait)
        m_announceTimer = m_loop.callAfter(announceInterval, [this] { announceShutdown(); });
    else
        h2o_context_request_shutdown(&m_context);
}

// Only an HTTP/2 connection is written to before it brought a request.
static bool isHttp1(const ServerConnection& connection)
{
    return connection.hadRequest ? !connection.isHttp2 : connection.socket->bytes_written == 0;
}

// HTTP/1 has no way to announce that a connection is about to close. A request
// that has begun to arrive lies in the input, or still with the kernel.
void ServerCore::closeIdleConnections()
{
    for (auto& connection : m_connections) {
        bool isIdle = connection->openRequests == 0 && connection->socket->input->size == 0 && !connection->guard.holdsInput();
        if (!isIdle || !isHttp1(*connection) || hasUnreadInput(connection->descriptor))
            continue;
        connection->isReadShut = true;
        shutdown(connection->descriptor, SHUT_RD);
    }
    m_idleCloseTimer = m_loop.callAfter(idleCloseDelay, [this] { closeIdleConnections(); });
}

void ServerCore::scheduleStallCheck()
{
    m_stallTimer = m_loop.callAfter(m_options.sendTimeout / stallChecks, [this] { closeStalledConnections(); });
}

// The kernel drops HTTP/1 callers that take nothing (TCP_USER_TIMEOUT), but an
// HTTP/2 caller can leave a stream's window shut and still acknowledge.
void ServerCore::closeStalledConnections()
{
    recountStreams();
    for (auto& connection : m_connections) {
        bool isMoving = connection->endedAnswers == 0 || connection->bytesAtCheck != connection->socket->bytes_written;
        connection->bytesAtCheck = connection->socket->bytes_written;
        connection->checksWithoutBytes = isMoving ? 0 : connection->checksWithoutBytes + 1;
        bool isStalled = connection->isHttp2 && connection->checksWithoutBytes >= stallChecks;
        if (isStalled)
            cut(*connection);
        // h2o begins to read anew when much that it had to write is out.
        else if (connection->guard.isHttp2())
            guardInput(*connection);
    }
    scheduleStallCheck();
}

void ServerCore::shutDown()
{
    m_isShutDown = true;
    m_loop.cancel(m_announceTimer);
    m_loop.cancel(m_idleCloseTimer);
    m_loop.cancel(m_stallTimer);
    m_loop.cancel(m_relieveTimer);
    m_loop.cancel(m_sampleTimer);
    m_handler = nullptr;
    for (auto& connection : m_connections)
        cut(*connection);
}

} // namespace catkinwing
