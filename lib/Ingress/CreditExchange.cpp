#include "catkinwing/Ingress/CreditExchange.h"

#include "catkinwing/Support/Hash.h"
#include "catkinwing/Support/Logging.h"
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// For this time after its start an entry that was added divides the limits by the minimum
/// number of entries at least, since others that were added at the same time may not be
/// listed yet. An entry that was restarted is contained in the store's number of entries.
static constexpr milliseconds startTime { 1'000 };
static constexpr std::size_t minEntriesAtStart = 32;
/// Accrual of a longer time, in which the process was stalled, is dropped.
static constexpr milliseconds maxAccrual { 500 };
static constexpr std::uint64_t ticksPerDeposit = 2;
static constexpr std::uint64_t ticksPerRegionAsk = 2;
/// Entries that didn't answer are asked again at this interval.
static constexpr std::uint64_t ticksPerProbe = 5;
/// Entries of a region are a few milliseconds apart, but a small entry may be stalled for
/// a tenth of a second when its share of the processor is used up.
static constexpr milliseconds replyTimeout { 150 };
/// The same for entries of other regions, which are some 110 ms away.
static constexpr milliseconds regionReplyTimeout { 400 };
/// An entry is suspect after this many messages in succession without a reply: a single
/// datagram may be lost.
static constexpr unsigned maxUnanswered = 2;
/// By then an entry has the answer to an ask that the pool holds.
static constexpr milliseconds delayedReplyTimeout { 400 };
/// Retry-after time of a request whose credit was lost on the way.
static constexpr milliseconds retryAfterLoss { 200 };
/// A suspect entry that wasn't heard from for this time is forgotten.
static constexpr std::chrono::seconds suspectRetention { 30 };
/// Sums of portions differ from their exact value by less than this.
static constexpr double roundingError { 1e-3 };
static constexpr milliseconds lateReplyRetention { 2'000 };
/// Number of entries of a region that may hold its pool. If none of them answers, most
/// likely this entry is cut off.
static constexpr std::size_t poolCandidateCount = 3;
/// An entry asks in advance for its use of this time.
static constexpr Seconds advanceTime { 0.25 };

CreditExchange::CreditExchange(EntryTable& entries, EntryRecord self, const LimitTolerance& tolerance, Scheduler& scheduler, Random& random,
    FindWorkspaces findWorkspaces, Send send)
    : m_entries(entries)
    , m_self(std::move(self))
    , m_scheduler(scheduler)
    , m_random(random)
    , m_findWorkspaces(std::move(findWorkspaces))
    , m_send(std::move(send))
    , m_pool(tolerance)
    , m_createdAt(scheduler.clock().now())
    , m_lastId(random.bits())
{
}

CreditExchange::~CreditExchange()
{
    *m_isAlive = false;
}

void CreditExchange::start()
{
    if (m_startedAt)
        return;
    m_startedAt = now();
    m_depositedUntil = std::max(m_createdAt, now() - maxAccrual);
}

CreditExchange::Wallet& CreditExchange::walletOf(std::uint64_t workspace)
{
    std::unique_ptr<Wallet>& wallet = m_wallets[workspace];
    if (!wallet)
        wallet = std::make_unique<Wallet>();
    return *wallet;
}

// Uses rendezvous hashing, so that the entries of a region choose the same candidates.
// Entries that disagree for a while use several pools, which does no harm: credit is only
// moved.
std::vector<SocketAddress> CreditExchange::poolCandidates(const std::string& region)
{
    if (m_candidatesVersion != m_entries.changeCount()) {
        m_candidatesVersion = m_entries.changeCount();
        m_candidates.clear();
    }
    auto [known, isNew] = m_candidates.emplace(region, std::vector<SocketAddress>());
    if (!isNew)
        return known->second;
    std::vector<std::pair<std::uint64_t, SocketAddress>> ranked;
    for (const EntryTable::Peer& peer : m_entries.entriesOfRegion(region))
        ranked.emplace_back(stableHash(peer.address.toString(), stableHash("credit")), peer.address);
    std::sort(ranked.begin(), ranked.end());
    for (const auto& [score, address] : ranked) {
        if (known->second.size() < poolCandidateCount)
            known->second.push_back(address);
    }
    return known->second;
}

bool CreditExchange::isSuspect(const SocketAddress& entry) const
{
    auto silence = m_silences.find(entry);
    return silence != m_silences.end() && silence->second.unanswered >= maxUnanswered;
}

SocketAddress CreditExchange::poolOf(const std::string& region)
{
    for (const SocketAddress& candidate : poolCandidates(region)) {
        if (candidate == m_self.peerAddress || !isSuspect(candidate))
            return candidate;
    }
    return m_self.peerAddress;
}

void CreditExchange::tick()
{
    ++m_ticks;
    expireAsks();
    if (m_findWorkspaces().empty()) {
        m_depositedUntil = now();
        return;
    }
    if (m_ticks % ticksPerDeposit == 0)
        deposit();
    if (m_ticks % ticksPerProbe == 0)
        probeSuspects();
    if (m_ticks % ticksPerRegionAsk == 0)
        askOtherRegions(m_pool.shortages(m_findWorkspaces(), now()));
    // Answers may begin requests of further workspaces, which changes the table.
    std::vector<std::uint64_t> withHeldAsks;
    for (const auto& [workspace, wallet] : m_wallets) {
        if (!wallet->held.empty())
            withHeldAsks.push_back(workspace);
    }
    for (std::uint64_t workspace : withHeldAsks)
        settleHeld(workspace);
}

bool CreditExchange::hasJustStarted() const
{
    return m_startedAt && now() - *m_startedAt < startTime;
}

void CreditExchange::deposit()
{
    if (!m_startedAt)
        return;
    Duration elapsed = std::min<Duration>(now() - m_depositedUntil, maxAccrual);
    m_depositedUntil = now();
    bool mayBeOneOfMany = hasJustStarted() && m_entries.exceedsStoredCount();
    std::size_t minEntries = mayBeOneOfMany ? minEntriesAtStart : 1;
    CreditDeposit deposit { elapsed, static_cast<std::uint32_t>(std::max(m_entries.recentMaxAddresses(now()), minEntries)) };
    SocketAddress pool = poolOf(m_self.region);
    // Another pool could have credited the lost time already.
    if (pool == m_lostDepositPool)
        deposit.elapsed = std::min<Duration>(deposit.elapsed + m_lostDeposit, maxAccrual);
    m_lostDeposit = Duration::zero();
    if (pool == m_self.peerAddress) {
        m_pool.deposit(m_self.peerAddress, deposit, now());
        return;
    }
    CreditMessage message = newMessage(CreditMessageKind::Deposit);
    message.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(deposit.elapsed);
    message.entries = deposit.entries;
    sendAwaitingReply(pool, message).deposited = deposit.elapsed;
}

// A deposit of no time asks only for an answer.
void CreditExchange::probeSuspects()
{
    for (auto suspect = m_silences.begin(); suspect != m_silences.end();)
        suspect = now() - suspect->second.lastAt > suspectRetention ? m_silences.erase(suspect) : std::next(suspect);
    for (const auto& [entry, silence] : m_silences) {
        if (!isSuspect(entry))
            continue;
        sendAwaitingReply(entry, newMessage(CreditMessageKind::Deposit));
    }
}

void CreditExchange::charge(const Workspace& workspace, double amount, milliseconds maxRetryAfter, std::function<void(const CreditDecision&)> done)
{
    auto waiting = std::make_shared<Waiting>();
    waiting->hash = workspaceHash(workspace.name);
    waiting->limit = workspace.limit;
    waiting->amount = amount;
    waiting->maxRetryAfter = maxRetryAfter;
    waiting->done = std::move(done);
    Wallet& wallet = walletOf(waiting->hash);
    wallet.asked.add(amount, now());
    wallet.waiting.push_back(waiting);
    settleWaiting(waiting->hash);
    if (!waiting->isDecided)
        ask(waiting);
}

void CreditExchange::refund(const Workspace& workspace, const CreditPortion& used)
{
    std::uint64_t hash = workspaceHash(workspace.name);
    walletOf(hash).credit.add(used);
    settleWaiting(hash);
}

// Asks for the amount of the request itself: the credit of this entry may be used by the
// requests before it.
CreditAsk CreditExchange::askFor(const Waiting& waiting)
{
    Wallet& wallet = walletOf(waiting.hash);
    double advance = wallet.used.rate(now()) * advanceTime.count();
    return { waiting.hash, waiting.amount, waiting.amount + advance, waiting.maxRetryAfter };
}

void CreditExchange::ask(const std::shared_ptr<Waiting>& waiting)
{
    SocketAddress pool = ++waiting->asks > maxAsks ? m_self.peerAddress : poolOf(m_self.region);
    waiting->pool = pool.toString();
    CreditAsk ask = askFor(*waiting);
    if (pool == m_self.peerAddress) {
        grantOrHold({ ask, {}, {}, 0, waiting }, waiting->limit);
        return;
    }
    CreditMessage message = newMessage(CreditMessageKind::EntryAsk);
    message.rows.push_back({ ask.workspace, toCreditCount(ask.needed), toCreditCount(ask.wanted), ask.maxRetryAfter });
    sendAwaitingReply(pool, message).waiting = waiting;
    m_scheduler.callAfter(replyTimeout, [this, alive = m_isAlive, id = message.id] {
        if (*alive)
            onAskTimeout(id);
    });
}

CreditExchange::PendingAsk& CreditExchange::sendAwaitingReply(const SocketAddress& to, const CreditMessage& message)
{
    PendingAsk& pending = m_pendingAsks[message.id];
    pending.kind = message.kind;
    pending.to = to;
    pending.sentAt = now();
    m_send({ to, encodeCreditMessage(message) });
    return pending;
}

void CreditExchange::onAskTimeout(std::uint64_t id)
{
    auto pending = m_pendingAsks.find(id);
    if (pending == m_pendingAsks.end() || pending->second.isTimedOut)
        return;
    if (pending->second.isDelayed && now() - pending->second.sentAt < delayedReplyTimeout) {
        m_scheduler.callAfter(pending->second.sentAt + delayedReplyTimeout - now(), [this, alive = m_isAlive, id] {
            if (*alive)
                onAskTimeout(id);
        });
        return;
    }
    pending->second.isTimedOut = true;
    if (pending->second.deposited > Duration::zero()) {
        m_lostDeposit += pending->second.deposited;
        m_lostDepositPool = pending->second.to;
    }
    Silence& silence = m_silences[pending->second.to];
    silence.lastAt = now();
    if (++silence.unanswered == maxUnanswered)
        logChange(LogLevel::Warning, "credit_pool_silent", { { "entry", pending->second.to.toString() } });
    std::shared_ptr<Waiting> waiting = pending->second.waiting;
    if (waiting && !waiting->isDecided)
        ask(waiting);
}

// Serves the waiting requests in their order, as far as the credit lasts.
void CreditExchange::settleWaiting(std::uint64_t workspace)
{
    Wallet& wallet = walletOf(workspace);
    while (!wallet.waiting.empty()) {
        std::shared_ptr<Waiting> first = wallet.waiting.front();
        bool isCovered = wallet.credit.available(now()) + roundingError >= first->amount;
        if (!first->isDecided && !isCovered && !first->isAnswered)
            return;
        wallet.waiting.pop_front();
        if (!first->isDecided && isCovered)
            serve(*first);
        else if (!first->isDecided)
            refuse(*first, retryAfterLoss);
    }
}

void CreditExchange::serve(Waiting& waiting)
{
    Wallet& wallet = walletOf(waiting.hash);
    waiting.isDecided = true;
    ++wallet.granted;
    wallet.used.add(waiting.amount, now());
    CreditPortion used = wallet.credit.take(waiting.amount, now());
    waiting.done({ true, used, {}, wallet.credit.available(now()), waiting.pool });
}

void CreditExchange::refuse(Waiting& waiting, milliseconds retryAfter)
{
    Wallet& wallet = walletOf(waiting.hash);
    waiting.isDecided = true;
    ++wallet.refused;
    waiting.done({ false, {}, retryAfter, wallet.credit.available(now()), waiting.pool });
}

// A request is served with the credit that was granted for it. The requests before it may
// have asked an entry that doesn't answer, and would take that credit while theirs comes later.
void CreditExchange::decide(const std::shared_ptr<Waiting>& waiting, const CreditPortion& portion, milliseconds retryAfter)
{
    Wallet& wallet = walletOf(waiting->hash);
    wallet.credit.add(portion);
    waiting->isAnswered = true;
    bool isCovered = portion.amount + roundingError >= waiting->amount && wallet.credit.available(now()) + roundingError >= waiting->amount;
    if (!waiting->isDecided && isCovered)
        serve(*waiting);
    else if (!waiting->isDecided && portion.amount <= 0)
        refuse(*waiting, retryAfter);
    settleWaiting(waiting->hash);
}

void CreditExchange::handleMessage(const SocketAddress& from, const CreditMessage& message)
{
    m_silences.erase(from);
    switch (message.kind) {
    case CreditMessageKind::Deposit:
        m_pool.deposit(from, { message.elapsed, message.entries }, now());
        m_send({ from, encodeCreditMessage({ CreditMessageKind::Reply, message.id, {}, 0, {} }) });
        return;
    case CreditMessageKind::EntryAsk:
        answerEntry(from, message);
        return;
    case CreditMessageKind::PoolAsk:
        answerPool(from, message);
        return;
    case CreditMessageKind::Delay:
        if (auto pending = m_pendingAsks.find(message.id); pending != m_pendingAsks.end() && pending->second.to == from)
            pending->second.isDelayed = true;
        return;
    case CreditMessageKind::Reply:
        handleReply(from, message);
        return;
    }
}

// The lifetime of granted credit counts from the moment at which it was asked for, before
// which it had accrued. So delays of the messages don't add to its age.
void CreditExchange::handleReply(const SocketAddress& from, const CreditMessage& reply)
{
    auto pending = m_pendingAsks.find(reply.id);
    if (pending == m_pendingAsks.end() || pending->second.to != from)
        return;
    PendingAsk asked = std::move(pending->second);
    m_pendingAsks.erase(pending);
    if (asked.kind == CreditMessageKind::PoolAsk) {
        receiveFromRegion(asked, reply);
        return;
    }
    for (const CreditRow& row : reply.rows) {
        CreditPortion portion { static_cast<double>(row.amount), asked.sentAt + row.time };
        if (asked.waiting && row.workspace == asked.waiting->hash)
            decide(asked.waiting, row.amount > 0 ? portion : CreditPortion(), row.time);
    }
}

void CreditExchange::expireAsks()
{
    for (auto pending = m_pendingAsks.begin(); pending != m_pendingAsks.end();) {
        Duration age = now() - pending->second.sentAt;
        std::uint64_t id = pending->first;
        bool crossesRegions = pending->second.kind == CreditMessageKind::PoolAsk;
        if (age > (crossesRegions ? regionReplyTimeout : replyTimeout) && !pending->second.isTimedOut)
            onAskTimeout(id);
        pending = age > lateReplyRetention ? m_pendingAsks.erase(m_pendingAsks.find(id)) : std::next(m_pendingAsks.find(id));
    }
}

std::vector<CreditState> CreditExchange::states()
{
    std::vector<CreditState> states;
    auto entries = static_cast<double>(std::max<std::size_t>(m_entries.recentMaxAddresses(now()), 1));
    for (const Workspace& workspace : m_findWorkspaces().all()) {
        if (!workspace.limit.isLimited())
            continue;
        std::uint64_t hash = workspaceHash(workspace.name);
        Wallet& wallet = walletOf(hash);
        double perSecond = workspace.limit.perSecond;
        states.push_back({ workspace.name, perSecond, perSecond / entries, wallet.asked.rate(now()), wallet.credit.available(now()), m_pool.available(hash, workspace.limit, now()), wallet.granted, wallet.refused });
    }
    return states;
}

} // namespace catkinwing
