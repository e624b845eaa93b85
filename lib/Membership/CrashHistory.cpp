#include "catkinwing/Membership/CrashHistory.h"

#include <algorithm>

namespace catkinwing {

/// Crashes within this time count as one. Entries detect simultaneous crashes some
/// hundred milliseconds apart.
static constexpr std::chrono::milliseconds simultaneousWindow { 300 };
/// Minimum run time for a separate crash. A request that ran for less may have been
/// sent to an endpoint that had already crashed.
static constexpr std::chrono::milliseconds minRunTime { 20 };
/// Maximum number of crashes kept for one suspect.
static constexpr std::size_t maxCrashes = 16;
/// Retention of a crash. Clients retry a request within seconds or a few minutes.
static constexpr std::chrono::minutes crashRetention { 5 };
/// Duration of the first refusal period. Replacing a crashing engine by a fixed one
/// takes minutes at least; a false suspicion ends after this time.
static constexpr std::chrono::minutes firstRefusal { 2 };
/// Each further refusal period is twice as long, up to 32 times the first.
static constexpr unsigned maxDoublings = 5;
/// Time after a refusal period during which a single crash starts another one. A prompt
/// segment may come again for a long time.
static constexpr std::chrono::minutes probation { 30 };
/// Time from the first refusal of a prompt segment to its first trial. Only the requests that
/// were already running crash endpoints in this time, and a segment that is refused falsely is
/// served again soon.
static constexpr std::chrono::seconds firstTrialDelay { 3 };
/// A crash this long after the first refusal began is that of a trial.
static constexpr std::chrono::milliseconds minTrialDelay { 2'500 };
/// Time for which the fact that a request was answered is kept and reported to other
/// entries.
static constexpr std::chrono::seconds survivalRetention { 10 };

/// Each transfer between entries shifts a reported time by up to some hundred
/// milliseconds. A reported answer that is later than the known one by at most this time
/// doesn't count as a change, unless a known crash is older than the reported answer.
static constexpr std::chrono::seconds propagationError { 1 };

static Duration refusalTime(unsigned refusals)
{
    return firstRefusal * (1 << std::min(refusals - 1, maxDoublings));
}

static bool isSeparate(const EndpointCrash& crash, TimePoint last)
{
    bool startedLater = crash.ranFor >= minRunTime && crash.at - crash.ranFor > last;
    return startedLater || crash.at - last >= simultaneousWindow;
}

std::size_t separateCrashes(const CrashHistory& history)
{
    std::size_t count = 0;
    std::optional<TimePoint> last;
    for (const EndpointCrash& crash : history.crashes) {
        if (last && !isSeparate(crash, *last))
            continue;
        last = crash.at;
        ++count;
    }
    return count;
}

static std::size_t requiredCrashes(const CrashHistory& history, TimePoint now)
{
    bool hasSurvived = history.survivedAt != TimePoint {} && now - history.survivedAt <= survivalEvidence;
    return history.kind != SuspectKind::Request && hasSurvived ? crashesOfSurvivorBeforeRefusal : crashesBeforeRefusal;
}

// A request that is refused falsely is missed by few clients, so that it has no early trial.
TimePoint trialStart(const CrashHistory& history)
{
    bool hasEarlyTrial = history.kind != SuspectKind::Request && history.refusals == 1;
    return hasEarlyTrial ? history.refusedUntil - firstRefusal + firstTrialDelay : history.refusedUntil;
}

static bool isTrialCrash(const CrashHistory& history, const EndpointCrash& crash)
{
    bool isEarlyTrial = history.kind != SuspectKind::Request && history.refusals == 1 && crash.at >= history.refusedUntil - firstRefusal + minTrialDelay;
    return isEarlyTrial || crash.at >= history.refusedUntil;
}

static void refuse(CrashHistory& history, TimePoint at)
{
    ++history.refusals;
    history.refusedUntil = at + refusalTime(history.refusals);
}

bool recordCrash(CrashHistory& history, const EndpointCrash& crash)
{
    auto isSame = [&](const EndpointCrash& known) { return known.endpoint == crash.endpoint; };
    bool isKnown = std::any_of(history.crashes.begin(), history.crashes.end(), isSame);
    bool isTooOld = history.crashes.size() >= maxCrashes && crash.at <= history.crashes.front().at;
    if (isKnown || isTooOld || crash.at < history.survivedAt)
        return false;
    auto isEarlier = [](const EndpointCrash& a, const EndpointCrash& b) { return a.at < b.at; };
    history.crashes.insert(std::upper_bound(history.crashes.begin(), history.crashes.end(), crash, isEarlier), crash);
    if (history.crashes.size() > maxCrashes)
        history.crashes.erase(history.crashes.begin());
    bool isProven = history.refusals == 0 ? separateCrashes(history) >= requiredCrashes(history, crash.at) : isTrialCrash(history, crash);
    if (isProven)
        refuse(history, crash.at);
    return true;
}

bool recordSurvival(CrashHistory& history, TimePoint at)
{
    if (at <= history.survivedAt)
        return false;
    history.survivedAt = at;
    auto isBefore = [at](const EndpointCrash& crash) { return crash.at < at; };
    history.crashes.erase(std::remove_if(history.crashes.begin(), history.crashes.end(), isBefore), history.crashes.end());
    if (history.crashes.empty()) {
        history.refusals = 0;
        history.refusedUntil = {};
    }
    return true;
}

// The time of the last answer is merged first, since an answer removes older crashes. The
// refusal periods are merged before the crashes, so that a crash that caused a refusal
// period doesn't start another one.
bool mergeHistory(CrashHistory& history, const CrashHistory& other)
{
    bool clearsCrash = !history.crashes.empty() && history.crashes.front().at < other.survivedAt;
    bool isNewSurvival = other.survivedAt > history.survivedAt + (clearsCrash ? Duration::zero() : Duration(propagationError));
    bool hasChanged = isNewSurvival && recordSurvival(history, other.survivedAt);
    bool hasMoreRefusals = other.refusals > history.refusals;
    bool hasSurvivedSince = history.survivedAt != TimePoint {} && (other.crashes.empty() || other.crashes.back().at < history.survivedAt);
    if (hasMoreRefusals && !hasSurvivedSince) {
        history.refusals = other.refusals;
        history.refusedUntil = std::max(history.refusedUntil, other.refusedUntil);
        hasChanged = true;
    }
    for (const EndpointCrash& crash : other.crashes)
        hasChanged |= recordCrash(history, crash);
    return hasChanged;
}

bool removeCrash(CrashHistory& history, std::uint32_t endpoint)
{
    auto isSame = [endpoint](const EndpointCrash& crash) { return crash.endpoint == endpoint; };
    auto last = std::remove_if(history.crashes.begin(), history.crashes.end(), isSame);
    bool hasAny = last != history.crashes.end();
    history.crashes.erase(last, history.crashes.end());
    return hasAny;
}

bool pruneHistory(CrashHistory& history, TimePoint now)
{
    if (history.refusals > 0)
        return now - history.refusedUntil > probation;
    auto isOld = [now](const EndpointCrash& crash) { return now - crash.at > crashRetention; };
    history.crashes.erase(std::remove_if(history.crashes.begin(), history.crashes.end(), isOld), history.crashes.end());
    bool hasSurvivedRecently = history.survivedAt != TimePoint {} && now - history.survivedAt <= survivalRetention;
    return history.crashes.empty() && !hasSurvivedRecently;
}

} // namespace catkinwing
