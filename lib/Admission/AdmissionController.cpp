#include "catkinwing/Admission/AdmissionController.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkinwing {

using Seconds = std::chrono::duration<double>;

/// Maximum number of requests evicted to admit one request.
static constexpr std::size_t maxEvictions = 64;
/// Minimum time between refreshes of the shares.
static constexpr Duration refreshInterval = std::chrono::milliseconds(500);
/// Safety factor on the predicted wait that allows for prediction errors.
static constexpr double waitSafetyFactor = 1.25;
/// Maximum retry-after time that is reported to a client.
static constexpr Duration maxRetryAfter = std::chrono::hours(1);

static double burstSize(const TeamPolicy& policy)
{
    return std::max(1.0, policy.limits.burst);
}

AdmissionController::AdmissionController(const AdmissionLimits& limits, const SharePolicy& shares, const ReservationPolicy& reservation)
    : m_limits(limits)
    , m_reservation(reservation)
    , m_queue(shares)
{
}

std::vector<DroppedRequest> AdmissionController::configure(const std::vector<TeamPolicy>& teams, TimePoint now)
{
    std::vector<DroppedRequest> dropped;
    for (QueuedRequest& request : m_queue.configure(teams, now))
        dropped.push_back(drop(std::move(request), { RefusalReason::PolicyRemoved, std::nullopt }));

    absl::flat_hash_map<std::string, TeamState> states;
    for (const TeamPolicy& policy : teams) {
        auto known = m_teams.find(policy.name);
        TeamState& state = states[policy.name];
        state = known == m_teams.end() ? makeTeamState(policy) : std::move(known->second);
        state.limits = policy.limits;
        state.rateBucket.configure(policy.limits.requestsPerSecond, burstSize(policy), now);
        state.classes.clear();
        for (const ClassPolicy& classPolicy : policy.classes)
            state.classes.insert(classPolicy.name);
    }
    m_teams = std::move(states);
    for (const TeamPolicy& policy : teams)
        updateTeamPaused(policy.name);
    return dropped;
}

AdmissionController::TeamState AdmissionController::makeTeamState(const TeamPolicy& policy) const
{
    TeamState state;
    state.rateBucket = RateBucket(policy.limits.requestsPerSecond, burstSize(policy));
    // A team that is added again may still have requests in flight from before.
    for (const auto& [id, request] : m_inFlight) {
        if (request.team != policy.name)
            continue;
        ++state.inFlight;
        ++state.requestsByCaller[request.caller];
    }
    return state;
}

void AdmissionController::setSlots(const std::string& pool, std::size_t total)
{
    findOrCreatePool(pool).slots = total;
}

AdmissionController::PoolState& AdmissionController::findOrCreatePool(const std::string& pool)
{
    auto [entry, isNew] = m_pools.try_emplace(pool);
    if (isNew)
        entry->second.reservation = SlotReservation(m_reservation);
    return entry->second;
}

AdmissionDecision AdmissionController::admit(QueuedRequest request, TimePoint now)
{
    AdmissionDecision decision;
    decision.refusal = refusalFor(request, now);
    if (decision.refusal)
        return decision;
    decision.refusal = evictForCapacity(request, now, decision.evicted);
    if (decision.refusal)
        return decision;
    TeamState& team = m_teams.at(request.team);
    if (team.limits.requestsPerSecond > 0)
        team.rateBucket.take(1, now);
    ++team.requestsByCaller[request.caller];
    std::string pool = request.poolName();
    m_queue.enqueue(std::move(request), now);
    recordShortWorkDemand(pool, now);
    return decision;
}

std::optional<Refusal> AdmissionController::refusalFor(const QueuedRequest& request, TimePoint now)
{
    auto found = m_teams.find(request.team);
    if (found == m_teams.end())
        return Refusal { RefusalReason::UnknownTeam, std::nullopt };
    if (!found->second.classes.contains(request.requestClass))
        return Refusal { RefusalReason::UnknownClass, std::nullopt };
    if (m_queue.contains(request.id) || m_inFlight.contains(request.id))
        return Refusal { RefusalReason::DuplicateId, std::nullopt };
    if (std::optional<Refusal> refusal = refusalByLimits(found->second, request, now))
        return refusal;
    return refusalByDeadline(request, now);
}

