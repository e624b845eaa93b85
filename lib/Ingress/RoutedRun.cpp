#include "catkinwing/Ingress/RoutedRun.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cassert>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr int statusNotFound = 404;
static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
static constexpr int statusGatewayTimeout = 504;
static constexpr int firstErrorStatus = 500;

/// Bytes waiting for a slow client beyond which the endpoint is slowed.
static constexpr std::size_t maxPendingBytes = 128u << 10;
/// Plain answers up to this size are held until they are whole, so that a
/// broken one can be asked for again or fails with a status.
static constexpr std::size_t maxHeldAnswer = 512u << 10;
/// Part of the retries beyond the ratio that entries give out. They begin with it,
/// so that the first refusals after a start can be tried elsewhere; an entry that
/// starts a second time within a window may give it out twice.
static constexpr double slackPart = 0.5;
/// A connection inside the region takes a few milliseconds; one that takes
/// longer than this goes to an endpoint that is gone or cut off.
static constexpr milliseconds endpointConnectTimeout { 400 };
/// Regions are some 55 ms apart, so a connection takes 110 ms and more.
static constexpr milliseconds peerConnectTimeout { 700 };
/// The exchange's own timeouts come after the run's, which decides.
static constexpr milliseconds exchangeMargin { 500 };
/// Told to endpoints less than is left, so that their answer is here in time.
static constexpr milliseconds deadlineMargin { 10 };
/// A shared part below this many tokens is read in a few milliseconds and
/// doesn't bind a request to an endpoint.
static constexpr std::int64_t minSharedTokens = 1'000;
/// Owners in a region that refuses more than this leaves are passed over. Short
/// requests are refused long before long ones suffer, and a part that is read
/// elsewhere pushes others out there.
static constexpr double leastOwnerReadiness = 0.3;
/// When a refused client should come back: by then an endpoint has answered
/// some of what it has, or news of other endpoints has come in.
static constexpr const char* retryAfterSeconds = "0.3";
/// A route's priorities begin with zero, the most urgent, like an endpoint's.
static constexpr int leastUrgent = 9;

RetryBudget& IngressParts::retryBudgetOf(const std::string& service)
{
    auto found = retryBudgets.find(service);
    double share = retryLimits.slack * slackPart / static_cast<double>(std::max<std::size_t>(entries.size(), 1));
    if (found == retryBudgets.end()) {
        found = retryBudgets.emplace(service, RetryBudget(retryLimits.ratio, share)).first;
        found->second.fill();
    }
    found->second.setBurst(share);
    return found->second;
}

RoutedRun::RoutedRun(IngressParts& parts, RoutedRequest request, std::shared_ptr<HttpResponder> responder)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_cursor(m_request.facts.resumeAfter ? absl::make_optional(*m_request.facts.resumeAfter) : absl::nullopt)
{
    ++m_parts.openRequests;
}

RoutedRun::~RoutedRun()
{
    --m_parts.openRequests;
}

void RoutedRun::begin()
{
    auto self = shared_from_this();
    m_routes = m_parts.routes;
    if (!m_routes) {
        answerOwn(statusUnavailable, Outcome::NotRun, "no_configuration");
        return;
    }
    m_route = m_routes->find(m_request.facts.host, m_request.http.path);
    if (!m_route) {
        answerOwn(statusNotFound, Outcome::NotRun, "no_route");
        return;
    }
    milliseconds allowed = m_route->timeout;
    if (m_request.facts.timeLeft)
        allowed = std::min(allowed, *m_request.facts.timeLeft);
    m_deadline = m_request.arrivedAt + allowed;
    m_deadlineTimer = m_parts.scheduler.callAfter(m_deadline - now(), [self] { self->deadlinePassed(); });
    m_responder->onClosed([self] { self->clientGone(); });
    if (!m_responder->isOpen()) {
        clientGone();
        return;
    }
    m_service = pickService();
    if (!m_request.isForwarded)
        m_parts.retryBudgetOf(m_service).onRequest();
    dispatch();
}

