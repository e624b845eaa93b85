#include "catkinwing/Admission/RegionalShares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace catkinwing {

/// Time without a report after which a source is removed.
static constexpr Duration maxReportAge = std::chrono::minutes(2);

// A team that uses several daemons of a region must get its share once in total, not
// once per daemon. Two simpler designs fail.
//
// 1. Adding the tokens served by other daemons to the local counter is a feedback
//    loop with a delay: each of n daemons that finds the team x tokens behind
//    serves it x tokens, n x in total, and then all stop at once. The gain is about
//    n - 1, so the service oscillates for n > 2. After a network partition the
//    team has a debt of service that takes as long as the partition to pay off.
// 2. Splitting the weight by the service in each daemon is stable and gives the
//    right sum, but nothing stabilizes the split itself: with identical daemons all
//    splits are equally fair, random variation moves the split, and within minutes
//    each team uses some daemons alone and gets almost nothing in the others.
//
// So the weight is split by the capacity of the daemons that serve the team, and the
// split is shifted on a logarithmic scale by the team's standing:
//
//        logDeficit = log(rate that its weight gets here / its rate in the region)
//        shift' = logDeficit / adaptTime - shift / shiftDecayTime
//        weight here = weight x capacityShare x exp(shift + logDeficit)
//
// - Each daemon scales the weight by a factor instead of adding tokens, so all
//   daemons together change the team's service by that factor, for any number of
//   daemons.
// - The shift depends on rates that are common to all teams of a daemon or to all
//   daemons of a team, so random variation can't move two teams in opposite
//   directions. The decay of the shift pulls the split back to the capacities. This
//   decay causes an error of shift x adaptTime / shiftDecayTime: 4 % where a team should get
//   almost nothing from a daemon.
// - Where a team should leave a daemon, its weight there decreases exponentially.
// - Only smoothed rates are used, never totals, so a partition or restart leaves no
//   debt. During a partition the rates of the other daemons decay and the full weight
//   applies here. A total that grew by an hour's service after a partition counts as
//   the mean rate of that hour.

using Seconds = std::chrono::duration<double>;

/// Seconds in which a log deficit of one shifts the weight by a factor of e. About equal
/// to the delay with which a deficit is measured; a third of this value oscillates with
/// heartbeats of one second.
static constexpr double adaptTime = 1.5;
/// Time constant in seconds with which a shift decays.
static constexpr double shiftDecayTime = 100;
/// Time constant in seconds with which a shift decays while its team isn't backlogged.
static constexpr double idleDecayTime = 5;
/// Max seconds between two refreshes during which a team counts as backlogged.
static constexpr double maxStep = 1;
/// Limits of log deficit and shift. With both at their min, a team keeps about 1 % of its
/// capacity share of the weight, from which it recovers within seconds.
static constexpr double maxLogDeficit = 1.5;
static constexpr double minShift = -3;
static constexpr double maxShift = 3;
static constexpr double maxWeightFactor = 1.5;
/// Min capacity of this daemon, as a fraction of the mean of the others. An idle
/// daemon serves nothing but still has capacity.
static constexpr double minCapacityFraction = 0.1;

void WeightShift::adapt(const RegionalStanding& standing, TimePoint now)
{
    double span = Seconds(now - m_adaptedAt).count();
    double step = std::min(span, maxStep);
    m_adaptedAt = now;
    m_shift *= std::exp(-(span - step) / idleDecayTime);
    m_shift += step * (standing.logDeficit / adaptTime - m_shift / shiftDecayTime);
    m_shift = std::clamp(m_shift, minShift, maxShift);
}

double WeightShift::weightFactor(const RegionalStanding& standing) const
{
    if (!standing.isShared)
        return 1;
    return std::min(maxWeightFactor, standing.capacityShare * std::exp(m_shift + standing.logDeficit));
}

RegionalShares::RegionalShares(const SharePolicy& policy)
    : m_policy(policy)
{
}

void RegionalShares::apply(const ServiceSource& source, const ServiceCounter& counter, TimePoint now)
{
    auto [sourceEntry, newSource] = m_sources.try_emplace(source.name, Source { source.incarnation, DecayingRate(m_policy.rateSmoothing), now });
    Source& known = sourceEntry->second;
    if (source.incarnation < known.incarnation)
        return;
    known.incarnation = source.incarnation;
    known.reportedAt = now;

    auto [entry, isNew] = m_teams[counter.team].try_emplace(source.name, Counter { source.incarnation, counter.tokens, now, {}, DecayingRate(m_policy.rateSmoothing) });
    if (isNew)
        return;
    Counter& last = entry->second;
    bool restarted = last.incarnation != source.incarnation;
    if (!restarted && counter.tokens < last.tokens)
        return;
    // A new incarnation counts from zero, so all of its tokens were served after the last
    // report.
    auto served = static_cast<double>(restarted ? counter.tokens : counter.tokens - last.tokens);
    last.rate.addSpread(served, last.reportedAt, now);
    known.total.addSpread(served, last.reportedAt, now);
    if (served > 0)
        last.servedAt = now;
    last.incarnation = source.incarnation;
    last.tokens = counter.tokens;
    last.reportedAt = now;
}

void RegionalShares::removeSource(const std::string& source)
{
    m_sources.erase(source);
    for (auto& [team, counters] : m_teams)
        counters.erase(source);
    absl::erase_if(m_teams, [](const auto& entry) { return entry.second.empty(); });
}

void RegionalShares::removeExpired(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto& [name, source] : m_sources) {
        if (now - source.reportedAt > maxReportAge)
            expired.push_back(name);
    }
    for (const std::string& name : expired)
        removeSource(name);
}

RegionalStanding RegionalShares::standing(const std::string& team, const LocalServiceRates& local, TimePoint now) const
{
    RegionalStanding standing;
    auto found = m_teams.find(team);
    if (found == m_teams.end())
        return standing;
    double remoteRate = 0;
    double remoteCapacity = 0;
    double servingDaemons = 0;
    for (const auto& [name, counter] : found->second) {
        remoteRate += counter.rate.heldRate(now, m_policy.peerReportTimeout);
        bool serves = now - counter.servedAt <= m_policy.peerIdleTimeout && now - counter.reportedAt <= m_policy.peerReportTimeout;
        if (!serves)
            continue;
        remoteCapacity += m_sources.at(name).total.heldRate(now, m_policy.peerReportTimeout);
        ++servingDaemons;
    }
    // A rate below one token per second doesn't count as use of another daemon.
    if (remoteRate < 1)
        return standing;
    standing.isShared = true;
    if (servingDaemons > 0) {
        double own = std::max(local.totalRate, minCapacityFraction * remoteCapacity / servingDaemons);
        standing.capacityShare = own / std::max(1.0, own + remoteCapacity);
    }
    double logDeficit = std::log(std::max(1.0, local.fairRate) / (local.teamRate + remoteRate));
    standing.logDeficit = std::clamp(logDeficit, -maxLogDeficit, maxLogDeficit);
    return standing;
}

} // namespace catkinwing
