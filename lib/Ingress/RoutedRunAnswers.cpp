// Handles the results of a routed request's attempts and sends its final answer.
#include "catkinwing/Ingress/RoutedRun.h"

#include "catkinwing/Support/Logging.h"
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
static constexpr int firstServerErrorStatus = 500;
/// Reading from the endpoint pauses when this many bytes wait for a slow client.
static constexpr std::size_t maxPendingBytes = 128u << 10;
/// An answer that isn't a stream is buffered until it is complete, so that a request
/// whose answer breaks off can be retried or fails with a status. An answer is abandoned if it exceeds
/// the maximum body size of client requests by more than this.
static constexpr std::size_t extraAnswerBytes = 512u << 10;

/// A retry-after time stated by another entry is ignored as invalid if it isn't below
/// this.
static constexpr std::chrono::duration<double> maxReportedRetryAfter = std::chrono::hours(2);

static absl::optional<Outcome> readOutcome(const HttpResponseHead& head)
{
    const std::string* text = head.headers.find(outcomeHeader);
    return text ? parseOutcome(*text) : absl::nullopt;
}

static void removeEntryHeaders(HttpHeaders& headers)
{
    for (const char* name : { unframedAnswerHeader, streamBuildHeader, notSentHeader, endpointAttemptsHeader, outcomeHeader, refusedEverywhereHeader })
        headers.remove(name);
}

// Reads the headers that are meant for this entry and removes them from the answer
// for the client.
void RoutedRun::extractEntryHeaders(Attempt& attempt)
{
    HttpHeaders& headers = attempt.head->headers;
    attempt.reportedOutcome = readOutcome(*attempt.head);
    unsigned runs = 0;
    const std::string* text = headers.find(endpointAttemptsHeader);
    if (text && absl::SimpleAtoi(*text, &runs))
        attempt.reportedAttempts = runs;
    double seconds = 0;
    const std::string* retryAfter = headers.find(refusedEverywhereHeader);
    if (retryAfter && absl::SimpleAtod(*retryAfter, &seconds) && seconds > 0 && seconds < maxReportedRetryAfter.count())
        attempt.reportedRetryAfter = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
    const std::string* notSent = headers.find(notSentHeader);
    attempt.wasNotSent = notSent != nullptr;
    attempt.isPeerCutOff = notSent && *notSent == notSentCutOff;
    attempt.lacksPeerVersion = notSent && *notSent == notSentNoVersion;
    std::uint64_t build = 0;
    const std::string* streamBuild = headers.find(streamBuildHeader);
    if (streamBuild && absl::SimpleHexAtoi(*streamBuild, &build) && build != uncertainBuild)
        attempt.build = build;
    attempt.isUnframed = headers.find(unframedAnswerHeader) != nullptr;
    removeEntryHeaders(headers);
}

void RoutedRun::recordEndpointActivity(const Attempt& attempt) const
{
    if (!attempt.endpoint)
        return;
    EndpointTable::recordConnectionAlive(*attempt.endpoint, attempt.startedAt, attempt.build.has_value(), now());
    if (m_parts.endpoints.recordBytesReceived(*attempt.endpoint, now()))
        logChange(LogLevel::Info, "endpoints_reached_again", { { "service", m_service }, { "endpoint", attempt.endpoint->record.incarnation } });
    m_parts.crashSuspects.recordEndpointAlive(attempt.endpoint->hash, now());
}

// The state that the endpoint reports itself takes precedence over its registration,
// which may be outdated while the store is unavailable.
void RoutedRun::recordEndpointState(const Attempt& attempt) const
{
    if (!attempt.endpoint || attempt.facts.isOtherIncarnation)
        return;
    if (attempt.facts.isLeaving)
        m_parts.endpoints.recordLeaving(*attempt.endpoint, now());
    if (attempt.facts.wasNotExecuted && attempt.facts.pause)
        EndpointTable::recordPause(*attempt.endpoint, *attempt.facts.pause, now());
    recordRequestLimit(attempt);
}

