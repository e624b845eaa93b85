#include "catkinwing/Gateway/RequestRun.h"

#include "catkinwing/Admission/RequestCost.h"
#include "catkinwing/Gateway/AttemptRequest.h"
#include "catkinwing/Gateway/CallerRequest.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace catkinwing {

/// Bytes waiting for a slow reader beyond which the endpoint is slowed.
static constexpr std::size_t maxPendingBytes = 256u << 10;
/// Answers up to this size are held until they are whole, so that one that is
/// cut can be asked for again.
static constexpr std::size_t maxHeldAnswer = 256u << 10;
/// Longest body of a failure. It is kept until the attempt has ended.
static constexpr std::size_t maxRefusalBody = 64u << 10;
/// Header by which an endpoint that refuses says that it is leaving.
static constexpr const char* endpointStateHeader = "Catkinwing-State";

RequestRun::RequestRun(RequestBroker& broker, RequestId id, AcceptedRequest request, AnswerWriter answer)
    : m_broker(broker)
    , m_id(id)
    , m_request(std::move(request))
    , m_answer(std::move(answer))
    , m_attempts(m_request.traits.isIdempotent)
{
}

static TimePoint nowOf(const RequestBroker& broker)
{
    return broker.parts().scheduler.clock().now();
}

void RequestRun::begin()
{
    auto self = shared_from_this();
    Scheduler& scheduler = m_broker.m_parts.scheduler;
    m_deadlineTimer = scheduler.callAfter(m_request.traits.deadline - nowOf(m_broker), [self] { self->deadlinePassed(); });
    m_answer.responder().onClosed([self] { self->callerGone(); });
    if (!m_answer.responder().isOpen()) {
        callerGone();
        return;
    }
    if (m_request.routing.hop == 0) {
        std::optional<Duration> prediction = m_broker.localPrediction(*this, m_broker.describe(*this));
        if (tryForward(prediction))
            return;
        if (!prediction) {
            refuse(noEndpointError());
            return;
        }
        m_broker.m_parts.remoteCells.noteKept(m_request.routing.model, nowOf(m_broker));
    }
    m_broker.admit(self);
}

bool RequestRun::isAllowedHere() const
{
    const TeamDocument* team = m_broker.team(m_request.team);
    if (!team)
        return false;
    Residency residency = stricterOf(m_request.routing.residency, residencyOf(*team));
    return isAllowed(residency, m_broker.m_parts.region);
}

std::chrono::milliseconds RequestRun::timeLeft() const
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_request.traits.deadline - nowOf(m_broker));
    return std::max(left, std::chrono::milliseconds(1));
}

static ApiError residencyError()
{
    ApiError error;
    error.status = 421;
    error.code = "outside_residency";
    error.message = "the team's data may not be processed in this region";
    return error;
}

void RequestRun::start()
{
    if (!isAllowedHere()) {
        refuse(residencyError());
        return;
    }
    if (refuseIfCrashing())
        return;
    PlacementResult result = m_broker.m_parts.endpoints.place(m_request.routing, nowOf(m_broker));
    if (const Placement* placement = std::get_if<Placement>(&result)) {
        startAt(*placement);
        return;
    }
    NoPlacementReason reason = std::get<NoPlacement>(result).reason;
    if (reason == NoPlacementReason::NoSlot && m_broker.putBack(*this))
        return;
    moveOrRefuse();
}

void RequestRun::moveOrRefuse()
{
    if (!tryForward(std::nullopt))
        refuse(noEndpointError());
}

ApiError RequestRun::noEndpointError() const
{
    ApiError error;
    error.status = 503;
    error.code = "no_endpoint";
    error.message = absl::StrCat("no endpoint in reach takes new work for ", m_request.routing.model);
    error.outcome = m_attempts.mayHaveRun() ? Outcome::Unknown : Outcome::NotRun;
    error.retryAfter = std::chrono::seconds(1);
    return error;
}

bool RequestRun::tryForward(std::optional<Duration> localPrediction)
{
    if (m_request.routing.hop > 0)
        return false;
    // The residency in force counts, not the one at arrival.
    const TeamDocument* team = m_broker.team(m_request.team);
    if (!team)
        return false;
    RoutingRequest routing = m_request.routing;
    routing.residency = stricterOf(routing.residency, residencyOf(*team));
    routing.timeLeft = m_request.traits.deadline - nowOf(m_broker);
    std::optional<ForwardTarget> target = m_broker.m_parts.remoteCells.chooseForward(routing, m_request.session, localPrediction, nowOf(m_broker));
    if (!target)
        return false;
    m_request.routing.residency = routing.residency;
    startForward(*target);
    return true;
}

