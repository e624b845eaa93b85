#include "catkinwing/Membership/CrashingRequests.h"

#include "catkinwing/Support/Hash.h"
#include "catkinwing/Support/Logging.h"
#include <algorithm>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// An endpoint counts as crashed if no data from it is received for this long after a
/// connection broke. Other streams of a live endpoint send data every few tens of
/// milliseconds, and the next request to the endpoint shows its state as well.
static constexpr milliseconds settleTime { 500 };
/// Length of the turn of one entry. A crash and the notice of it take most of a turn, so
/// a request is sent only during the first \c turnStartWindow of it.
static constexpr milliseconds turnLength { 250 };
static constexpr milliseconds turnStartWindow { 80 };
/// Time after its latest crash during which a request is sent only in turns.
static constexpr milliseconds waitAfterCrash { 2'000 };
/// Number of endpoints that may have failed for another reason, or have been crashed by the
/// same request from entries that haven't reported it yet.
static constexpr std::ptrdiff_t maxUnrelatedFailures = 2;
/// Retention of broken connections that other entries reported. Within this time the
/// other entry has settled them and sent the result.
static constexpr milliseconds reportedPendingRetention { 2'000 };
/// Data received within this time after a connection broke may have been sent before.
static constexpr milliseconds bytesInFlight { 50 };
/// Maximum number of pending broken connections; enough for all the connections of an
/// entry to a few endpoints.
static constexpr std::size_t maxPending = 1'024;
/// Maximum number of broken connections and answers returned by one takeUrgentNotices().
static constexpr std::size_t maxUrgent = 16;
/// Maximum number of requests kept, at some 150 bytes each plus 12 for each crash.
static constexpr std::size_t maxKnown = 4'096;
/// Number of requests evicted at once when the maximum is reached.
static constexpr std::size_t evictionBatch = maxKnown / 4;
/// Retention of answers. A request that many clients send is answered again within it.
static constexpr std::chrono::seconds answerRetention { 30 };
static constexpr std::chrono::seconds answerPruneInterval { 1 };
/// Maximum number of answered requests kept: 130 a second during \c answerRetention.
static constexpr std::size_t maxAnswered = 4'096;
/// Number of times that a change is reported, each time to other entries.
static constexpr unsigned reportsPerChange = 5;
/// Maximum extra time for which an entry refuses a request. Entries accept the request
/// again at different times, so that the outcome of the first attempt reaches the others.
static constexpr milliseconds maxRefusalDelay { 60'000 };
/// Reported refusals that are longer are ignored, since no entry creates them.
static constexpr std::chrono::hours maxReportedRefusal { 2 };
/// Reported crashes that are older are ignored, since no entry still keeps them.
static constexpr std::chrono::hours maxReportedAge { 3 };

static milliseconds ageOf(TimePoint at, TimePoint now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(now - at), milliseconds(0));
}

static ToldCrash makeReportedCrash(const EndpointCrash& crash, bool isSettled, TimePoint now)
{
    return { crash.endpoint, ageOf(crash.at, now), std::chrono::duration_cast<milliseconds>(crash.ranFor), isSettled };
}

void CrashingRequests::recordBrokenConnection(const RequestFingerprint& request, std::uint32_t endpoint, std::vector<std::uint32_t> regions, TimePoint now, Duration ranFor)
{
    if (m_pending.size() >= maxPending)
        return;
    m_pending.push_back({ request, endpoint, now, ranFor, std::move(regions) });
    queueUrgent({ m_pending.back() });
}

void CrashingRequests::queueUrgent(UrgentNotice urgent)
{
    if (!m_onUrgent)
        return;
    m_urgent.push_back(std::move(urgent));
    if (m_urgent.size() == 1)
        m_onUrgent();
}

// The most recently dispatched requests come first: of those that ran on a crashed
// endpoint, they are the most likely cause.
std::vector<CrashNotice> CrashingRequests::takeUrgentNotices(TimePoint now)
{
    std::vector<UrgentNotice> urgent = std::exchange(m_urgent, {});
    std::stable_sort(urgent.begin(), urgent.end(), [](const UrgentNotice& a, const UrgentNotice& b) { return a.broken.ranFor < b.broken.ranFor; });
    urgent.resize(std::min(urgent.size(), maxUrgent));
    std::vector<CrashNotice> notices;
    for (UrgentNotice& item : urgent) {
        CrashNotice notice;
        notice.request = item.broken.request;
        if (item.isAnswered)
            notice.survivedAgo = ageOf(item.broken.at, now);
        else
            notice.crashes.push_back(makeReportedCrash({ item.broken.endpoint, item.broken.at, item.broken.ranFor }, false, now));
        notice.regions = std::move(item.broken.notifiableRegions);
        notices.push_back(std::move(notice));
    }
    return notices;
}

void CrashingRequests::recordEndpointAlive(std::uint32_t endpoint, TimePoint now)
{
    if (m_pending.empty())
        return;
    auto isRefuted = [&](const BrokenConnection& broken) { return broken.endpoint == endpoint && now - broken.at > bytesInFlight; };
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(), isRefuted), m_pending.end());
}