std::optional<Refusal> AdmissionController::refusalByLimits(TeamState& team, const QueuedRequest& request, TimePoint now) const
{
    auto caller = team.requestsByCaller.find(request.caller);
    bool hasCaller = !request.caller.empty();
    if (hasCaller && caller != team.requestsByCaller.end() && caller->second >= team.limits.requestsPerCaller)
        return Refusal { RefusalReason::CallerConcurrency, std::nullopt };
    if (m_queue.teamSize(request.team) >= team.limits.maxQueued)
        return Refusal { RefusalReason::TeamQueueFull, timeToDrain(request, now) };
    if (team.limits.requestsPerSecond <= 0)
        return std::nullopt;
    Duration wait = team.rateBucket.timeUntil(1, now);
    if (wait == Duration::zero())
        return std::nullopt;
    return Refusal { RefusalReason::RequestRate, wait };
}

std::optional<Refusal> AdmissionController::refusalByDeadline(const QueuedRequest& request, TimePoint now) const
{
    // The request would be late even without any wait, and so would a retry.
    if (request.latestStart() <= now)
        return Refusal { RefusalReason::PredictedLate, std::nullopt };
    std::optional<Duration> wait = m_queue.predictedWait(request, now);
    // The maximum wait that is admitted. A request refused now can still run elsewhere,
    // whereas one that expires in the queue has wasted its time.
    Duration allowed = std::chrono::duration_cast<Duration>((request.latestStart() - now) / waitSafetyFactor);
    if (!wait || *wait <= allowed)
        return std::nullopt;
    // Once the excess has drained, the same request is admitted.
    Duration excess = *wait - allowed;
    if (excess > maxRetryAfter)
        return Refusal { RefusalReason::PredictedLate, std::nullopt };
    return Refusal { RefusalReason::PredictedLate, excess };
}

std::optional<Duration> AdmissionController::timeToDrain(const QueuedRequest& request, TimePoint now) const
{
    std::optional<double> rate = m_queue.teamRate(request, now);
    if (!rate || *rate <= 0)
        return std::nullopt;
    double seconds = request.cost / *rate;
    if (seconds > Seconds(maxRetryAfter).count())
        return std::nullopt;
    return std::chrono::ceil<Duration>(Seconds(seconds));
}

std::optional<Refusal> AdmissionController::evictForCapacity(const QueuedRequest& request, TimePoint now, std::vector<DroppedRequest>& evicted)
{
    if (request.bytes > m_limits.maxQueuedBytes)
        return Refusal { RefusalReason::QueueBytesFull, std::nullopt };
    for (std::size_t i = 0; i < maxEvictions; ++i) {
        bool fitsCount = m_queue.size() < m_limits.maxQueuedRequests;
        if (fitsCount && m_queue.bytes() + request.bytes <= m_limits.maxQueuedBytes)
            return std::nullopt;
        std::optional<QueuedRequest> victim = m_queue.evictFor(request, now);
        if (!victim)
            return Refusal { fitsCount ? RefusalReason::QueueBytesFull : RefusalReason::QueueFull, timeToDrain(request, now) };
        std::optional<Duration> retryAfter = timeToDrain(*victim, now);
        evicted.push_back(drop(std::move(*victim), { RefusalReason::Evicted, retryAfter }));
    }
    return Refusal { RefusalReason::QueueBytesFull, timeToDrain(request, now) };
}

