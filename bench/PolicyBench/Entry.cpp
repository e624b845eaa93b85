#include "Entry.h"

#include "catkinwing/Admission/RequestCost.h"
#include <algorithm>

namespace catkinwing::bench {

const char* const benchModel = "assistant";

/// The one team and class of a baseline's queue.
static constexpr const char* everyone = "everyone";
static constexpr double outputWeight = 4;
/// Output tokens assumed before any was learned.
static constexpr double outputPrior = 100;
static constexpr unsigned maxAttempts = 4;
static constexpr Duration firstBackoff = std::chrono::milliseconds(20);
/// Keeps a baseline's queue from dropping by deadline; its order is by arrival.
static constexpr Duration farDeadline = std::chrono::hours(1);

using Seconds = std::chrono::duration<double>;

static std::vector<TeamPolicy> teamPolicies(const Scenario& scenario, bool ours)
{
    if (!ours) {
        TeamPolicy team;
        team.name = everyone;
        team.classes = { { everyone, 1, WorkKind::Short } };
        return { team };
    }
    std::vector<TeamPolicy> teams;
    for (const TeamPlan& plan : scenario.teams) {
        TeamPolicy team;
        team.name = plan.name;
        team.weight = plan.share;
        for (const ClassPlan& requestClass : scenario.classes)
            team.classes.push_back({ requestClass.name, requestClass.weight, requestClass.kind });
        teams.push_back(std::move(team));
    }
    return teams;
}

static OutlierPolicy outlierPolicy(const PolicySettings& policy)
{
    OutlierPolicy outliers = policy.outliers;
    outliers.slowStart = policy.slowStart;
    // The baselines set aside what fails, and know nothing of latency.
    if (!policy.ours)
        outliers.latencyFactor = 1e9;
    return outliers;
}

Entry::Entry(const EntryParts& parts, std::string name, std::string zone, std::string region, std::uint64_t seed)
    : m_parts(parts)
    , m_forwarding(parts.policy.forwarding)
    , m_name(std::move(name))
    , m_random(seed)
    , m_cell(std::move(region), std::move(zone))
    , m_prefixes(parts.policy.prefixes)
    , m_outliers(outlierPolicy(parts.policy))
    , m_admission({}, parts.policy.shares, parts.policy.reservation)
{
    auto isOwnZone = [this](const ZonePlan& plan) { return plan.name == this->zone(); };
    m_forwarding.senders = static_cast<unsigned>(std::find_if(parts.scenario.zones.begin(), parts.scenario.zones.end(), isOwnZone)->entries);
    m_admission.configure(teamPolicies(parts.scenario, parts.policy.ours), now());
}

void Entry::begin(const RunPointer& run)
{
    run->origin = this;
    run->entry = this;
    m_retryBudget.onRequest();
    run->routing.sequence = ++m_sequence;
    std::optional<Duration> prediction;
    if (m_parts.policy.ours)
        prediction = localPrediction(*run, describe(*run));
    bool hasRoom = !m_parts.policy.ours && m_waiting == 0 && m_cell.freeCredits(benchModel) > 0;
    if (!hasRoom && tryForward(run, prediction))
        return;
    recordRouted(m_forwardState, m_forwarding, false, now());
    admit(run);
}

void Entry::receive(const RunPointer& run)
{
    if (run->phase == RequestRun::Phase::Done)
        return;
    run->entry = this;
    run->routing.sequence = ++m_sequence;
    if (checkReceivedForward(run->routing, zone(), region()))
        refuse(run);
    else
        admit(run);
}

QueuedRequest Entry::describe(const RequestRun& run)
{
    QueuedRequest queued;
    queued.id = run.id;
    queued.model = benchModel;
    double output = m_outputs.expectedOutput({ run.traced->team, run.traced->requestClass, benchModel }, outputPrior);
    queued.cost = estimateCost({ run.routing.promptTokens, 0, output, outputWeight });
    if (!m_parts.policy.ours) {
        queued.team = everyone;
        queued.requestClass = everyone;
        queued.deadline = now() + farDeadline;
        return queued;
    }
    queued.team = run.traced->team;
    queued.requestClass = run.traced->requestClass;
    queued.deadline = run.deadline;
    const EndpointView& endpoint = m_cell.endpoint(m_cell.endpointsFor(benchModel).front());
    Seconds service(run.routing.promptTokens / endpoint.prefillTokensPerSecond + output / endpoint.decodeTokensPerSecond);
    Duration most = (queued.deadline - now()) / 2;
    queued.expectedService = std::min(std::chrono::duration_cast<Duration>(service), most);
    return queued;
}

std::optional<Duration> Entry::localPrediction(const RequestRun& run, const QueuedRequest& queued)
{
    PlacementResult placement = choosePlacement(run.routing, m_cell, m_prefixes, m_parts.policy.routing, m_random, now());
    Duration wait = m_admission.predictedWait(queued, now()).value_or(Duration::zero());
    if (const Placement* place = std::get_if<Placement>(&placement))
        return wait + place->predictedTimeToFirstToken;
    if (std::get<NoPlacement>(placement).reason != NoPlacementReason::NoSlot)
        return std::nullopt;
    return wait > Duration::zero() ? wait : plainWait();
}

void Entry::admit(const RunPointer& run)
{
    m_runs[run->id] = run;
    AdmissionDecision decision = m_admission.admit(describe(*run), now());
    if (decision.admitted()) {
        run->phase = RequestRun::Phase::Waiting;
        noteWaiting(*run, 1);
        schedulePump();
    }
    dropAll(decision.evicted);
    if (decision.refusal)
        drop(run, *decision.refusal);
}

void Entry::dropAll(const std::vector<DroppedRequest>& dropped)
{
    for (const DroppedRequest& each : dropped) {
        RunPointer run = m_runs.at(each.request.id);
        noteWaiting(*run, -1);
        drop(run, each.refusal);
    }
}

void Entry::drop(const RunPointer& run, const Refusal& refusal)
{
    m_runs.erase(run->id);
    run->phase = RequestRun::Phase::Travelling;
    bool mayGoElsewhere = refusal.reason == RefusalReason::PredictedLate || refusal.reason == RefusalReason::QueueFull || refusal.reason == RefusalReason::Evicted;
    if (!mayGoElsewhere || !tryForward(run, std::nullopt))
        refuse(run);
}

void Entry::noteWaiting(const RequestRun& run, int change)
{
    std::size_t& waiting = m_waitingByTeam[run.traced->team];
    waiting = static_cast<std::size_t>(static_cast<std::int64_t>(waiting) + change);
    m_waiting = static_cast<std::size_t>(static_cast<std::int64_t>(m_waiting) + change);
}

void Entry::schedulePump()
{
    if (m_pumpScheduled)
        return;
    m_pumpScheduled = true;
    m_parts.scheduler.callAfter(Duration::zero(), [this] {
        m_pumpScheduled = false;
        pump();
    });
}

void Entry::pump()
{
    CanStart canStart = [this](const QueuedRequest& request) { return m_cell.freeCredits(request.model) > 0; };
    while (std::optional<QueuedRequest> next = m_admission.startNext(canStart, now())) {
        RunPointer run = m_runs.at(next->id);
        noteWaiting(*run, -1);
        run->started = true;
        m_parts.measures.recordService(region(), run->traced->team, next->cost);
        start(run);
    }
}

void Entry::start(const RunPointer& run)
{
    run->phase = RequestRun::Phase::Running;
    PlacementResult result = choosePlacement(run->routing, m_cell, m_prefixes, m_parts.policy.routing, m_random, now());
    if (const Placement* placement = std::get_if<Placement>(&result)) {
        startAt(run, *placement);
        return;
    }
    if (std::get<NoPlacement>(result).reason == NoPlacementReason::NoSlot && m_admission.requeue(run->id, now())) {
        run->started = false;
        run->phase = RequestRun::Phase::Waiting;
        noteWaiting(*run, 1);
        return;
    }
    retire(run, 0);
    if (!tryForward(run, std::nullopt))
        refuse(run);
}

void Entry::startAt(const RunPointer& run, const Placement& placement)
{
    const EndpointView& view = m_cell.endpoint(placement.endpoint);
    run->engine = m_engines.at(view.name);
    run->placement = placement;
    run->sentAt = now();
    run->firstTokenAt.reset();
    run->routing.triedEndpoints.push_back(view.name);
    ++run->attempts;
    m_cell.recordDispatch(placement.endpoint, placement.prefillTokens, now());
    m_prefixes.recordDispatch(placement.endpoint, run->routing.prefixHashes);
    EngineRequest request;
    request.hashes = run->routing.prefixHashes;
    request.promptTokens = run->routing.promptTokens;
    request.outputTokens = run->traced->outputTokens;
    request.priority = run->plan->kind == WorkKind::Short ? 0 : 1;
    request.onFirstToken = [this, run] { firstToken(run); };
    request.onDone = [this, run] { end(run, Ending::Answered); };
    request.onFailed = [this, run](bool mayHaveRun) { attemptFailed(run, mayHaveRun); };
    run->job = run->engine->submit(std::move(request));
}

void Entry::firstToken(const RunPointer& run)
{
    run->firstTokenAt = now();
    m_cell.recordFirstToken(run->placement.endpoint, run->placement.prefillTokens);
    if (!run->timeToFirstToken)
        run->timeToFirstToken = now() + run->returnDelay - run->arrivedAt;
}

void Entry::settle(const RunPointer& run, AttemptEnd attemptEnd)
{
    if (!run->engine)
        return;
    EndpointHandle handle = run->placement.endpoint;
    if (!run->firstTokenAt)
        m_cell.recordFirstToken(handle, run->placement.prefillTokens);
    m_cell.recordRequestEnded(handle, now());
    bool failed = attemptEnd == AttemptEnd::Unreachable || attemptEnd == AttemptEnd::Failed;
    EndpointOutcome outcome { m_cell.endpoint(handle).name, benchModel, "1", failed, std::nullopt, attemptEnd == AttemptEnd::Unreachable };
    if (attemptEnd == AttemptEnd::Whole && run->traced->outputTokens > 1) {
        Duration decodeTime = now() - *run->firstTokenAt;
        double tokens = run->traced->outputTokens - 1;
        outcome.latency = std::chrono::duration_cast<Duration>(decodeTime / tokens);
        m_cell.modify(handle, [&](EndpointView& view) { updateSpeeds(view, { 0, Duration::zero(), tokens, decodeTime, now() - run->sentAt }); });
    }
    run->engine = nullptr;
    m_outliers.record(outcome, now());
    if (failed) {
        m_outliers.evaluate(now());
        refreshEndpoints();
    }
    schedulePump();
}

void Entry::attemptFailed(const RunPointer& run, bool mayHaveRun)
{
    if (run->phase != RequestRun::Phase::Running || run->entry != this || !run->engine)
        return;
    settle(run, mayHaveRun ? AttemptEnd::Failed : AttemptEnd::Unreachable);
    if (!takeRetry(run, mayHaveRun)) {
        retire(run, 0);
        return;
    }
    m_parts.scheduler.callAfter(backoff(*run), [this, run] {
        if (run->phase == RequestRun::Phase::Running && run->entry == this && run->started)
            start(run);
    });
}

bool Entry::takeRetry(const RunPointer& run, bool mayHaveRun)
{
    bool repeatable = !mayHaveRun || run->traced->idempotent;
    if (repeatable && run->attempts < maxAttempts && m_retryBudget.tryRetry()) {
        ++run->retries;
        return true;
    }
    m_parts.network.ended(run, mayHaveRun ? Ending::Failed : Ending::Refused);
    return false;
}

Duration Entry::backoff(const RequestRun& run)
{
    Duration most = firstBackoff * (1U << std::min(run.retries, 5U));
    return std::chrono::duration_cast<Duration>(most * m_random.unit());
}

void Entry::end(const RunPointer& run, Ending ending)
{
    settle(run, AttemptEnd::Whole);
    m_outputs.recordOutput({ run->traced->team, run->traced->requestClass, benchModel }, run->traced->outputTokens);
    retire(run, estimateCost({ run->routing.promptTokens, 0, static_cast<double>(run->traced->outputTokens), outputWeight }));
    m_parts.network.ended(run, ending);
}

void Entry::retire(const RunPointer& run, double cost)
{
    if (run->started)
        m_admission.finish(run->id, cost, now());
    run->started = false;
    m_runs.erase(run->id);
    schedulePump();
}

void Entry::giveUp(const RunPointer& run)
{
    if (run->phase == RequestRun::Phase::Waiting && m_admission.remove(run->id, now()))
        noteWaiting(*run, -1);
    abandon(run);
}

void Entry::abandon(const RunPointer& run)
{
    bool reached = run->engine != nullptr;
    if (reached) {
        run->engine->cancel(run->job);
        settle(run, AttemptEnd::Cancelled);
    }
    retire(run, reached ? estimateCost({ run->routing.promptTokens, 0, 0, outputWeight }) : 0);
}

void Entry::expire()
{
    dropAll(m_admission.expire(now()));
    if (m_parts.policy.ours)
        m_admission.setSlots(benchModel, slots());
    schedulePump();
}

} // namespace catkinwing::bench
