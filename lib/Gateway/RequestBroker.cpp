#include "catkinwing/Gateway/RequestBroker.h"

#include "catkinwing/Admission/RequestCost.h"
#include "catkinwing/Gateway/RequestRun.h"
#include <algorithm>
#include <cassert>

namespace catkinwing {

RequestBroker::RequestBroker(BrokerParts parts)
    : m_parts(std::move(parts))
{
}

RequestBroker::~RequestBroker() = default;

static ClassPolicy classPolicy(const RequestClass& requestClass)
{
    // A priority step doubles the class's weight inside its team.
    constexpr int largestStep = 10;
    ClassPolicy policy;
    policy.name = requestClass.name;
    policy.weight = static_cast<double>(1 << std::clamp(requestClass.priority, 0, largestStep));
    policy.kind = requestClass.shortRequest ? WorkKind::Short : WorkKind::Long;
    return policy;
}

static TeamPolicy teamPolicy(const TeamDocument& team)
{
    TeamPolicy policy;
    policy.name = team.name;
    policy.weight = team.share;
    for (const RequestClass& requestClass : team.classes)
        policy.classes.push_back(classPolicy(requestClass));
    policy.limits.maxInFlight = static_cast<std::size_t>(team.limits.maximumInFlight);
    policy.limits.maxQueued = static_cast<std::size_t>(team.limits.maximumQueued);
    policy.limits.requestsPerCaller = static_cast<std::size_t>(team.limits.maximumPerCaller);
    policy.limits.requestsPerSecond = team.limits.requestsPerSecond.value_or(0);
    policy.limits.burst = std::max(1.0, policy.limits.requestsPerSecond);
    return policy;
}

void RequestBroker::configure(const std::shared_ptr<const ConfigSnapshot>& snapshot)
{
    bool isGlobalNew = !m_snapshot || m_snapshot->global != snapshot->global;
    m_snapshot = snapshot;
    if (isGlobalNew) {
        m_retryBudget = RetryBudget(snapshot->global->retryBudgetFraction);
        m_hedgePolicy.enabled = snapshot->global->hedging.enabled;
        m_hedgePolicy.quantile = snapshot->global->hedging.percentile;
        m_hedgePolicy.minimumWait = snapshot->global->hedging.minimumDelay;
    }
    std::vector<TeamPolicy> teams;
    for (const auto& [name, team] : snapshot->teams)
        teams.push_back(teamPolicy(*team));
    dropAll(m_admission.configure(teams, m_parts.scheduler.clock().now()));
    schedulePump();
}

const TeamDocument* RequestBroker::team(const std::string& name) const
{
    return m_snapshot ? findTeam(*m_snapshot, name) : nullptr;
}

void RequestBroker::run(AcceptedRequest request, AnswerWriter answer)
{
    RequestId id = ++m_lastId;
    m_retryBudget.onRequest();
    request.routing.sequence = id;
    auto run = std::make_shared<RequestRun>(*this, id, std::move(request), std::move(answer));
    m_runs.emplace(id, run);
    run->begin();
}

OutputKey RequestBroker::outputKey(const AcceptedRequest& request) const
{
    return { request.team, request.requestClass.name, request.routing.model };
}

QueuedRequest RequestBroker::describe(const RequestRun& run)
{
    const AcceptedRequest& request = run.request();
    QueuedRequest queued;
    queued.id = run.id();
    queued.team = request.team;
    queued.requestClass = request.requestClass.name;
    queued.model = request.routing.model;
    queued.caller = request.caller;
    queued.bytes = request.http.body.size();
    queued.deadline = request.traits.deadline;
    double output = m_outputs.expectedOutput(outputKey(request), request.expectedOutputTokens);
    queued.cost = estimateCost({ request.routing.promptTokens, 0, output, request.outputWeight });
    absl::Span<const EndpointHandle> endpoints = m_parts.endpoints.cell().endpointsFor(request.routing.model);
    if (request.isModelCall && !endpoints.empty()) {
        const EndpointView& endpoint = m_parts.endpoints.cell().endpoint(endpoints.front());
        std::chrono::duration<double> service(request.routing.promptTokens / endpoint.prefillTokensPerSecond + output / endpoint.decodeTokensPerSecond);
        // Half of the deadline at the most: the estimate is rough, and a late
        // answer is found out at the deadline in any case.
        Duration most = (queued.deadline - m_parts.scheduler.clock().now()) / 2;
        queued.expectedService = std::min(std::chrono::duration_cast<Duration>(service), most);
    }
    return queued;
}

std::optional<Duration> RequestBroker::localPrediction(const RequestRun& run, const QueuedRequest& queued)
{
    TimePoint now = m_parts.scheduler.clock().now();
    PlacementResult placement = m_parts.endpoints.place(run.request().routing, now);
    Duration wait = m_admission.predictedWait(queued, now).value_or(Duration::zero());
    if (const Placement* place = std::get_if<Placement>(&placement))
        return wait + place->predictedTimeToFirstToken;
    if (std::get<NoPlacement>(placement).reason != NoPlacementReason::NoSlot)
        return std::nullopt;
    if (wait > Duration::zero())
        return wait;
    return predictedWaitFor(queued.model);
}

// Used where no drain rate has been measured yet: each slot takes one request
// of those ahead after another.
Duration RequestBroker::predictedWaitFor(const std::string& model) const
{
    const CellView& cell = m_parts.endpoints.cell();
    absl::Span<const EndpointHandle> endpoints = cell.endpointsFor(model);
    if (endpoints.empty() || cell.freeCredits(model) > 0)
        return Duration::zero();
    auto waiting = m_queuedByModel.find(model);
    std::size_t ahead = 1 + (waiting == m_queuedByModel.end() ? 0 : waiting->second);
    unsigned slots = std::max(1U, m_parts.endpoints.slotsOf(model));
    return cell.endpoint(endpoints.front()).requestDuration * ahead / slots;
}

void RequestBroker::noteQueued(const std::string& model, int change)
{
    std::size_t& count = m_queuedByModel[model];
    count = static_cast<std::size_t>(static_cast<std::int64_t>(count) + change);
}

void RequestBroker::admit(const std::shared_ptr<RequestRun>& run)
{
    TimePoint now = m_parts.scheduler.clock().now();
    AdmissionDecision decision = m_admission.admit(describe(*run), now);
    if (decision.admitted()) {
        run->m_phase = RequestRun::Phase::Waiting;
        run->m_queuedAt = now;
        noteQueued(run->request().routing.model, 1);
        schedulePump();
    }
    dropAll(decision.evicted);
    if (decision.refusal)
        run->drop(*decision.refusal);
}

void RequestBroker::dropAll(const std::vector<DroppedRequest>& dropped)
{
    for (const DroppedRequest& drop : dropped) {
        auto entry = m_runs.find(drop.request.id);
        if (entry == m_runs.end())
            continue;
        std::shared_ptr<RequestRun> run = entry->second;
        noteQueued(run->request().routing.model, -1);
        run->m_phase = RequestRun::Phase::Running;
        run->drop(drop.refusal);
    }
}

void RequestBroker::schedulePump()
{
    if (m_isPumpScheduled)
        return;
    m_isPumpScheduled = true;
    m_parts.scheduler.callAfter(Duration::zero(), [this] {
        m_isPumpScheduled = false;
        pump();
    });
}

void RequestBroker::pump()
{
    TimePoint now = m_parts.scheduler.clock().now();
    const CellView& cell = m_parts.endpoints.cell();
    CanStart canStart = [&cell](const QueuedRequest& request) { return cell.freeCredits(request.model) > 0; };
    while (std::optional<QueuedRequest> next = m_admission.startNext(canStart, now)) {
        auto entry = m_runs.find(next->id);
        assert(entry != m_runs.end() && "a queued request has a run");
        std::shared_ptr<RequestRun> run = entry->second;
        noteQueued(next->model, -1);
        run->m_phase = RequestRun::Phase::Running;
        run->m_isStarted = true;
        m_parts.metrics.observeQueueWait(next->requestClass, now - run->m_queuedAt);
        run->start();
    }
}

bool RequestBroker::putBack(RequestRun& run)
{
    if (!m_admission.requeue(run.id(), m_parts.scheduler.clock().now()))
        return false;
    run.m_isStarted = false;
    run.m_phase = RequestRun::Phase::Waiting;
    noteQueued(run.request().routing.model, 1);
    return true;
}

void RequestBroker::leaveQueue(RequestRun& run)
{
    if (!m_admission.remove(run.id(), m_parts.scheduler.clock().now()))
        return;
    noteQueued(run.request().routing.model, -1);
}

void RequestBroker::retire(RequestRun& run, double actualCost)
{
    if (run.m_isStarted)
        m_admission.finish(run.id(), actualCost, m_parts.scheduler.clock().now());
    run.m_isStarted = false;
    m_runs.erase(run.id());
    schedulePump();
}

static bool hasLiveEndpoint(const CellView& cell, const std::string& model)
{
    absl::Span<const EndpointHandle> endpoints = cell.endpointsFor(model);
    return std::any_of(endpoints.begin(), endpoints.end(), [&cell](EndpointHandle handle) { return cell.endpoint(handle).state == EndpointState::Live; });
}

// Nothing will free a slot for these, so holding them until their deadline
// would only keep their callers from going elsewhere.
void RequestBroker::moveStranded()
{
    std::vector<std::shared_ptr<RequestRun>> stranded;
    for (const auto& [id, run] : m_runs) {
        if (run->isWaiting() && !hasLiveEndpoint(m_parts.endpoints.cell(), run->request().routing.model))
            stranded.push_back(run);
    }
    for (const std::shared_ptr<RequestRun>& run : stranded) {
        leaveQueue(*run);
        run->m_phase = RequestRun::Phase::Running;
        run->moveOrRefuse();
    }
}

void RequestBroker::tick()
{
    TimePoint now = m_parts.scheduler.clock().now();
    dropAll(m_admission.expire(now));
    m_crashing.settleAndExpire(now);
    m_crashing.takeSettledNotices();
    moveStranded();
    for (const std::string& model : m_parts.endpoints.models())
        m_admission.setSlots(model, m_parts.endpoints.slotsOf(model));
    schedulePump();
}

void RequestBroker::refuseWaiting()
{
    std::vector<std::shared_ptr<RequestRun>> waiting;
    for (const auto& [id, run] : m_runs) {
        if (run->isWaiting())
            waiting.push_back(run);
    }
    for (const std::shared_ptr<RequestRun>& run : waiting) {
        leaveQueue(*run);
        ApiError error;
        error.status = 503;
        error.code = "draining";
        error.message = "this entry is shutting down; use another one";
        error.retryAfter = std::chrono::seconds(1);
        run->refuse(error);
    }
}

} // namespace catkinwing