milliseconds RoutedRun::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now());
}

bool RoutedRun::isAllowedHere() const
{
    const std::vector<std::string>& homes = m_route->homeRegions;
    return homes.empty() || std::find(homes.begin(), homes.end(), m_parts.region) != homes.end();
}

// The last part belongs to the request itself or to its session.
const PromptPart* RoutedRun::sharedPart() const
{
    const std::vector<PromptPart>& prompt = m_request.facts.prompt;
    if (!m_route->hasPromptAffinity || prompt.size() < 2)
        return nullptr;
    const PromptPart* largest = &prompt.front();
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        if (prompt[i].tokens > largest->tokens)
            largest = &prompt[i];
    }
    return largest->tokens >= minSharedTokens ? largest : nullptr;
}

const std::string& RoutedRun::pickService() const
{
    const std::vector<WeightedService>& services = m_route->services;
    double sum = 0;
    for (const WeightedService& service : services)
        sum += service.weight;
    double point = m_parts.random.unit() * sum;
    for (const WeightedService& service : services) {
        point -= service.weight;
        if (point < 0)
            return service.service;
    }
    return services.back().service;
}

// An endpoint here goes first, since it is nearest, unless this region refuses
// much; then another region; then an endpoint that has failed the request but
// would run it again.
void RoutedRun::dispatch()
{
    if (sendToOwner() || sendAway())
        return;
    if (isAllowedHere() && sendToEndpoint(m_service, false))
        return;
    if (!m_request.isForwarded && sendToRegion(m_service, isAllowedHere() ? "no_endpoint_here" : "homes"))
        return;
    if (m_lastRan && isAllowedHere() && sendToEndpoint(m_service, true))
        return;
    if (m_failureHead) {
        answerWhole(*m_failureHead, std::move(m_failureBody));
        return;
    }
    if (m_mayHaveRun)
        answerOwn(statusBadGateway, Outcome::Unknown, "no_endpoint_for_retry");
    else
        answerOwn(statusUnavailable, Outcome::NotRun, "no_endpoint");
}

// An endpoint here that is full says that its like probably are.
bool RoutedRun::sendAway()
{
    if (m_request.isForwarded || !isAllowedHere())
        return false;
    bool isFirst = m_attempts == 0;
    bool shouldGo = m_wasRefusedHere || (isFirst && shouldSpill(pressure(), m_parts.region, otherRegions(m_service), now(), m_parts.random));
    return shouldGo && sendToRegion(m_service, m_wasRefusedHere ? "refused_here" : "region_refuses");
}

static const char* whyHere(bool isSecondTime, bool hasSharedPart)
{
    if (isSecondTime)
        return "only_endpoint_left";
    return hasSharedPart ? "shared_part" : "least_work_of_two";
}

bool RoutedRun::sendToEndpoint(const std::string& service, bool mayBeTried)
{
    const ServiceSettings* settings = m_routes->findService(service);
    if (!settings)
        return false;
    EndpointRequest wanted;
    wanted.service = settings;
    const PromptPart* shared = sharedPart();
    wanted.sharedPart = shared ? shared->id : std::string();
    wanted.tried = &m_triedEndpoints;
    wanted.mayBeTried = mayBeTried;
    std::shared_ptr<RoutedEndpoint> endpoint = m_parts.endpoints.choose(wanted, now(), m_parts.random);
    if (!endpoint)
        return false;
    m_triedEndpoints.push_back(endpoint->record.incarnation);
    AttemptFacts facts;
    facts.incarnation = endpoint->record.incarnation;
    facts.urgency = std::clamp(m_route->priority, 0, leastUrgent);
    HttpClientRequest request = makeRequest(endpoint->record.address, std::move(facts));
    request.connectTimeout = endpointConnectTimeout;
    Attempt attempt;
    attempt.target = AttemptTarget::Endpoint;
    attempt.region = m_parts.region;
    attempt.why = whyHere(mayBeTried, shared != nullptr);
    attempt.endpoint = std::move(endpoint);
    m_parts.endpoints.noteBegan(*attempt.endpoint, now());
    attempt.unreadTokens = m_parts.endpoints.tokensToRead(*attempt.endpoint, m_request.facts.promptTokens, shared ? shared->tokens : 0, wanted.sharedPart);
    attempt.endpoint->unreadTokens += attempt.unreadTokens;
    startAttempt(std::move(attempt), std::move(request));
    return true;
}

