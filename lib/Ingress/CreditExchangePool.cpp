// The pool's side of the credit exchange: answers entries of the region, and exchanges
// credit with the pools of other regions.
#include "catkinwing/Ingress/CreditExchange.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// A pool holds the ask of an entry for this time while it asks other regions for credit,
/// which takes 110 ms and more.
static constexpr milliseconds maxHoldTime { 250 };
/// A pool holds no asks for this time after other regions had less than half of the credit
/// that it asked for.
static constexpr milliseconds scarcityTime { 500 };
/// A pool holds this many asks of a workspace; further ones are refused at once.
static constexpr std::size_t maxHeldAsks = 64;
/// A pool asks this many other regions at a time.
static constexpr std::size_t maxAskedRegions = 3;
/// Other regions are asked at once for a request that lacks credit, but no more often.
static constexpr milliseconds minRegionAskInterval { 40 };
/// Retry-after time of a held ask whose workspace is gone with a new configuration.
static constexpr milliseconds retryAfterRemoval { 200 };

// Asks each region for its part of what is missing.
void CreditExchange::askOtherRegions(std::vector<CreditAsk> asks)
{
    std::vector<std::string> regions = m_entries.otherRegions();
    if (asks.empty() || regions.empty())
        return;
    auto largerFirst = [](const CreditAsk& a, const CreditAsk& b) { return a.wanted > b.wanted; };
    std::sort(asks.begin(), asks.end(), largerFirst);
    asks.resize(std::min(asks.size(), maxCreditRows));
    std::size_t count = std::min(regions.size(), maxAskedRegions);
    std::size_t first = m_random.below(regions.size());
    CreditMessage message = newMessage(CreditMessageKind::PoolAsk);
    std::map<std::uint64_t, double> wanted;
    for (const CreditAsk& ask : asks) {
        double amount = ask.wanted / static_cast<double>(count);
        message.rows.push_back({ ask.workspace, 0, toCreditCount(amount), {} });
        wanted[ask.workspace] = amount;
    }
    for (std::size_t i = 0; i < count; ++i) {
        std::vector<SocketAddress> candidates = poolCandidates(regions[(first + i) % regions.size()]);
        auto answers = std::find_if(candidates.begin(), candidates.end(), [this](const SocketAddress& candidate) { return !isSuspect(candidate); });
        if (answers == candidates.end())
            continue;
        message.id = ++m_lastId;
        sendAwaitingReply(*answers, message).wanted = wanted;
    }
}

// Amounts are rounded down to whole units, so that no credit is created.
CreditRow CreditExchange::grantRow(std::uint64_t workspace, const CreditPortion& portion) const
{
    return { workspace, static_cast<std::uint32_t>(portion.amount), 0, std::chrono::duration_cast<milliseconds>(portion.expiresAt - now()) };
}

void CreditExchange::answerEntry(const SocketAddress& from, const CreditMessage& message)
{
    if (message.rows.size() != 1)
        return;
    const CreditRow& row = message.rows.front();
    CreditAsk ask { row.workspace, static_cast<double>(row.amount), static_cast<double>(row.maxAmount), row.time };
    const Workspace* workspace = m_findWorkspaces().findByHash(row.workspace);
    // The version of the asking entry may be another one.
    if (!workspace || !workspace->limit.isLimited())
        sendAnswer({ ask, {}, from, message.id, nullptr }, {}, row.time);
    else
        grantOrHold({ ask, {}, from, message.id, nullptr }, workspace->limit);
}

void CreditExchange::answerPool(const SocketAddress& from, const CreditMessage& message)
{
    CreditMessage reply { CreditMessageKind::Reply, message.id, {}, 0, {} };
    for (const CreditRow& row : message.rows) {
        const Workspace* workspace = m_findWorkspaces().findByHash(row.workspace);
        if (workspace && workspace->limit.isLimited())
            reply.rows.push_back(grantRow(row.workspace, m_pool.grant({ row.workspace, 0, static_cast<double>(row.maxAmount), {} }, workspace->limit, CreditAsker::Pool, now())));
    }
    m_send({ from, encodeCreditMessage(reply) });
}

void CreditExchange::sendAnswer(const HeldAsk& held, const CreditPortion& portion, milliseconds retryAfter)
{
    if (held.waiting) {
        decide(held.waiting, portion, retryAfter);
        return;
    }
    CreditRow row = portion.amount > 0 ? grantRow(held.ask.workspace, portion) : CreditRow { held.ask.workspace, 0, 0, retryAfter };
    m_send({ held.from, encodeCreditMessage({ CreditMessageKind::Reply, held.id, {}, 0, { row } }) });
}

// A region whose demand has just risen has too little credit for a moment, while other
// regions have more than they need. A short wait then serves the request, unless the
// workspace has used its limit everywhere.
void CreditExchange::grantOrHold(const HeldAsk& held, const WorkspaceLimit& limit)
{
    CreditPortion portion = m_pool.grant(held.ask, limit, CreditAsker::Entry, now());
    if (portion.amount > 0) {
        sendAnswer(held, portion, {});
        return;
    }
    Wallet& wallet = walletOf(held.ask.workspace);
    bool mayHold = now() >= wallet.scarceUntil && !m_entries.otherRegions().empty() && wallet.held.size() < maxHeldAsks;
    if (!mayHold) {
        sendAnswer(held, {}, m_pool.bookRetry(held.ask, limit, now(), m_random));
        return;
    }
    wallet.held.push_back(held);
    wallet.held.back().until = now() + maxHoldTime;
    if (!held.waiting)
        m_send({ held.from, encodeCreditMessage({ CreditMessageKind::Delay, held.id, {}, 0, {} }) });
    if (now() - wallet.regionsAskedAt < minRegionAskInterval)
        return;
    wallet.regionsAskedAt = now();
    askOtherRegions({ { held.ask.workspace, 0, m_pool.missing(held.ask.workspace, limit, now()), {} } });
}

void CreditExchange::settleHeld(std::uint64_t workspace)
{
    Wallet& wallet = walletOf(workspace);
    const Workspace* known = m_findWorkspaces().findByHash(workspace);
    std::deque<HeldAsk> held = std::exchange(wallet.held, {});
    for (HeldAsk& ask : held) {
        if (!known) {
            sendAnswer(ask, {}, retryAfterRemoval);
            continue;
        }
        CreditPortion portion = m_pool.grant(ask.ask, known->limit, CreditAsker::Entry, now());
        bool isScarce = now() < wallet.scarceUntil;
        if (portion.amount > 0)
            sendAnswer(ask, portion, {});
        else if (isScarce || now() >= ask.until)
            sendAnswer(ask, {}, m_pool.bookRetry(ask.ask, known->limit, now(), m_random));
        else
            wallet.held.push_back(std::move(ask));
    }
}

void CreditExchange::receiveFromRegion(const PendingAsk& asked, std::uint64_t workspace, const CreditPortion& portion)
{
    constexpr double minFraction = 0.5;
    auto wanted = asked.wanted.find(workspace);
    if (wanted == asked.wanted.end())
        return;
    m_pool.add(workspace, portion, now());
    Wallet& wallet = walletOf(workspace);
    wallet.scarceUntil = portion.amount < minFraction * wanted->second ? now() + scarcityTime : TimePoint {};
    settleHeld(workspace);
}

} // namespace catkinwing
