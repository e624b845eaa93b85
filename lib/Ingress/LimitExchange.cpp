#include "catkinwing/Ingress/LimitExchange.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Entries of a region are a few milliseconds apart. A longer wait would delay the refusal
/// of a request that nothing has room for.
static constexpr milliseconds replyTimeout { 40 };
/// Number of entries that are asked for one request.
static constexpr unsigned maxAsks = 2;
/// An entry that didn't answer isn't asked for this time.
static constexpr milliseconds silenceTime { 500 };
/// Bounds of the time for which an entry that had nothing to grant isn't asked again.
static constexpr milliseconds minEmptyTime { 10 };
static constexpr milliseconds maxEmptyTime { 500 };
/// Interval in ticks at which all limits are told to random entries, for those that started
/// later or lost a datagram, and the number of these entries.
static constexpr std::uint64_t gossipTicks = 5;
static constexpr std::size_t gossipFanout = 2;
/// Number of ticks, from the first on at which other entries are known, at which an entry
/// that has started asks some of them for all limits.
static constexpr unsigned inquiriesAtStart = 3;
/// Added to the age of a statement, so that one that returns to its sender isn't later than
/// what the sender knows.
static constexpr milliseconds transitAllowance { 20 };

LimitExchange::LimitExchange(EndpointTable& endpoints, const EntryTable& entries, EntryRecord self, Scheduler& scheduler, Random& random, Send send)
    : m_endpoints(endpoints)
    , m_entries(entries)
    , m_self(std::move(self))
    , m_scheduler(scheduler)
    , m_random(random)
    , m_send(std::move(send))
    , m_remainingInquiries(inquiriesAtStart)
    , m_lastId(static_cast<std::uint32_t>(random.bits()))
{
}

LimitExchange::~LimitExchange()
{
    for (const auto& [id, pending] : m_pendingAsks)
        m_scheduler.cancel(pending.timer);
}

milliseconds LimitExchange::ageOf(TimePoint at) const
{
    return std::chrono::ceil<milliseconds>(now() - at) + transitAllowance;
}

LimitRow LimitExchange::rowOf(const RoutedEndpoint& endpoint) const
{
    return { endpoint.hash, endpoint.limit.named.perSecond, ageOf(endpoint.limit.named.confirmedAt) };
}

std::vector<LimitRow> LimitExchange::rowsOf(const std::vector<std::shared_ptr<RoutedEndpoint>>& endpoints) const
{
    std::vector<LimitRow> rows;
    rows.reserve(endpoints.size());
    for (const auto& endpoint : endpoints)
        rows.push_back(rowOf(*endpoint));
    return rows;
}

void LimitExchange::sendRows(LimitMessageKind kind, const std::vector<LimitRow>& rows, const std::vector<SocketAddress>& to)
{
    for (std::size_t first = 0; first < rows.size(); first += maxLimitRows) {
        std::size_t last = std::min(first + maxLimitRows, rows.size());
        LimitMessage message;
        message.kind = kind;
        message.rows.assign(rows.begin() + static_cast<std::ptrdiff_t>(first), rows.begin() + static_cast<std::ptrdiff_t>(last));
        std::string bytes = encodeLimitMessage(message);
        for (const SocketAddress& peer : to)
            m_send({ peer, bytes });
    }
}