void RequestRun::startForward(const ForwardTarget& target)
{
    absl::optional<AttemptId> id = m_attempts.start();
    assert(id && "an attempt was allowed");
    m_phase = Phase::Running;
    m_request.routing.visitedZones.push_back(target.zone);
    m_broker.m_parts.metrics.count(target.isOtherRegion ? "forwards_to_regions" : "forwards_to_zones");
    Attempt attempt;
    attempt.target = AttemptTarget::Entry;
    attempt.forward = target;
    attempt.startedAt = nowOf(m_broker);
    m_attemptData.emplace(*id, std::move(attempt));
    send(*id, forwardRequest(target, *id));
}

void RequestRun::startAt(const Placement& placement)
{
    EndpointRegistry& endpoints = m_broker.m_parts.endpoints;
    const EndpointSettings* settings = endpoints.settings(placement.endpoint);
    assert(settings && "an endpoint that was chosen is known");
    absl::optional<AttemptId> id = m_attempts.start();
    assert(id && "an attempt was allowed");
    ++m_endpointAttempts;
    m_request.routing.triedEndpoints.push_back(settings->name);
    m_request.traits.canResume = settings->capabilities.resume;
    Attempt attempt;
    attempt.endpoint = placement.endpoint;
    attempt.prefillTokens = placement.prefillTokens;
    attempt.startHash = startHash(settings->name);
    attempt.startedAt = nowOf(m_broker);
    m_attemptData.emplace(*id, std::move(attempt));
    endpoints.began(placement.endpoint, m_request.routing, placement.prefillTokens, nowOf(m_broker));
    send(*id, endpointRequest(*settings, *id));
    scheduleHedge();
}

HttpClientRequest RequestRun::endpointRequest(const EndpointSettings& settings, AttemptId id) const
{
    return catkinwing::endpointRequest(m_request, settings, { id, m_resumeFrom, timeLeft(), m_broker.m_parts.self, m_broker.m_parts.zone, m_request.routing.residency });
}

HttpClientRequest RequestRun::forwardRequest(const ForwardTarget& target, AttemptId id) const
{
    return catkinwing::forwardRequest(m_request, target, { id, 0, timeLeft(), m_broker.m_parts.self, m_broker.m_parts.zone, m_request.routing.residency });
}

void RequestRun::send(AttemptId id, HttpClientRequest request)
{
    auto self = shared_from_this();
    Attempt& attempt = m_attemptData.at(id);
    HttpClient& client = attempt.target == AttemptTarget::Entry ? m_broker.m_parts.peerClient : m_broker.m_parts.endpointClient;
    HttpClientCallbacks callbacks;
    callbacks.onHead = [self, id](const HttpResponseHead& head) { self->onHead(id, head); };
    callbacks.onBody = [self, id](absl::string_view bytes) { self->onBody(id, bytes); };
    callbacks.onEnd = [self, id](const HttpResult& result) { self->onEnd(id, result); };
    attempt.bufferedBytes = std::make_unique<BufferedBytes>(m_broker.m_answerBuffers);
    attempt.heldBytes = std::make_unique<HeldBytes>(m_broker.m_parts.clientMemory, HeldFor::Answer);
    attempt.exchange = client.send(std::move(request), std::move(callbacks));
}

void RequestRun::onHead(AttemptId id, const HttpResponseHead& head)
{
    Attempt& attempt = m_attemptData.at(id);
    attempt.head = head;
    if (attempt.target == AttemptTarget::Endpoint)
        m_broker.m_crashing.recordEndpointAlive(attempt.startHash, nowOf(m_broker));
    attempt.isDeliverable = isDeliverableHead(attempt.target, head);
    const std::string* type = head.headers.find("Content-Type");
    attempt.isEventStream = attempt.isDeliverable && type && absl::StartsWithIgnoreCase(*type, "text/event-stream") && m_request.isModelCall;
    // What a plain service sends piece by piece is handed on piece by piece.
    attempt.isHeld = !attempt.isEventStream && (m_request.isModelCall || head.headers.find("Content-Length"));
}