void CrashingRequests::recordEndpointUnreachable(std::uint32_t endpoint, TimePoint)
{
    for (BrokenConnection& broken : m_pending)
        broken.isEndpointUnreachable |= broken.endpoint == endpoint;
}

// A request that crashes endpoints runs at each endpoint that it crashes. A cut of the
// network also breaks the connections to many endpoints where the request didn't run.
bool CrashingRequests::mayHaveCrashed(const RequestFingerprint& request, std::uint32_t endpoint, const std::vector<std::uint32_t>& failed) const
{
    auto known = m_known.find(request);
    auto ranAt = [&](std::uint32_t other) {
        auto isPending = [&](const BrokenConnection& broken) { return broken.request == request && broken.endpoint == other; };
        auto isCrash = [&](const EndpointCrash& crash) { return crash.endpoint == other; };
        bool isKnown = known != m_known.end() && std::any_of(known->second.history.crashes.begin(), known->second.history.crashes.end(), isCrash);
        return other == endpoint || isKnown || std::any_of(m_pending.begin(), m_pending.end(), isPending);
    };
    return std::count_if(failed.begin(), failed.end(), [&](std::uint32_t other) { return !ranAt(other); }) <= maxUnrelatedFailures;
}

void CrashingRequests::dropBrokenByCut(const std::vector<std::uint32_t>& failed)
{
    std::vector<BrokenConnection> kept;
    for (const BrokenConnection& broken : m_pending) {
        if (broken.isFromOtherEntry || mayHaveCrashed(broken.request, broken.endpoint, failed))
            kept.push_back(broken);
    }
    m_pending = std::move(kept);
}

void CrashingRequests::dropPending(const RequestFingerprint& request, TimePoint answeredAt)
{
    auto isRefuted = [&](const BrokenConnection& broken) { return broken.request == request && broken.at <= answeredAt; };
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(), isRefuted), m_pending.end());
}

void CrashingRequests::recordAnswer(const RequestFingerprint& request, TimePoint at, bool isOwn)
{
    if (m_answered.size() >= maxAnswered && m_answered.count(request) == 0)
        return;
    Answered& last = m_answered[request];
    last.at = std::max(last.at, at);
    last.isOwn |= isOwn;
}

void CrashingRequests::recordSurvival(const RequestFingerprint& request, TimePoint now)
{
    std::optional<RecentCrash> crash = recentCrash(request, now);
    dropPending(request, now);
    recordAnswer(request, now, true);
    if (crash)
        queueUrgent({ { request, 0, now, {}, crash->notifiableRegions }, true });
    auto found = m_known.find(request);
    if (found == m_known.end() || found->second.history.crashes.empty())
        return;
    TrackedRequest& known = found->second;
    unsigned refusals = known.history.refusals;
    if (catkinwing::recordSurvival(known.history, now))
        handleHistoryChange(request, known, refusals, now);
}

// The delay depends on the seed, so that entries accept the request again at different
// times.
Duration CrashingRequests::refusalDelay(const RequestFingerprint& request) const
{
    return milliseconds(stableHash(request, m_seed) % static_cast<std::uint64_t>(maxRefusalDelay.count()));
}

CrashHistory CrashingRequests::withPending(const RequestFingerprint& request, CrashHistory history) const
{
    for (const BrokenConnection& broken : m_pending) {
        if (broken.request == request && !hasOtherCause(request, broken.endpoint))
            recordCrash(history, { broken.endpoint, broken.at, broken.ranFor });
    }
    return history;
}

