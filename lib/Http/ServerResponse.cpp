#include "ServerResponse.h"

#include "HeaderSyntax.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <memory>
#include <numeric>

namespace catkinwing {

static constexpr int statusTooManyRequests = 429;
static constexpr int statusUnavailable = 503;

namespace {

    class ResponderHandle final : public HttpResponder {
    public:
        explicit ResponderHandle(std::shared_ptr<ServerResponse> response)
            : m_response(std::move(response))
        {
        }
        ~ResponderHandle() override { m_response->abort(); }
        ResponderHandle(const ResponderHandle&) = delete;
        ResponderHandle& operator=(const ResponderHandle&) = delete;

        void sendHead(const HttpResponseHead& head) override { m_response->sendHead(head); }
        void write(std::string bytes) override { m_response->write(std::move(bytes)); }
        void finish() override { m_response->finish(); }
        void abort() override { m_response->abort(); }
        void send(const HttpResponseHead& head, std::string body) override
        {
            HttpResponseHead sized = head;
            sized.headers.set("content-length", std::to_string(body.size()));
            m_response->sendHead(sized);
            m_response->write(std::move(body));
            m_response->finish();
        }
        bool isOpen() const override { return m_response->isOpen(); }
        std::size_t pendingBytes() const override { return m_response->pendingBytes(); }
        void onWritable(std::function<void()> callback) override { m_response->onWritable(std::move(callback)); }
        void onClosed(std::function<void()> callback) override { m_response->onClosed(std::move(callback)); }

    private:
        std::shared_ptr<ServerResponse> m_response;
    };

} // namespace

ServerResponse::ServerResponse(h2o_req_t& request, ServerConnection* connection)
    : m_loop(connection->core->loop())
    , m_request(&request)
    , m_connection(connection)
    , m_generator { { proceed, [](h2o_generator_t*, h2o_req_t*) {} }, this }
    , m_held(connection->core->memory(), HeldFor::Answer)
    , m_heldStream(connection->core->memory(), HeldFor::Input)
{
    ++m_connection->openRequests;
}

std::shared_ptr<ServerResponse> ServerResponse::create(h2o_req_t& request, ServerConnection* connection)
{
    std::shared_ptr<ServerResponse> response(new ServerResponse(request, connection));
    void* owner = h2o_mem_alloc_shared(&request.pool, sizeof(response), disposeOwner);
    new (owner) std::shared_ptr<ServerResponse>(response);
    return response;
}

std::shared_ptr<HttpResponder> ServerResponse::makeHandle()
{
    return std::make_shared<ResponderHandle>(shared_from_this());
}

// The pool of a request is cleared when the request ends for whatever reason.
void ServerResponse::disposeOwner(void* owner)
{
    auto* response = static_cast<std::shared_ptr<ServerResponse>*>(owner);
    (*response)->didDispose();
    std::destroy_at(response);
}

// HTTP/2 connections are read at all times, so h2o itself notices there.
void ServerResponse::watchCaller()
{
    if (!isOpen() || m_request->version >= http2Version || m_connection->isReadShut)
        return;
    std::weak_ptr<ServerResponse> weak = weak_from_this();
    m_watchToken = m_connection->core->peerCloseWatcher().add(m_connection->descriptor, [weak] {
        if (auto response = weak.lock())
            response->didLoseCaller();
    });
}

void ServerResponse::unwatchCaller()
{
    if (m_watchToken)
        m_connection->core->peerCloseWatcher().remove(m_watchToken);
    m_watchToken = 0;
}

void ServerResponse::setPendingBytes(std::size_t bytes)
{
    m_connection->answerBytes += bytes;
    m_connection->answerBytes -= m_pendingBytes;
    m_pendingBytes = bytes;
    m_held.set(bytes);
}

void ServerResponse::holdStream(std::size_t bytes)
{
    m_connection->http2Held += bytes;
    m_heldStream.set(bytes);
}

void ServerResponse::closeAfterwards()
{
    if (m_request)
        m_request->http1_is_persistent = 0;
}

void ServerResponse::sendContinue()
{
    static constexpr absl::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!isOpen())
        return;
    m_connection->isInterimPending = true;
    m_connection->interimOf = weak_from_this();
    h2o_iovec_t bytes = h2o_iovec_init(interim.data(), interim.size());
    h2o_socket_write(m_connection->socket, &bytes, 1, [](h2o_socket_t* socket, const char*) {
        ServerConnection& connection = ServerCore::connectionOf(socket);
        connection.isInterimPending = false;
        if (auto response = connection.interimOf.lock())
            response->scheduleFlush();
    });
}

void ServerResponse::sendHead(const HttpResponseHead& head)
{
    if (!isOpen() || m_isStarted)
        return;
    m_isStarted = true;
    fillHead(head);
    scheduleFlush();
}

// The fields that frame the message are the server's.
static bool isFramingField(absl::string_view name)
{
    return name == "connection" || name == "transfer-encoding" || name == "keep-alive" || name == "date" || name == "server";
}

