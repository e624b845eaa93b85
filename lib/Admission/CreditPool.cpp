#include "catkinwing/Admission/CreditPool.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Each unit of credit accrues once, at one entry, and expires a lifetime later, wherever
// it was moved. What is used within a window therefore accrued within the window or one
// lifetime before it: at most rate x (window + lifetime). The lifetime is chosen so that
// this is within the tolerance.

/// Delays that the age of credit doesn't cover: a deposit that waits at a stalled pool.
static constexpr milliseconds unmeasuredDelay { 500 };
/// Max time that one deposit covers. Deposits that a stalled pool receives at once count
/// no longer than this.
static constexpr milliseconds maxDepositTime { 500 };
/// Shortest lifetime, below which a deposit would expire before it can be used.
static constexpr milliseconds minCreditLifetime { 300 };
/// Deposits are summed up over this time.
static constexpr milliseconds slotLength { 50 };
/// Depositors that haven't been heard from for this time are forgotten.
static constexpr std::chrono::seconds depositorRetention { 10 };
/// A pool keeps this much of its region's demand when another region asks.
static constexpr Seconds reservedDemand { 0.5 };
/// In any case it keeps this fraction of what the deposits of its region amount to within
/// a lifetime, so that a region with little demand can serve a sudden request.
static constexpr double reservedFraction = 0.25;
/// Credit that expires sooner isn't granted: it would not last until it is used.
static constexpr milliseconds minRemainingLifetime { 250 };
/// The same for credit that another region gets, which arrives a tenth of a second later and
/// may be granted by the pool there.
static constexpr milliseconds minLifetimeForOtherRegions { 400 };
/// A grant expires as a whole with its oldest credit. One to another region may be most of
/// what is here, so its credit is of similar age.
static constexpr int expirySpreadDivisor = 4;
/// Sums of portions differ from their exact value by less than this.
static constexpr double roundingError { 1e-6 };
/// A pool asks other regions for credit until it has this much of its region's demand.
static constexpr Seconds targetDemand { 1 };
/// A refused request counts as demand for this time, by when its client has returned.
static constexpr milliseconds refusedRetention { 1'500 };
/// Accounts that weren't asked for this time don't ask other regions for credit.
static constexpr std::chrono::seconds accountIdleTime { 5 };
/// At least this fraction of the limit counts as the income of a pool, for retry-after
/// times of a pool that has just begun.
static constexpr double minIncomeFraction = 0.02;

Duration creditLifetime(const WorkspaceLimit& limit, const LimitTolerance& tolerance)
{
    double window = Seconds(tolerance.window).count();
    double allowed = tolerance.overage * limit.perSecond * window + (1 + tolerance.overage) * limit.burst + tolerance.slack;
    Seconds lifetime { std::min(allowed / limit.perSecond, window) };
    return std::max<Duration>(std::chrono::duration_cast<Duration>(lifetime) - unmeasuredDelay, minCreditLifetime);
}

// Credits a depositor for no more time than has passed since the time that is credited
// already, so that a repeated datagram adds nothing, while deposits that arrive a little
// early or late count whole. A depositor may repeat a deposit to the same pool.
void CreditPool::deposit(const SocketAddress& depositor, const CreditDeposit& deposit, TimePoint now)
{
    auto [credited, isNew] = m_creditedUntil.emplace(depositor, now - maxDepositTime);
    credited->second = std::max(credited->second, now - maxDepositTime);
    Duration elapsed = std::min(deposit.elapsed, now - credited->second);
    credited->second += std::max(elapsed, Duration::zero());
    if (deposit.entries == 0 || elapsed <= Duration::zero())
        return;
    TimePoint at { (now.time_since_epoch() / slotLength) * slotLength };
    if (m_slots.empty() || m_slots.back().at < at)
        m_slots.push_back({ at, {} });
    m_slots.back().share += Seconds(elapsed) / deposit.entries;
    while (now - m_slots.front().at > m_tolerance.window)
        m_slots.pop_front();
    if (!isNew)
        return;
    for (auto entry = m_creditedUntil.begin(); entry != m_creditedUntil.end();)
        entry = now - entry->second > depositorRetention ? m_creditedUntil.erase(entry) : std::next(entry);
}

// The latest slot may still grow, so it is collected later.
CreditPool::Account& CreditPool::collect(std::uint64_t workspace, const WorkspaceLimit& limit, TimePoint now)
{
    Account& account = m_accounts[workspace];
    Duration lifetime = creditLifetime(limit, m_tolerance);
    auto slot = std::upper_bound(m_slots.begin(), m_slots.end(), account.collectedUntil, [](TimePoint until, const Slot& other) { return until < other.at; });
    for (; slot != m_slots.end() && now - slot->at >= slotLength; ++slot) {
        double amount = slot->share.count() * limit.perSecond;
        account.credit.add({ amount, slot->at + lifetime });
        account.income.add(amount, now);
        account.collectedUntil = slot->at;
    }
    return account;
}

void CreditPool::add(std::uint64_t workspace, const CreditPortion& portion, TimePoint now)
{
    Account& account = m_accounts[workspace];
    account.credit.add(portion);
    account.income.add(portion.amount, now);
}

milliseconds CreditPool::bookRetry(const CreditAsk& ask, const WorkspaceLimit& limit, TimePoint now, Random& random)
{
    Account& account = collect(ask.workspace, limit, now);
    account.demand.add(ask.needed, now);
    double income = std::max(account.income.rate(now), limit.perSecond * minIncomeFraction);
    auto work = std::chrono::duration_cast<Duration>(Seconds(ask.needed / income));
    return account.retryAfters.bookRetry(work, ask.maxRetryAfter, now, random);
}

double CreditPool::reserveOf(const Account& account, const WorkspaceLimit& limit, TimePoint now) const
{
    Duration lifetime = creditLifetime(limit, m_tolerance);
    Seconds share { 0 };
    for (auto slot = m_slots.rbegin(); slot != m_slots.rend() && now - slot->at < lifetime; ++slot)
        share += slot->share;
    return std::max(account.demand.rate(now) * reservedDemand.count(), share.count() * limit.perSecond * reservedFraction);
}

// Messages state whole units. The fraction stays in the pool, since of a small limit it
// would be a large part of each grant.
static CreditPortion takeWholeUnits(AgedCredit& credit, double amount, TimePoint usableUntil, Duration maxSpread)
{
    CreditPortion taken = credit.takeLastingBeyond(usableUntil, std::floor(amount), maxSpread);
    double units = std::floor(taken.amount + roundingError);
    credit.add({ taken.amount - units, taken.expiresAt });
    return { units, taken.expiresAt };
}

CreditPortion CreditPool::grant(const CreditAsk& ask, const WorkspaceLimit& limit, CreditAsker asker, TimePoint now)
{
    Account& account = collect(ask.workspace, limit, now);
    TimePoint usableAt = now + minRemainingLifetime;
    double available = account.credit.available(usableAt);
    if (asker == CreditAsker::Pool) {
        TimePoint usableThereAt = now + minLifetimeForOtherRegions;
        double spare = std::min(available - reserveOf(account, limit, now), account.credit.lastingBeyond(usableThereAt));
        // What expires first is given away: the rest would expire while it is kept in reserve.
        return takeWholeUnits(account.credit, std::clamp(spare, 0.0, ask.wanted), usableThereAt, creditLifetime(limit, m_tolerance) / expirySpreadDivisor);
    }
    account.lastAskedAt = now;
    if (available < ask.needed) {
        bool hasExpired = account.refused.expiresAt <= now;
        account.refused = { hasExpired ? ask.needed : std::max(account.refused.amount, ask.needed), now + refusedRetention };
        return {};
    }
    // What is asked for in advance must not take what the next request needs now.
    constexpr double maxAdvanceFraction = 0.25;
    double advance = std::min(ask.wanted - ask.needed, (available - ask.needed) * maxAdvanceFraction);
    CreditPortion portion = takeWholeUnits(account.credit, ask.needed + std::max(advance, 0.0), usableAt, Duration::max());
    account.demand.add(portion.amount, now);
    return portion;
}

double CreditPool::missing(std::uint64_t workspace, const WorkspaceLimit& limit, TimePoint now)
{
    Account& account = collect(workspace, limit, now);
    double refused = account.refused.expiresAt > now ? account.refused.amount : 0;
    double target = account.demand.rate(now) * targetDemand.count() + refused;
    return std::max(target - account.credit.available(now + minRemainingLifetime), 0.0);
}

std::vector<CreditAsk> CreditPool::shortages(const WorkspaceTable& workspaces, TimePoint now)
{
    std::vector<CreditAsk> asks;
    for (auto& [hash, known] : m_accounts) {
        const Workspace* workspace = workspaces.findByHash(hash);
        if (!workspace || !workspace->limit.isLimited() || now - known.lastAskedAt > accountIdleTime)
            continue;
        if (double amount = missing(hash, workspace->limit, now); amount > 0)
            asks.push_back({ hash, 0, amount, {} });
    }
    return asks;
}

double CreditPool::available(std::uint64_t workspace, const WorkspaceLimit& limit, TimePoint now)
{
    return collect(workspace, limit, now).credit.available(now + minRemainingLifetime);
}

} // namespace catkinwing