std::optional<Duration> CrashingRequests::remainingRefusal(const RequestFingerprint& request, TimePoint now) const
{
    auto found = m_known.find(request);
    CrashHistory history = found == m_known.end() ? CrashHistory() : found->second.history;
    if (history.refusals > 0) {
        Duration left = history.refusedUntil + refusalDelay(request) - now;
        if (left > Duration::zero())
            return left;
    }
    bool wouldBeRefused = withPending(request, history).refusals > history.refusals;
    return wouldBeRefused ? std::optional<Duration>(settleTime) : std::nullopt;
}

// A request that crashes its endpoint mostly does so before it has brought anything, and all
// other streams of the endpoint end with it. One that has been cut off twice may be the
// cause all the same. Only one attempt runs at a time here.
bool CrashingRequests::mayResume(const RequestFingerprint& request, const RecentCrash& crash) const
{
    auto tried = m_tried.find(request);
    bool isUnderWay = tried != m_tried.end() && tried->second >= crash.at;
    auto found = m_known.find(request);
    CrashHistory history = withPending(request, found == m_known.end() ? CrashHistory() : found->second.history);
    return !isUnderWay && history.refusals == 0 && separateCrashes(history) <= 1;
}

std::optional<CrashingRequests::RecentCrash> CrashingRequests::recentCrash(const RequestFingerprint& request, TimePoint now) const
{
    std::optional<RecentCrash> last;
    auto consider = [&](TimePoint at, bool isOwn, const std::vector<std::uint32_t>& regions) {
        if (now - at <= waitAfterCrash)
            last = { last ? std::max(last->at, at) : at, isOwn && !last, regions };
    };
    for (const BrokenConnection& broken : m_pending) {
        if (broken.request == request && !hasOtherCause(request, broken.endpoint))
            consider(broken.at, !broken.isFromOtherEntry, broken.notifiableRegions);
    }
    auto known = m_known.find(request);
    if (known != m_known.end() && !known->second.history.crashes.empty())
        consider(known->second.history.crashes.back().at, !isSuspect(known->second), known->second.notifiableRegions);
    return last;
}

// A request that was answered recently is most likely not the cause of the crash.
std::optional<CrashingRequests::RecentCrash> CrashingRequests::crashToAwait(const RequestFingerprint& request, TimePoint now) const
{
    return m_answered.count(request) > 0 ? std::nullopt : recentCrash(request, now);
}

// Turns are numbered from the crash on. A turn belongs to the entry whose rank is the
// number of the turn modulo the number of entries. A request is sent only in the first
// turnStartWindow of a turn; after an attempt by this entry, not before one turnLength
// has passed.
TimePoint CrashingRequests::nextTurn(const RequestFingerprint& request, const RecentCrash& crash, const EntryOrder& order, TimePoint now) const
{
    auto tried = m_tried.find(request);
    bool isUnderWay = tried != m_tried.end() && tried->second > crash.at;
    TimePoint earliest = isUnderWay ? std::max(now, tried->second + turnLength) : now;
    std::int64_t turn = (earliest - crash.at) / turnLength;
    bool mayBegin = earliest - (crash.at + turn * turnLength) <= turnStartWindow;
    turn += mayBegin ? 0 : 1;
    auto entries = static_cast<std::int64_t>(order.entries);
    std::int64_t turnsUntilOwn = ((static_cast<std::int64_t>(order.rank) - turn) % entries + entries) % entries;
    return std::max(earliest, crash.at + (turn + turnsUntilOwn) * turnLength);
}

bool CrashingRequests::isSuspect(const TrackedRequest& known)
{
    return known.history.refusals > 0 || separateCrashes(known.history) > 1 || known.history.survivedAt != TimePoint {};
}

bool CrashingRequests::hasOtherCause(const RequestFingerprint& request, std::uint32_t endpoint) const
{
    auto cause = m_causes.find(endpoint);
    return cause != m_causes.end() && cause->second != request;
}

