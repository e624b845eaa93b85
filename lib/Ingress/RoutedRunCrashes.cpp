// Detects endpoint crashes during a request's attempts, and delays or refuses requests
// that are suspected to cause them.
#include "catkinwing/Ingress/RoutedRun.h"

#include "catkinwing/Routing/RequestIdentity.h"
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
static constexpr int firstServerErrorStatus = 500;
/// After an endpoint crashed while running a request, a request with the same suspect is held
/// at most this long until it is known whether the suspect caused the crash.
static constexpr milliseconds maxHoldTime { 400 };
/// Max interval at which a held request checks whether it may be sent.
static constexpr milliseconds holdCheckInterval { 20 };
/// Retry-after time for a request that is refused after being held. By then it is
/// usually known what caused the crash.
static constexpr milliseconds retryAfterHold { 1'000 };
/// Number of events after which a stream shows that its prompt segments don't crash the
/// endpoint. One that does crashes it when the answer begins, with some events sent at most.
static constexpr std::size_t eventsOfSurvivor = 10;

const RequestFingerprint& RoutedRun::fingerprint()
{
    if (!m_fingerprint) {
        const HttpRequest& http = m_request.http;
        m_fingerprint = fingerprintOf({ m_request.facts.host, m_request.facts.caller + m_workspaceName, http.method, http.path, http.query, http.body });
    }
    return *m_fingerprint;
}

// The segments of a prompt are named only on routes whose requests state them.
const RequestSuspects& RoutedRun::suspects()
{
    if (!m_suspects.empty())
        return m_suspects;
    std::vector<absl::string_view> segments;
    if (m_route->hasPromptAffinity) {
        for (const PromptSegment& segment : m_request.facts.prompt)
            segments.emplace_back(segment.id);
    }
    m_suspects = requestSuspects(fingerprint(), segments);
    return m_suspects;
}

std::vector<std::string> RoutedRun::segmentNames()
{
    std::vector<std::string> names;
    for (const SuspectId& suspect : suspects()) {
        if (kindOf(suspect) == SuspectKind::PromptSegment)
            names.push_back(suspect.toHex());
    }
    return names;
}

// A request that is bound to other regions is refused there, since its crashes are
// not recorded here.
bool RoutedRun::refuseIfCrashing()
{
    if (m_parts.crashSuspects.isEmpty() || !isAllowedHere())
        return false;
    std::optional<CrashSuspectTable::Refusal> refusal = m_parts.crashSuspects.refusalOf(suspects(), now());
    if (!refusal || isTrial(*refusal))
        return false;
    refuseEverywhere(std::chrono::duration_cast<milliseconds>(refusal->remaining));
    return true;
}

// A trial is one attempt. The request may be dispatched several times before it is made.
bool RoutedRun::isTrial(const CrashSuspectTable::Refusal& refusal)
{
    if (!refusal.mayBeTrial || m_attemptCount > 0)
        return false;
    if (!m_isTrial)
        m_isTrial = m_parts.crashSuspects.beginTrial(refusal.suspect, m_parts.entries.orderFor(stableHash(refusal.suspect), m_homeRegions), now());
    return m_isTrial;
}

// The maximum hold time applies to all attempts of the request together.
void RoutedRun::beginHold(const CrashSuspectTable::RecentCrash& crash, const EntryOrder& order, TimePoint time)
{
    m_heldSince = time;
    if (!m_parts.log.admitsNotable())
        return;
    m_parts.log.write(LogLevel::Warning, "request_held",
        { { "request", m_request.facts.attemptId }, { "fingerprint", fingerprint().toHex() }, { "route", m_route->name },
            { "suspect", crash.suspect.toHex() }, { "crash_ms_ago", std::chrono::duration_cast<milliseconds>(time - crash.at).count() }, { "rank", order.rank }, { "entries", order.entries } });
}

Duration RoutedRun::waitAfterCrash(const CrashSuspectTable::RecentCrash& crash, const EntryOrder& order, bool wasDelivered) const
{
    bool isLikelyUnrelated = crash.isOnlyKnownHere && wasDelivered;
    isLikelyUnrelated |= m_isStreamBound && m_parts.crashSuspects.mayResume(crash);
    return isLikelyUnrelated ? Duration::zero() : m_parts.crashSuspects.nextTurn(crash, order, now()) - now();
}

bool RoutedRun::mayMoveDespiteCrashes()
{
    const CrashSuspectTable& crashing = m_parts.crashSuspects;
    if (crashing.isEmpty())
        return true;
    if (crashing.refusalOf(suspects(), now()))
        return false;
    std::optional<CrashSuspectTable::RecentCrash> crash = crashing.crashToAwait(suspects(), now());
    if (!crash)
        return true;
    EntryOrder order = m_parts.entries.orderFor(stableHash(crash->suspect), m_homeRegions);
    return waitAfterCrash(*crash, order, true) <= Duration::zero();
}

void RoutedRun::recordTurnAfterCrash()
{
    if (std::optional<CrashSuspectTable::RecentCrash> crash = m_parts.crashSuspects.crashToAwait(suspects(), now()))
        m_parts.crashSuspects.recordAttempt(crash->suspect, now());
}

bool RoutedRun::holdIfSuspect()
{
    CrashSuspectTable& crashing = m_parts.crashSuspects;
    if (crashing.isEmpty() || !isAllowedHere())
        return false;
    TimePoint time = now();
    std::optional<CrashSuspectTable::RecentCrash> crash = crashing.crashToAwait(suspects(), time);
    if (!crash)
        return false;
    EntryOrder order = m_parts.entries.orderFor(stableHash(crash->suspect), m_homeRegions);
    Duration wait = waitAfterCrash(*crash, order, m_possiblyDeliveredAttempts > 0);
    if (wait <= Duration::zero()) {
        crashing.recordAttempt(crash->suspect, time);
        return false;
    }
    if (!m_heldSince)
        beginHold(*crash, order, time);
    if (time - *m_heldSince >= maxHoldTime) {
        refuseEverywhere(retryAfterHold, "crash_unsettled");
        return true;
    }
    m_parts.scheduler.callAfter(std::min<Duration>(wait, holdCheckInterval), [self = shared_from_this()] {
        if (!self->m_isDone)
            self->dispatch();
    });
    return true;
}

void RoutedRun::refuseEverywhere(milliseconds retryAfter, const char* reason)
{
    m_retryAfter = retryAfter;
    if (m_failureHead)
        sendAnswer(*m_failureHead, std::move(m_failureBody));
    else if (m_mayHaveRun)
        sendOwnAnswer(statusBadGateway, Outcome::Unknown, reason);
    else
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, reason);
}