bool RequestRun::offer(AttemptId id)
{
    bool wasCurrent = m_attempts.current() && *m_attempts.current() == id;
    DeliveryDecision decision = m_attempts.offer(id);
    cancelAttempts(decision.cancel);
    if (decision.deliver && !wasCurrent) {
        Attempt& attempt = m_attemptData.at(id);
        if (attempt.isEventStream)
            m_splicer.beginAttempt(parseResumeFrom(attempt.head->headers).value_or(0));
    }
    return decision.deliver;
}

void RequestRun::noteFirstToken(Attempt& attempt)
{
    if (attempt.firstTokenAt)
        return;
    attempt.firstTokenAt = nowOf(m_broker);
    if (attempt.target == AttemptTarget::Endpoint)
        m_broker.m_parts.endpoints.firstToken(attempt.endpoint, attempt.prefillTokens);
    if (m_firstTokenAt)
        return;
    m_firstTokenAt = attempt.firstTokenAt;
    Duration time = *m_firstTokenAt - m_request.arrivedAt;
    m_broker.m_parts.metrics.observeFirstToken(m_request.requestClass.name, time);
    m_broker.m_firstTokenTimes[m_request.routing.model].record(*m_firstTokenAt - attempt.startedAt);
}

void RequestRun::onBody(AttemptId id, absl::string_view bytes)
{
    Attempt& attempt = m_attemptData.at(id);
    if (!attempt.isDeliverable) {
        attempt.buffered.append(bytes.data(), bytes.size());
        if (!mayKeep(attempt, attempt.buffered.size()) || attempt.buffered.size() > maxRefusalBody)
            stopReading(id, HttpEnd::Malformed, "failure too long");
        return;
    }
    if (attempt.isEventStream) {
        onEvents(id, bytes);
        return;
    }
    attempt.buffered.append(bytes.data(), bytes.size());
    bool mayHold = mayKeep(attempt, attempt.buffered.size()) && attempt.buffered.size() <= maxHeldAnswer;
    if (attempt.isHeld && mayHold && !m_answer.hasHead())
        return;
    if (!offer(id))
        return;
    noteFirstToken(attempt);
    mayKeep(attempt, 0);
    deliver(attempt, std::exchange(attempt.buffered, {}));
}

// What follows the terminal event belongs to no answer, and a broken stream can't go on.
void RequestRun::onEvents(AttemptId id, absl::string_view bytes)
{
    if (!offer(id))
        return;
    if (m_splicer.state() == SseState::Complete) {
        stopReading(id, HttpEnd::Complete, "bytes after the terminal event");
        return;
    }
    Attempt& attempt = m_attemptData.at(id);
    std::string events = m_splicer.feed(bytes);
    if (!events.empty()) {
        noteFirstToken(attempt);
        deliver(attempt, std::move(events));
    }
    if (m_phase == Phase::Done)
        return;
    if (!mayKeep(attempt, m_splicer.partialBytes()) || m_splicer.state() == SseState::Broken)
        stopReading(id, HttpEnd::Malformed, "not an event stream");
}

bool RequestRun::mayKeep(const Attempt& attempt, std::size_t bytes) const
{
    attempt.bufferedBytes->set(bytes);
    attempt.heldBytes->set(bytes);
    return m_broker.m_answerBuffers.mayHold(bytes);
}

void RequestRun::stopReading(AttemptId id, HttpEnd end, const char* reason)
{
    m_attemptData.at(id).exchange->cancel();
    onEnd(id, { end, true, reason });
}

void RequestRun::deliver(Attempt& attempt, std::string bytes)
{
    if (!m_answer.hasHead())
        m_answer.sendHead(*attempt.head);
    m_deliveredBytes += bytes.size();
    m_answer.write(std::move(bytes));
    if (m_isPaused || m_answer.responder().pendingBytes() < maxPendingBytes)
        return;
    m_isPaused = true;
    attempt.exchange->pause();
    m_answer.responder().onWritable([self = shared_from_this()] { self->relieveBackPressure(); });
}

void RequestRun::relieveBackPressure()
{
    if (!m_isPaused || m_phase == Phase::Done)
        return;
    m_isPaused = false;
    for (auto& [id, attempt] : m_attemptData) {
        if (!attempt.hasEnded)
            attempt.exchange->resume();
    }
}

// An engine's answer that is held back is checked before it is handed on: what
// is not JSON is no answer, whatever its status says.
bool RequestRun::isGarbage(const Attempt& attempt, const AttemptResult& concluded) const
{
    bool isHeldAnswer = m_request.isModelCall && attempt.target == AttemptTarget::Endpoint && !attempt.isEventStream && !m_answer.hasHead();
    return isHeldAnswer && concluded.outcome == Outcome::Completed && !nlohmann::json::accept(attempt.buffered);
}

