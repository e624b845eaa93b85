// The pool's side of the credit exchange: answers entries of the region, and exchanges
// credit with the pools of other regions.
#include "catkinwing/Ingress/CreditExchange.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// A pool holds the ask of an entry for this time while it asks other regions for credit,
/// which takes 110 ms and more.
static constexpr milliseconds maxHoldTime { 250 };
/// The same for requests of an entry that has just started, which has no credit before its first
/// deposits count.
static constexpr milliseconds maxHoldTimeAtStart { 350 };
/// A pool holds no asks for this time after other regions gave too little credit.
static constexpr milliseconds scarcityTime { 500 };
/// A pool holds this many asks of a workspace; further ones are refused at once.
static constexpr std::size_t maxHeldAsks = 64;
/// A pool asks at least this many other regions at a time.
static constexpr std::size_t minAskedRegions = 3;
/// With many regions the part of each is small, and unused credit expires there. So a pool
/// that lacks credit has asked all of them after this many times.
static constexpr std::size_t asksPerRound = 3;
/// A reply to another region holds this many rows of a workspace.
static constexpr std::size_t maxGrantRows = 4;
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
    std::size_t count = std::min(std::max((regions.size() + asksPerRound - 1) / asksPerRound, minAskedRegions), regions.size());
    std::size_t first = m_nextRegion;
    m_nextRegion = (m_nextRegion + count) % regions.size();
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

// Rows beyond the first hold credit that expires later.
void CreditExchange::appendGrants(std::vector<CreditRow>& rows, const CreditRow& ask, const WorkspaceLimit& limit, std::size_t maxRows)
{
    auto wanted = static_cast<double>(ask.maxAmount);
    for (std::size_t i = 0; i < maxRows; ++i) {
        CreditPortion portion = m_pool.grant({ ask.workspace, 0, wanted, {} }, limit, CreditAsker::Pool, now());
        if (i > 0 && portion.amount < 1)
            return;
        rows.push_back(grantRow(ask.workspace, portion));
        wanted -= portion.amount;
    }
}

void CreditExchange::answerPool(const SocketAddress& from, const CreditMessage& message)
{
    CreditMessage reply { CreditMessageKind::Reply, message.id, {}, 0, {} };
    for (std::size_t i = 0; i < message.rows.size(); ++i) {
        const CreditRow& row = message.rows[i];
        const Workspace* workspace = m_findWorkspaces().findByHash(row.workspace);
        if (!workspace || !workspace->limit.isLimited())
            continue;
        // Each of the other rows needs one as well.
        std::size_t maxRows = std::min(maxGrantRows, maxCreditRows - reply.rows.size() - (message.rows.size() - i - 1));
        appendGrants(reply.rows, row, workspace->limit, maxRows);
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
// workspace has used its limit everywhere. An entry that has just started has accrued little, and
// doesn't know yet whom to ask.
void CreditExchange::grantOrHold(const HeldAsk& held, const WorkspaceLimit& limit)
{
    CreditPortion portion = m_pool.grant(held.ask, limit, CreditAsker::Entry, now());
    if (portion.amount > 0) {
        sendAnswer(held, portion, {});
        return;
    }
    Wallet& wallet = walletOf(held.ask.workspace);
    wallet.regionRound.lacked += held.ask.needed;
    bool accruesSoon = held.waiting && hasJustStarted();
    bool mayGetMore = !m_entries.otherRegions().empty() || accruesSoon;
    bool mayHold = now() >= wallet.scarceUntil && mayGetMore && wallet.held.size() < maxHeldAsks;
    if (!mayHold) {
        sendAnswer(held, {}, m_pool.bookRetry(held.ask, limit, now(), m_random));
        return;
    }
    wallet.held.push_back(held);
    wallet.held.back().until = now() + (accruesSoon ? maxHoldTimeAtStart : maxHoldTime);
    if (!held.waiting)
        m_send({ held.from, encodeCreditMessage({ CreditMessageKind::Delay, held.id, {}, 0, {} }) });
    askForHeld(held.ask.workspace, limit);
}

void CreditExchange::askForHeld(std::uint64_t workspace, const WorkspaceLimit& limit)
{
    Wallet& wallet = walletOf(workspace);
    if (wallet.held.empty() || now() - wallet.regionsAskedAt < minRegionAskInterval)
        return;
    wallet.regionsAskedAt = now();
    askOtherRegions({ { workspace, 0, m_pool.missing(workspace, limit, now()), {} } });
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
        // Another entry holds the pool since this one knows of it, and gets the deposits.
        bool hasMoved = ask.waiting && ask.waiting->asks < maxAsks && poolOf(m_self.region) != m_self.peerAddress;
        if (portion.amount > 0)
            sendAnswer(ask, portion, {});
        else if (hasMoved && now() >= ask.until)
            this->ask(ask.waiting);
        else if (isScarce || now() >= ask.until)
            sendAnswer(ask, {}, m_pool.bookRetry(ask.ask, known->limit, now(), m_random));
        else
            wallet.held.push_back(std::move(ask));
    }
}

// One region with little credit says nothing of the others. Credit is scarce if a round of
// all regions gives less than what asks lacked in the meantime.
void CreditExchange::recordRegionReply(Wallet& wallet, double given, bool isShort)
{
    if (!isShort) {
        wallet.regionRound = {};
        wallet.scarceUntil = {};
        return;
    }
    RegionRound& round = wallet.regionRound;
    if (now() - round.lastAt > scarcityTime)
        round = {};
    round.lastAt = now();
    round.given += given;
    if (++round.replies < m_entries.otherRegions().size())
        return;
    if (round.lacked > round.given)
        wallet.scarceUntil = now() + scarcityTime;
    round = {};
}

void CreditExchange::receiveFromRegion(const PendingAsk& asked, const CreditMessage& reply)
{
    constexpr double minFraction = 0.5;
    std::map<std::uint64_t, double> given;
    for (const CreditRow& row : reply.rows) {
        if (asked.wanted.count(row.workspace) == 0)
            continue;
        given[row.workspace] += row.amount;
        m_pool.add(row.workspace, { static_cast<double>(row.amount), asked.sentAt + row.time }, now());
    }
    for (const auto& [workspace, amount] : given) {
        recordRegionReply(walletOf(workspace), amount, amount < minFraction * asked.wanted.at(workspace));
        settleHeld(workspace);
        if (const Workspace* known = m_findWorkspaces().findByHash(workspace))
            askForHeld(workspace, known->limit);
    }
}

} // namespace catkinwing
