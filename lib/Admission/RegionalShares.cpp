#include "catkinwing/Admission/RegionalShares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace catkinwing {

/// Silence after which a source is taken as gone and forgotten.
static constexpr Duration maxSilence = std::chrono::minutes(2);

// A team that uses several daemons of a region must not get its share from each.
// Three ways were weighed; the commits and DECISIONS have the figures.
//
// 1. Adding the others' served tokens to the local counter is a feedback loop
//    with a delay: each of n daemons that sees the team behind by x serves it x,
//    together n x, and then all stop together. Its gain is about n - 1, so it
//    swings for n > 2, and a cut leaves a debt as long as the cut.
// 2. Splitting the weight by where the team was served is stable and right in
//    sum, but nothing holds the split itself: where all daemons are alike, every
//    split is as fair as any other, chance moves it, and within minutes each
//    team has daemons to itself and next to nothing in the others.
// 3. So the weight is split by the capacity of the daemons that serve the team,
//    and the split is shifted, in logarithms, by how the team stands:
//
//        lean = log(what its weight gets here / what it gets in the region)
//        shift' = lean / adaptTime - shift / shiftMemory
//        weight here = weight x part x exp(shift + lean)
//
// - Each daemon turns the weight by a factor and not by tokens, so all of them
//   together change the team's service by that factor, whatever their number.
// - Shift follows rates that all teams of a daemon or all daemons of a team have
//   in common, so chance can't move two teams against each other; its memory
//   draws the split back to the capacities, which costs an error of shift x
//   adaptTime / shiftMemory: 4 % where a team should all but leave a daemon.
// - Where a team should leave a daemon its weight there falls exponentially.
// - Only smoothed rates count, never totals. So a cut or restart leaves no debt:
//   during a cut the others fade and the weight counts here in full; a total that
//   jumped by an hour's service counts as the mean rate of that hour.

using Seconds = std::chrono::duration<double>;

/// Time in which a lean of one shifts the weight by a factor e: about as late as
/// a lean is seen. A third of it swings with heartbeats of one second.
static constexpr double adaptTime = 1.5;
/// Time constant with which a shift decays.
static constexpr double shiftMemory = 100;
/// The same for a team that isn't backlogged.
static constexpr double idleMemory = 5;
/// Longest time between two refreshes through which a team counts as backlogged.
static constexpr double longestStep = 1;
/// Bounds of lean and shift. The least of both leaves a team about 1 % of its
/// part, from where it is back within seconds.
static constexpr double mostLean = 1.5;
static constexpr double leastShift = -3;
static constexpr double mostShift = 3;
static constexpr double mostFraction = 1.5;
/// A daemon that served less than this part of the others' mean counts as that,
/// since an idle one has capacity too.
static constexpr double leastCapacity = 0.1;

void WeightShift::adapt(const RegionalStanding& standing, TimePoint now)
{
    double span = Seconds(now - m_adaptedAt).count();
    double step = std::min(span, longestStep);
    m_adaptedAt = now;
    m_shift *= std::exp(-(span - step) / idleMemory);
    m_shift += step * (standing.lean / adaptTime - m_shift / shiftMemory);
    m_shift = std::clamp(m_shift, leastShift, mostShift);
}

double WeightShift::fraction(const RegionalStanding& standing) const
{
    if (!standing.shared)
        return 1;
    return std::min(mostFraction, standing.part * std::exp(m_shift + standing.lean));
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
    known.heardAt = now;

    auto [entry, isNew] = m_teams[counter.team].try_emplace(source.name, Counter { source.incarnation, counter.tokens, now, {}, DecayingRate(m_policy.rateSmoothing) });
    if (isNew)
        return;
    Counter& last = entry->second;
    bool restarted = last.incarnation != source.incarnation;
    if (!restarted && counter.tokens < last.tokens)
        return;
    // A new life counts from zero, and all of it lies after the last word.
    auto served = static_cast<double>(restarted ? counter.tokens : counter.tokens - last.tokens);
    last.rate.addSpread(served, last.at, now);
    known.total.addSpread(served, last.at, now);
    if (served > 0)
        last.servedAt = now;
    last.incarnation = source.incarnation;
    last.tokens = counter.tokens;
    last.at = now;
}

void RegionalShares::forget(const std::string& source)
{
    m_sources.erase(source);
    for (auto& [team, counters] : m_teams)
        counters.erase(source);
    absl::erase_if(m_teams, [](const auto& entry) { return entry.second.empty(); });
}

void RegionalShares::prune(TimePoint now)
{
    std::vector<std::string> silent;
    for (const auto& [name, source] : m_sources) {
        if (now - source.heardAt > maxSilence)
            silent.push_back(name);
    }
    for (const std::string& name : silent)
        forget(name);
}

RegionalStanding RegionalShares::standing(const std::string& team, const LocalService& local, TimePoint now) const
{
    RegionalStanding standing;
    auto found = m_teams.find(team);
    if (found == m_teams.end())
        return standing;
    double remote = 0;
    double capacity = 0;
    double daemons = 0;
    for (const auto& [name, counter] : found->second) {
        remote += counter.rate.rateHeld(now, m_policy.peerSilence);
        bool serves = now - counter.servedAt <= m_policy.peerIdle && now - counter.at <= m_policy.peerSilence;
        if (!serves)
            continue;
        capacity += m_sources.at(name).total.rateHeld(now, m_policy.peerSilence);
        ++daemons;
    }
    // Less than a token a second is no use of another daemon.
    if (remote < 1)
        return standing;
    standing.shared = true;
    if (daemons > 0) {
        double own = std::max(local.all, leastCapacity * capacity / daemons);
        standing.part = own / std::max(1.0, own + capacity);
    }
    double lean = std::log(std::max(1.0, local.level) / (local.team + remote));
    standing.lean = std::clamp(lean, -mostLean, mostLean);
    return standing;
}

} // namespace catkinwing