static AnswerTraits traitsOf(const h2o_req_t& request, bool hasLength)
{
    bool isForHead = h2o_memis(request.input.method.base, request.input.method.len, H2O_STRLIT("HEAD"));
    return { request.version, request.res.status, isForHead, hasLength };
}

void ServerResponse::fillHead(const HttpResponseHead& head)
{
    m_request->res.status = head.status;
    m_request->res.reason = reasonPhrase(head.status);
    for (const auto& field : head.headers.fields())
        addField(field);
    AnswerTraits traits = traitsOf(*m_request, m_bodyLeft.has_value());
    m_hasBody = hasBody(traits);
    m_framing = framingOf(traits);
    if (m_framing == AnswerFraming::Chunks)
        h2o_add_header(&m_request->pool, &m_request->res.headers, H2O_TOKEN_TRANSFER_ENCODING, nullptr, H2O_STRLIT("chunked"));
    // A client that pipelines would have its next request refused at once, too.
    bool isRefusal = head.status == statusTooManyRequests || head.status == statusUnavailable;
    bool endsConnection = m_framing == AnswerFraming::ConnectionEnd || (isRefusal && m_connection->guard.holdsInput());
    if (endsConnection)
        m_request->http1_is_persistent = 0;
}

void ServerResponse::addField(const HttpHeader& field)
{
    std::string name = absl::AsciiStrToLower(field.name);
    if (!isFieldName(name) || !isFieldValue(field.value) || isFramingField(name))
        return;
    if (name == "content-length") {
        std::size_t length = 0;
        if (!absl::SimpleAtoi(field.value, &length))
            return;
        m_bodyLeft = length;
        m_request->res.content_length = length;
        return;
    }
    h2o_iovec_t copiedName = h2o_strdup(&m_request->pool, name.data(), name.size());
    h2o_iovec_t copiedValue = h2o_strdup(&m_request->pool, field.value.data(), field.value.size());
    h2o_add_header_by_str(&m_request->pool, &m_request->res.headers, copiedName.base, copiedName.len, 1, nullptr,
        copiedValue.base, copiedValue.len);
}

// More bytes than announced would run into the next answer of the connection.
void ServerResponse::write(std::string bytes)
{
    if (!isOpen())
        return;
    if (!m_isStarted)
        return abort();
    if (bytes.empty() || !m_hasBody)
        return;
    if (m_bodyLeft) {
        if (bytes.size() > *m_bodyLeft)
            return abort();
        *m_bodyLeft -= bytes.size();
    }
    setPendingBytes(m_pendingBytes + bytes.size());
    m_connection->core->watchAnswers(*m_connection);
    m_queued.push_back(std::move(bytes));
    scheduleFlush();
}

void ServerResponse::finish()
{
    if (!isOpen())
        return;
    bool isShort = m_hasBody && m_bodyLeft && *m_bodyLeft > 0;
    if (!m_isStarted || isShort)
        return abort();
    end();
}

void ServerResponse::abort()
{
    if (!isOpen())
        return;
    m_isAborted = true;
    m_queued.clear();
    setPendingBytes(0);
    end();
}

void ServerResponse::end()
{
    m_isEnded = true;
    ++m_connection->endedAnswers;
    unwatchCaller();
    releaseCallbacks();
    scheduleFlush();
}

// The holder may be inside one of them.
void ServerResponse::releaseCallbacks()
{
    auto release = [onWritable = std::move(m_onWritable), onClosed = std::move(m_onClosed)] {};
    m_onWritable = nullptr;
    m_onClosed = nullptr;
    m_loop.defer(std::move(release));
}

void ServerResponse::onWritable(Callback callback)
{
    if (isOpen())
        m_onWritable = std::move(callback);
}

void ServerResponse::onClosed(Callback callback)
{
    if (isOpen())
        m_onClosed = std::move(callback);
}

