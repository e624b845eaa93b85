#include "catkinwing/Admission/FairQueue.h"

#include "catkinwing/Admission/PoolQueue.h"
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <unordered_map>

namespace catkinwing {

namespace {

    /// Bytes added to the size of each queued request when eviction compares teams and
    /// classes, so that many small requests count as well as a few large ones.
    constexpr std::size_t perRequestOverheadBytes = 16384;

    /// Queued requests of a class, over all pools.
    struct ClassBacklog {
        double weight { 1 };
        std::size_t heldBytes { 0 };
        std::set<std::pair<TimePoint, RequestId>> byDeadline;
    };

    /// Queued requests of a team, over all pools.
    struct TeamBacklog {
        TeamPolicy policy;
        bool paused { false };
        std::size_t queuedCount { 0 };
        std::size_t heldBytes { 0 };
        std::map<std::string, ClassBacklog> classes;
    };

} // namespace

struct FairQueue::State {
    SharePolicy policy;
    std::size_t bytes { 0 };
    std::map<std::string, TeamBacklog> teams;
    std::map<std::string, std::unique_ptr<PoolQueue>> pools;
    /// Storage with stable addresses, since the pools keep pointers to the requests.
    std::unordered_map<RequestId, QueuedRequest> requests;
    std::set<std::pair<TimePoint, RequestId>> byLatestStart;
    /// Teams ordered by the queue bytes that they hold per weight.
    std::set<std::pair<double, std::string>> teamsByBytesPerWeight;
    /// Pool at which the next search for a startable request begins; it rotates so that
    /// no pool is preferred because of its name.
    std::string nextPoolName;