// Attributes the crashes to the refused request, and removes them from the histories of
// other requests that ran on the same endpoints and are not refused themselves.
void CrashingRequests::attributeCrashes(const RequestFingerprint& request, const CrashHistory& history)
{
    for (const EndpointCrash& crash : history.crashes) {
        if (!m_causes.emplace(crash.endpoint, request).second)
            continue;
        for (auto& [other, known] : m_known) {
            if (other != request && known.history.refusals == 0)
                removeCrash(known.history, crash.endpoint);
        }
    }
}

void CrashingRequests::handleHistoryChange(const RequestFingerprint& request, TrackedRequest& known, unsigned refusalsBefore, TimePoint now)
{
    const CrashHistory& history = known.history;
    if (isSuspect(known))
        known.reportsLeft = reportsPerChange;
    if (history.refusals > refusalsBefore) {
        logChange(LogLevel::Warning, "request_refused_for_crashes",
            { { "fingerprint", request.toHex() }, { "crashes", history.crashes.size() }, { "last_crash_ms_ago", history.crashes.empty() ? 0 : ageOf(history.crashes.back().at, now).count() },
                { "refusals", history.refusals }, { "refused_for_ms", ageOf(now, history.refusedUntil).count() } });
    } else if (history.refusals < refusalsBefore) {
        logChange(LogLevel::Info, "request_survived", { { "fingerprint", request.toHex() }, { "refusals", refusalsBefore } });
    }
    if (history.refusals > 0)
        attributeCrashes(request, history);
}

// Evicts the requests with the earliest last crash or end of refusal, so that refused
// requests stay longest.
void CrashingRequests::evictOldest()
{
    std::vector<std::pair<TimePoint, RequestFingerprint>> byTime;
    for (const auto& [request, known] : m_known)
        byTime.emplace_back(known.history.crashes.empty() ? TimePoint {} : std::max(known.history.crashes.back().at, known.history.refusedUntil), request);
    std::nth_element(byTime.begin(), byTime.begin() + evictionBatch, byTime.end());
    for (std::size_t i = 0; i < evictionBatch; ++i)
        m_known.erase(byTime[i].second);
}

CrashingRequests::TrackedRequest& CrashingRequests::findOrCreate(const RequestFingerprint& request)
{
    if (m_known.size() >= maxKnown && m_known.count(request) == 0)
        evictOldest();
    auto [known, isNew] = m_known.try_emplace(request);
    auto answered = m_answered.find(request);
    if (isNew && answered != m_answered.end())
        known->second.history.survivedAt = answered->second.at;
    return known->second;
}

void CrashingRequests::settle(const BrokenConnection& broken, TimePoint now)
{
    if (hasOtherCause(broken.request, broken.endpoint))
        return;
    TrackedRequest& known = findOrCreate(broken.request);
    known.notifiableRegions = broken.notifiableRegions;
    unsigned refusals = known.history.refusals;
    EndpointCrash crash { broken.endpoint, broken.at, broken.ranFor };
    if (!recordCrash(known.history, crash))
        return;
    CrashNotice notice;
    notice.request = broken.request;
    notice.crashes.push_back(makeReportedCrash(crash, true, now));
    if (known.history.survivedAt != TimePoint {})
        notice.survivedAgo = ageOf(known.history.survivedAt, now);
    notice.regions = broken.notifiableRegions;
    m_settled.push_back(std::move(notice));
    handleHistoryChange(broken.request, known, refusals, now);
}

void CrashingRequests::pruneAnswers(TimePoint now)
{
    if (now - m_answersPrunedAt < answerPruneInterval)
        return;
    m_answersPrunedAt = now;
    absl::erase_if(m_answered, [now](const auto& item) { return now - item.second.at > answerRetention; });
    absl::erase_if(m_tried, [now](const auto& item) { return now - item.second > waitAfterCrash; });
}

void CrashingRequests::settleAndExpire(TimePoint now)
{
    pruneAnswers(now);
    if (isEmpty())
        return;
    auto isOpen = [now](const BrokenConnection& broken) {
        return broken.isFromOtherEntry ? now - broken.at < reportedPendingRetention : !broken.isEndpointUnreachable && now - broken.at < settleTime;
    };
    auto settled = std::stable_partition(m_pending.begin(), m_pending.end(), isOpen);
    std::vector<BrokenConnection> ended(std::make_move_iterator(settled), std::make_move_iterator(m_pending.end()));
    m_pending.erase(settled, m_pending.end());
    for (const BrokenConnection& broken : ended) {
        if (!broken.isFromOtherEntry)
            settle(broken, now);
    }
    absl::erase_if(m_known, [now](auto& item) { return pruneHistory(item.second.history, now); });
    absl::erase_if(m_causes, [this](const auto& cause) {
        auto known = m_known.find(cause.second);
        return known == m_known.end() || known->second.history.refusals == 0;
    });
}