// Regions that may have the request and have not had it, with their endpoints.
std::map<std::string, std::size_t> RoutedRun::otherRegions(const std::string& service) const
{
    const std::vector<std::string>& homes = m_route->homeRegions;
    std::map<std::string, std::size_t> regions;
    for (const auto& [region, usable] : m_parts.endpoints.usableByRegion(service)) {
        bool isHome = homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
        bool wasTried = std::find(m_triedRegions.begin(), m_triedRegions.end(), region) != m_triedRegions.end();
        if (region != m_parts.region && isHome && !wasTried)
            regions.emplace(region, usable);
    }
    return regions;
}

bool RoutedRun::sendToRegion(const std::string& service, const char* why)
{
    while (std::optional<std::string> region = chooseSpillRegion(pressure(), otherRegions(service), now(), m_parts.random)) {
        if (sendToEntryOf(*region, why))
            return true;
    }
    return false;
}

// A long shared part is read once for all regions: sending the request to where
// it lies costs a round trip, which is less than reading it again.
bool RoutedRun::sendToOwner()
{
    if (m_request.isForwarded || m_attempts > 0)
        return false;
    const PromptPart* part = sharedPart();
    if (!part)
        return false;
    std::optional<std::string> region = m_parts.endpoints.ownerRegion(m_service, part->id, m_route->homeRegions);
    if (!region || *region == m_parts.region)
        return false;
    bool isReady = pressure().readiness(*region, now()) > leastOwnerReadiness;
    return isReady && sendToEntryOf(*region, "owner");
}

bool RoutedRun::sendToEntryOf(const std::string& region, const char* why)
{
    std::optional<SocketAddress> peer = m_parts.entries.choosePeer(region, now(), m_parts.random);
    m_triedRegions.push_back(region);
    if (!peer)
        return false;
    HttpClientRequest request = makeRequest(*peer, {});
    request.headers.set(attemptsLeftHeader, std::to_string(m_route->attempts - std::min(m_runs, m_route->attempts)));
    request.connectTimeout = peerConnectTimeout;
    Attempt attempt;
    attempt.target = AttemptTarget::Entry;
    attempt.region = region;
    attempt.why = why;
    attempt.peer = *peer;
    m_parts.metrics.count("forwards_to_regions");
    startAttempt(std::move(attempt), std::move(request));
    return true;
}

HttpClientRequest RoutedRun::makeRequest(const SocketAddress& server, AttemptFacts facts) const
{
    HttpClientRequest request;
    request.server = server;
    request.method = m_request.http.method;
    request.target = m_request.http.path;
    if (!m_request.http.query.empty())
        absl::StrAppend(&request.target, "?", m_request.http.query);
    request.headers = m_request.facts.forwarded;
    facts.timeLeft = std::max(timeLeft() - deadlineMargin, milliseconds(1));
    if (m_cursor.lastId())
        facts.resumeAfter = *m_cursor.lastId();
    m_parts.dialect.writeAttempt(facts, request.headers);
    request.body = m_request.http.body;
    request.headTimeout = timeLeft() + exchangeMargin;
    request.idleTimeout = request.headTimeout;
    return request;
}