std::vector<std::uint32_t> RoutedRun::notifiableRegions() const
{
    std::vector<std::uint32_t> regions;
    for (const std::string& region : m_homeRegions)
        regions.push_back(regionHash(region));
    return regions;
}

// A stream that has brought many events may still be what crashes its endpoint, but only by
// something that other requests with its segments don't have.
RequestSuspects RoutedRun::suspectsOf(const Attempt& attempt)
{
    return attempt.events >= eventsOfSurvivor ? RequestSuspects { fingerprint() } : suspects();
}

void RoutedRun::countEvents(Attempt& attempt, std::size_t events)
{
    bool wasSurvivor = attempt.events >= eventsOfSurvivor;
    attempt.events += events;
    if (wasSurvivor || attempt.events < eventsOfSurvivor || !isAllowedHere())
        return;
    RequestSuspects segments(suspects().begin() + 1, suspects().end());
    m_parts.crashSuspects.recordSurvival(segments, now());
}

// An answer that another entry relays was also made by an endpoint. That entry waits for what
// becomes of the endpoint if the answer has ended with its connection. An error of the endpoint
// tells nothing of the prompt, which it may not have read.
void RoutedRun::recordSurvival(const Attempt& attempt)
{
    CrashSuspectTable& crashing = m_parts.crashSuspects;
    bool isSuccess = attempt.head->status >= 200 && attempt.head->status < 300;
    RequestSuspects survivors = isSuccess ? suspects() : RequestSuspects { fingerprint() };
    if (!attempt.isUnframed)
        crashing.recordSurvival(survivors, now());
    else if (attempt.endpoint)
        crashing.recordUnframedEnd(survivors, attempt.endpoint->hash, notifiableRegions(), now(), now() - attempt.startedAt);
}

// An answer of another incarnation or a failed connection shows that the endpoint has
// stopped. A broken or missing answer shows that it may have crashed, and so does a stream that
// ends inside an event.
void RoutedRun::recordCrashEvidence(const Attempt& attempt, HttpEnd end, AttemptVerdict verdict)
{
    CrashSuspectTable& crashing = m_parts.crashSuspects;
    bool hasSurvived = verdict == AttemptVerdict::Answered && attempt.head->status < firstServerErrorStatus;
    if (hasSurvived && isAllowedHere())
        recordSurvival(attempt);
    if (!attempt.endpoint)
        return;
    std::uint32_t endpoint = attempt.endpoint->hash;
    bool endsEarly = attempt.isEventStream && end == HttpEnd::Complete;
    bool isBroken = verdict == AttemptVerdict::Unknown && (end == HttpEnd::NoResponse || end == HttpEnd::Truncated || endsEarly);
    bool isBrokenByCut = isBroken && m_parts.endpoints.isCutOff(m_service, now()) && !crashing.mayHaveCrashed(suspects(), endpoint, m_parts.endpoints.reach().failedEndpoints());
    if (isBroken && !isBrokenByCut)
        crashing.recordBrokenConnection(suspectsOf(attempt), endpoint, notifiableRegions(), now(), now() - attempt.startedAt);
    if (end == HttpEnd::ConnectFailed || attempt.facts.isOtherIncarnation)
        crashing.recordEndpointUnreachable(endpoint, now());
}

} // namespace catkinwing