AttemptResult RequestRun::conclude(Attempt& attempt, const HttpResult& result)
{
    AttemptResult concluded = classifyAttempt(attempt.target, result, attempt.head ? &*attempt.head : nullptr);
    if (isGarbage(attempt, concluded)) {
        m_broker.m_parts.metrics.count("garbage_answers");
        concluded.outcome = Outcome::Unknown;
        concluded.hasWholeAnswer = false;
    }
    if (!attempt.isEventStream)
        return concluded;
    // A stream is whole only by its terminal event, whatever the connection says.
    bool isCurrent = m_attempts.current() && &m_attemptData.at(*m_attempts.current()) == &attempt;
    if (!isCurrent) {
        concluded.outcome = Outcome::Unknown;
        concluded.hasWholeAnswer = false;
        return concluded;
    }
    std::string rest = m_splicer.endAttempt(result.end == HttpEnd::Complete);
    if (!rest.empty())
        deliver(attempt, std::move(rest));
    bool isWhole = m_splicer.state() == SseState::Complete;
    concluded.outcome = isWhole ? Outcome::Completed : Outcome::Unknown;
    concluded.hasWholeAnswer = isWhole;
    return concluded;
}

void RequestRun::settle(Attempt& attempt, bool failed, bool unreachable)
{
    if (attempt.hasEnded)
        return;
    attempt.hasEnded = true;
    if (attempt.isEventStream)
        mayKeep(attempt, 0);
    if (attempt.forward) {
        m_broker.m_parts.remoteCells.noteEnded(*attempt.forward);
        return;
    }
    EndpointUse use;
    use.endpoint = attempt.endpoint;
    use.prefillTokens = attempt.prefillTokens;
    use.failed = failed;
    use.unreachable = unreachable;
    use.gotFirstToken = attempt.firstTokenAt.has_value();
    use.total = nowOf(m_broker) - attempt.startedAt;
    if (attempt.firstTokenAt)
        use.timeToFirstToken = *attempt.firstTokenAt - attempt.startedAt;
    if (attempt.isEventStream)
        use.outputTokens = static_cast<double>(m_splicer.summary().events);
    m_broker.m_parts.endpoints.ended(use, nowOf(m_broker));
}

void RequestRun::onEnd(AttemptId id, const HttpResult& result)
{
    if (m_phase == Phase::Done)
        return;
    Attempt& attempt = m_attemptData.at(id);
    AttemptResult concluded = conclude(attempt, result);
    learnCrash(attempt, result, concluded.outcome);
    bool isRefusal = attempt.target == AttemptTarget::Endpoint && concluded.outcome == Outcome::NotRun && concluded.status != 0;
    if (isRefusal)
        noteRefusal(attempt);
    settle(attempt, concluded.outcome != Outcome::Completed && !isRefusal, result.end == HttpEnd::ConnectFailed);
    std::vector<AttemptId> cancel;
    RequestState state = m_attempts.finish(id, concluded, cancel);
    cancelAttempts(cancel);
    if (state == RequestState::Completed)
        complete(attempt);
    else if (state == RequestState::Failed)
        afterFailure(attempt, concluded);
}

// An endpoint that refuses because it is leaving says so; any other refusal is
// of a busy one and says nothing of its health.
void RequestRun::noteRefusal(const Attempt& attempt)
{
    m_broker.m_parts.metrics.count("endpoint_refusals");
    const std::string* state = attempt.head->headers.find(endpointStateHeader);
    if (state && *state == "leaving")
        m_broker.m_parts.endpoints.applyRefusal(attempt.endpoint, nowOf(m_broker));
}

void RequestRun::cancelAttempts(const std::vector<AttemptId>& ids)
{
    for (AttemptId id : ids) {
        Attempt& attempt = m_attemptData.at(id);
        if (attempt.hasEnded)
            continue;
        attempt.exchange->cancel();
        settle(attempt, false);
    }
}

void RequestRun::cancelAll()
{
    std::vector<AttemptId> ids;
    for (const auto& [id, attempt] : m_attemptData)
        ids.push_back(id);
    cancelAttempts(ids);
}