// An answer after the connection broke shows that the request did not crash the endpoint,
// so the connection is not recorded. An earlier answer makes it unlikely. In both cases an
// answer that passed through this entry is reported, so that other entries don't delay the
// request until the crash is settled.
void CrashingRequests::recordReportedConnection(const CrashNotice& notice, const ToldCrash& crash, TimePoint now)
{
    TimePoint at = now - crash.age;
    auto answered = m_answered.find(notice.request);
    bool isAnswered = answered != m_answered.end();
    if (isAnswered && answered->second.isOwn)
        queueUrgent({ { notice.request, 0, answered->second.at, {}, notice.regions }, true });
    bool isRefuted = isAnswered && answered->second.at >= at;
    if (!isRefuted && m_pending.size() < maxPending)
        m_pending.push_back({ notice.request, crash.endpoint, at, crash.ranFor, notice.regions, false, true });
}

void CrashingRequests::mergeNotice(const CrashNotice& notice, TimePoint now)
{
    CrashHistory reported;
    for (const ToldCrash& crash : notice.crashes) {
        if (crash.age >= maxReportedAge || hasOtherCause(notice.request, crash.endpoint))
            continue;
        if (crash.isSettled)
            reported.crashes.push_back({ crash.endpoint, now - crash.age, crash.ranFor });
        else
            recordReportedConnection(notice, crash, now);
    }
    if (notice.survivedAgo && *notice.survivedAgo < maxReportedAge) {
        reported.survivedAt = now - *notice.survivedAgo;
        dropPending(notice.request, reported.survivedAt);
        recordAnswer(notice.request, reported.survivedAt, false);
    }
    if (notice.refusedFor < maxReportedRefusal) {
        reported.refusals = notice.refusals;
        reported.refusedUntil = now + notice.refusedFor;
    }
    bool isEmptyNotice = reported.crashes.empty() && reported.refusals == 0;
    if (isEmptyNotice && m_known.count(notice.request) == 0)
        return;
    TrackedRequest& known = findOrCreate(notice.request);
    known.notifiableRegions = notice.regions;
    unsigned refusals = known.history.refusals;
    if (mergeHistory(known.history, reported))
        handleHistoryChange(notice.request, known, refusals, now);
}

CrashNotice CrashingRequests::makeNotice(const RequestFingerprint& request, const TrackedRequest& known, TimePoint now)
{
    const CrashHistory& history = known.history;
    CrashNotice notice;
    notice.request = request;
    std::size_t first = history.crashes.size() - std::min(history.crashes.size(), mostToldCrashes);
    for (std::size_t i = first; i < history.crashes.size(); ++i)
        notice.crashes.push_back(makeReportedCrash(history.crashes[i], true, now));
    if (history.survivedAt != TimePoint {})
        notice.survivedAgo = ageOf(history.survivedAt, now);
    notice.refusedFor = ageOf(now, history.refusedUntil);
    notice.refusals = history.refusals;
    notice.regions = known.notifiableRegions;
    return notice;
}

std::vector<CrashNotice> CrashingRequests::takeChangedNotices(TimePoint now)
{
    std::vector<CrashNotice> notices;
    for (auto& [request, known] : m_known) {
        if (known.reportsLeft == 0)
            continue;
        --known.reportsLeft;
        notices.push_back(makeNotice(request, known, now));
    }
    return notices;
}

std::vector<CrashNotice> CrashingRequests::suspectNotices(TimePoint now) const
{
    std::vector<CrashNotice> notices;
    for (const auto& [request, known] : m_known) {
        if (isSuspect(known))
            notices.push_back(makeNotice(request, known, now));
    }
    return notices;
}

std::size_t CrashingRequests::refusedCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_known.begin(), m_known.end(), [&](const auto& item) { return item.second.history.refusals > 0 && item.second.history.refusedUntil > now; }));
}

} // namespace catkinwing