void RoutedRun::startAttempt(Attempt attempt, HttpClientRequest request)
{
    auto self = shared_from_this();
    attempt.number = ++m_attempts;
    attempt.startedAt = now();
    m_lastPlace = attempt.endpoint ? attempt.endpoint->record.incarnation : attempt.peer.toString();
    m_lastWhy = attempt.why;
    std::uint64_t number = attempt.number;
    auto isCurrent = [number](const RoutedRun& run) { return run.m_attempt && run.m_attempt->number == number; };
    HttpClient& client = attempt.target == AttemptTarget::Entry ? m_parts.peerClient : m_parts.endpointClient;
    m_attempt = std::move(attempt);
    m_cursor.beginAttempt();
    HttpClientCallbacks callbacks;
    callbacks.onHead = [self, isCurrent](const HttpResponseHead& head) {
        if (isCurrent(*self))
            self->onHead(head);
    };
    callbacks.onBody = [self, isCurrent](absl::string_view bytes) {
        if (isCurrent(*self))
            self->onBody(bytes);
    };
    callbacks.onEnd = [self, isCurrent](const HttpResult& result) {
        if (isCurrent(*self))
            self->onEnd(result);
    };
    m_attempt->exchange = client.send(std::move(request), std::move(callbacks));
}

static absl::optional<Outcome> statedOutcomeOf(const HttpResponseHead& head)
{
    const std::string* word = head.headers.find(outcomeHeader);
    return word ? parseOutcome(*word) : absl::nullopt;
}

// What the other entry says for this one goes no further.
void RoutedRun::takeStatements(Attempt& attempt)
{
    HttpHeaders& headers = attempt.head->headers;
    attempt.statedOutcome = statedOutcomeOf(*attempt.head);
    unsigned runs = 0;
    const std::string* text = headers.find(endpointAttemptsHeader);
    if (text && absl::SimpleAtoi(*text, &runs))
        attempt.statedRuns = runs;
    headers.remove(endpointAttemptsHeader);
    headers.remove(outcomeHeader);
}

void RoutedRun::onHead(const HttpResponseHead& head)
{
    Attempt& attempt = *m_attempt;
    if (attempt.endpoint)
        m_parts.endpoints.noteHeard(*attempt.endpoint, now());
    attempt.head = head;
    attempt.facts = m_parts.dialect.readAnswer(head);
    if (attempt.target == AttemptTarget::Entry)
        takeStatements(attempt);
    attempt.isOurs = attempt.facts.attemptId == m_request.facts.attemptId;
    bool isForeign = !attempt.facts.attemptId.empty() && !attempt.isOurs;
    if (isForeign) {
        // The answer to this request would be the next on the connection, but
        // nothing there can be trusted any more.
        attempt.head.reset();
        abandonAttempt("answer_of_another_request");
        return;
    }
    const std::string* type = head.headers.find("content-type");
    bool isSuccess = head.status >= 200 && head.status < 300;
    bool isDeliverable = attempt.facts.isEndpointAnswer && attempt.isOurs && isSuccess;
    attempt.isEventStream = isDeliverable && type && absl::StartsWithIgnoreCase(*type, "text/event-stream");
}

// Its first bytes show that the endpoint has read the prompt.
void RoutedRun::noteRead(Attempt& attempt)
{
    if (attempt.endpoint)
        attempt.endpoint->unreadTokens -= attempt.unreadTokens;
    attempt.unreadTokens = 0;
}

void RoutedRun::onBody(absl::string_view bytes)
{
    Attempt& attempt = *m_attempt;
    if (!attempt.isEventStream) {
        attempt.body.append(bytes.data(), bytes.size());
        bool isTooLong = attempt.body.size() > static_cast<std::size_t>(m_routes->limits().maxBodyBytes) + maxHeldAnswer;
        if (isTooLong)
            abandonAttempt("answer_too_long");
        return;
    }
    noteRead(attempt);
    if (attempt.endpoint)
        m_parts.endpoints.noteHeard(*attempt.endpoint, now());
    std::string events = m_cursor.feed(bytes);
    if (!events.empty()) {
        deliverHead(*attempt.head);
        deliver(std::move(events));
    }
    if (m_cursor.isBroken() && m_attempt)
        abandonAttempt("event_out_of_order");
}