void RequestRun::afterFailure(const Attempt& attempt, const AttemptResult& failure)
{
    RequestProgress progress;
    progress.attempts = static_cast<unsigned>(m_attempts.started());
    progress.mayHaveRun = m_attempts.mayHaveRun();
    progress.deliveredBytes = m_deliveredBytes;
    progress.deliveredEvents = m_splicer.deliveredEvents();
    bool hasBudget = m_broker.m_retryBudget.available() >= 1;
    FailureDecision decision = decideAfterFailure(m_request.traits, progress, failure, m_broker.m_retryPolicy, hasBudget, nowOf(m_broker), m_broker.m_parts.random);
    if (decision.action == FailureAction::Fail) {
        // An answer that is whole, although it is a failure, is the caller's.
        if (failure.hasWholeAnswer && !m_answer.hasHead()) {
            m_answer.send(*attempt.head, attempt.buffered, decision.outcome);
            end(outcomeWord(decision.outcome), false, true);
            return;
        }
        failWith(failure, decision);
        return;
    }
    m_broker.m_retryBudget.tryRetry();
    m_broker.m_parts.metrics.count("retries");
    m_resumeFrom = decision.action == FailureAction::Resume ? decision.resumeFromEvent : 0;
    m_retryTimer = m_broker.m_parts.scheduler.callAfter(decision.backoff, [self = shared_from_this()] { self->retry(); });
}

void RequestRun::retry()
{
    m_retryTimer = 0;
    if (m_phase == Phase::Done)
        return;
    if (m_isStarted) {
        start();
        return;
    }
    // The failed attempt was a forward; what is left is another cell or the queue here.
    if (!tryForward(std::nullopt))
        m_broker.admit(shared_from_this());
}

void RequestRun::failWith(const AttemptResult& failure, const FailureDecision& decision)
{
    ApiError error;
    bool isNotRun = decision.outcome == Outcome::NotRun;
    error.status = isNotRun ? 503 : 502;
    error.code = isNotRun ? "not_run" : "outcome_unknown";
    error.message = absl::StrCat("the request failed", failure.status ? absl::StrCat(" with status ", failure.status) : std::string(), isNotRun ? " and was not run" : "; it may have been run");
    error.outcome = decision.outcome;
    if (decision.retryAfter.count() > 0)
        error.retryAfter = decision.retryAfter;
    refuse(error);
}

void RequestRun::complete(Attempt& attempt)
{
    if (attempt.isEventStream || m_answer.hasHead()) {
        m_answer.write(std::move(attempt.buffered));
        m_answer.finish();
    } else {
        if (!attempt.firstTokenAt)
            noteFirstToken(attempt);
        m_answer.send(*attempt.head, std::move(attempt.buffered), Outcome::Completed);
    }
    end(outcomeWord(Outcome::Completed), metTargets(), true);
}

bool RequestRun::metTargets() const
{
    if (!m_firstTokenAt)
        return false;
    const ClassTargets& targets = m_request.requestClass.targets;
    if (*m_firstTokenAt - m_request.arrivedAt > targets.timeToFirstToken)
        return false;
    std::uint64_t events = m_splicer.summary().events;
    if (events < 2)
        return true;
    Duration perToken = (nowOf(m_broker) - *m_firstTokenAt) / static_cast<std::int64_t>(events - 1);
    return perToken <= targets.timePerToken;
}

void RequestRun::scheduleHedge()
{
    if (!m_broker.m_hedgePolicy.enabled || m_hedges > 0 || !m_request.traits.isIdempotent)
        return;
    std::optional<Duration> learned = m_broker.m_firstTokenTimes[m_request.routing.model].quantile(m_broker.m_hedgePolicy.quantile);
    if (!learned)
        return;
    Duration wait = std::max(*learned, m_broker.m_hedgePolicy.minimumWait);
    m_hedgeTimer = m_broker.m_parts.scheduler.callAfter(wait, [self = shared_from_this()] { self->hedge(); });
}

