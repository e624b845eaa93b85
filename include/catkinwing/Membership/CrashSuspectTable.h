#pragma once

#include "catkinwing/Membership/CrashHistory.h"
#include "catkinwing/Membership/CrashSuspect.h"
#include "catkinwing/Membership/EntryGroups.h"
#include "catkinwing/PeerProtocol/CrashReport.h"
#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <optional>
#include <vector>

namespace catkinwing {

/// Tracks what was running when endpoints crashed: requests, and what requests have in common.
/// Distinguishes a suspect that crashes endpoints from those that ran at the same time: a
/// request with the former is never answered, whereas an answer to one with the latter shows
/// that its crashes have another cause.
class CrashSuspectTable {
public:
    /// \p seed must differ between entries, so that they accept a refused request again at
    /// different times.
    explicit CrashSuspectTable(std::uint64_t seed = 0)
        : m_seed(seed)
    {
    }

    /// Returns whether nothing is tracked, in which case no suspects are needed.
    bool isEmpty() const { return m_pending.empty() && m_known.empty(); }
    /// Records that the connection to \p endpoint broke while it ran a request with
    /// \p suspects, \p ranFor after the request was sent. This counts as a crash of the endpoint
    /// unless data from it is received again. Only entries of \p regions may be notified, or all
    /// if empty.
    void recordBrokenConnection(const RequestSuspects& suspects, std::uint32_t endpoint, const std::vector<std::uint32_t>& regions, TimePoint now, Duration ranFor = {});
    /// Records that data from the endpoint was received.
    void recordEndpointAlive(std::uint32_t endpoint, TimePoint now);
    /// Records that the endpoint refuses connections, or that another one has its address.
    void recordEndpointUnreachable(std::uint32_t endpoint, TimePoint now);
    /// Records that an endpoint answered a request with \p suspects.
    void recordSurvival(const RequestSuspects& suspects, TimePoint now);
    /// Records that an answer ended with its connection. It may be complete, or the endpoint may
    /// have crashed; what is heard of the endpoint next decides which. The other parameters are
    /// those of recordBrokenConnection().
    void recordUnframedEnd(const RequestSuspects& suspects, std::uint32_t endpoint, const std::vector<std::uint32_t>& regions, TimePoint now, Duration ranFor = {});

    /// Why a request is refused, and for how long.
    struct Refusal {
        Duration remaining { 0 };
        SuspectId suspect;
        /// The request may be sent all the same if beginTrial() allows it, to find out whether
        /// the suspect still crashes endpoints.
        bool mayBeTrial { false };
    };
    /// Returns the refusal of a request with \p suspects, or none.
    std::optional<Refusal> refusalOf(const RequestSuspects& suspects, TimePoint now) const;
    /// Returns whether this entry may send a request with \p suspect as a trial, and records the
    /// trial. Entries take turns in \p order, so that one request at a time is tried.
    bool beginTrial(const SuspectId& suspect, const EntryOrder& order, TimePoint now);
    /// Returns whether one of the suspects may have crashed all of the \p failed endpoints,
    /// including \p endpoint where a connection has just broken.
    bool mayHaveCrashed(const RequestSuspects& suspects, std::uint32_t endpoint, const std::vector<std::uint32_t>& failed) const;
    /// Removes the broken connections of this entry that a cut of its network explains: those
    /// of suspects that did not run at all of the \p failed endpoints.
    void dropBrokenByCut(const std::vector<std::uint32_t>& failed);

    /// The latest crash during an attempt of a request with one suspect.
    struct RecentCrash {
        SuspectId suspect;
        TimePoint at {};
        /// True if the crash is the only one and no other entry has reported one. Then the
        /// suspect probably just ran on the endpoint that another one crashed.
        bool isOnlyKnownHere { true };
        /// Regions whose entries may be notified of the crash; all if empty.
        std::vector<std::uint32_t> notifiableRegions {};
    };
    /// Returns the latest crash that one of the suspects may have caused, or none if the request
    /// may be sent without waiting for its turn.
    std::optional<RecentCrash> crashToAwait(const RequestSuspects& suspects, TimePoint now) const;
    /// Returns when this entry may send a request with the suspect of \p crash. Entries take
    /// turns in \p order, so that only one attempt runs at a time until it is known whether the
    /// suspect caused the crash.
    TimePoint nextTurn(const RecentCrash& crash, const EntryOrder& order, TimePoint now) const;
    /// Returns whether a stream that has brought events may go on elsewhere at once after
    /// \p crash, since it is unlikely to be the cause.
    bool mayResume(const RecentCrash& crash) const;
    /// Records that a request is sent for which crashToAwait() returned a crash of \p suspect.
    void recordAttempt(const SuspectId& suspect, TimePoint now) { m_tried[suspect] = now; }

