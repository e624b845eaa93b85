#include "catkinwing/Membership/CrashSuspectTable.h"

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
/// same suspect from entries that haven't reported it yet.
static constexpr std::ptrdiff_t maxUnrelatedFailures = 2;
/// Retention of broken connections that other entries reported. Within this time the
/// other entry has settled them and sent the result.
static constexpr milliseconds reportedPendingRetention { 2'000 };
/// Data received within this time after a connection broke may have been sent before.
static constexpr milliseconds bytesInFlight { 50 };
/// Maximum number of pending broken connections, each counted once per suspect; enough for
/// all the connections of an entry to a few endpoints.
static constexpr std::size_t maxPending = 1'024;
/// Time for which an answer that ended with its connection waits for a sign of the endpoint.
static constexpr milliseconds unframedEndRetention { 2'000 };
/// Maximum number of such answers that wait.
static constexpr std::size_t maxUnframedEnds = 256;
/// Maximum number of broken connections and answers returned by one takeUrgentNotices().
static constexpr std::size_t maxUrgent = 16;
/// Maximum number of suspects kept, at some 150 bytes each plus 24 for each crash.
static constexpr std::size_t maxKnown = 4'096;
/// Number of suspects evicted at once when the maximum is reached.
static constexpr std::size_t evictionBatch = maxKnown / 4;
static constexpr std::chrono::seconds attemptPruneInterval { 1 };
/// Maximum number of answered suspects in each of the two tables, at some 50 bytes each. One
/// table lasts for \c survivalEvidence unless more than 270 others are answered in a second.
static constexpr std::size_t maxAnswered = 8'192;
/// Number of times that a change is reported, each time to other entries.
static constexpr unsigned reportsPerChange = 5;
/// Maximum number of histories that one call of takeChangedNotices(), nextSuspectNotices() and
/// refusedNotices() returns.
static constexpr std::size_t maxChangedNotices = 16;
static constexpr std::size_t maxSuspectNotices = 8;
static constexpr std::size_t maxRefusedNotices = 16;
/// Length of the turn of one entry to try a suspect that is refused. The outcome of a trial
/// that begins in the first \c trialStartWindow is known to the others before the next turn.
static constexpr milliseconds trialTurnLength { 5'000 };
static constexpr milliseconds trialStartWindow { 2'500 };
/// A trial doesn't begin within this time after a crash that the suspect may have caused.
static constexpr milliseconds minTimeSinceCrash { 3'000 };
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

// A prompt segment that was answered a moment ago ran on nearly every endpoint. Other entries
// are told of it once it is settled and there was no answer since.
void CrashSuspectTable::recordBrokenConnection(const RequestSuspects& suspects, std::uint32_t endpoint, const std::vector<std::uint32_t>& regions, TimePoint now, Duration ranFor)
{
    for (const SuspectId& suspect : suspects) {
        if (m_pending.size() >= maxPending)
            return;
        m_pending.push_back({ suspect, endpoint, now, ranFor, regions });
        if (kindOf(suspect) == SuspectKind::Request || !recentAnswer(suspect, now))
            queueUrgent({ m_pending.back() });
    }
}

void CrashSuspectTable::recordUnframedEnd(const RequestSuspects& suspects, std::uint32_t endpoint, const std::vector<std::uint32_t>& regions, TimePoint now, Duration ranFor)
{
    if (m_unframedEnds.size() < maxUnframedEnds)
        m_unframedEnds.push_back({ suspects, endpoint, regions, now, ranFor });
}

void CrashSuspectTable::queueUrgent(UrgentNotice urgent)
{
    if (!m_onUrgent)
        return;
    m_urgent.push_back(std::move(urgent));
    if (m_urgent.size() == 1)
        m_onUrgent();
}

// Prompt segments come first: few are told, and many requests may have the same. Then come the
// most recently dispatched requests: of those that ran on a crashed endpoint, they are the most
// likely cause.
std::vector<CrashNotice> CrashSuspectTable::takeUrgentNotices(TimePoint now)
{
    std::vector<UrgentNotice> urgent = std::exchange(m_urgent, {});
    std::stable_sort(urgent.begin(), urgent.end(), [](const UrgentNotice& a, const UrgentNotice& b) {
        auto rank = [](const UrgentNotice& item) { return std::make_pair(kindOf(item.broken.suspect) == SuspectKind::Request, item.broken.ranFor); };
        return rank(a) < rank(b);
    });
    urgent.resize(std::min(urgent.size(), maxUrgent));
    std::vector<CrashNotice> notices;
    for (UrgentNotice& item : urgent) {
        CrashNotice notice;
        notice.suspect = item.broken.suspect;
        if (item.isAnswered)
            notice.survivedAgo = ageOf(item.broken.at, now);
        else
            notice.crashes.push_back(makeReportedCrash({ item.broken.endpoint, item.broken.at, item.broken.ranFor }, false, now));
        notice.regions = std::move(item.broken.notifiableRegions);
        notices.push_back(std::move(notice));
    }
    return notices;
}

void CrashSuspectTable::recordEndpointAlive(std::uint32_t endpoint, TimePoint now)
{
    auto isRefuted = [&](const BrokenConnection& broken) { return broken.endpoint == endpoint && now - broken.at > bytesInFlight; };
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(), isRefuted), m_pending.end());
    auto isOpen = [&](const UnframedEnd& end) { return end.endpoint != endpoint || now - end.at <= bytesInFlight; };
    auto complete = std::stable_partition(m_unframedEnds.begin(), m_unframedEnds.end(), isOpen);
    std::vector<UnframedEnd> ends(std::make_move_iterator(complete), std::make_move_iterator(m_unframedEnds.end()));
    m_unframedEnds.erase(complete, m_unframedEnds.end());
    for (const UnframedEnd& end : ends)
        recordSurvival(end.suspects, now);
}

void CrashSuspectTable::recordEndpointUnreachable(std::uint32_t endpoint, TimePoint)
{
    auto isOther = [endpoint](const UnframedEnd& end) { return end.endpoint != endpoint; };
    auto broken = std::stable_partition(m_unframedEnds.begin(), m_unframedEnds.end(), isOther);
    std::vector<UnframedEnd> ends(std::make_move_iterator(broken), std::make_move_iterator(m_unframedEnds.end()));
    m_unframedEnds.erase(broken, m_unframedEnds.end());
    for (const UnframedEnd& end : ends)
        recordBrokenConnection(end.suspects, endpoint, end.notifiableRegions, end.at, end.ranFor);
    for (BrokenConnection& pending : m_pending)
        pending.isEndpointUnreachable |= pending.endpoint == endpoint;
}

// A suspect that crashes endpoints runs at each endpoint that it crashes. A cut of the
// network also breaks the connections to many endpoints where it didn't run.
bool CrashSuspectTable::mayHaveCrashed(const RequestSuspects& suspects, std::uint32_t endpoint, const std::vector<std::uint32_t>& failed) const
{
    auto ranAt = [&](const SuspectId& suspect, std::uint32_t other) {
        auto known = m_known.find(suspect);
        auto isPending = [&](const BrokenConnection& broken) { return broken.suspect == suspect && broken.endpoint == other; };
        auto isCrash = [&](const EndpointCrash& crash) { return crash.endpoint == other; };
        bool isKnown = known != m_known.end() && std::any_of(known->second.history.crashes.begin(), known->second.history.crashes.end(), isCrash);
        return other == endpoint || isKnown || std::any_of(m_pending.begin(), m_pending.end(), isPending);
    };
    return std::any_of(suspects.begin(), suspects.end(), [&](const SuspectId& suspect) {
        return std::count_if(failed.begin(), failed.end(), [&](std::uint32_t other) { return !ranAt(suspect, other); }) <= maxUnrelatedFailures;
    });
}

void CrashSuspectTable::dropBrokenByCut(const std::vector<std::uint32_t>& failed)
{
    std::vector<BrokenConnection> kept;
    for (const BrokenConnection& broken : m_pending) {
        if (broken.isFromOtherEntry || mayHaveCrashed({ broken.suspect }, broken.endpoint, failed))
            kept.push_back(broken);
    }
    m_pending = std::move(kept);
}

void CrashSuspectTable::dropPending(const SuspectId& suspect, TimePoint answeredAt)
{
    auto isRefuted = [&](const BrokenConnection& broken) { return broken.suspect == suspect && broken.at <= answeredAt; };
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(), isRefuted), m_pending.end());
}

void CrashSuspectTable::rotateAnswers(TimePoint now)
{
    if (m_answered.size() < maxAnswered && now - m_answersRotatedAt <= survivalEvidence)
        return;
    m_answersRotatedAt = now;
    m_answeredBefore = std::exchange(m_answered, {});
}

void CrashSuspectTable::recordAnswer(const SuspectId& suspect, TimePoint at, bool isOwn)
{
    auto before = m_answeredBefore.find(suspect);
    Answered& last = m_answered[suspect];
    if (before != m_answeredBefore.end()) {
        last = { std::max(last.at, before->second.at), last.isOwn || before->second.isOwn };
        m_answeredBefore.erase(before);
    }
    last.at = std::max(last.at, at);
    last.isOwn |= isOwn;
}

const CrashSuspectTable::Answered* CrashSuspectTable::recentAnswer(const SuspectId& suspect, TimePoint now) const
{
    for (const AnsweredTable* table : { &m_answered, &m_answeredBefore }) {
        auto found = table->find(suspect);
        if (found != table->end())
            return now - found->second.at <= survivalEvidence ? &found->second : nullptr;
    }
    return nullptr;
}

void CrashSuspectTable::recordSurvival(const RequestSuspects& suspects, TimePoint now)
{
    rotateAnswers(now);
    for (const SuspectId& suspect : suspects) {
        std::optional<RecentCrash> crash = recentCrash(suspect, now);
        dropPending(suspect, now);
        bool wasAnswered = recentAnswer(suspect, now) != nullptr;
        recordAnswer(suspect, now, true);
        // Other entries know only of crashes of suspects that weren't answered before.
        bool isWaitedFor = crash && (kindOf(suspect) == SuspectKind::Request || !wasAnswered || !crash->isOnlyKnownHere);
        if (isWaitedFor)
            queueUrgent({ { suspect, 0, now, {}, crash->notifiableRegions }, true });
        auto found = m_known.find(suspect);
        bool isInDoubt = found != m_known.end() && (!found->second.history.crashes.empty() || found->second.history.refusals > 0);
        if (!isInDoubt)
            continue;
        TrackedSuspect& known = found->second;
        unsigned refusals = known.history.refusals;
        if (catkinwing::recordSurvival(known.history, now))
            handleHistoryChange(suspect, known, refusals, now);
    }
}

// The delay depends on the seed, so that entries accept the request again at different
// times.
Duration CrashSuspectTable::refusalDelay(const SuspectId& suspect) const
{
    return milliseconds(stableHash(suspect, m_seed) % static_cast<std::uint64_t>(maxRefusalDelay.count()));
}

CrashHistory CrashSuspectTable::newHistory(const SuspectId& suspect, TimePoint now) const
{
    CrashHistory history;
    history.kind = kindOf(suspect);
    if (const Answered* answered = recentAnswer(suspect, now))
        history.survivedAt = answered->at;
    return history;
}

CrashHistory CrashSuspectTable::withPending(const SuspectId& suspect, TimePoint now) const
{
    auto found = m_known.find(suspect);
    CrashHistory history = found == m_known.end() ? newHistory(suspect, now) : found->second.history;
    for (const BrokenConnection& broken : m_pending) {
        if (broken.suspect == suspect && !hasOtherCause(suspect, broken.endpoint, now))
            recordCrash(history, { broken.endpoint, broken.at, broken.ranFor });
    }
    return history;
}

// A prompt segment stays refused until a trial is answered or its history expires, so that no
// two entries try it at once. Identical requests are too rare to wait for the turn of an entry.
std::optional<CrashSuspectTable::Refusal> CrashSuspectTable::refusalOf(const SuspectId& suspect, TimePoint now) const
{
    auto found = m_known.find(suspect);
    CrashHistory history = withPending(suspect, now);
    if (history.refusals > (found == m_known.end() ? 0 : found->second.history.refusals))
        return Refusal { settleTime, suspect, false };
    if (history.refusals == 0)
        return std::nullopt;
    if (history.kind == SuspectKind::Request) {
        Duration left = history.refusedUntil + refusalDelay(suspect) - now;
        return left > Duration::zero() ? std::optional<Refusal>({ left, suspect, false }) : std::nullopt;
    }
    bool isSettled = history.crashes.empty() || now - history.crashes.back().at >= minTimeSinceCrash;
    return Refusal { std::max<Duration>(history.refusedUntil - now, trialTurnLength), suspect, isSettled && now >= trialStart(history) };
}

// Tells whether another segment of the request was at as many crashes as the refused one. It may be
// the cause though it isn't refused: which crashes count as separate depends on times that entries
// round when they tell them.
bool CrashSuspectTable::hasEqualSuspect(const RequestSuspects& suspects, const SuspectId& refused, TimePoint now) const
{
    std::size_t crashes = withPending(refused, now).crashes.size();
    return std::any_of(suspects.begin(), suspects.end(), [&](const SuspectId& other) {
        return other != refused && kindOf(other) == SuspectKind::PromptSegment && crashes > 0 && withPending(other, now).crashes.size() >= crashes;
    });
}

// A request with several suspects that may be the cause would leave open which of them a trial is
// about.
std::optional<CrashSuspectTable::Refusal> CrashSuspectTable::refusalOf(const RequestSuspects& suspects, TimePoint now) const
{
    std::optional<Refusal> longest;
    std::size_t count = 0;
    for (const SuspectId& suspect : suspects) {
        std::optional<Refusal> refusal = refusalOf(suspect, now);
        if (!refusal)
            continue;
        ++count;
        if (!longest || refusal->remaining > longest->remaining)
            longest = refusal;
    }
    if (count > 1 || (longest && longest->mayBeTrial && hasEqualSuspect(suspects, longest->suspect, now)))
        longest->mayBeTrial = false;
    return longest;
}

bool CrashSuspectTable::beginTrial(const SuspectId& suspect, const EntryOrder& order, TimePoint now)
{
    auto known = m_known.find(suspect);
    if (known == m_known.end() || known->second.history.refusals == 0)
        return false;
    TimePoint start = trialStart(known->second.history);
    if (now < start)
        return false;
    std::int64_t turn = (now - start) / trialTurnLength;
    TimePoint turnStart = start + turn * trialTurnLength;
    bool isOwnTurn = static_cast<std::size_t>(turn) % order.entries == order.rank;
    auto tried = m_tried.find(suspect);
    bool hasTried = tried != m_tried.end() && tried->second >= turnStart;
    if (!isOwnTurn || hasTried || now - turnStart > trialStartWindow)
        return false;
    recordAttempt(suspect, now);
    logChange(LogLevel::Info, "refused_suspect_tried", { { "suspect", suspect.toHex() }, { "refusals", known->second.history.refusals }, { "rank", order.rank }, { "entries", order.entries } });
    return true;
}

// A suspect that has been cut off twice may be the cause although its stream brought events
// before. Only one attempt runs at a time here.
bool CrashSuspectTable::mayResume(const RecentCrash& crash) const
{
    auto tried = m_tried.find(crash.suspect);
    bool isUnderWay = tried != m_tried.end() && tried->second >= crash.at;
    CrashHistory history = withPending(crash.suspect, crash.at);
    return !isUnderWay && history.refusals == 0 && separateCrashes(history) <= 1;
}

std::optional<CrashSuspectTable::RecentCrash> CrashSuspectTable::recentCrash(const SuspectId& suspect, TimePoint now) const
{
    std::optional<RecentCrash> last;
    auto consider = [&](TimePoint at, bool isOwn, const std::vector<std::uint32_t>& regions) {
        if (now - at <= waitAfterCrash)
            last = { suspect, last ? std::max(last->at, at) : at, isOwn && !last, regions };
    };
    for (const BrokenConnection& broken : m_pending) {
        if (broken.suspect == suspect && !hasOtherCause(suspect, broken.endpoint, now))
            consider(broken.at, !broken.isFromOtherEntry, broken.notifiableRegions);
    }
    auto known = m_known.find(suspect);
    if (known != m_known.end() && !known->second.history.crashes.empty())
        consider(known->second.history.crashes.back().at, !isWorthTelling(known->second), known->second.notifiableRegions);
    return last;
}

// What was answered recently is most likely not the cause of the crash. Of the others, a prompt
// segment decides before the request itself, since requests that aren't identical share it.
std::optional<CrashSuspectTable::RecentCrash> CrashSuspectTable::crashToAwait(const RequestSuspects& suspects, TimePoint now) const
{
    std::optional<RecentCrash> awaited;
    std::pair<bool, std::size_t> awaitedRank;
    for (const SuspectId& suspect : suspects) {
        std::optional<RecentCrash> crash = recentAnswer(suspect, now) ? std::nullopt : recentCrash(suspect, now);
        if (!crash)
            continue;
        std::pair<bool, std::size_t> rank { kindOf(suspect) != SuspectKind::Request, separateCrashes(withPending(suspect, now)) };
        if (awaited && rank <= awaitedRank)
            continue;
        awaited = crash;
        awaitedRank = rank;
    }
    return awaited;
}

// Turns are numbered from the crash on. A turn belongs to the entry whose rank is the
// number of the turn modulo the number of entries. A suspect is sent only in the first
// turnStartWindow of a turn; after an attempt by this entry, not before one turnLength
// has passed.
TimePoint CrashSuspectTable::nextTurn(const RecentCrash& crash, const EntryOrder& order, TimePoint now) const
{
    auto tried = m_tried.find(crash.suspect);
    bool isUnderWay = tried != m_tried.end() && tried->second > crash.at;
    TimePoint earliest = isUnderWay ? std::max(now, tried->second + turnLength) : now;
    std::int64_t turn = (earliest - crash.at) / turnLength;
    bool mayBegin = earliest - (crash.at + turn * turnLength) <= turnStartWindow;
    turn += mayBegin ? 0 : 1;
    auto entries = static_cast<std::int64_t>(order.entries);
    std::int64_t turnsUntilOwn = ((static_cast<std::int64_t>(order.rank) - turn) % entries + entries) % entries;
    return std::max(earliest, crash.at + (turn + turnsUntilOwn) * turnLength);
}

bool CrashSuspectTable::isWorthTelling(const TrackedSuspect& known)
{
    return known.history.refusals > 0 || separateCrashes(known.history) > 1 || known.history.survivedAt != TimePoint {};
}

// A prompt segment that no endpoint has answered may be the common cause of the crashes that
// single requests are refused for, or a second cause beside another segment.
bool CrashSuspectTable::hasOtherCause(const SuspectId& suspect, std::uint32_t endpoint, TimePoint now) const
{
    auto cause = m_causes.find(endpoint);
    bool isOther = cause != m_causes.end() && cause->second != suspect;
    return isOther && (kindOf(suspect) == SuspectKind::Request || recentAnswer(suspect, now));
}

// Attributes the crashes to the refused suspect, and removes them from the histories of
// others that ran on the same endpoints and are not refused themselves.
void CrashSuspectTable::attributeCrashes(const SuspectId& suspect, const CrashHistory& history, TimePoint now)
{
    for (const EndpointCrash& crash : history.crashes) {
        if (!m_causes.emplace(crash.endpoint, suspect).second)
            continue;
        for (auto& [other, known] : m_known) {
            if (other != suspect && known.history.refusals == 0 && hasOtherCause(other, crash.endpoint, now))
                removeCrash(known.history, crash.endpoint);
        }
    }
}

void CrashSuspectTable::handleHistoryChange(const SuspectId& suspect, TrackedSuspect& known, unsigned refusalsBefore, TimePoint now)
{
    const CrashHistory& history = known.history;
    if (isWorthTelling(known))
        known.reportsLeft = reportsPerChange;
    const char* kind = kindOf(suspect) == SuspectKind::Request ? "request" : "prompt segment";
    if (history.refusals > refusalsBefore) {
        logChange(LogLevel::Warning, "request_refused_for_crashes",
            { { "fingerprint", suspect.toHex() }, { "kind", kind }, { "crashes", history.crashes.size() }, { "last_crash_ms_ago", history.crashes.empty() ? 0 : ageOf(history.crashes.back().at, now).count() },
                { "refusals", history.refusals }, { "refused_for_ms", ageOf(now, history.refusedUntil).count() } });
    } else if (history.refusals < refusalsBefore) {
        logChange(LogLevel::Info, "request_survived", { { "fingerprint", suspect.toHex() }, { "kind", kind }, { "refusals", refusalsBefore } });
    }
    if (history.refusals > 0)
        attributeCrashes(suspect, history, now);
}

// Evicts the suspects with the earliest last crash or end of refusal, so that refused ones
// stay longest.
void CrashSuspectTable::evictOldest()
{
    std::vector<std::pair<TimePoint, SuspectId>> byTime;
    for (const auto& [suspect, known] : m_known)
        byTime.emplace_back(known.history.crashes.empty() ? TimePoint {} : std::max(known.history.crashes.back().at, known.history.refusedUntil), suspect);
    std::nth_element(byTime.begin(), byTime.begin() + evictionBatch, byTime.end());
    for (std::size_t i = 0; i < evictionBatch; ++i)
        m_known.erase(byTime[i].second);
}

CrashSuspectTable::TrackedSuspect& CrashSuspectTable::findOrCreate(const SuspectId& suspect, TimePoint now)
{
    if (m_known.size() >= maxKnown && m_known.count(suspect) == 0)
        evictOldest();
    auto [known, isNew] = m_known.try_emplace(suspect);
    if (isNew)
        known->second.history = newHistory(suspect, now);
    return known->second;
}

// Adds \p regions to those that may know of a suspect. An empty list stands for all regions.
static void allowRegions(std::vector<std::uint32_t>& allowed, const std::vector<std::uint32_t>& regions, bool isNew)
{
    bool allowsAll = regions.empty() || (allowed.empty() && !isNew);
    if (allowsAll) {
        allowed.clear();
        return;
    }
    for (std::uint32_t region : regions) {
        if (std::find(allowed.begin(), allowed.end(), region) == allowed.end())
            allowed.push_back(region);
    }
}

void CrashSuspectTable::settle(const BrokenConnection& broken, TimePoint now)
{
    if (hasOtherCause(broken.suspect, broken.endpoint, now))
        return;
    bool isNew = m_known.count(broken.suspect) == 0;
    TrackedSuspect& known = findOrCreate(broken.suspect, now);
    allowRegions(known.notifiableRegions, broken.notifiableRegions, isNew);
    unsigned refusals = known.history.refusals;
    EndpointCrash crash { broken.endpoint, broken.at, broken.ranFor };
    if (!recordCrash(known.history, crash))
        return;
    CrashNotice notice;
    notice.suspect = broken.suspect;
    notice.crashes.push_back(makeReportedCrash(crash, true, now));
    if (known.history.survivedAt != TimePoint {})
        notice.survivedAgo = ageOf(known.history.survivedAt, now);
    notice.regions = broken.notifiableRegions;
    m_settled.push_back(std::move(notice));
    handleHistoryChange(broken.suspect, known, refusals, now);
}

void CrashSuspectTable::settleAndExpire(TimePoint now)
{
    if (now - m_attemptsPrunedAt >= attemptPruneInterval) {
        m_attemptsPrunedAt = now;
        absl::erase_if(m_tried, [now](const auto& item) { return now - item.second > trialTurnLength; });
    }
    auto isOver = [now](const UnframedEnd& end) { return now - end.at >= unframedEndRetention; };
    m_unframedEnds.erase(std::remove_if(m_unframedEnds.begin(), m_unframedEnds.end(), isOver), m_unframedEnds.end());
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

// An answer after the connection broke shows that the suspect did not crash the endpoint,
// so the connection is not recorded. An earlier answer makes it unlikely. In both cases an
// answer that passed through this entry is reported, so that other entries don't delay
// requests until the crash is settled.
void CrashSuspectTable::recordReportedConnection(const CrashNotice& notice, const ToldCrash& crash, TimePoint now)
{
    TimePoint at = now - crash.age;
    const Answered* answered = recentAnswer(notice.suspect, now);
    if (answered && answered->isOwn)
        queueUrgent({ { notice.suspect, 0, answered->at, {}, notice.regions }, true });
    bool isRefuted = answered && answered->at >= at;
    if (!isRefuted && m_pending.size() < maxPending)
        m_pending.push_back({ notice.suspect, crash.endpoint, at, crash.ranFor, notice.regions, false, true });
}

void CrashSuspectTable::mergeNotice(const CrashNotice& notice, TimePoint now)
{
    CrashHistory reported;
    for (const ToldCrash& crash : notice.crashes) {
        if (crash.age >= maxReportedAge || hasOtherCause(notice.suspect, crash.endpoint, now))
            continue;
        if (crash.isSettled)
            reported.crashes.push_back({ crash.endpoint, now - crash.age, crash.ranFor });
        else
            recordReportedConnection(notice, crash, now);
    }
    if (notice.survivedAgo && *notice.survivedAgo < maxReportedAge) {
        rotateAnswers(now);
        reported.survivedAt = now - *notice.survivedAgo;
        dropPending(notice.suspect, reported.survivedAt);
        recordAnswer(notice.suspect, reported.survivedAt, false);
    }
    if (notice.refusedFor < maxReportedRefusal) {
        reported.refusals = notice.refusals;
        reported.refusedUntil = now + notice.refusedFor;
    }
    bool isEmptyNotice = reported.crashes.empty() && reported.refusals == 0;
    bool isNew = m_known.count(notice.suspect) == 0;
    if (isEmptyNotice && isNew)
        return;
    TrackedSuspect& known = findOrCreate(notice.suspect, now);
    allowRegions(known.notifiableRegions, notice.regions, isNew);
    unsigned refusals = known.history.refusals;
    if (mergeHistory(known.history, reported))
        handleHistoryChange(notice.suspect, known, refusals, now);
}

CrashNotice CrashSuspectTable::makeNotice(const SuspectId& suspect, const TrackedSuspect& known, TimePoint now)
{
    const CrashHistory& history = known.history;
    CrashNotice notice;
    notice.suspect = suspect;
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

std::vector<CrashNotice> CrashSuspectTable::takeChangedNotices(TimePoint now)
{
    std::vector<CrashNotice> notices;
    for (auto& [suspect, known] : m_known) {
        if (known.reportsLeft == 0 || notices.size() >= maxChangedNotices)
            continue;
        --known.reportsLeft;
        notices.push_back(makeNotice(suspect, known, now));
    }
    return notices;
}

std::vector<CrashNotice> CrashSuspectTable::nextSuspectNotices(TimePoint now)
{
    std::vector<CrashNotice> notices;
    std::size_t index = 0;
    for (const auto& [suspect, known] : m_known) {
        if (!isWorthTelling(known) || index++ < m_toldSuspects)
            continue;
        if (notices.size() >= maxSuspectNotices)
            break;
        notices.push_back(makeNotice(suspect, known, now));
    }
    m_toldSuspects = notices.size() < maxSuspectNotices ? 0 : m_toldSuspects + notices.size();
    return notices;
}

std::vector<CrashNotice> CrashSuspectTable::refusedNotices(TimePoint now) const
{
    std::vector<CrashNotice> notices;
    for (const auto& [suspect, known] : m_known) {
        if (known.history.refusals > 0 && notices.size() < maxRefusedNotices)
            notices.push_back(makeNotice(suspect, known, now));
    }
    return notices;
}

std::size_t CrashSuspectTable::refusedCount(SuspectKind kind, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_known.begin(), m_known.end(), [&](const auto& item) {
        const CrashHistory& history = item.second.history;
        return history.kind == kind && history.refusals > 0 && (kind != SuspectKind::Request || history.refusedUntil > now);
    }));
}

} // namespace catkinwing
