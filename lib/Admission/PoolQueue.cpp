#include "catkinwing/Admission/PoolQueue.h"

#include "PoolEntries.h"
#include <algorithm>
#include <cassert>

namespace catkinwing {

using Seconds = std::chrono::duration<double>;

/// Virtual time at which all counters are rebased, long before the precision of a
/// double becomes insufficient.
static constexpr double rebaseThreshold = 1e12;
/// Maximum age at which a team's own drain rate is still used for predictions.
static constexpr Duration maxRateAge = std::chrono::seconds(30);
/// Maximum predicted wait; longer predictions are clamped to it.
static constexpr double maxPredictedWaitSeconds = 86400;

PoolQueue::PoolQueue(const SharePolicy& policy)
    : m_policy(policy)
    , m_regionalShares(policy)
    , m_localServedRate(policy.rateSmoothing)
    , m_virtualTimeRate(policy.rateSmoothing)
{
}

PoolQueue::~PoolQueue() = default;

PoolQueue::TeamState* PoolQueue::find(const std::string& team) const
{
    auto found = m_teamsByName.find(team);
    return found == m_teamsByName.end() ? nullptr : found->second;
}

void PoolQueue::setTeam(const TeamPolicy& policy, bool paused, TimePoint now)
{
    TeamState* team = find(policy.name);
    if (!team) {
        m_teams.push_back(std::make_unique<TeamState>(m_policy.rateSmoothing));
        team = m_teams.back().get();
        team->index = m_teams.size() - 1;
        team->name = policy.name;
        team->weight = policy.weight;
        team->effectiveWeight = policy.weight;
        team->counter = m_virtualTime;
        team->servedTokens = m_removedServed[policy.name];
        team->maxServedTokens = team->servedTokens;
        m_removedServed.erase(policy.name);
        m_teamsByName.emplace(team->name, team);
    }
    team->weight = policy.weight;
    updateEffectiveWeight(*team, now);
    setTeamPaused(policy.name, paused);

    std::map<std::string, ClassState> classes;
    for (const ClassPolicy& classPolicy : policy.classes) {
        auto old = team->classes.find(classPolicy.name);
        ClassState& entry = classes[classPolicy.name];
        if (old != team->classes.end())
            entry = std::move(old->second);
        entry.weight = classPolicy.weight;
    }
    team->classes = std::move(classes);
}

void PoolQueue::removeTeam(const std::string& name)
{
    TeamState* team = find(name);
    if (!team)
        return;
    assert(!team->queuedCount && "a team with queued requests can't be removed");
    if (team->maxServedTokens >= 1)
        m_removedServed[name] = team->maxServedTokens;
    m_teamsByName.erase(name);
    m_regionalShares.removeTeam(name);
    // The last team takes the freed index, which is part of its key in the groups'
    // teamsByCounter sets.
    TeamState& last = *m_teams.back();
    std::size_t index = team->index;
    if (&last != team) {
        removeFromGroups(last);
        last.index = index;
        addToGroups(last);
        std::swap(m_teams[index], m_teams.back());
    }
    m_teams.pop_back();
}

void PoolQueue::setTeamPaused(const std::string& name, bool paused)
{
    TeamState* team = find(name);
    if (!team || team->paused == paused)
        return;
    removeFromGroups(*team);
    team->paused = paused;
    addToGroups(*team);
}

void PoolQueue::removeFromGroups(TeamState& team)
{
    if (team.paused)
        return;
    for (auto& [group, requestCount] : team.requestsByGroup)
        group->teamsByCounter.erase({ team.counter, team.index });
}

void PoolQueue::addToGroups(TeamState& team)
{
    if (team.paused)
        return;
    for (auto& [group, requestCount] : team.requestsByGroup)
        group->teamsByCounter.insert({ team.counter, team.index });
}

void PoolQueue::setCounter(TeamState& team, double counter)
{
    if (counter == team.counter)
        return;
    for (auto& [group, requestCount] : team.requestsByGroup) {
        if (team.paused)
            break;
        // The set node is reused to avoid an allocation, since a refresh moves every
        // backlogged team.
        auto node = group->teamsByCounter.extract({ team.counter, team.index });
        node.value().first = counter;
        group->teamsByCounter.insert(std::move(node));
    }
    team.counter = counter;
}

void PoolQueue::add(const QueuedRequest& request, TimePoint now)
{
    TeamState& team = *find(request.team);
    auto [groupEntry, isNewGroup] = m_groups.try_emplace({ request.model, request.kind });
    RequestGroup& group = groupEntry->second;
    if (!team.queuedCount)
        beginBacklog(team, group, now);
    ClassState& entry = team.classes.at(request.requestClass);
    // Like an idle team, an idle class is not compensated for its idle time.
    if (!entry.queuedCount)
        entry.counter = std::max(entry.counter, team.classVirtualTime);

    entry.queuesByGroup[&group].add(request);
    ++entry.queuedCount;
    ++team.queuedCount;
    ++group.queuedCount;
    if (++team.requestsByGroup[&group] == 1 && !team.paused)
        group.teamsByCounter.insert({ team.counter, team.index });
    ++(request.kind == WorkKind::Short ? m_waitingShort : m_waitingLong);
    m_drainRate.setBusy(true, now);
}

void PoolQueue::beginBacklog(TeamState& team, const RequestGroup& group, TimePoint now)
{
    updateEffectiveWeight(team, now);
    // Raises the counter to the virtual time, so that an idle team is not
    // compensated for its idle time. If the smallest counter in the group is behind the virtual time because the
    // group couldn't start, raises it only to that counter.
    double startCounter = m_virtualTime;
    if (!group.teamsByCounter.empty())
        startCounter = std::min(startCounter, group.teamsByCounter.begin()->first);
    team.counter = std::max(team.counter, startCounter);
    m_backloggedWeight += team.effectiveWeight;
    team.drainRate.setBusy(true, now);
}

void PoolQueue::endBacklog(TeamState& team, TimePoint now)
{
    m_backloggedWeight = std::max(0.0, m_backloggedWeight - team.effectiveWeight);
    team.drainRate.setBusy(false, now);
    if (!empty())
        return;
    m_backloggedWeight = 0;
    m_drainRate.setBusy(false, now);
}

void PoolQueue::remove(const QueuedRequest& request, TimePoint now)
{
    TeamState& team = *find(request.team);
    auto groupEntry = m_groups.find({ request.model, request.kind });
    assert(groupEntry != m_groups.end() && "a queued request must have a group");
    RequestGroup& group = groupEntry->second;
    ClassState& entry = team.classes.at(request.requestClass);

    auto queue = entry.queuesByGroup.find(&group);
    queue->second.remove(request);
    if (queue->second.empty())
        entry.queuesByGroup.erase(queue);
    --entry.queuedCount;
    --team.queuedCount;
    --(request.kind == WorkKind::Short ? m_waitingShort : m_waitingLong);
    if (--team.requestsByGroup[&group] == 0) {
        group.teamsByCounter.erase({ team.counter, team.index });
        team.requestsByGroup.erase(&group);
    }
    if (--group.queuedCount == 0)
        m_groups.erase(groupEntry);
    if (!team.queuedCount)
        endBacklog(team, now);
}

PoolQueue::RequestGroup* PoolQueue::findBestGroup(const CanStart& canStart)
{
    RequestGroup* best = nullptr;
    for (auto& [key, group] : m_groups) {
        group.canStart = false;
        if (group.teamsByCounter.empty())
            continue;
        group.canStart = canStart(sampleRequest(group));
        if (!group.canStart)
            continue;
        if (!best || *group.teamsByCounter.begin() < *best->teamsByCounter.begin())
            best = &group;
    }
    return best;
}

const QueuedRequest& PoolQueue::sampleRequest(RequestGroup& group) const
{
    const TeamState& team = *m_teams[group.teamsByCounter.begin()->second];
    const QueuedRequest* head = nullptr;
    for (const auto& [name, entry] : team.classes) {
        auto queue = entry.queuesByGroup.find(&group);
        if (queue != entry.queuesByGroup.end())
            head = &queue->second.front();
    }
    assert(head && "a team in teamsByCounter must have requests in the group");
    return *head;
}

const QueuedRequest* PoolQueue::pick(const CanStart& canStart, TimePoint now)
{
    RequestGroup* group = findBestGroup(canStart);
    if (!group)
        return nullptr;
    TeamState& team = *m_teams[group->teamsByCounter.begin()->second];
    ClassState& entry = *team.nextClass();
    const QueuedRequest* request = entry.firstStartable();
    if (team.counter > m_virtualTime)
        m_virtualTimeRate.add(team.counter - m_virtualTime, now);
    m_virtualTime = std::max(m_virtualTime, team.counter);
    team.classVirtualTime = std::max(team.classVirtualTime, entry.counter);
    charge(team, entry, request->cost, now);
    // Drain rates count estimated costs, as does the cost of the waiting requests, so
    // that a bias of the estimates cancels out in the predicted wait.
    team.drainRate.add(request->cost, now);
    m_drainRate.add(request->cost, now);
    return request;
}

void PoolQueue::adjustCharge(const std::string& name, const std::string& requestClass, double tokens, TimePoint now)
{
    TeamState* team = find(name);
    if (!team)
        return;
    auto entry = team->classes.find(requestClass);
    if (entry != team->classes.end())
        charge(*team, entry->second, tokens, now);
}

void PoolQueue::charge(TeamState& team, ClassState& entry, double tokens, TimePoint now)
{
    updateEffectiveWeight(team, now);
    setCounter(team, team.counter + tokens / team.effectiveWeight);
    entry.counter += tokens / entry.weight;

    // Refunds of earlier charges are offset against later charges, so that the counter
    // reported to the other daemons never decreases.
    team.servedTokens += tokens;
    double increase = std::max(0.0, team.servedTokens - team.maxServedTokens);
    team.maxServedTokens += increase;
    team.rate.add(increase, now);
    m_localServedRate.add(increase, now);
}

double PoolQueue::weightFactor(const std::string& name, TimePoint now) const
{
    const TeamState* team = find(name);
    return team ? team->weightShift.weightFactor(regionalStanding(*team, now)) : 1;
}

RegionalStanding PoolQueue::regionalStanding(const TeamState& team, TimePoint now) const
{
    LocalServiceRates local { team.rate.rate(now), m_localServedRate.rate(now), m_virtualTimeRate.rate(now) * team.weight };
    return m_regionalShares.standing(team.name, local, now);
}

void PoolQueue::updateEffectiveWeight(TeamState& team, TimePoint now)
{
    double weight = team.weight * weightFactor(team.name, now);
    double old = team.effectiveWeight;
    if (weight == old)
        return;
    team.effectiveWeight = weight;
    if (team.queuedCount)
        m_backloggedWeight += weight - old;
    // If the counter is ahead of the virtual time, the difference stays the same in
    // tokens, so that a charge made at a small effective weight doesn't block the team
    // after the weight increases. If the counter is behind the virtual time, a change of
    // weight never increases the difference.
    double lead = team.counter - m_virtualTime;
    double scale = lead > 0 ? old / weight : std::min(1.0, old / weight);
    setCounter(team, m_virtualTime + lead * scale);
}

void PoolQueue::refresh(TimePoint now)
{
    m_regionalShares.removeExpired(now);
    rebaseCounters();
    double floor = minCounter(now);
    double compensationSeconds = Seconds(m_policy.maxCompensationTime).count();
    m_backloggedWeight = 0;
    // Idle teams are updated when they have requests again.
    for (const auto& team : m_teams) {
        if (team->classVirtualTime > rebaseThreshold)
            team->boundClassCounters(rebaseThreshold);
        if (!team->queuedCount)
            continue;
        team->weightShift.adapt(regionalStanding(*team, now), now);
        updateEffectiveWeight(*team, now);
        team->boundClassCounters(compensationSeconds * team->rate.rate(now));
        setCounter(*team, std::max(team->counter, floor));
        m_backloggedWeight += team->effectiveWeight;
    }
}

double PoolQueue::minCounter(TimePoint now)
{
    m_virtualTimeHistory.emplace_back(now, m_virtualTime);
    while (m_virtualTimeHistory.size() > 1 && m_virtualTimeHistory[1].first <= now - m_policy.maxCompensationTime)
        m_virtualTimeHistory.pop_front();
    bool coversCompensationTime = m_virtualTimeHistory.front().first <= now - m_policy.maxCompensationTime;
    return coversCompensationTime ? m_virtualTimeHistory.front().second : std::numeric_limits<double>::lowest();
}

void PoolQueue::rebaseCounters()
{
    if (m_virtualTime < rebaseThreshold)
        return;
    double shift = m_virtualTime;
    for (const auto& team : m_teams)
        setCounter(*team, team->counter - shift);
    for (auto& [at, time] : m_virtualTimeHistory)
        time -= shift;
    m_virtualTime = 0;
}

void PoolQueue::appendCounters(const std::string& pool, std::vector<ServiceCounter>& counters) const
{
    for (const auto& team : m_teams) {
        if (team->maxServedTokens >= 1)
            counters.push_back({ team->name, pool, static_cast<std::uint64_t>(team->maxServedTokens) });
    }
}

std::optional<double> PoolQueue::teamRate(const std::string& name, TimePoint now) const
{
    const TeamState* team = find(name);
    if (!team)
        return std::nullopt;
    std::optional<double> ownRate = team->drainRate.rate(now);
    if (ownRate && now - team->drainRate.lastBusy(now) <= maxRateAge)
        return ownRate;
    std::optional<double> poolRate = m_drainRate.rate(now);
    if (!poolRate)
        return std::nullopt;
    double competingWeight = m_backloggedWeight + (team->queuedCount ? 0 : team->effectiveWeight);
    return *poolRate * team->effectiveWeight / std::max(competingWeight, team->effectiveWeight);
}

std::optional<Duration> PoolQueue::predictedWait(const QueuedRequest& request, TimePoint now) const
{
    const TeamState* team = find(request.team);
    if (!team || !team->queuedCount)
        return Duration::zero();
    auto ownClass = team->classes.find(request.requestClass);
    if (ownClass == team->classes.end())
        return std::nullopt;
    std::optional<double> rate = teamRate(request.team, now);
    if (!rate)
        return std::nullopt;

    // The class gets at least its share of the team's rate, and its wait is at most
    // the time to serve the requests ahead and all requests of the other classes.
    double aheadCost = ownClass->second.costAhead(request.deadline);
    double classWeights = ownClass->second.weight;
    double otherClassesCost = 0;
    for (const auto& [name, entry] : team->classes) {
        if (&entry == &ownClass->second || !entry.queuedCount)
            continue;
        classWeights += entry.weight;
        otherClassesCost += entry.cost();
    }
    double tokens = std::min(aheadCost * classWeights / ownClass->second.weight, aheadCost + otherClassesCost);
    double seconds = *rate > 0 ? tokens / *rate : maxPredictedWaitSeconds;
    return std::chrono::ceil<Duration>(Seconds(std::min(seconds, maxPredictedWaitSeconds)));
}

} // namespace catkinwing