void RoutedRun::onHead(const HttpResponseHead& head)
{
    Attempt& attempt = *m_attempt;
    recordEndpointActivity(attempt);
    attempt.head = head;
    attempt.facts = m_parts.dialect.readResponse(head);
    if (attempt.target == AttemptTarget::Entry)
        extractEntryHeaders(attempt);
    else {
        // The entry that forwarded the request would take them for this entry's.
        removeEntryHeaders(attempt.head->headers);
        attempt.isUnframed = endsWithConnection(head);
    }
    m_isAnswerUnframed = attempt.isUnframed;
    attempt.isForThisRequest = attempt.facts.attemptId == m_request.facts.attemptId;
    bool isForeign = !attempt.facts.attemptId.empty() && !attempt.isForThisRequest;
    if (isForeign) {
        // The HTTP client passes over such answers where it can tell where they end.
        attempt.hasForeignAnswer = true;
        attempt.head.reset();
        attempt.facts = {};
        abandonAttempt("answer_of_another_request");
        return;
    }
    // What an earlier answer said of the endpoint may hold no longer.
    if (attempt.isForThisRequest) {
        recordEndpointState(attempt);
        recordRejectionLimit(attempt);
    }
    const std::string* type = head.headers.find("content-type");
    bool isSuccess = head.status >= 200 && head.status < 300;
    bool isDeliverable = attempt.facts.isEndpointAnswer && attempt.isForThisRequest && isSuccess;
    attempt.isEventStream = isDeliverable && type && absl::StartsWithIgnoreCase(*type, "text/event-stream");
    if (attempt.isEventStream)
        stateStreamBuild(attempt);
}

// The first bytes of the answer show that the endpoint has read the prompt.
void RoutedRun::clearUnreadTokens(Attempt& attempt)
{
    if (attempt.endpoint)
        attempt.endpoint->unprefilledTokens -= attempt.unreadTokens;
    attempt.unreadTokens = 0;
    if (attempt.fetchSource)
        --attempt.fetchSource->segmentTransfers;
    attempt.fetchSource.reset();
}

// The time to the first bytes measures the speed of the endpoint only if it had a free
// slot; otherwise the time mostly depends on the requests that are ahead in its queue.
void RoutedRun::recordAnswerStart(Attempt& attempt) const
{
    if (attempt.hasAnswerBegun)
        return;
    attempt.hasAnswerBegun = true;
    if (attempt.endpoint && attempt.hadFreeSlot)
        EndpointTable::recordFirstByte(*attempt.endpoint, attempt.unreadKilotokensAtStart, now() - attempt.startedAt, now());
    if (attempt.predictedFirstByte > Duration::zero())
        recordForecast(attempt);
}

void RoutedRun::recordForecast(const Attempt& attempt) const
{
    Duration error = now() - attempt.startedAt - attempt.predictedFirstByte;
    bool isLate = error > Duration::zero();
    m_parts.metrics.observeStage(isLate ? "forecast_error_late" : "forecast_error_early", m_service, isLate ? error : -error);
}

double RoutedRun::expectedEvents() const
{
    if (m_route->kind != RequestKind::Streaming)
        return 0;
    return predictEvents(m_parts.streamLengths[m_route->name], m_request.facts.maxOutputTokens);
}

// Removes the attempt from the pending work of its endpoint.
void RoutedRun::releaseEndpoint(Attempt& attempt)
{
    clearUnreadTokens(attempt);
    if (attempt.endpoint) {
        attempt.endpoint->abortCallbacks.erase(attempt.number);
        attempt.endpoint->heldTokens -= attempt.heldTokens;
    }
    attempt.heldTokens = 0;
}

void RoutedRun::onBody(absl::string_view bytes)
{
    Attempt& attempt = *m_attempt;
    recordEndpointActivity(attempt);
    if (!attempt.isEventStream) {
        attempt.body.append(bytes.data(), bytes.size());
        bool isTooLong = attempt.body.size() > static_cast<std::size_t>(m_routes->limits().maxBodyBytes) + extraAnswerBytes;
        attempt.bufferedBody->set(attempt.body.size());
        attempt.heldBody->set(attempt.body.size());
        if (isTooLong)
            abandonAttempt("answer_too_long");
        else if (!m_parts.answerBuffers.mayHold(attempt.body.size()))
            abandonAttempt("answer_buffers_full");
        return;
    }
    clearUnreadTokens(attempt);
    recordAnswerStart(attempt);
    if (!attempt.endpoint)
        m_parts.entries.recordPeerServed(attempt.peer, m_service, now());
    std::size_t before = m_cursor.events();
    std::string events = m_cursor.feed(bytes);
    bool hasContinued = attempt.lastEventAt != TimePoint {} && !m_isReadingPaused;
    if (attempt.endpoint && hasContinued)
        EndpointTable::recordEvents(*attempt.endpoint, m_cursor.events() - before, now() - attempt.lastEventAt, now());
    if (m_cursor.events() > before)
        attempt.lastEventAt = now();
    countEvents(attempt, m_cursor.events() - before);
    if (!events.empty()) {
        if (!bindStream(attempt))
            return;
        deliverHead(*attempt.head);
        deliver(std::move(events));
    }
    if (!m_attempt)
        return;
    m_attempt->bufferedBody->set(m_cursor.partialBytes());
    m_attempt->heldBody->set(m_cursor.partialBytes());
    if (m_cursor.isBroken())
        abandonAttempt("event_out_of_order");
    else if (!m_parts.answerBuffers.mayHold(m_cursor.partialBytes()))
        abandonAttempt("answer_buffers_full");
}

