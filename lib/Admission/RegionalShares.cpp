#include "catkinwing/Admission/RegionalShares.h"

#include <algorithm>
#include <vector>

namespace catkinwing {

/// Silence after which a source is taken as gone and forgotten.
static constexpr Duration maxSilence = std::chrono::minutes(2);

/// Bounds of the correction: a first guess may be far off, and must neither lock
/// a team out nor let it take more than half as much again.
static constexpr double leastCorrection = 0.2;
static constexpr double mostCorrection = 1.5;
/// Least part of a team's weight, so that charges stay finite.
static constexpr double leastFraction = 1e-4;

// A team that uses several daemons of a region must not get its share from each.
// The obvious correction, adding the others' served tokens to the local counter,
// is a feedback loop with a delay: each of n daemons that sees the team behind
// by x serves it x, so together n x, and then all stop together. Its gain is
// about n - 1, so it swings for n > 2, and a cut leaves a debt as long as the
// cut. DECISIONS has the figures of that trial.
//
// Here a team's weight is split among the daemons instead: a daemon counts the
// part of the weight that equals its part of the team's service in the region,
//
//     weight here = weight x served here / served in the region.
//
// - The parts add up to one whatever their values, so the team's weight counts
//   once in the region even while views are late: a late view misplaces the
//   weight between daemons and can't create it. No gain grows with n.
// - Where the team is served more for its weight than elsewhere, its part grows.
//   These are the proportional response dynamics of a Fisher market, where the
//   team spends its weight on the daemons' capacity; they are known to converge
//   to the allocation that is proportionally fair over the whole region.
// - The parts alone move slowly where a team should leave a daemon altogether:
//   like 1 / t. So the part is corrected by what the daemon's other teams get
//   for the same weight against what the team gets in the region. The correction
//   is one where shares are right. It adds one to the loop's gain whatever the
//   number of daemons; its square was faster still, and swung with heartbeats of
//   one second.
// - Only smoothed rates count, never totals. So a cut or restart leaves no debt:
//   during a cut the others' rates fade and the weight counts here in full;
//   after it they come back within the smoothing, and a total that jumped by an
//   hour's service counts as the mean rate of that hour, at most for the
//   smoothing time.
// - A small floor keeps a way back where the team was last served nothing.

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
    m_totalAt.reset();

    auto [entry, isNew] = m_teams[counter.team].try_emplace(source.name, Counter { source.incarnation, counter.tokens, now, DecayingRate(m_policy.rateSmoothing) });
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
    last.incarnation = source.incarnation;
    last.tokens = counter.tokens;
    last.at = now;
}

void RegionalShares::forget(const std::string& source)
{
    m_sources.erase(source);
    m_totalAt.reset();
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

double RegionalShares::fraction(const std::string& team, const LocalService& local, TimePoint now) const
{
    auto found = m_teams.find(team);
    if (found == m_teams.end())
        return 1;
    double remote = 0;
    for (const auto& [source, counter] : found->second)
        remote += counter.rate.rateHeld(now, m_policy.peerSilence);
    // Less than a token a second is no use of another daemon.
    if (remote < 1)
        return 1;
    double part = local.team / (local.team + remote);
    double total = std::max(1.0, local.all + remoteTotal(now));
    double floor = std::max(leastFraction, m_policy.weightFloor * local.all / total);
    double correction = local.level / (local.team + remote);
    return std::max(part, floor) * std::clamp(correction, leastCorrection, mostCorrection);
}

double RegionalShares::remoteTotal(TimePoint now) const
{
    // A refresh asks for every team at the same time.
    if (m_totalAt == now)
        return m_total;
    m_total = 0;
    for (const auto& [name, source] : m_sources)
        m_total += source.total.rateHeld(now, m_policy.peerSilence);
    m_totalAt = now;
    return m_total;
}

} // namespace catkinwing