void RequestRun::hedge()
{
    m_hedgeTimer = 0;
    if (m_phase != Phase::Running || m_attempts.running() != 1 || !isAllowedHere())
        return;
    TimePoint now = nowOf(m_broker);
    PlacementResult result = m_broker.m_parts.endpoints.place(m_request.routing, now);
    const Placement* placement = std::get_if<Placement>(&result);
    HedgeInputs inputs;
    inputs.idempotent = m_request.traits.isIdempotent;
    inputs.delivered = m_attempts.current().has_value() || m_answer.hasHead();
    inputs.hedgesSoFar = m_hedges;
    inputs.elapsed = now - m_attemptData.rbegin()->second.startedAt;
    inputs.waitQuantile = m_broker.m_firstTokenTimes[m_request.routing.model].quantile(m_broker.m_hedgePolicy.quantile);
    inputs.budgetAvailable = m_broker.m_retryBudget.available() >= 1;
    inputs.timeLeft = m_request.traits.deadline - now;
    if (placement)
        inputs.secondAttemptPrediction = placement->predictedTimeToFirstToken;
    if (shouldHedge(inputs, m_broker.m_hedgePolicy) != HedgeDecision::Hedge)
        return;
    m_broker.m_retryBudget.tryRetry();
    ++m_hedges;
    m_broker.m_parts.metrics.count("hedges");
    startAt(*placement);
}

Outcome RequestRun::outcomeIfStopped() const
{
    if (m_attempts.mayHaveRun())
        return Outcome::Unknown;
    for (const auto& [id, attempt] : m_attemptData) {
        if (!attempt.hasEnded && attempt.exchange->mayHaveReachedServer())
            return Outcome::Unknown;
    }
    return Outcome::NotRun;
}

void RequestRun::deadlinePassed()
{
    m_deadlineTimer = 0;
    if (m_phase == Phase::Done)
        return;
    ApiError error;
    error.status = 504;
    error.code = "deadline_passed";
    error.message = "the request was not answered within its time limit";
    error.outcome = outcomeIfStopped();
    refuse(error);
}

void RequestRun::callerGone()
{
    if (m_phase == Phase::Done)
        return;
    // A keyed request goes on: a repeat of its key asks for the answer.
    bool goesOn = m_answer.isRecorded() && m_phase == Phase::Running;
    if (goesOn)
        return;
    m_broker.m_parts.metrics.count("callers_gone");
    m_answer.fail({ 499, "caller_gone", "the caller closed the connection", outcomeIfStopped(), std::nullopt, {} });
    end("caller-gone", false, false);
}

void RequestRun::drop(const Refusal& refusal)
{
    // Another cell may still serve what this one can't in time.
    bool mayGoElsewhere = refusal.reason == RefusalReason::PredictedLate || refusal.reason == RefusalReason::QueueFull
        || refusal.reason == RefusalReason::QueueBytesFull || refusal.reason == RefusalReason::Evicted;
    if (mayGoElsewhere && tryForward(std::nullopt))
        return;
    m_broker.m_parts.metrics.count(absl::StrCat("refused_", refusalReasonName(refusal.reason)));
    ApiError error = errorFor(refusal);
    if (m_attempts.mayHaveRun())
        error.outcome = Outcome::Unknown;
    refuse(error);
}

void RequestRun::refuse(const ApiError& error)
{
    if (m_phase == Phase::Done)
        return;
    m_answer.fail(error);
    end(outcomeWord(error.outcome), false, true);
}

void RequestRun::end(const std::string& outcome, bool isGood, bool isCounted)
{
    auto self = shared_from_this();
    if (m_phase == Phase::Waiting)
        m_broker.leaveQueue(*this);
    m_phase = Phase::Done;
    Scheduler& scheduler = m_broker.m_parts.scheduler;
    for (TimerId timer : { m_deadlineTimer, m_retryTimer, m_hedgeTimer })
        scheduler.cancel(timer);
    cancelAll();
    std::uint64_t output = m_splicer.summary().events;
    if (isGood && output > 0)
        m_broker.m_outputs.recordOutput(m_broker.outputKey(m_request), static_cast<double>(output));
    bool reachedEndpoint = m_endpointAttempts > 0 && (m_attempts.isCompleted() || m_attempts.mayHaveRun());
    double cost = reachedEndpoint ? estimateCost({ m_request.routing.promptTokens, 0, static_cast<double>(output), m_request.outputWeight }) : 0;
    if (cost > 0 && m_request.isModelCall && m_broker.onServed)
        m_broker.onServed(m_request, cost);
    m_broker.m_parts.metrics.countRequest(m_request.team, m_request.requestClass.name, outcome);
    // What was forwarded here is counted by the entry that the caller spoke to.
    if (isCounted && m_request.routing.hop == 0)
        m_broker.m_parts.serviceLevels.record({ m_request.team, m_request.requestClass.name }, m_request.requestClass.targets.ratio, isGood, nowOf(m_broker));
    m_broker.retire(*this, cost);
    m_attemptData.clear();
}

} // namespace catkinwing
