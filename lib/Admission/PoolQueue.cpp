#include "catkinwing/Admission/PoolQueue.h"

#include "PoolEntries.h"
#include <algorithm>
#include <cassert>

namespace catkinwing {

using Seconds = std::chrono::duration<double>;

/// Virtual time at which all counters are rebased, long before the precision of a
/// double becomes insufficient.
static constexpr double rebaseAt = 1e12;
/// Maximum age of a team's own drain rate for predictions.
static constexpr Duration maxRateAge = std::chrono::seconds(30);
/// Maximum predicted wait; longer predictions are clamped to it.
static constexpr double maxWaitSeconds = 86400;

PoolQueue::PoolQueue(const SharePolicy& policy)
    : m_policy(policy)
    , m_regional(policy)
    , m_localTotal(policy.rateSmoothing)
    , m_level(policy.rateSmoothing)
{
}

PoolQueue::~PoolQueue() = default;

PoolQueue::TeamEntry* PoolQueue::find(const std::string& team) const
{
    auto found = m_byName.find(team);
    return found == m_byName.end() ? nullptr : found->second;
}

void PoolQueue::setTeam(const TeamPolicy& policy, bool held, TimePoint now)
{
    TeamEntry* team = find(policy.name);
    if (!team) {
        m_teams.push_back(std::make_unique<TeamEntry>(m_policy.rateSmoothing));
        team = m_teams.back().get();
        team->index = m_teams.size() - 1;
        team->name = policy.name;
        team->weight = policy.weight;
        team->effectiveWeight = policy.weight;
        team->counter = m_virtualTime;
        team->served = m_removedServed[policy.name];
        team->servedPeak = team->served;
        m_removedServed.erase(policy.name);
        m_byName.emplace(team->name, team);
    }
    team->weight = policy.weight;
    renewWeight(*team, now);
    setHeld(policy.name, held);

    std::map<std::string, ClassEntry> kept;
    for (const ClassPolicy& classPolicy : policy.classes) {
        auto old = team->classes.find(classPolicy.name);
        ClassEntry& entry = kept[classPolicy.name];
        if (old != team->classes.end())
            entry = std::move(old->second);
        entry.weight = classPolicy.weight;
    }
    team->classes = std::move(kept);
}

void PoolQueue::removeTeam(const std::string& name)
{
    TeamEntry* team = find(name);
    if (!team)
        return;
    assert(!team->queued && "a team with queued requests can't be removed");
    if (team->servedPeak >= 1)
        m_removedServed[name] = team->servedPeak;
    m_byName.erase(name);
    m_regional.forgetTeam(name);
    // The last team takes the freed index, which is part of its key in the groups'
    // orders.
    TeamEntry& last = *m_teams.back();
    std::size_t index = team->index;
    if (&last != team) {
        leaveOrders(last);
        last.index = index;
        joinOrders(last);
        std::swap(m_teams[index], m_teams.back());
    }
    m_teams.pop_back();
}

void PoolQueue::setHeld(const std::string& name, bool held)
{
    TeamEntry* team = find(name);
    if (!team || team->held == held)
        return;
    leaveOrders(*team);
    team->held = held;
    joinOrders(*team);
}

void PoolQueue::leaveOrders(TeamEntry& team)
{
    if (team.held)
        return;
    for (auto& [lane, queued] : team.lanes)
        lane->order.erase({ team.counter, team.index });
}

void PoolQueue::joinOrders(TeamEntry& team)
{
    if (team.held)
        return;
    for (auto& [lane, queued] : team.lanes)
        lane->order.insert({ team.counter, team.index });
}

void PoolQueue::setCounter(TeamEntry& team, double counter)
{
    if (counter == team.counter)
        return;
    for (auto& [lane, queued] : team.lanes) {
        if (team.held)
            break;
        // The set node is reused to avoid an allocation, since a refresh moves every
        // backlogged team.
        auto node = lane->order.extract({ team.counter, team.index });
        node.value().first = counter;
        lane->order.insert(std::move(node));
    }
    team.counter = counter;
}

void PoolQueue::add(const QueuedRequest& request, TimePoint now)
{
    TeamEntry& team = *find(request.team);
    auto [laneEntry, newLane] = m_lanes.try_emplace({ request.model, request.kind });
    Lane& lane = laneEntry->second;
    if (!team.queued)
        beginBacklog(team, lane, now);
    ClassEntry& entry = team.classes.at(request.requestClass);
    // Like an idle team, an idle class accumulates no credit against the team's other
    // classes.
    if (!entry.queued)
        entry.counter = std::max(entry.counter, team.classTime);

    entry.flows[&lane].add(request);
    ++entry.queued;
    ++team.queued;
    ++lane.queued;
    if (++team.lanes[&lane] == 1 && !team.held)
        lane.order.insert({ team.counter, team.index });
    ++(request.kind == WorkKind::Short ? m_waitingShort : m_waitingLong);
    m_drain.setBusy(true, now);
}

void PoolQueue::beginBacklog(TeamEntry& team, const Lane& lane, TimePoint now)
{
    renewWeight(team, now);
    // Raises the counter to the virtual time, so that an idle team accumulates no
    // credit. If the group couldn't start and is behind the virtual time, raises it
    // only to the smallest counter in the group.
    double present = m_virtualTime;
    if (!lane.order.empty())
        present = std::min(present, lane.order.begin()->first);
    team.counter = std::max(team.counter, present);
    m_backloggedWeight += team.effectiveWeight;
    team.drain.setBusy(true, now);
}

void PoolQueue::endBacklog(TeamEntry& team, TimePoint now)
{
    m_backloggedWeight = std::max(0.0, m_backloggedWeight - team.effectiveWeight);
    team.drain.setBusy(false, now);
    if (!empty())
        return;
    m_backloggedWeight = 0;
    m_drain.setBusy(false, now);
}

void PoolQueue::remove(const QueuedRequest& request, TimePoint now)
{
    TeamEntry& team = *find(request.team);
    auto laneEntry = m_lanes.find({ request.model, request.kind });
    assert(laneEntry != m_lanes.end() && "a queued request must have a group");
    Lane& lane = laneEntry->second;
    ClassEntry& entry = team.classes.at(request.requestClass);

    auto flow = entry.flows.find(&lane);
    flow->second.remove(request);
    if (flow->second.empty())
        entry.flows.erase(flow);
    --entry.queued;
    --team.queued;
    --(request.kind == WorkKind::Short ? m_waitingShort : m_waitingLong);
    if (--team.lanes[&lane] == 0) {
        lane.order.erase({ team.counter, team.index });
        team.lanes.erase(&lane);
    }
    if (--lane.queued == 0)
        m_lanes.erase(laneEntry);
    if (!team.queued)
        endBacklog(team, now);
}

PoolQueue::Lane* PoolQueue::bestLane(const CanStart& canStart)
{
    Lane* best = nullptr;
    for (auto& [key, lane] : m_lanes) {
        lane.canStart = false;
        if (lane.order.empty())
            continue;
        lane.canStart = canStart(headOf(lane));
        if (!lane.canStart)
            continue;
        if (!best || *lane.order.begin() < *best->order.begin())
            best = &lane;
    }
    return best;
}

const QueuedRequest& PoolQueue::headOf(Lane& lane) const
{
    const TeamEntry& team = *m_teams[lane.order.begin()->second];
    const QueuedRequest* head = nullptr;
    for (const auto& [name, entry] : team.classes) {
        auto flow = entry.flows.find(&lane);
        if (flow != entry.flows.end())
            head = &flow->second.front();
    }
    assert(head && "a team in a group's order must have requests in it");
    return *head;
}

const QueuedRequest* PoolQueue::pick(const CanStart& canStart, TimePoint now)
{
    Lane* lane = bestLane(canStart);
    if (!lane)
        return nullptr;
    TeamEntry& team = *m_teams[lane->order.begin()->second];
    ClassEntry& entry = *team.nextClass();
    const QueuedRequest* request = entry.firstStartable();
    if (team.counter > m_virtualTime)
        m_level.add(team.counter - m_virtualTime, now);
    m_virtualTime = std::max(m_virtualTime, team.counter);
    team.classTime = std::max(team.classTime, entry.counter);
    charge(team, entry, request->cost, now);
    // Drain rates count estimated costs, as does the cost of the waiting requests, so
    // that a bias of the estimates cancels out in the predicted wait.
    team.drain.add(request->cost, now);
    m_drain.add(request->cost, now);
    return request;
}

void PoolQueue::correct(const std::string& name, const std::string& requestClass, double tokens, TimePoint now)
{
    TeamEntry* team = find(name);
    if (!team)
        return;
    auto entry = team->classes.find(requestClass);
    if (entry != team->classes.end())
        charge(*team, entry->second, tokens, now);
}

void PoolQueue::charge(TeamEntry& team, ClassEntry& entry, double tokens, TimePoint now)
{
    renewWeight(team, now);
    setCounter(team, team.counter + tokens / team.effectiveWeight);
    entry.counter += tokens / entry.weight;

    // Refunds of earlier charges are offset against later charges, so that the counter
    // reported to the other daemons never decreases.
    team.served += tokens;
    double gained = std::max(0.0, team.served - team.servedPeak);
    team.servedPeak += gained;
    team.rate.add(gained, now);
    m_localTotal.add(gained, now);
}

double PoolQueue::weightFraction(const std::string& name, TimePoint now) const
{
    const TeamEntry* team = find(name);
    return team ? team->shift.fraction(standingOf(*team, now)) : 1;
}

RegionalStanding PoolQueue::standingOf(const TeamEntry& team, TimePoint now) const
{
    LocalService local { team.rate.rate(now), m_localTotal.rate(now), m_level.rate(now) * team.weight };
    return m_regional.standing(team.name, local, now);
}

void PoolQueue::renewWeight(TeamEntry& team, TimePoint now)
{
    double weight = team.weight * weightFraction(team.name, now);
    double old = team.effectiveWeight;
    if (weight == old)
        return;
    team.effectiveWeight = weight;
    if (team.queued)
        m_backloggedWeight += weight - old;
    // A lead of the team over the virtual time stays the same in tokens, so that a
    // charge made at a small effective weight doesn't block the team after the weight
    // increases. A change of weight never increases a lag.
    double lead = team.counter - m_virtualTime;
    double scale = lead > 0 ? old / weight : std::min(1.0, old / weight);
    setCounter(team, m_virtualTime + lead * scale);
}

void PoolQueue::refresh(TimePoint now)
{
    m_regional.prune(now);
    rebase();
    double floor = creditFloor(now);
    double credit = Seconds(m_policy.creditWindow).count();
    m_backloggedWeight = 0;
    // Idle teams are updated when they have requests again.
    for (const auto& team : m_teams) {
        if (team->classTime > rebaseAt)
            team->boundClasses(rebaseAt);
        if (!team->queued)
            continue;
        team->shift.adapt(standingOf(*team, now), now);
        renewWeight(*team, now);
        team->boundClasses(credit * team->rate.rate(now));
        setCounter(*team, std::max(team->counter, floor));
        m_backloggedWeight += team->effectiveWeight;
    }
}

double PoolQueue::creditFloor(TimePoint now)
{
    m_history.emplace_back(now, m_virtualTime);
    while (m_history.size() > 1 && m_history[1].first <= now - m_policy.creditWindow)
        m_history.pop_front();
    bool covered = m_history.front().first <= now - m_policy.creditWindow;
    return covered ? m_history.front().second : std::numeric_limits<double>::lowest();
}

void PoolQueue::rebase()
{
    if (m_virtualTime < rebaseAt)
        return;
    double shift = m_virtualTime;
    for (const auto& team : m_teams)
        setCounter(*team, team->counter - shift);
    for (auto& [at, time] : m_history)
        time -= shift;
    m_virtualTime = 0;
}

void PoolQueue::appendCounters(const std::string& pool, std::vector<ServiceCounter>& counters) const
{
    for (const auto& team : m_teams) {
        if (team->servedPeak >= 1)
            counters.push_back({ team->name, pool, static_cast<std::uint64_t>(team->servedPeak) });
    }
}

std::optional<double> PoolQueue::teamRate(const std::string& name, TimePoint now) const
{
    const TeamEntry* team = find(name);
    if (!team)
        return std::nullopt;
    std::optional<double> own = team->drain.rate(now);
    if (own && now - team->drain.lastBusy(now) <= maxRateAge)
        return own;
    std::optional<double> all = m_drain.rate(now);
    if (!all)
        return std::nullopt;
    double competing = m_backloggedWeight + (team->queued ? 0 : team->effectiveWeight);
    return *all * team->effectiveWeight / std::max(competing, team->effectiveWeight);
}

std::optional<Duration> PoolQueue::predictedWait(const QueuedRequest& request, TimePoint now) const
{
    const TeamEntry* team = find(request.team);
    if (!team || !team->queued)
        return Duration::zero();
    auto own = team->classes.find(request.requestClass);
    if (own == team->classes.end())
        return std::nullopt;
    std::optional<double> rate = teamRate(request.team, now);
    if (!rate)
        return std::nullopt;

    // The class gets at least its share of the team's rate, and its wait is at most
    // the time to serve the requests ahead and all requests of the other classes.
    double ahead = own->second.costAhead(request.deadline);
    double weights = own->second.weight;
    double others = 0;
    for (const auto& [name, entry] : team->classes) {
        if (&entry == &own->second || !entry.queued)
            continue;
        weights += entry.weight;
        others += entry.cost();
    }
    double tokens = std::min(ahead * weights / own->second.weight, ahead + others);
    double seconds = *rate > 0 ? tokens / *rate : maxWaitSeconds;
    return std::chrono::ceil<Duration>(Seconds(std::min(seconds, maxWaitSeconds)));
}

} // namespace catkinwing
