#include "BodyReception.h"

#include "ServerResponse.h"
#include <algorithm>

namespace catkinwing {

using namespace std::chrono_literals;

static constexpr int statusBadRequest = 400;
static constexpr int statusRequestTimeout = 408;
static constexpr int statusTooLarge = 413;
static constexpr int statusUnavailable = 503;
/// The rest of a refused body is read past until nothing has come for this time.
static constexpr Duration lingerPause = 1s;
static constexpr Duration maxLingerTime = 8s;
/// First buffer of a body whose length isn't announced.
static constexpr std::size_t minBufferBytes = 4u << 10;

BodyReception::BodyReception(ServerConnection& connection, HttpRequest request, std::shared_ptr<ServerResponse> response)
    : m_connection(connection)
    , m_core(*connection.core)
    , m_request(std::move(request))
    , m_response(std::move(response))
    , m_responder(m_response->makeHandle())
    , m_held(std::make_shared<HeldBytes>(m_core.memory(), HeldFor::Body))
    , m_heldForAttempt(std::make_shared<HeldBytes>(m_core.memory(), HeldFor::Attempt))
    , m_maxBytes(m_core.options().maxBodyBytes)
    , m_begunAt(m_core.now())
    , m_movedAt(m_begunAt)
{
}

BodyReception::~BodyReception()
{
    m_core.cancel(m_timer);
}

void BodyReception::begin(ServerConnection& connection, HttpRequest request, std::shared_ptr<ServerResponse> response)
{
    auto self = std::make_shared<BodyReception>(connection, std::move(request), std::move(response));
    connection.reception = self;
    connection.checkedInput = connection.socket->input->size;
    self->m_timer = self->m_core.callAfter(self->m_core.options().requestTimeout, [weak = self->weak_from_this()] {
        if (auto held = weak.lock())
            held->refuse(statusRequestTimeout);
    });
    const RequestBodyFraming& framing = connection.guard.body();
    if (framing.length > self->m_maxBytes)
        self->refuse(statusTooLarge);
    else if (!framing.isChunked && !self->reserve(static_cast<std::size_t>(framing.length)))
        self->refuse(statusUnavailable);
    bool isWaitedFor = framing.expectsContinue && !self->m_isRefused && !connection.guard.holdsInput();
    if (isWaitedFor)
        self->m_response->sendContinue();
    self->advance({});
    if (connection.reception == self)
        self->startReading();
}

// The copy that an attempt will make has to have room, too, so that no body that has arrived whole
// has to be refused.
bool BodyReception::reserve(std::size_t bytes)
{
    std::size_t added = bytes - std::min(m_body.capacity(), bytes);
    if (bytes > smallBodyBytes && !m_core.makeRoom(2 * added, m_connection))
        return false;
    m_body.reserve(bytes);
    m_held->set(m_body.capacity());
    m_heldForAttempt->set(m_body.capacity());
    return true;
}

std::size_t BodyReception::take(absl::string_view data)
{
    if (m_isRefused) {
        m_passedOver += data.size();
        return data.size();
    }
    std::size_t needed = m_body.size() + data.size();
    if (needed > m_maxBytes) {
        refuse(statusTooLarge);
        return data.size();
    }
    std::size_t larger = std::max({ needed, minBufferBytes, std::min(2 * m_body.capacity(), m_maxBytes) });
    if (needed > m_body.capacity() && !reserve(larger)) {
        refuse(statusUnavailable);
        return data.size();
    }
    m_body.append(data.data(), data.size());
    m_received += data.size();
    return data.size();
}

void BodyReception::advance(absl::string_view newBytes)
{
    RequestGuard& guard = m_connection.guard;
    guard.readBody(newBytes, [this](absl::string_view data) { return take(data); });
    if (guard.fault() != FramingFault::None)
        return refuseFraming();
    if (!guard.isInBody())
        return complete();
    if (m_passedOver > m_maxBytes)
        closeRefused();
}

void BodyReception::startReading()
{
    h2o_socket_read_start(m_connection.socket, onInput);
}

void BodyReception::onInput(h2o_socket_t* socket, const char* error)
{
    auto connection = ServerCore::connectionOf(socket).shared_from_this();
    auto self = connection->reception;
    if (self)
        self->receive(error);
}

// Small bodies don't wait behind large ones.
bool BodyReception::mustWait()
{
    InputBudget& budget = m_core.loop().inputBudget;
    bool isResumed = std::exchange(m_isResumed, false);
    bool isLarge = m_read >= smallBodyBytes;
    if (!isLarge || isResumed || m_connection.socket->ssl || !budget.isSpent())
        return false;
    h2o_socket_read_stop(m_connection.socket);
    budget.wait([weak = weak_from_this()] {
        auto held = weak.lock();
        if (!held || held->m_connection.reception != held)
            return;
        held->m_isResumed = true;
        held->startReading();
    });
    m_core.loop().renewInputBudgetLater();
    return true;
}

void BodyReception::receive(const char* error)
{
    if (!error && mustWait())
        return;
    absl::string_view bytes;
    if (!error)
        error = m_core.receive(m_connection, bytes);
    if (error) {
        stop();
        m_responder->abort();
        return;
    }
    if (bytes.empty())
        return;
    m_movedAt = m_core.now();
    m_read += bytes.size();
    m_core.loop().inputBudget.spend(bytes.size());
    m_core.loop().renewInputBudgetLater();
    auto self = shared_from_this();
    advance(bytes);
    m_core.countInput(m_connection);
}

// h2o reads on only when the answer has been sent.
void BodyReception::stop()
{
    m_core.cancel(m_timer);
    h2o_socket_read_stop(m_connection.socket);
    m_connection.reception = nullptr;
}

void BodyReception::complete()
{
    auto self = shared_from_this();
    stop();
    if (m_isRefused)
        return m_responder->finish();
    bool isWasteful = m_body.capacity() > m_body.size() + m_body.size() / 4 + minBufferBytes;
    if (isWasteful)
        m_body.shrink_to_fit();
    m_held->set(m_body.capacity());
    m_heldForAttempt->set(m_body.capacity());
    m_request.body = std::move(m_body);
    m_request.held = { m_held, m_heldForAttempt };
    m_core.dispatch(std::move(m_request), m_response, std::move(m_responder));
}

void BodyReception::refuseFraming()
{
    auto self = shared_from_this();
    stop();
    m_connection.guard.dropInput();
    m_core.reportRefusal(m_connection, m_connection.guard.fault());
    if (m_isRefused)
        return m_responder->finish();
    m_response->closeAfterwards();
    m_responder->send({ statusBadRequest, { { "content-type", "text/plain; charset=utf-8" } } }, "The end of the request is in doubt.");
}

static std::uint64_t& counterOf(MemoryRefusals& refusals, int status)
{
    switch (status) {
    case statusTooLarge:
        return refusals.tooLarge;
    case statusRequestTimeout:
        return refusals.timedOut;
    default:
        return refusals.noRoom;
    }
}

void BodyReception::refuse(int status)
{
    if (m_isRefused)
        return;
    m_isRefused = true;
    std::string().swap(m_body);
    m_held->set(0);
    m_heldForAttempt->set(0);
    ++counterOf(m_core.memory()->refusals(), status);
    HttpRefusal refusal = m_core.refusal(status);
    refusal.head.headers.set("content-length", std::to_string(refusal.body.size()));
    m_response->closeAfterwards();
    m_responder->sendHead(refusal.head);
    m_responder->write(std::move(refusal.body));
    m_movedAt = m_core.now();
    // A client that was late already isn't waited for again.
    m_lingerEnd = m_movedAt + (status == statusRequestTimeout ? lingerPause : maxLingerTime);
    linger();
}

// A client on a slow link, which reads the answer only when it has sent its body, gets to know that
// the request hasn't run.
void BodyReception::linger()
{
    m_core.cancel(m_timer);
    m_timer = m_core.callAfter(lingerPause, [weak = weak_from_this()] {
        auto held = weak.lock();
        if (!held)
            return;
        TimePoint now = held->m_core.now();
        bool isMoving = now - held->m_movedAt < lingerPause && now < held->m_lingerEnd;
        if (isMoving)
            held->linger();
        else
            held->closeRefused();
    });
}

void BodyReception::closeRefused()
{
    auto self = shared_from_this();
    stop();
    m_responder->finish();
}

ConnectionLoad BodyReception::load() const
{
    ConnectionLoad load;
    load.bytes = m_held->bytes() + m_heldForAttempt->bytes();
    load.moved = m_received;
    load.age = m_core.now() - m_begunAt;
    load.idleFor = m_core.now() - m_movedAt;
    return load;
}

} // namespace catkinwing