void RoutedRun::onEnd(const HttpResult& result)
{
    concludeAttempt(result.end, result.mayHaveReachedServer, result.detail);
}

void RoutedRun::abandonAttempt(const char* reason)
{
    m_attempt->exchange->cancel();
    concludeAttempt(HttpEnd::Malformed, true, reason);
}

void RoutedRun::concludeAttempt(HttpEnd end, bool mayHaveReached, const std::string& detail)
{
    const Attempt& attempt = *m_attempt;
    AttemptEvidence evidence;
    evidence.target = attempt.target;
    evidence.end = end;
    evidence.mayHaveReached = mayHaveReached;
    evidence.hasHead = attempt.head.has_value();
    evidence.answer = attempt.facts;
    evidence.isOurs = attempt.isOurs;
    evidence.statedOutcome = attempt.statedOutcome;
    AttemptVerdict verdict = judgeAttempt(evidence);
    bool endsInsideEvent = attempt.isEventStream && (m_cursor.hasPartial() || m_cursor.isBroken());
    if (verdict == AttemptVerdict::Answered && endsInsideEvent)
        verdict = AttemptVerdict::Unknown;
    m_hasArrived = m_hasArrived || mayHaveReached;
    settleAttempt(verdict, detail);
    if (verdict == AttemptVerdict::Answered)
        takeAnswer();
    else
        takeFailure(verdict);
}

static const char* verdictName(AttemptVerdict verdict)
{
    switch (verdict) {
    case AttemptVerdict::Answered:
        return "answered";
    case AttemptVerdict::NotRun:
        return "not-run";
    case AttemptVerdict::Unknown:
        break;
    }
    return "unknown";
}

// An entry that doesn't say may have used all the attempts that it had.
unsigned RoutedRun::runsOf(const Attempt& attempt) const
{
    if (attempt.target == AttemptTarget::Endpoint)
        return 1;
    return attempt.statedRuns.value_or(m_route->attempts);
}

void RoutedRun::settleAttempt(AttemptVerdict verdict, const std::string& detail)
{
    Attempt& attempt = *m_attempt;
    bool wasRefused = verdict == AttemptVerdict::NotRun && (attempt.facts.wasNotRun || attempt.statedOutcome) && !attempt.facts.isOtherIncarnation;
    bool hadNoAnswer = verdict != AttemptVerdict::Answered && !attempt.facts.wasNotRun && !attempt.statedOutcome;
    noteRead(attempt);
    m_parts.metrics.observeStage("attempt", m_service, now() - attempt.startedAt);
    if (wasRefused)
        pressure().noteRefused(attempt.region, now());
    else if (verdict == AttemptVerdict::Answered)
        pressure().noteTaken(attempt.region, now());
    m_wasRefusedHere = m_wasRefusedHere || (wasRefused && attempt.endpoint);
    if (attempt.endpoint) {
        if (attempt.facts.isOtherIncarnation)
            m_parts.endpoints.noteLeaving(*attempt.endpoint);
        m_parts.endpoints.noteEnded(*attempt.endpoint, hadNoAnswer, now());
    } else if (hadNoAnswer) {
        m_parts.entries.notePeerFailure(attempt.peer, now());
    } else {
        m_parts.entries.notePeerAnswered(attempt.peer);
    }
    bool isRun = verdict != AttemptVerdict::NotRun;
    m_runs += isRun ? runsOf(attempt) : 0;
    m_refusals += isRun ? 0 : 1;
    m_mayHaveRun = m_mayHaveRun || isRun;
    m_lastRan = isRun;
    if (verdict == AttemptVerdict::Answered || !m_parts.log.admitsNotable())
        return;
    m_parts.log.write(LogLevel::Warning, "attempt_failed",
        { { "request", m_request.facts.attemptId }, { "route", m_route->name },
            { "to", m_lastPlace }, { "region", attempt.region }, { "why", attempt.why },
            { "verdict", verdictName(verdict) }, { "status", attempt.head ? attempt.head->status : 0 }, { "detail", detail },
            { "attempt", attempt.number }, { "took_ms", std::chrono::duration_cast<milliseconds>(now() - attempt.startedAt).count() } });
}