void RoutedRun::recordPassedOver(unsigned answers)
{
    m_parts.metrics.count("answers_of_other_requests", answers);
    if (!m_parts.log.admitsNotable())
        return;
    HttpConnectionUse connection = m_attempt->exchange->connection();
    m_parts.log.write(LogLevel::Warning, "answers_passed_over",
        { { "request", m_request.facts.attemptId }, { "route", m_route->name }, { "to", m_lastTarget }, { "answers", answers }, { "attempt", m_attemptCount },
            { "connection", connection.number }, { "connection_earlier_requests", connection.earlierRequests } });
}

void RoutedRun::onEnd(const HttpResult& result)
{
    if (result.passedOverResponses > 0)
        recordPassedOver(result.passedOverResponses);
    concludeAttempt(result.end, result.mayHaveReachedServer, result.detail);
}

void RoutedRun::abandonAttempt(const char* reason)
{
    m_attempt->exchange->cancel();
    concludeAttempt(HttpEnd::Malformed, true, reason);
}

void RoutedRun::concludeAttempt(HttpEnd end, bool mayHaveReached, const std::string& detail)
{
    AttemptVerdict verdict = recordAttemptEnd(end, mayHaveReached, detail);
    if (verdict == AttemptVerdict::Answered)
        handleAnswer();
    else
        handleFailure(verdict);
}