// Sending at the end of the turn puts small writes together, and means that
// h2o, which may close the connection at once, is never called by the holder.
void ServerResponse::scheduleFlush()
{
    if (m_isFlushScheduled)
        return;
    m_isFlushScheduled = true;
    m_loop.defer([self = shared_from_this()] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void ServerResponse::flush()
{
    if (!m_request)
        return;
    if (m_connection->isInterimPending)
        return;
    if (m_isAborted)
        return cut();
    if (m_isSending || !m_isStarted)
        return;
    bool isHeadDue = !m_isHeadSent;
    bool hasNews = isHeadDue || m_isEnded || !m_queued.empty();
    if (!hasNews)
        return;
    if (isHeadDue)
        startResponse();
    if (m_queued.empty() && !m_isEnded)
        return sendHeadAlone();
    if (isEndDue())
        sendEnd();
    else
        sendQueued(H2O_SEND_STATE_IN_PROGRESS);
}

// h2o closes the connection after the end, which may only look orderly once the transport has all of the body.
bool ServerResponse::isEndDue() const
{
    return m_isEnded && (m_framing != AnswerFraming::ConnectionEnd || m_queued.empty());
}

void ServerResponse::sendEnd()
{
    if (m_framing == AnswerFraming::ConnectionEnd)
        ServerCore::setEndsBody(*m_connection, false);
    sendQueued(H2O_SEND_STATE_FINAL);
}

void ServerResponse::startResponse()
{
    m_isHeadSent = true;
    if (m_connection->core->isDraining())
        m_request->http1_is_persistent = 0;
    if (m_framing == AnswerFraming::ConnectionEnd)
        ServerCore::setEndsBody(*m_connection, true);
    int isPersistent = m_request->http1_is_persistent;
    h2o_start_response(m_request, &m_generator.base);
    // h2o itself writes chunks with status 200 only, and has any other body without a length end with the
    // connection.
    if (m_framing == AnswerFraming::Chunks)
        m_request->http1_is_persistent = isPersistent;
}

// h2o puts a head off until there are bytes of the body, unless the stream at
// the end of its chain of filters is given the empty piece itself.
void ServerResponse::sendHeadAlone()
{
    h2o_ostream_t* last = m_request->_ostr_top;
    while (last->next)
        last = last->next;
    h2o_iovec_t nothing = h2o_iovec_init(H2O_STRLIT(""));
    m_isSending = true;
    last->do_send(last, m_request, &nothing, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static std::size_t totalBytes(const std::vector<std::string>& pieces)
{
    return std::accumulate(pieces.begin(), pieces.end(), std::size_t { 0 }, [](std::size_t bytes, const std::string& piece) { return bytes + piece.size(); });
}

// h2o refers to the bytes until it proceeds or disposes of the request.
void ServerResponse::sendQueued(h2o_send_state_t state)
{
    static constexpr absl::string_view chunkEnd = "\r\n";
    static constexpr absl::string_view lastChunk = "0\r\n\r\n";
    m_sending.swap(m_queued);
    std::vector<h2o_iovec_t> buffers;
    auto append = [&buffers](absl::string_view bytes) { buffers.push_back(h2o_iovec_init(bytes.data(), bytes.size())); };
    bool isChunk = m_framing == AnswerFraming::Chunks && !m_sending.empty();
    if (isChunk) {
        m_chunkSizeLine = chunkSizeLine(totalBytes(m_sending));
        append(m_chunkSizeLine);
    }
    for (const auto& bytes : m_sending)
        append(bytes);
    if (isChunk)
        append(chunkEnd);
    if (m_framing == AnswerFraming::Chunks && state == H2O_SEND_STATE_FINAL)
        append(lastChunk);
    m_isSending = true;
    h2o_send(m_request, buffers.data(), buffers.size(), state);
}

// HTTP/1 has no way to say that an answer is cut but to end the connection. While h2o is sending it is told
// when that has failed.
void ServerResponse::cut()
{
    if (m_request->version < http2Version) {
        ServerCore::cut(*m_connection);
        m_request->http1_is_persistent = 0;
    }
    if (m_isSending)
        return;
    if (!m_isStarted)
        m_request->res.status = 500;
    if (!m_isHeadSent)
        startResponse();
    sendQueued(H2O_SEND_STATE_ERROR);
}

void ServerResponse::proceed(h2o_generator_t* generator, h2o_req_t*)
{
    reinterpret_cast<Generator*>(generator)->response->didProceed();
}

void ServerResponse::didProceed()
{
    auto self = shared_from_this();
    std::size_t taken = totalBytes(m_sending);
    m_sending.clear();
    m_isSending = false;
    setPendingBytes(m_pendingBytes - std::min(taken, m_pendingBytes));
    if (m_isEnded || !m_queued.empty())
        return flush();
    if (taken > 0 && m_onWritable) {
        // The holder may set another callback from inside this one.
        Callback onWritable = m_onWritable;
        onWritable();
    }
}

void ServerResponse::didLoseCaller()
{
    m_watchToken = 0;
    if (!isOpen())
        return;
    Callback onClosed = std::move(m_onClosed);
    abort();
    if (onClosed && !m_connection->core->isShutDown())
        onClosed();
}

void ServerResponse::didDispose()
{
    bool isCallerGone = isOpen();
    unwatchCaller();
    --m_connection->openRequests;
    m_connection->endedAnswers -= m_isEnded ? 1 : 0;
    m_connection->core->guardInputLater(*m_connection);
    bool isServerGone = m_connection->core->isShutDown();
    m_queued.clear();
    m_sending.clear();
    setPendingBytes(0);
    m_connection->http2Held -= m_heldStream.bytes();
    m_heldStream.set(0);
    m_request = nullptr;
    m_connection = nullptr;
    if (!isCallerGone)
        return;
    m_isEnded = true;
    if (m_onClosed && !isServerGone)
        m_loop.defer(std::move(m_onClosed));
    m_onClosed = nullptr;
    releaseCallbacks();
}

} // namespace catkinwing