std::optional<QueuedRequest> AdmissionController::startNext(const CanStart& canStart, TimePoint now)
{
    auto mayStartNow = [&](const QueuedRequest& request) {
        auto pool = m_pools.find(request.poolName());
        if (pool != m_pools.end() && pool->second.slots) {
            const PoolState& state = pool->second;
            SlotUse use { *state.slots, state.shortInFlight, state.longInFlight };
            if (!state.reservation.mayStart(request.kind, use, now))
                return false;
        }
        return canStart(request);
    };
    collectExpired(now);
    std::optional<QueuedRequest> picked = m_queue.pickNext(mayStartNow, now);
    if (!picked)
        return std::nullopt;
    PoolState& pool = findOrCreatePool(picked->poolName());
    ++(picked->kind == WorkKind::Short ? pool.shortInFlight : pool.longInFlight);
    ++m_teams.at(picked->team).inFlight;
    m_inFlight.emplace(picked->id, *picked);
    updateTeamPaused(picked->team);
    return picked;
}

QueuedRequest AdmissionController::removeInFlight(RequestId id, double actualCost, TimePoint now)
{
    auto found = m_inFlight.find(id);
    assert(found != m_inFlight.end() && "only a request returned by startNext() can end");
    QueuedRequest request = std::move(found->second);
    m_inFlight.erase(found);
    PoolState& pool = findOrCreatePool(request.poolName());
    --(request.kind == WorkKind::Short ? pool.shortInFlight : pool.longInFlight);
    m_queue.settle(request, actualCost, now);
    auto team = m_teams.find(request.team);
    if (team != m_teams.end()) {
        --team->second.inFlight;
        updateTeamPaused(request.team);
    }
    return request;
}

bool AdmissionController::requeue(RequestId id, TimePoint now)
{
    QueuedRequest request = removeInFlight(id, 0, now);
    if (m_queue.enqueue(request, now))
        return true;
    releaseCaller(request);
    return false;
}

void AdmissionController::finish(RequestId id, double actualCost, TimePoint now)
{
    releaseCaller(removeInFlight(id, actualCost, now));
}

bool AdmissionController::remove(RequestId id, TimePoint now)
{
    std::optional<QueuedRequest> removed = m_queue.remove(id, now);
    if (removed) {
        releaseCaller(*removed);
        return true;
    }
    auto expired = std::find_if(m_expired.begin(), m_expired.end(), [id](const DroppedRequest& dropped) { return dropped.request.id == id; });
    if (expired == m_expired.end())
        return false;
    m_expired.erase(expired);
    return true;
}

void AdmissionController::collectExpired(TimePoint now)
{
    for (QueuedRequest& request : m_queue.expire(now))
        m_expired.push_back(drop(std::move(request), { RefusalReason::Expired, std::nullopt }));
}

std::vector<DroppedRequest> AdmissionController::expire(TimePoint now)
{
    collectExpired(now);
    std::vector<DroppedRequest> dropped = std::exchange(m_expired, {});
    if (now - m_refreshedAt < refreshInterval)
        return dropped;
    m_refreshedAt = now;
    m_queue.refreshShares(now);
    for (auto& [name, pool] : m_pools)
        recordShortWorkDemand(name, now);
    return dropped;
}

DroppedRequest AdmissionController::drop(QueuedRequest request, Refusal refusal)
{
    releaseCaller(request);
    return { std::move(request), refusal };
}

void AdmissionController::releaseCaller(const QueuedRequest& request)
{
    auto team = m_teams.find(request.team);
    if (team == m_teams.end())
        return;
    auto caller = team->second.requestsByCaller.find(request.caller);
    if (caller != team->second.requestsByCaller.end() && --caller->second == 0)
        team->second.requestsByCaller.erase(caller);
}

void AdmissionController::updateTeamPaused(const std::string& team)
{
    const TeamState& state = m_teams.at(team);
    m_queue.setTeamPaused(team, state.inFlight >= state.limits.maxInFlight);
}

void AdmissionController::recordShortWorkDemand(const std::string& pool, TimePoint now)
{
    PoolState& state = findOrCreatePool(pool);
    state.reservation.recordShortWorkDemand(state.shortInFlight, m_queue.waiting(pool, WorkKind::Short), now);
}

} // namespace catkinwing