// A failure that an endpoint states is an answer like any other, but where
// executing it again does no harm, another attempt may do better.
void RoutedRun::takeAnswer()
{
    Attempt attempt = std::move(*m_attempt);
    m_attempt.reset();
    if (attempt.isEventStream) {
        deliverHead(*attempt.head);
        m_responder->finish();
        finish(attempt.head->status, "completed", "");
        return;
    }
    bool isFailure = attempt.head->status >= firstErrorStatus;
    bool mayTryAgain = isFailure && mayRepeat(*m_route) && !m_hasHead;
    if (!mayTryAgain) {
        answerWhole(*attempt.head, std::move(attempt.body));
        return;
    }
    m_failureHead = std::move(attempt.head);
    m_failureBody = std::move(attempt.body);
    takeFailure(AttemptVerdict::Unknown);
}

void RoutedRun::takeFailure(AttemptVerdict verdict)
{
    absl::optional<Attempt> failed = std::exchange(m_attempt, absl::nullopt);
    RetryBudget& budget = m_parts.retryBudgetOf(m_service);
    RunProgress progress;
    progress.mayRepeat = mayRepeat(*m_route);
    progress.isResumable = m_route->isResumable;
    progress.mayHaveRun = m_mayHaveRun;
    progress.runs = m_runs;
    progress.refusals = m_refusals;
    progress.maxRuns = std::min(m_route->attempts, m_request.attemptsLeft.value_or(m_route->attempts));
    progress.hasDelivered = m_hasHead;
    progress.hasBudget = !m_hasArrived || budget.available() >= 1;
    progress.timeLeft = m_deadline - now();
    switch (decideNext(verdict, progress)) {
    case NextStep::SendAgain:
        if (m_hasArrived)
            budget.tryRetry();
        m_parts.metrics.count("retries");
        dispatch();
        return;
    case NextStep::RefuseNotRun:
        answerOwn(statusUnavailable, Outcome::NotRun, "refused_by_endpoints");
        return;
    case NextStep::FailUnknown:
        if (m_failureHead)
            answerWhole(*m_failureHead, std::move(m_failureBody));
        else
            answerOwn(statusBadGateway, Outcome::Unknown, "no_answer");
        return;
    case NextStep::CutOff:
        cutOff("stream_broke");
        return;
    }
}

// The entry that forwarded counts the runs against its route's limit.
HttpResponseHead RoutedRun::withStatements(HttpResponseHead head) const
{
    if (m_request.isForwarded)
        head.headers.add(endpointAttemptsHeader, std::to_string(std::max(m_runs, 1u)));
    return head;
}

void RoutedRun::deliverHead(const HttpResponseHead& head)
{
    if (m_hasHead)
        return;
    m_hasHead = true;
    m_firstByteAt = now();
    m_responder->sendHead(withStatements(head));
}

void RoutedRun::deliver(std::string bytes)
{
    m_responder->write(std::move(bytes));
    if (m_isPaused || m_responder->pendingBytes() < maxPendingBytes)
        return;
    m_isPaused = true;
    m_attempt->exchange->pause();
    m_responder->onWritable([self = shared_from_this()] { self->relieveBackPressure(); });
}

void RoutedRun::relieveBackPressure()
{
    if (!m_isPaused || m_isDone)
        return;
    m_isPaused = false;
    if (m_attempt)
        m_attempt->exchange->resume();
}

