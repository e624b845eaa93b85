#include "ClientExchange.h"

#include "ResponseHeadGuard.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Longest time, after a body that ends with the connection, in which the server acknowledges nothing of
/// what is still on the way to it.
static constexpr milliseconds acknowledgementTimeout { 1'000 };
static constexpr milliseconds endCheckInterval { 5 };

ClientExchange::ClientExchange(std::shared_ptr<ClientCore> core, HttpClientRequest request, HttpClientCallbacks callbacks)
    : m_loop(core->loop())
    , m_core(std::move(core))
    , m_request(std::move(request))
    , m_callbacks(std::make_shared<HttpClientCallbacks>(std::move(callbacks)))
{
}

std::shared_ptr<HttpExchange> ClientExchange::start(std::shared_ptr<ClientCore> core, HttpClientRequest request,
    HttpClientCallbacks callbacks)
{
    std::shared_ptr<ClientExchange> exchange(
        new ClientExchange(std::move(core), std::move(request), std::move(callbacks)));
    exchange->m_self = exchange;
    exchange->m_core->addExchange(*exchange);
    if (isValidRequest(exchange->m_request))
        exchange->connect();
    else
        exchange->end(HttpEnd::Malformed, "the request is not valid HTTP");
    return exchange;
}

void ClientExchange::connect()
{
    auto bytes = toBytes(m_request.server);
    if (!bytes.ok())
        return end(HttpEnd::ConnectFailed, std::string(bytes.status().message()));
    std::string value = echoedValue();
    bool lacksValue = !m_request.echoedField.empty() && value.empty();
    m_connection = m_core->take(m_request.server, *bytes, m_request.freshConnection || lacksValue, value);
    // A copy of its response could be taken for the response to any later request.
    if (lacksValue)
        m_connection->spoil();
    if (m_request.method == "HEAD")
        m_connection->addHeadRequest();
    if (!value.empty()) {
        m_connection->addCarried(value);
        m_filter.emplace(m_request.echoedField, value, !m_connection->hasCarriedHead());
    }
    m_use = m_connection->use();
    enter(Phase::Connecting, m_request.connectTimeout);
    h2o_http1client_connect_with_pool(&m_client, this, m_core->context(), m_connection->pool(), onConnect);
}

std::string ClientExchange::echoedValue() const
{
    std::string value;
    for (const HttpHeader& field : m_request.headers.fields()) {
        if (m_request.echoedField.empty() || !absl::EqualsIgnoreCase(field.name, m_request.echoedField))
            continue;
        absl::string_view stated = absl::StripAsciiWhitespace(field.value);
        if (!value.empty() && stated != value)
            return {};
        value = std::string(stated);
    }
    return value;
}

// h2o frees its client once a callback returns null or an error was told, so
// the callbacks below forget it first.
h2o_http1client_head_cb ClientExchange::onConnect(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers,
    std::size_t* count, int* isHead)
{
    auto self = static_cast<ClientExchange*>(client->data)->shared_from_this();
    if (error) {
        self->didFailToConnect(*client, error);
        return nullptr;
    }
    *isHead = self->m_request.method == "HEAD";
    self->didConnect(*client, buffers, count);
    return onHead;
}

void ClientExchange::didFailToConnect(h2o_http1client_t& client, const char* error)
{
    bool isHandshake = client.sock != nullptr;
    if (isHandshake)
        m_connection->expectLateClose();
    m_client = nullptr;
    end(HttpEnd::ConnectFailed, error);
}

void ClientExchange::didConnect(h2o_http1client_t& client, h2o_iovec_t** buffers, std::size_t* count)
{
    m_connection->setSocket(client.sock);
    if (client.sock->ssl)
        m_connection->expectLateClose();
    m_mayHaveReachedServer = true;
    m_head = makeRequestHead(m_request);
    m_buffers[0] = h2o_iovec_init(m_head.data(), m_head.size());
    m_buffers[1] = h2o_iovec_init(m_request.body.data(), m_request.body.size());
    *buffers = m_buffers.data();
    *count = m_request.body.empty() ? 1 : 2;
    enter(Phase::AwaitingHead, m_request.headTimeout);
    m_loop.impl().retire([self = shared_from_this()] { return self->guardHead(); });
}

// h2o begins to read in the turn in which the last of the request went out, and
// gets the first bytes in the next one at the earliest; this runs in between.
bool ClientExchange::guardHead()
{
    if (m_phase != Phase::AwaitingHead || !m_client)
        return true;
    h2o_socket_t* socket = m_client->sock;
    if (h2o_socket_is_writing(socket) || !h2o_socket_is_reading(socket))
        return false;
    m_headReader = socket->_cb.read;
    socket->_cb.read = onHeadInput;
    return true;
}

void ClientExchange::onHeadInput(h2o_socket_t* socket, const char* error)
{
    auto* client = static_cast<h2o_http1client_t*>(socket->data);
    auto self = static_cast<ClientExchange*>(client->data)->shared_from_this();
    if (error)
        self->m_headReader(socket, error);
    else
        self->readHead(*socket);
}

// What is passed over is taken out of the input before h2o sees it, which would end its client with
// the first response and discard the next one.
void ClientExchange::readHead(h2o_socket_t& socket)
{
    using Verdict = ForeignResponseFilter::Verdict;
    Verdict verdict = Verdict::Pass;
    m_headBytes += socket.bytes_read;
    if (m_filter) {
        std::size_t passedOver = 0;
        verdict = m_filter->read({ socket.input->bytes, socket.input->size }, passedOver);
        h2o_buffer_consume(&socket.input, passedOver);
        m_headBytes -= std::min(m_headBytes, passedOver);
        if (m_filter->responses() > 0)
            m_connection->spoil();
    }
    if (verdict == Verdict::Unreadable)
        return failHead("answer of another request");
    if (verdict == Verdict::NeedsInput)
        return;
    if (const char* fault = responseHeadFault({ socket.input->bytes, socket.input->size }))
        return failHead(fault);
    m_headReader(&socket, nullptr);
    guardUnframedEnd();
    // h2o drops interim responses as they come, so that the input alone doesn't show how many came.
    bool isAwaiting = m_phase == Phase::AwaitingHead && m_client;
    if (isAwaiting && m_headBytes > maxResponseHeadBytes)
        failHead("interim responses too long");
}

void ClientExchange::guardUnframedEnd()
{
    bool isUnframed = m_phase == Phase::InBody && m_client && m_framing == BodyFraming::UntilClose;
    if (!isUnframed || !h2o_socket_is_reading(m_client->sock))
        return;
    m_bodyReader = m_client->sock->_cb.read;
    m_client->sock->_cb.read = onUnframedBodyInput;
}

void ClientExchange::onUnframedBodyInput(h2o_socket_t* socket, const char* error)
{
    auto* client = static_cast<h2o_http1client_t*>(socket->data);
    auto self = static_cast<ClientExchange*>(client->data)->shared_from_this();
    if (!error) {
        self->m_bodyReader(socket, nullptr);
        return;
    }
    self->stopReading();
    self->m_unframedEnd = error;
    self->m_unacknowledgedBytes = self->m_connection->unacknowledgedBytes();
    self->m_lastActivity = self->m_loop.clock().now();
    self->settleUnframedEnd();
}

// A process that ends closes its connections in an orderly way if it had read all that had arrived by
// then. What arrives later is answered by a reset, which alone tells such an end from a whole body, and
// which a server that is cut off can't send.
void ClientExchange::settleUnframedEnd()
{
    auto self = shared_from_this();
    TimePoint now = m_loop.clock().now();
    std::size_t unacknowledgedBytes = m_connection->wasReset() ? 0 : m_connection->unacknowledgedBytes();
    if (unacknowledgedBytes == 0) {
        m_bodyReader(m_client->sock, m_unframedEnd);
        return;
    }
    if (unacknowledgedBytes != m_unacknowledgedBytes)
        m_lastActivity = now;
    m_unacknowledgedBytes = unacknowledgedBytes;
    if (now - m_lastActivity < acknowledgementTimeout) {
        m_timer = m_loop.callAfter(endCheckInterval, [this] { settleUnframedEnd(); });
        return;
    }
    m_connection->spoil();
    dropClient();
    end(HttpEnd::Truncated, "request not acknowledged");
}

void ClientExchange::failHead(const char* fault)
{
    m_connection->spoil();
    dropClient();
    end(HttpEnd::Malformed, fault);
}

h2o_http1client_body_cb ClientExchange::onHead(h2o_http1client_t* client, const char* error, int, int status, h2o_iovec_t,
    h2o_header_t* fields, std::size_t fieldCount, int headLength)
{
    auto self = static_cast<ClientExchange*>(client->data)->shared_from_this();
    bool hasNoBody = error == h2o_http1client_error_is_eos;
    if (error && !hasNoBody) {
        self->m_client = nullptr;
        bool isCut = absl::StartsWith(error, "I/O error");
        self->end(isCut ? HttpEnd::NoResponse : HttpEnd::Malformed, error);
        return nullptr;
    }
    // h2o would throw away what follows such a response and keep the connection.
    bool hasLeftOver = client->sock->input->size > static_cast<std::size_t>(headLength);
    if (hasNoBody && hasLeftOver)
        self->m_connection->spoil();
    self->m_isInClient = true;
    bool isWanted = self->didGetHead(*client, status, fields, fieldCount);
    self->m_isInClient = false;
    if (isWanted && !hasNoBody)
        return onBody;
    self->m_client = nullptr;
    if (isWanted)
        self->end(HttpEnd::Complete, {});
    return nullptr;
}

static bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

// Responses with another value have been passed over.
bool ClientExchange::bearsEchoedField(const HttpResponseHead& head) const
{
    return m_filter && head.headers.find(m_request.echoedField);
}

// A server may send a failure once more where the next response is due, at any time as long as the
// connection lasts. Where nothing tells the two apart, a request that runs would be taken as refused.
bool ClientExchange::didGetHead(h2o_http1client_t&, int status, const h2o_header_t* fields, std::size_t fieldCount)
{
    HttpResponseHead head = makeResponseHead(status, fields, fieldCount);
    if (const char* fault = framingFault(head)) {
        m_connection->spoil();
        end(HttpEnd::Malformed, fault);
        return false;
    }
    if (!isSuccess(status) && !bearsEchoedField(head))
        m_connection->spoil();
    m_framing = framingOf(head);
    enter(Phase::InBody, m_request.idleTimeout);
    auto callbacks = m_callbacks;
    if (callbacks->onHead)
        callbacks->onHead(head);
    return !m_isOver;
}

int ClientExchange::onBody(h2o_http1client_t* client, const char* error)
{
    auto self = static_cast<ClientExchange*>(client->data)->shared_from_this();
    self->m_isInClient = true;
    bool goesOn = self->didGetBody(*client, error);
    self->m_isInClient = false;
    if (goesOn)
        return 0;
    self->m_client = nullptr;
    return -1;
}

// h2o takes a chunked body as complete if the connection ends between two
// chunks, when nothing was read, and one that ends with the connection also if
// that was reset.
const char* ClientExchange::bodyFault(const h2o_http1client_t& client, const char* error) const
{
    if (!error)
        return nullptr;
    if (error != h2o_http1client_error_is_eos)
        return error;
    if (m_framing == BodyFraming::Chunked && client.sock->bytes_read == 0)
        return "no last chunk";
    if (m_framing == BodyFraming::UntilClose && m_connection->wasReset())
        return "connection reset";
    if (m_framing == BodyFraming::UntilClose && !m_core->acceptsUnframedBodies())
        return "neither a length nor chunks";
    return nullptr;
}

bool ClientExchange::didGetBody(h2o_http1client_t& client, const char* error)
{
    const char* fault = bodyFault(client, error);
    m_lastActivity = m_loop.clock().now();
    h2o_buffer_t* input = client.sock->input;
    if (!fault && input->size > 0)
        passOnBody({ input->bytes, input->size });
    h2o_buffer_consume(&client.sock->input, client.sock->input->size);
    if (m_isOver)
        return false;
    if (fault)
        end(absl::StartsWith(fault, "failed to parse") ? HttpEnd::Malformed : HttpEnd::Truncated, fault);
    else if (error)
        end(HttpEnd::Complete, {});
    else if (m_isPaused)
        stopReading();
    return !error;
}

void ClientExchange::passOnBody(absl::string_view bytes)
{
    if (m_isPaused || !m_held.empty()) {
        m_held.append(bytes.data(), bytes.size());
        return;
    }
    auto callbacks = m_callbacks;
    if (callbacks->onBody)
        callbacks->onBody(bytes);
}

void ClientExchange::deliver()
{
    if (m_isPaused || m_isOver)
        return;
    if (!m_held.empty()) {
        std::string bytes = std::exchange(m_held, {});
        passOnBody(bytes);
    }
    if (m_isPaused || m_isOver)
        return;
    if (m_phase == Phase::Ended)
        deliverEnd();
    else
        continueReading();
}

void ClientExchange::deliverEnd()
{
    auto callbacks = m_callbacks;
    release();
    if (callbacks->onEnd)
        callbacks->onEnd(m_result);
}

void ClientExchange::cancel()
{
    if (m_isOver)
        return;
    auto self = shared_from_this();
    m_phase = Phase::Ended;
    if (m_connection)
        m_connection->spoil();
    dropClient();
    m_loop.impl().defer([self] { self->m_connection.reset(); });
    release();
}

void ClientExchange::release()
{
    m_isOver = true;
    m_held.clear();
    m_callbacks.reset();
    m_core->removeExchange(*this);
    m_core.reset();
    m_self.reset();
}

void ClientExchange::pause()
{
    if (m_isPaused || m_isOver)
        return;
    m_isPaused = true;
    if (m_phase == Phase::InBody && m_client)
        stopReading();
}

void ClientExchange::resume()
{
    if (!m_isPaused || m_isOver)
        return;
    m_isPaused = false;
    m_loop.impl().defer([self = shared_from_this()] { self->deliver(); });
}

// The reader is h2o's own, and there is no call by which it pauses. While
// paused, silence is ours and not the server's.
void ClientExchange::stopReading()
{
    if (m_unframedEnd)
        return;
    m_loop.cancel(m_timer);
    if (!m_client || !h2o_socket_is_reading(m_client->sock))
        return;
    m_pausedReader = m_client->sock->_cb.read;
    h2o_socket_read_stop(m_client->sock);
}

void ClientExchange::continueReading()
{
    if (!m_client || m_phase != Phase::InBody || m_unframedEnd)
        return;
    enter(Phase::InBody, m_request.idleTimeout);
    if (m_pausedReader)
        h2o_socket_read_start(m_client->sock, m_pausedReader);
    m_pausedReader = nullptr;
}

void ClientExchange::enter(Phase phase, milliseconds timeout)
{
    m_phase = phase;
    m_lastActivity = m_loop.clock().now();
    m_loop.cancel(m_timer);
    m_timer = m_loop.callAfter(timeout, [this] { didTimeOut(); });
}

static const char* timeoutName(bool isConnecting, bool isInBody)
{
    if (isConnecting)
        return "connect timeout";
    return isInBody ? "idle timeout" : "head timeout";
}

void ClientExchange::didTimeOut()
{
    auto self = shared_from_this();
    bool isInBody = m_phase == Phase::InBody;
    if (isInBody && m_isPaused)
        return;
    Duration left = m_lastActivity + m_request.idleTimeout - m_loop.clock().now();
    if (isInBody && left > Duration::zero()) {
        m_timer = m_loop.callAfter(left, [this] { didTimeOut(); });
        return;
    }
    std::string name = timeoutName(m_phase == Phase::Connecting, isInBody);
    m_connection->spoil();
    dropClient();
    end(HttpEnd::TimedOut, std::move(name));
}

void ClientExchange::end(HttpEnd end, std::string detail)
{
    m_phase = Phase::Ended;
    m_result = { end, m_mayHaveReachedServer, std::move(detail) };
    m_result.passedOverResponses = m_filter ? m_filter->responses() : 0;
    m_loop.cancel(m_timer);
    m_loop.impl().defer([self = shared_from_this()] { self->settle(); });
}

// Inside its own callbacks h2o closes by the value they return. The kernel would go on
// sending what is left of a request after an orderly close, also when a broken link heals
// seconds later.
void ClientExchange::dropClient()
{
    m_loop.cancel(m_timer);
    if (!m_client)
        return;
    bool isTls = m_client->sock && m_client->sock->ssl;
    if (isTls)
        m_connection->expectLateClose();
    if (m_mayHaveReachedServer)
        m_connection->resetOnClose();
    if (!m_isInClient)
        h2o_http1client_cancel(m_client);
    m_client = nullptr;
}

void ClientExchange::settle()
{
    if (m_core && m_connection)
        m_core->giveBack(m_request.server, std::move(m_connection));
    m_connection.reset();
    deliver();
}

} // namespace catkinwing