    PoolQueue& findOrCreatePool(const std::string& name);
    PoolQueue* findPool(const std::string& name) const;
    void setHeldBytes(const std::string& name, TeamBacklog& team, std::size_t heldBytes);
    QueuedRequest extractRequest(RequestId id, TimePoint now);
    std::vector<QueuedRequest> extractRequests(const std::vector<RequestId>& ids, TimePoint now);
    std::vector<RequestId> findRequestsWithoutPolicy(const std::map<std::string, const TeamPolicy*>& policiesByName) const;
};

static std::size_t queueFootprint(const QueuedRequest& request)
{
    return request.bytes + perRequestOverheadBytes;
}

static double bytesPerWeight(std::size_t heldBytes, double weight)
{
    return static_cast<double>(heldBytes) / weight;
}

static const ClassPolicy* findClass(const TeamPolicy& team, const std::string& name)
{
    auto found = std::find_if(team.classes.begin(), team.classes.end(), [&](const ClassPolicy& policy) { return policy.name == name; });
    return found == team.classes.end() ? nullptr : &*found;
}

PoolQueue* FairQueue::State::findPool(const std::string& name) const
{
    auto found = pools.find(name);
    return found == pools.end() ? nullptr : found->second.get();
}

PoolQueue& FairQueue::State::findOrCreatePool(const std::string& name)
{
    std::unique_ptr<PoolQueue>& pool = pools[name];
    if (!pool)
        pool = std::make_unique<PoolQueue>(policy);
    return *pool;
}

void FairQueue::State::setHeldBytes(const std::string& name, TeamBacklog& team, std::size_t heldBytes)
{
    teamsByBytesPerWeight.erase({ bytesPerWeight(team.heldBytes, team.policy.weight), name });
    team.heldBytes = heldBytes;
    if (heldBytes)
        teamsByBytesPerWeight.insert({ bytesPerWeight(heldBytes, team.policy.weight), name });
}

QueuedRequest FairQueue::State::extractRequest(RequestId id, TimePoint now)
{
    auto found = requests.find(id);
    assert(found != requests.end() && "only a queued request can be removed");
    QueuedRequest& request = found->second;
    findPool(request.poolName())->remove(request, now);
    byLatestStart.erase({ request.latestStart(), id });

    TeamBacklog& team = teams.at(request.team);
    ClassBacklog& requestClass = team.classes.at(request.requestClass);
    requestClass.byDeadline.erase({ request.deadline, id });
    requestClass.heldBytes -= queueFootprint(request);
    setHeldBytes(request.team, team, team.heldBytes - queueFootprint(request));
    --team.queuedCount;
    bytes -= request.bytes;

    QueuedRequest extracted = std::move(request);
    requests.erase(found);
    return extracted;
}

std::vector<QueuedRequest> FairQueue::State::extractRequests(const std::vector<RequestId>& ids, TimePoint now)
{
    std::vector<QueuedRequest> extracted;
    extracted.reserve(ids.size());
    for (RequestId id : ids)
        extracted.push_back(extractRequest(id, now));
    return extracted;
}

std::vector<RequestId> FairQueue::State::findRequestsWithoutPolicy(const std::map<std::string, const TeamPolicy*>& policiesByName) const
{
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests) {
        auto team = policiesByName.find(request.team);
        const ClassPolicy* policyOfClass = team == policiesByName.end() ? nullptr : findClass(*team->second, request.requestClass);
        if (!policyOfClass)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

FairQueue::FairQueue(const SharePolicy& policy)
    : m_state(std::make_unique<State>())
{
    m_state->policy = policy;
}

FairQueue::~FairQueue() = default;

std::vector<QueuedRequest> FairQueue::configure(const std::vector<TeamPolicy>& teams, TimePoint now)
{
    State& state = *m_state;
    std::map<std::string, const TeamPolicy*> policiesByName;
    for (const TeamPolicy& policy : teams) {
        assert(policy.weight > 0 && "a team's weight must be above zero");
        policiesByName.emplace(policy.name, &policy);
    }
    std::vector<QueuedRequest> removed = state.extractRequests(state.findRequestsWithoutPolicy(policiesByName), now);

    for (auto entry = state.teams.begin(); entry != state.teams.end();) {
        if (policiesByName.count(entry->first)) {
            ++entry;
            continue;
        }
        for (auto& [name, pool] : state.pools)
            pool->removeTeam(entry->first);
        entry = state.teams.erase(entry);
    }
    for (const auto& [name, policy] : policiesByName)
        setTeam(*policy, now);
    return removed;
}

void FairQueue::setTeam(const TeamPolicy& policy, TimePoint now)
{
    State& state = *m_state;
    TeamBacklog& team = state.teams[policy.name];
    std::size_t heldBytes = team.heldBytes;
    state.setHeldBytes(policy.name, team, 0);
    team.policy = policy;
    state.setHeldBytes(policy.name, team, heldBytes);

    std::map<std::string, ClassBacklog> classes;
    for (const ClassPolicy& classPolicy : policy.classes) {
        assert(classPolicy.weight > 0 && "a class's weight must be above zero");
        ClassBacklog& entry = classes[classPolicy.name];
        entry = std::move(team.classes[classPolicy.name]);
        entry.weight = classPolicy.weight;
    }
    team.classes = std::move(classes);
    for (auto& [name, pool] : state.pools) {
        if (pool->hasTeam(policy.name))
            pool->setTeam(policy, team.paused, now);
    }
}

bool FairQueue::enqueue(QueuedRequest request, TimePoint now)
{
    State& state = *m_state;
    auto found = state.teams.find(request.team);
    if (found == state.teams.end())
        return false;
    TeamBacklog& team = found->second;
    const ClassPolicy* classPolicy = findClass(team.policy, request.requestClass);
    if (!classPolicy || state.requests.count(request.id))
        return false;
    request.kind = classPolicy->kind;
    request.enqueuedAt = now;

    RequestId id = request.id;
    const QueuedRequest& queued = state.requests.emplace(id, std::move(request)).first->second;
    state.byLatestStart.insert({ queued.latestStart(), id });
    ClassBacklog& requestClass = team.classes.at(queued.requestClass);
    requestClass.byDeadline.insert({ queued.deadline, id });
    requestClass.heldBytes += queueFootprint(queued);
    state.setHeldBytes(queued.team, team, team.heldBytes + queueFootprint(queued));
    ++team.queuedCount;
    state.bytes += queued.bytes;
    // A pool knows only the teams that have used it.
    PoolQueue& pool = state.findOrCreatePool(queued.poolName());
    if (!pool.hasTeam(queued.team))
        pool.setTeam(team.policy, team.paused, now);
    pool.add(queued, now);
    return true;
}

std::optional<QueuedRequest> FairQueue::pickNext(const CanStart& canStart, TimePoint now)
{
    State& state = *m_state;
    auto start = state.pools.lower_bound(state.nextPoolName);
    for (std::size_t i = 0; i < state.pools.size(); ++i) {
        if (start == state.pools.end())
            start = state.pools.begin();
        auto pool = start++;
        if (pool->second->empty())
            continue;
        const QueuedRequest* next = pool->second->pick(canStart, now);
        if (!next)
            continue;
        state.nextPoolName = start == state.pools.end() ? std::string() : start->first;
        return state.extractRequest(next->id, now);
    }
    return std::nullopt;
}

void FairQueue::settle(const QueuedRequest& request, double actualCost, TimePoint now)
{
    PoolQueue* pool = m_state->findPool(request.poolName());
    if (pool)
        pool->adjustCharge(request.team, request.requestClass, actualCost - request.cost, now);
}

std::optional<QueuedRequest> FairQueue::remove(RequestId id, TimePoint now)
{
    if (!m_state->requests.count(id))
        return std::nullopt;
    return m_state->extractRequest(id, now);
}

std::vector<QueuedRequest> FairQueue::expire(TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto& [latestStart, id] : m_state->byLatestStart) {
        if (latestStart >= now)
            break;
        expired.push_back(id);
    }
    return m_state->extractRequests(expired, now);
}

std::optional<QueuedRequest> FairQueue::evictFor(const QueuedRequest& newRequest, TimePoint now)
{
    State& state = *m_state;
    auto newRequestTeam = state.teams.find(newRequest.team);
    if (newRequestTeam == state.teams.end() || state.teamsByBytesPerWeight.empty())
        return std::nullopt;
    double newRequestRatio = bytesPerWeight(newRequestTeam->second.heldBytes + queueFootprint(newRequest), newRequestTeam->second.policy.weight);
    bool evictsOwnTeam = newRequestRatio >= state.teamsByBytesPerWeight.rbegin()->first;
    TeamBacklog& victim = evictsOwnTeam ? newRequestTeam->second : state.teams.at(state.teamsByBytesPerWeight.rbegin()->second);

    const ClassBacklog* largest = nullptr;
    double maxRatio = 0;
    bool largestIsNewRequestClass = false;
    for (const auto& [name, entry] : victim.classes) {
        bool isNewRequestClass = evictsOwnTeam && name == newRequest.requestClass;
        double ratio = bytesPerWeight(entry.heldBytes + (isNewRequestClass ? queueFootprint(newRequest) : 0), entry.weight);
        if (ratio <= maxRatio)
            continue;
        maxRatio = ratio;
        largest = &entry;
        largestIsNewRequestClass = isNewRequestClass;
    }
    if (!largest || largest->byDeadline.empty())
        return std::nullopt;
    auto [deadline, id] = *largest->byDeadline.rbegin();
    if (largestIsNewRequestClass && newRequest.deadline >= deadline)
        return std::nullopt;
    return state.extractRequest(id, now);
}

void FairQueue::setTeamPaused(const std::string& team, bool paused)
{
    auto found = m_state->teams.find(team);
    if (found == m_state->teams.end() || found->second.paused == paused)
        return;
    found->second.paused = paused;
    for (auto& [name, pool] : m_state->pools)
        pool->setTeamPaused(team, paused);
}

void FairQueue::refreshShares(TimePoint now)
{
    for (auto& [name, pool] : m_state->pools)
        pool->refresh(now);
}

void FairQueue::applyRemoteService(const ServiceSource& source, const ServiceCounter& counter, TimePoint now)
{
    m_state->findOrCreatePool(counter.pool).regionalShares().apply(source, counter, now);
}

void FairQueue::removeSource(const std::string& source)
{
    for (auto& [name, pool] : m_state->pools)
        pool->regionalShares().removeSource(source);
}

std::vector<ServiceCounter> FairQueue::servedCounters() const
{
    std::vector<ServiceCounter> counters;
    for (const auto& [name, pool] : m_state->pools)
        pool->appendCounters(name, counters);
    return counters;
}

std::optional<Duration> FairQueue::predictedWait(const QueuedRequest& request, TimePoint now) const
{
    const PoolQueue* pool = m_state->findPool(request.poolName());
    return pool ? pool->predictedWait(request, now) : Duration::zero();
}

std::optional<double> FairQueue::teamRate(const QueuedRequest& request, TimePoint now) const
{
    const PoolQueue* pool = m_state->findPool(request.poolName());
    return pool ? pool->teamRate(request.team, now) : std::nullopt;
}

double FairQueue::weightFactor(const std::string& team, const std::string& pool, TimePoint now) const
{
    const PoolQueue* found = m_state->findPool(pool);
    return found ? found->weightFactor(team, now) : 1;
}

bool FairQueue::contains(RequestId id) const
{
    return m_state->requests.count(id) > 0;
}

std::size_t FairQueue::size() const
{
    return m_state->requests.size();
}

std::size_t FairQueue::bytes() const
{
    return m_state->bytes;
}

std::size_t FairQueue::teamSize(const std::string& team) const
{
    auto found = m_state->teams.find(team);
    return found == m_state->teams.end() ? 0 : found->second.queuedCount;
}

std::size_t FairQueue::waiting(const std::string& pool, WorkKind kind) const
{
    const PoolQueue* found = m_state->findPool(pool);
    return found ? found->waiting(kind) : 0;
}

} // namespace catkinwing