void RoutedRun::answerWhole(const HttpResponseHead& head, std::string body)
{
    if (m_hasHead) {
        cutOff("stream_failed");
        return;
    }
    m_firstByteAt = now();
    int status = head.status;
    m_responder->send(withStatements(head), std::move(body));
    finish(status, "completed", "");
}

// What the system itself answers, always at once and with its outcome.
void RoutedRun::answerOwn(int status, Outcome outcome, const char* reason)
{
    if (m_hasHead) {
        cutOff(reason);
        return;
    }
    HttpResponseHead head;
    head.status = status;
    head.headers.add("content-type", "application/json");
    head.headers.add(outcomeHeader, outcomeWord(outcome));
    if (status == statusUnavailable)
        head.headers.add("retry-after", retryAfterSeconds);
    m_responder->send(withStatements(head), absl::StrCat("{\"error\":{\"code\":\"", reason, "\",\"outcome\":\"", outcomeWord(outcome), "\"}}"));
    finish(status, outcomeWord(outcome), reason);
}

void RoutedRun::cutOff(const char* reason)
{
    m_responder->abort();
    finish(0, "unknown", reason);
}

void RoutedRun::deadlinePassed()
{
    m_deadlineTimer = 0;
    m_wasTimedOut = true;
    bool mayHaveReached = m_attempt && m_attempt->exchange->mayHaveReachedServer();
    if (m_attempt)
        m_attempt->exchange->cancel();
    if (mayHaveReached || m_mayHaveRun)
        answerOwn(statusGatewayTimeout, Outcome::Unknown, "timeout");
    else
        answerOwn(statusUnavailable, Outcome::NotRun, "timeout");
}

void RoutedRun::clientGone()
{
    if (m_isDone)
        return;
    if (m_attempt)
        m_attempt->exchange->cancel();
    finish(0, "client_gone", "client_gone");
}

void RoutedRun::finish(int status, const char* outcome, const char* reason)
{
    auto self = shared_from_this();
    m_isDone = true;
    m_parts.scheduler.cancel(m_deadlineTimer);
    if (m_attempt && m_attempt->endpoint) {
        noteRead(*m_attempt);
        bool wasSilent = m_wasTimedOut && !m_attempt->head;
        m_parts.endpoints.noteEnded(*m_attempt->endpoint, wasSilent, now());
    }
    m_parts.metrics.count(absl::StrCat("requests_", absl::string_view(outcome) == "not-run" ? "not_run" : outcome));
    if (m_firstByteAt != TimePoint {}) {
        m_parts.metrics.observeStage("first_byte", m_service, m_firstByteAt - m_request.arrivedAt);
        m_parts.metrics.observeStage("whole", m_service, now() - m_request.arrivedAt);
    }
    bool isPlain = absl::string_view(outcome) == "completed" && status < firstErrorStatus;
    if (isPlain ? m_parts.log.admitsPlain() : m_parts.log.admitsNotable()) {
        auto sinceArrival = [this](TimePoint time) { return std::chrono::duration_cast<milliseconds>(time - m_request.arrivedAt).count(); };
        nlohmann::json fields = {
            { "request", m_request.facts.attemptId }, { "route", m_route ? m_route->name : "" }, { "status", status },
            { "outcome", outcome }, { "reason", reason }, { "attempts", m_attempts }, { "forwarded", m_request.isForwarded },
            { "version", m_routes ? m_routes->version() : 0 }, { "took_ms", sinceArrival(now()) }
        };
        if (m_firstByteAt != TimePoint {})
            fields["first_byte_ms"] = sinceArrival(m_firstByteAt);
        if (m_attempts > 0) {
            fields["to"] = m_lastPlace;
            fields["why"] = m_lastWhy;
            fields["load_reports"] = m_parts.endpoints.peerLoads().entries();
        }
        m_parts.log.write(LogLevel::Info, "request_ended", fields);
    }
    m_attempt.reset();
    m_responder.reset();
}

} // namespace catkinwing