AttemptVerdict RoutedRun::recordAttemptEnd(HttpEnd end, bool mayHaveReached, const std::string& detail)
{
    const Attempt& attempt = *m_attempt;
    AttemptEvidence evidence;
    evidence.target = attempt.target;
    evidence.end = end;
    evidence.mayHaveReached = mayHaveReached;
    evidence.hasHead = attempt.head.has_value();
    evidence.answer = attempt.facts;
    evidence.isForThisRequest = attempt.isForThisRequest;
    evidence.reportedOutcome = attempt.reportedOutcome;
    AttemptVerdict verdict = classifyAttempt(evidence);
    bool hasNoEnd = attempt.isUnframed && attempt.events == 0;
    bool endsEarly = attempt.isEventStream && (m_cursor.hasPartial() || m_cursor.isBroken() || hasNoEnd);
    if (verdict == AttemptVerdict::Answered && endsEarly)
        verdict = AttemptVerdict::Unknown;
    m_possiblyDeliveredAttempts += mayHaveReached && !attempt.wasNotSent ? 1 : 0;
    updateStreamBuild(attempt);
    if (attempt.endpoint && verdict != AttemptVerdict::Answered && end != HttpEnd::Complete && end != HttpEnd::Malformed)
        EndpointTable::recordConnectionLost(*attempt.endpoint, now());
    recordReach(attempt, end, verdict);
    recordCrashEvidence(attempt, end, verdict);
    recordAttemptResult(verdict, detail);
    return verdict;
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

// Returns whose ID the answer of an attempt bears, for the log.
const char* RoutedRun::answerIdName(const Attempt& attempt)
{
    if (!attempt.head)
        return attempt.hasForeignAnswer ? "other" : "no_answer";
    return attempt.facts.attemptId.empty() ? "none" : "own";
}

// An entry that doesn't report its number of attempts may have used all of them.
unsigned RoutedRun::possiblyRunAttemptsOf(const Attempt& attempt) const
{
    if (attempt.target == AttemptTarget::Endpoint)
        return 1;
    return attempt.reportedAttempts.value_or(m_route->attempts);
}

void RoutedRun::recordAttemptResult(AttemptVerdict verdict, const std::string& detail)
{
    Attempt& attempt = *m_attempt;
    bool wasRefused = verdict == AttemptVerdict::NotRun && (attempt.facts.wasNotExecuted || attempt.reportedOutcome) && !attempt.facts.isOtherIncarnation && !attempt.isPeerCutOff && !attempt.lacksPeerVersion;
    bool hadNoAnswer = verdict != AttemptVerdict::Answered && !attempt.facts.wasNotExecuted && !attempt.reportedOutcome;
    const PromptSegment* shared = sharedSegment();
    if (attempt.endpoint && shared && verdict == AttemptVerdict::NotRun)
        m_parts.endpoints.removeSegment(*attempt.endpoint, shared->id);
    releaseEndpoint(attempt);
    m_parts.metrics.observeStage("attempt", m_service, now() - attempt.startedAt);
    if (wasRefused && !attempt.reportedRetryAfter)
        regionAcceptance().recordRefused(attempt.region, now());
    else if (verdict == AttemptVerdict::Answered)
        regionAcceptance().recordAccepted(attempt.region, now());
    m_wasRefusedHere = m_wasRefusedHere || (wasRefused && attempt.endpoint);
    bool hasSucceeded = verdict == AttemptVerdict::Answered && attempt.head->status < firstServerErrorStatus;
    if (attempt.endpoint && hasSucceeded) {
        recordAnswerStart(attempt);
        EndpointTable::recordSlotTime(*attempt.endpoint, now() - attempt.startedAt, now());
    }
    if (attempt.endpoint) {
        if (wasRefused)
            m_parts.endpoints.recordRejection(*attempt.endpoint, now());
        if (attempt.facts.isOtherIncarnation && attempt.isForThisRequest)
            m_parts.endpoints.recordLeaving(*attempt.endpoint, now());
        m_parts.endpoints.recordAttemptEnded(*attempt.endpoint, hadNoAnswer, now());
    } else if (hadNoAnswer) {
        m_parts.entries.recordPeerFailure(attempt.peer, now());
    } else {
        m_parts.entries.recordPeerResponse(attempt.peer);
    }
    if (!attempt.endpoint && hasSucceeded)
        m_parts.entries.recordPeerServed(attempt.peer, m_service, now());
    bool mayHaveRun = verdict != AttemptVerdict::NotRun;
    m_possiblyRunAttempts += mayHaveRun ? possiblyRunAttemptsOf(attempt) : 0;
    bool hasReachedNone = verdict == AttemptVerdict::NotRun && (!attempt.head || attempt.isPeerCutOff);
    m_unreachedAttempts += hasReachedNone ? 1 : 0;
    m_notRunAttempts += mayHaveRun || hasReachedNone ? 0 : 1;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_mayLastAttemptHaveRun = mayHaveRun;
    if (verdict == AttemptVerdict::Answered || !m_parts.log.admitsNotable())
        return;
    HttpConnectionUse connection = attempt.exchange ? attempt.exchange->connection() : HttpConnectionUse {};
    m_parts.log.write(LogLevel::Warning, "attempt_failed",
        { { "request", m_request.facts.attemptId }, { "fingerprint", attempt.endpoint ? fingerprint().toHex() : "" }, { "segments", attempt.endpoint ? segmentNames() : std::vector<std::string>() }, { "route", m_route->name },
            { "to", m_lastTarget }, { "software_version", m_lastSoftwareVersion }, { "region", attempt.region }, { "why", attempt.why },
            { "verdict", verdictName(verdict) }, { "status", attempt.head ? attempt.head->status : 0 }, { "detail", detail },
            { "answer_id", answerIdName(attempt) }, { "connection", connection.number }, { "connection_earlier_requests", connection.earlierRequests },
            { "attempt", m_attemptCount }, { "took_ms", std::chrono::duration_cast<milliseconds>(now() - attempt.startedAt).count() } });
}

// An error status of an endpoint is a complete answer, but a request that may be
// executed again is retried, since another attempt may succeed.
void RoutedRun::handleAnswer()
{
    Attempt attempt = std::move(*m_attempt);
    m_attempt.reset();
    if (attempt.isEventStream) {
        deliverHead(*attempt.head);
        m_responder->finish();
        addEventSample(m_parts.streamLengths[m_route->name], m_request.facts.maxOutputTokens, m_cursor.events());
        finish(attempt.head->status, "completed", "");
        return;
    }
    bool isFailure = attempt.head->status >= firstServerErrorStatus;
    bool mayRetryFailure = isFailure && mayRepeat(*m_route) && !m_hasSentHead;
    if (!mayRetryFailure) {
        sendAnswer(*attempt.head, std::move(attempt.body));
        return;
    }
    m_failureHead = std::move(attempt.head);
    m_failureBody = std::move(attempt.body);
    handleFailure(AttemptVerdict::Unknown);
}

// A request that was moved from a silent endpoint keeps the retries that it had before.
RetryOrder RoutedRun::retryOrder(unsigned givenUp) const
{
    unsigned delivered = m_possiblyDeliveredAttempts + givenUp + m_request.earlierAttempts;
    return delivered > 1 + m_replacedAttempts ? RetryOrder::Further : RetryOrder::First;
}

RunProgress RoutedRun::progress(unsigned givenUp)
{
    RunProgress progress;
    progress.mayRepeat = mayRepeat(*m_route);
    progress.isResumable = m_route->isResumable;
    progress.mayHaveRun = m_mayHaveRun || givenUp > 0;
    progress.possiblyRunAttempts = m_possiblyRunAttempts + givenUp;
    progress.notRunAttempts = m_notRunAttempts;
    progress.unreachedAttempts = m_unreachedAttempts;
    progress.maxAttempts = std::min(m_route->attempts, m_request.attemptsLeft.value_or(m_route->attempts));
    progress.hasSentHead = m_hasSentHead;
    bool needsBudget = m_possiblyDeliveredAttempts + givenUp > 0;
    // The replacement of an attempt that is given up may be refused, and is then retried.
    progress.hasRetryBudget = !needsBudget || m_parts.retryBudgetOf(m_service).hasRetry(now(), retryOrder(givenUp), 1 + givenUp);
    progress.timeLeft = m_deadline - now();
    return progress;
}

NextStep RoutedRun::decideNextStep(AttemptVerdict verdict)
{
    RunProgress actual = progress();
    NextStep next = decideNext(verdict, actual);
    if (actual.hasRetryBudget)
        return next;
    RunProgress withBudget = actual;
    withBudget.hasRetryBudget = true;
    m_wasDeniedRetry = decideNext(verdict, withBudget) == NextStep::Retry;
    if (m_wasDeniedRetry) {
        m_parts.retryBudgetOf(m_service).recordDenied();
        m_parts.metrics.count("retries_denied");
    }
    return next;
}

void RoutedRun::handleFailure(AttemptVerdict verdict)
{
    absl::optional<Attempt> failed = std::exchange(m_attempt, absl::nullopt);
    if (failed && failed->reportedRetryAfter) {
        refuseEverywhere(*failed->reportedRetryAfter);
        return;
    }
    if (m_hasSentHead && isResumableStream() && !m_streamBuild) {
        abortAnswer("stream_version_unknown");
        return;
    }
    switch (decideNextStep(verdict)) {
    case NextStep::Retry:
        if (m_possiblyDeliveredAttempts > 0)
            m_parts.retryBudgetOf(m_service).tryRetry(now(), retryOrder());
        m_parts.metrics.count("retries");
        dispatch();
        return;
    case NextStep::RefuseNotRun:
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, "refused_by_endpoints");
        return;
    case NextStep::FailUnknown:
        if (m_failureHead)
            sendAnswer(*m_failureHead, std::move(m_failureBody));
        else
            sendOwnAnswer(statusBadGateway, Outcome::Unknown, "no_answer");
        return;
    case NextStep::Abort:
        abortAnswer("stream_broke");
        return;
    }
}