std::vector<SocketAddress> LimitExchange::randomPeers()
{
    std::vector<SocketAddress> peers = m_entries.peerAddresses(m_self.region);
    std::size_t count = std::min(gossipFanout, peers.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(peers[i], peers[i + m_random.below(peers.size() - i)]);
    peers.resize(count);
    return peers;
}

// Changes are told to all entries at once, since each of them may send to the endpoint. So
// are answers that may end or raise a limit: few requests are sent to the endpoint, so that no
// entry receives many of its answers.
void LimitExchange::tick()
{
    ++m_ticks;
    EndpointLimits& limits = m_endpoints.limits();
    std::vector<LimitRow> changed = rowsOf(limits.takeChanged(now()));
    std::vector<LimitRow> raised;
    for (const auto& endpoint : limits.takeRaised())
        raised.push_back({ endpoint->hash, endpoint->limit.named.raisedTo, ageOf(endpoint->limit.named.raisedAt) });
    if (!changed.empty())
        sendRows(LimitMessageKind::Statement, changed, m_entries.peerAddresses(m_self.region));
    if (!raised.empty())
        sendRows(LimitMessageKind::Raise, raised, m_entries.peerAddresses(m_self.region));
    if (m_remainingInquiries > 0)
        sendInquiry();
    if (m_ticks % gossipTicks != 0)
        return;
    sendKnown(randomPeers());
    for (auto it = m_emptyUntil.begin(); it != m_emptyUntil.end();)
        it = now() >= it->second ? m_emptyUntil.erase(it) : std::next(it);
}

// An entry that has just started would send requests to endpoints until their answers name
// the limits.
void LimitExchange::sendInquiry()
{
    std::vector<SocketAddress> peers = randomPeers();
    if (peers.empty())
        return;
    --m_remainingInquiries;
    LimitMessage inquiry;
    inquiry.kind = LimitMessageKind::Inquiry;
    std::string bytes = encodeLimitMessage(inquiry);
    for (const SocketAddress& peer : peers)
        m_send({ peer, bytes });
}

void LimitExchange::sendKnown(const std::vector<SocketAddress>& to)
{
    std::vector<LimitRow> known = rowsOf(m_endpoints.limits().known(now()));
    sendRows(LimitMessageKind::Statement, known, to);
}

bool LimitExchange::ask(const std::string& service, std::function<void()> done)
{
    PendingAsk pending;
    pending.service = service;
    pending.done = std::move(done);
    return sendAsk(std::move(pending));
}

// Asks the holder of a share in a random endpoint, and for all endpoints of which it holds
// a share.
bool LimitExchange::sendAsk(PendingAsk pending)
{
    std::vector<std::shared_ptr<RoutedEndpoint>> endpoints = m_endpoints.endpointsWithoutRequest(pending.service, now());
    std::vector<std::string> holders;
    for (const auto& endpoint : endpoints) {
        for (const std::string& holder : endpoint->limit.otherHolders) {
            auto empty = m_emptyUntil.find({ holder, pending.service });
            if (empty == m_emptyUntil.end() || now() >= empty->second)
                holders.push_back(holder);
        }
    }
    if (holders.empty())
        return false;
    pending.holder = holders[m_random.below(holders.size())];
    absl::StatusOr<SocketAddress> address = parseSocketAddress(pending.holder);
    if (!address.ok())
        return false;
    LimitMessage message;
    message.kind = LimitMessageKind::Ask;
    message.id = ++m_lastId;
    for (const auto& endpoint : endpoints) {
        const std::vector<std::string>& others = endpoint->limit.otherHolders;
        if (message.rows.size() < maxLimitRows && std::find(others.begin(), others.end(), pending.holder) != others.end())
            message.rows.push_back({ endpoint->hash, std::nullopt, milliseconds(0) });
    }
    ++pending.asks;
    pending.timer = m_scheduler.callAfter(replyTimeout, [this, id = message.id] {
        auto found = m_pendingAsks.find(id);
        PendingAsk unanswered = std::move(found->second);
        m_pendingAsks.erase(found);
        m_emptyUntil[{ unanswered.holder, unanswered.service }] = now() + silenceTime;
        continueAsk(std::move(unanswered));
    });
    m_pendingAsks.emplace(message.id, std::move(pending));
    ++m_totals.asked;
    m_send({ *address, encodeLimitMessage(message) });
    return true;
}

void LimitExchange::continueAsk(PendingAsk pending)
{
    std::function<void()> done = pending.done;
    if (pending.asks >= maxAsks || !sendAsk(std::move(pending)))
        done();
}

// A grant that arrives after its ask has timed out may still serve another request.
void LimitExchange::handleReply(const LimitMessage& reply)
{
    for (const LimitRow& row : reply.rows) {
        std::shared_ptr<RoutedEndpoint> endpoint = m_endpoints.findByHash(row.endpoint);
        if (!endpoint)
            continue;
        EndpointLimits::addGrant(endpoint->limit, now());
        ++m_totals.obtained;
    }
    auto found = m_pendingAsks.find(reply.id);
    if (found == m_pendingAsks.end())
        return;
    PendingAsk pending = std::move(found->second);
    m_pendingAsks.erase(found);
    m_scheduler.cancel(pending.timer);
    if (!reply.rows.empty()) {
        pending.done();
        return;
    }
    m_emptyUntil[{ pending.holder, pending.service }] = now() + std::clamp(reply.retryAfter, minEmptyTime, maxEmptyTime);
    continueAsk(std::move(pending));
}

void LimitExchange::answerAsk(const SocketAddress& from, const LimitMessage& ask)
{
    LimitMessage reply;
    reply.kind = LimitMessageKind::Reply;
    reply.id = ask.id;
    Duration soonest = maxEmptyTime;
    std::size_t first = ask.rows.empty() ? 0 : m_random.below(ask.rows.size());
    for (std::size_t i = 0; i < ask.rows.size() && reply.rows.empty(); ++i) {
        const LimitRow& row = ask.rows[(first + i) % ask.rows.size()];
        std::shared_ptr<RoutedEndpoint> endpoint = m_endpoints.findByHash(row.endpoint);
        if (!endpoint)
            continue;
        if (EndpointLimits::tryGrant(endpoint->limit, now()))
            reply.rows.push_back({ row.endpoint, std::nullopt, milliseconds(0) });
        else
            soonest = std::min(soonest, EndpointLimits::timeToRequest(endpoint->limit, now()));
    }
    m_totals.granted += reply.rows.size();
    reply.retryAfter = std::chrono::ceil<milliseconds>(soonest);
    m_send({ from, encodeLimitMessage(reply) });
}

void LimitExchange::mergeStatements(const LimitMessage& message)
{
    for (const LimitRow& row : message.rows) {
        if (std::shared_ptr<RoutedEndpoint> endpoint = m_endpoints.findByHash(row.endpoint))
            m_endpoints.limits().merge(endpoint, { row.perSecond, now() - row.age }, now());
    }
}

void LimitExchange::mergeRaises(const SocketAddress& from, const LimitMessage& message)
{
    std::vector<LimitRow> later;
    for (const LimitRow& row : message.rows) {
        std::shared_ptr<RoutedEndpoint> endpoint = m_endpoints.findByHash(row.endpoint);
        if (!endpoint)
            continue;
        if (now() - row.age > endpoint->limit.named.confirmedAt)
            m_endpoints.limits().mergeAnswer(endpoint, { row.perSecond, now() - row.age }, now());
        else
            later.push_back(rowOf(*endpoint));
    }
    sendRows(LimitMessageKind::Statement, later, { from });
}

void LimitExchange::handleMessage(const SocketAddress& from, const LimitMessage& message)
{
    std::vector<SocketAddress> peers = m_entries.peerAddresses(m_self.region);
    if (std::find(peers.begin(), peers.end(), from) == peers.end())
        return;
    switch (message.kind) {
    case LimitMessageKind::Statement:
        mergeStatements(message);
        return;
    case LimitMessageKind::Raise:
        mergeRaises(from, message);
        return;
    case LimitMessageKind::Inquiry:
        sendKnown({ from });
        return;
    case LimitMessageKind::Ask:
        answerAsk(from, message);
        return;
    case LimitMessageKind::Reply:
        handleReply(message);
        return;
    }
}

} // namespace catkinwing