    /// Merges a notice of another entry.
    void mergeNotice(const CrashNotice& notice, TimePoint now);
    /// Decides whether broken connections were crashes, and removes expired state. To be
    /// called several times a second.
    void settleAndExpire(TimePoint now);
    /// Returns broken connections, and answers that show that the request caused no crash,
    /// since the last call. Other entries may receive the same request before the crash is
    /// settled.
    std::vector<CrashNotice> takeUrgentNotices(TimePoint now);
    /// Sets the callback that is called when the first notice since the last call of
    /// takeUrgentNotices() is queued. Without a callback, no urgent notices are kept.
    void setUrgentCallback(std::function<void()> callback) { m_onUrgent = std::move(callback); }
    /// Returns crashes settled since the last call, for the entries that count crashes.
    std::vector<CrashNotice> takeSettledNotices() { return std::exchange(m_settled, {}); }
    /// Returns changed histories worth telling: those with several separate crashes, a refusal
    /// or an answer. Each change is returned by several calls; one call returns a bounded number.
    std::vector<CrashNotice> takeChangedNotices(TimePoint now);
    /// Returns a bounded number of the histories worth telling, other ones in each call until
    /// all were returned.
    std::vector<CrashNotice> nextSuspectNotices(TimePoint now);
    /// Returns a bounded number of the histories of refused suspects.
    std::vector<CrashNotice> refusedNotices(TimePoint now) const;
    /// Returns the number of suspects of \p kind that are refused at \p now.
    std::size_t refusedCount(SuspectKind kind, TimePoint now) const;
    std::size_t size() const { return m_known.size(); }
    /// Returns the number of suspects that are recorded as answered.
    std::size_t answeredCount() const { return m_answered.size() + m_answeredBefore.size(); }

private:
    /// A broken connection of which it isn't yet decided (settled) whether the endpoint
    /// crashed.
    struct BrokenConnection {
        SuspectId suspect;
        std::uint32_t endpoint { 0 };
        TimePoint at {};
        Duration ranFor { 0 };
        std::vector<std::uint32_t> notifiableRegions;
        bool isEndpointUnreachable { false };
        /// True if another entry reported the connection; that entry settles it.
        bool isFromOtherEntry { false };
    };
    /// An answer that ended with its connection.
    struct UnframedEnd {
        RequestSuspects suspects;
        std::uint32_t endpoint { 0 };
        std::vector<std::uint32_t> notifiableRegions;
        TimePoint at {};
        Duration ranFor { 0 };
    };
    struct Answered {
        TimePoint at {};
        /// True if the answer passed through this entry.
        bool isOwn { false };
    };
    /// A broken connection, or an answer, to be reported immediately.
    struct UrgentNotice {
        BrokenConnection broken;
        bool isAnswered { false };
    };
    struct TrackedSuspect {
        CrashHistory history;
        /// Entries of other regions aren't notified. Several requests may have the same prompt
        /// segment: where any of them may be processed, its name may be known.
        std::vector<std::uint32_t> notifiableRegions;
        /// Number of calls of takeChangedNotices() that still return the history.
        unsigned reportsLeft { 0 };
    };

    using AnsweredTable = absl::flat_hash_map<SuspectId, Answered, RequestFingerprintHash>;

    std::optional<RecentCrash> recentCrash(const SuspectId& suspect, TimePoint now) const;
    void queueUrgent(UrgentNotice urgent);
    /// Removes pending connections of the suspect that broke up to \p answeredAt.
    void dropPending(const SuspectId& suspect, TimePoint answeredAt);
    void recordAnswer(const SuspectId& suspect, TimePoint at, bool isOwn);
    /// Returns the last answer if it is recent enough to be evidence, or null.
    const Answered* recentAnswer(const SuspectId& suspect, TimePoint now) const;
    void rotateAnswers(TimePoint now);
    void recordReportedConnection(const CrashNotice& notice, const ToldCrash& crash, TimePoint now);
    void settle(const BrokenConnection& broken, TimePoint now);
    void handleHistoryChange(const SuspectId& suspect, TrackedSuspect& known, unsigned refusalsBefore, TimePoint now);
    void attributeCrashes(const SuspectId& suspect, const CrashHistory& history, TimePoint now);
    bool hasOtherCause(const SuspectId& suspect, std::uint32_t endpoint, TimePoint now) const;
    TrackedSuspect& findOrCreate(const SuspectId& suspect, TimePoint now);
    void evictOldest();
    Duration refusalDelay(const SuspectId& suspect) const;
    /// Returns the history of the suspect with its pending connections, as if all were crashes.
    CrashHistory withPending(const SuspectId& suspect, TimePoint now) const;
    CrashHistory newHistory(const SuspectId& suspect, TimePoint now) const;
    std::optional<Refusal> refusalOf(const SuspectId& suspect, TimePoint now) const;
    bool hasEqualSuspect(const RequestSuspects& suspects, const SuspectId& refused, TimePoint now) const;
    static bool isWorthTelling(const TrackedSuspect& known);
    static CrashNotice makeNotice(const SuspectId& suspect, const TrackedSuspect& known, TimePoint now);

    std::uint64_t m_seed;
    std::vector<BrokenConnection> m_pending;
    std::vector<UnframedEnd> m_unframedEnds;
    absl::flat_hash_map<SuspectId, TrackedSuspect, RequestFingerprintHash> m_known;
    /// Suspects that were answered recently. The older table is dropped when the newer one is
    /// full or old enough to take its place, so that a suspect which is answered often stays
    /// known however many others there are.
    AnsweredTable m_answered;
    AnsweredTable m_answeredBefore;
    TimePoint m_answersRotatedAt {};
    /// Time of this entry's latest attempt of each suspect that is sent in turns after a
    /// crash; see nextTurn() and beginTrial().
    absl::flat_hash_map<SuspectId, TimePoint, RequestFingerprintHash> m_tried;
    TimePoint m_attemptsPrunedAt {};
    /// The refused suspect that crashed each endpoint, by the hash of the endpoint's
    /// incarnation.
    absl::flat_hash_map<std::uint32_t, SuspectId> m_causes;
    std::vector<CrashNotice> m_settled;
    std::vector<UrgentNotice> m_urgent;
    std::function<void()> m_onUrgent;
    /// Number of histories that nextSuspectNotices() has returned since its last full round.
    std::size_t m_toldSuspects { 0 };
};

} // namespace catkinwing