void RoutedRun::deliverHead(const HttpResponseHead& head)
{
    if (m_hasSentHead)
        return;
    m_hasSentHead = true;
    m_firstByteAt = now();
    m_responder->sendHead(withAttemptsHeader(head));
}

void RoutedRun::deliver(std::string bytes)
{
    m_responder->write(std::move(bytes));
    m_pendingBytes.set(m_responder->pendingBytes());
    if (m_isReadingPaused || m_responder->pendingBytes() < m_parts.answerBuffers.pendingLimit(maxPendingBytes))
        return;
    m_isReadingPaused = true;
    m_attempt->exchange->pause();
    m_responder->onWritable([self = shared_from_this()] { self->resumeReading(); });
}

void RoutedRun::resumeReading()
{
    if (!m_isReadingPaused || m_isDone)
        return;
    m_isReadingPaused = false;
    m_pendingBytes.set(m_responder->pendingBytes());
    if (m_attempt)
        m_attempt->exchange->resume();
}

void RoutedRun::sendAnswer(const HttpResponseHead& head, std::string body)
{
    if (m_hasSentHead) {
        abortAnswer("stream_failed");
        return;
    }
    m_firstByteAt = now();
    int status = head.status;
    m_responder->send(withAttemptsHeader(head), std::move(body));
    finish(status, "completed", "");
}

} // namespace catkinwing
