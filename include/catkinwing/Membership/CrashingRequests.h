#pragma once

#include "catkinwing/Membership/CrashHistory.h"
#include "catkinwing/Membership/EntryGroups.h"
#include "catkinwing/PeerProtocol/CrashReport.h"
#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <optional>
#include <vector>

namespace catkinwing {

/// Tracks requests that were running when endpoints crashed. Distinguishes a request that
/// crashes endpoints from requests that ran at the same time: the former is never
/// answered, whereas an answer to the latter shows that its crashes have another cause.
class CrashingRequests {
public:
    /// \p seed must differ between entries, so that they accept a refused request again at
    /// different times.
    explicit CrashingRequests(std::uint64_t seed = 0)
        : m_seed(seed)
    {
    }

    /// Returns whether no request is tracked, in which case no fingerprints are needed.
    bool isEmpty() const { return m_pending.empty() && m_known.empty(); }
    /// Records that the connection to \p endpoint broke while it ran the request, \p ranFor
    /// after the request was sent. This counts as a crash of the endpoint unless data from
    /// it is received again. Only entries of \p regions may be notified, or all if empty.
    void recordBrokenConnection(const RequestFingerprint& request, std::uint32_t endpoint, std::vector<std::uint32_t> regions, TimePoint now, Duration ranFor = {});
    /// Records that data from the endpoint was received.
    void recordEndpointAlive(std::uint32_t endpoint, TimePoint now);
    /// Records that the endpoint refuses connections, or that another one has its address.
    void recordEndpointUnreachable(std::uint32_t endpoint, TimePoint now);
    /// Records that an endpoint answered the request.
    void recordSurvival(const RequestFingerprint& request, TimePoint now);
    /// Returns the time for which the request is still refused, or none.
    std::optional<Duration> remainingRefusal(const RequestFingerprint& request, TimePoint now) const;
    /// Returns whether the request may have crashed all of the \p failed endpoints, including
    /// \p endpoint where its connection has just broken.
    bool mayHaveCrashed(const RequestFingerprint& request, std::uint32_t endpoint, const std::vector<std::uint32_t>& failed) const;
    /// Removes the broken connections of this entry that a cut of its network explains: those
    /// of requests that did not run at all of the \p failed endpoints.
    void dropBrokenByCut(const std::vector<std::uint32_t>& failed);

    /// The latest crash during an attempt of a request.
    struct RecentCrash {
        TimePoint at {};
        /// True if the crash is the only one and no other entry has reported one. Then the
        /// request probably just ran on the endpoint that another request crashed.
        bool isOnlyKnownHere { true };
        /// Regions whose entries may be notified of the crash; all if empty.
        std::vector<std::uint32_t> notifiableRegions {};
    };
    /// Returns the latest crash that the request may have caused, or none if the request
    /// may be sent without waiting for its turn.
    std::optional<RecentCrash> crashToAwait(const RequestFingerprint& request, TimePoint now) const;
    /// Returns when this entry may send the request. Entries take turns in \p order, so
    /// that only one attempt of the same request runs at a time until it is known whether
    /// the request caused the crash.
    TimePoint nextTurn(const RequestFingerprint& request, const RecentCrash& crash, const EntryOrder& order, TimePoint now) const;
    /// Returns whether a stream that has brought events may go on elsewhere at once after
    /// \p crash, since it is unlikely to be the cause.
    bool mayResume(const RequestFingerprint& request, const RecentCrash& crash) const;
    /// Records that a request is sent for which crashToAwait() returned a crash.
    void recordAttempt(const RequestFingerprint& request, TimePoint now) { m_tried[request] = now; }

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
    /// Returns the changed histories of suspect requests: those with several separate
    /// crashes, a refusal or an answer. Each change is returned by several calls.
    std::vector<CrashNotice> takeChangedNotices(TimePoint now);
    /// Returns the histories of all suspect requests.
    std::vector<CrashNotice> suspectNotices(TimePoint now) const;
    /// Returns the number of requests that are refused at \p now.
    std::size_t refusedCount(TimePoint now) const;
    std::size_t size() const { return m_known.size(); }
    /// Returns the number of requests that are recorded as answered.
    std::size_t answeredCount() const { return m_answered.size(); }

private:
    /// A broken connection of which it isn't yet decided (settled) whether the endpoint
    /// crashed.
    struct BrokenConnection {
        RequestFingerprint request;
        std::uint32_t endpoint { 0 };
        TimePoint at {};
        Duration ranFor { 0 };
        std::vector<std::uint32_t> notifiableRegions;
        bool isEndpointUnreachable { false };
        /// True if another entry reported the connection; that entry settles it.
        bool isFromOtherEntry { false };
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
    struct TrackedRequest {
        CrashHistory history;
        std::vector<std::uint32_t> notifiableRegions;
        /// Number of calls of takeChangedNotices() that still return the history.
        unsigned reportsLeft { 0 };
    };

    std::optional<RecentCrash> recentCrash(const RequestFingerprint& request, TimePoint now) const;
    void queueUrgent(UrgentNotice urgent);
    /// Removes pending connections of the request that broke up to \p answeredAt.
    void dropPending(const RequestFingerprint& request, TimePoint answeredAt);
    void recordAnswer(const RequestFingerprint& request, TimePoint at, bool isOwn);
    void pruneAnswers(TimePoint now);
    void recordReportedConnection(const CrashNotice& notice, const ToldCrash& crash, TimePoint now);
    void settle(const BrokenConnection& broken, TimePoint now);
    void handleHistoryChange(const RequestFingerprint& request, TrackedRequest& known, unsigned refusalsBefore, TimePoint now);
    void attributeCrashes(const RequestFingerprint& request, const CrashHistory& history);
    bool hasOtherCause(const RequestFingerprint& request, std::uint32_t endpoint) const;
    TrackedRequest& findOrCreate(const RequestFingerprint& request);
    void evictOldest();
    Duration refusalDelay(const RequestFingerprint& request) const;
    /// Adds the pending connections of the request to its history, as if all were crashes.
    CrashHistory withPending(const RequestFingerprint& request, CrashHistory history) const;
    static bool isSuspect(const TrackedRequest& known);
    static CrashNotice makeNotice(const RequestFingerprint& request, const TrackedRequest& known, TimePoint now);

    std::uint64_t m_seed;
    std::vector<BrokenConnection> m_pending;
    absl::flat_hash_map<RequestFingerprint, TrackedRequest, RequestFingerprintHash> m_known;
    /// Requests that were answered recently.
    absl::flat_hash_map<RequestFingerprint, Answered, RequestFingerprintHash> m_answered;
    TimePoint m_answersPrunedAt {};
    /// Time of this entry's latest attempt of each request that is sent in turns after a
    /// crash; see nextTurn().
    absl::flat_hash_map<RequestFingerprint, TimePoint, RequestFingerprintHash> m_tried;
    /// The refused request that crashed each endpoint, by the hash of the endpoint's
    /// incarnation.
    absl::flat_hash_map<std::uint32_t, RequestFingerprint> m_causes;
    std::vector<CrashNotice> m_settled;
    std::vector<UrgentNotice> m_urgent;
    std::function<void()> m_onUrgent;
};

} // namespace catkinwing
