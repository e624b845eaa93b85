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

/// Requests under which endpoints have crashed, as far as this entry knows. It
/// tells a request that crashes endpoints from one that ran beside it: the one is
/// never answered, and the crashes of the other have another cause.
class CrashingRequests {
public:
    /// \p seed spreads over the entries when a refused request is tried again.
    explicit CrashingRequests(std::uint64_t seed = 0)
        : m_seed(seed)
    {
    }

    /// Tells whether any request is known, so that fingerprints matter.
    bool isEmpty() const { return m_pending.empty() && m_known.empty(); }
    /// A connection broke while the endpoint ran the request, \p ranFor after it was
    /// sent there. Counts as its crash unless the endpoint is heard from again; only
    /// entries of \p regions may learn of it, or all if empty.
    void noteBroken(const RequestFingerprint& request, std::uint32_t endpoint, std::vector<std::uint32_t> regions, TimePoint now, Duration ranFor = {});
    /// The endpoint has sent something.
    void noteAlive(std::uint32_t endpoint, TimePoint now);
    /// The endpoint takes no connections, or another one has its address.
    void noteGone(std::uint32_t endpoint, TimePoint now);
    /// An endpoint answered the request.
    void noteSurvived(const RequestFingerprint& request, TimePoint now);
    /// Returns how much longer the request is refused; nothing if it isn't.
    std::optional<Duration> refusedFor(const RequestFingerprint& request, TimePoint now) const;
    /// The last crash under a request.
    struct RecentCrash {
        TimePoint at {};
        /// It is the only one, and no other entry has told of one: most likely the request
        /// merely ran beside the one that crashed the endpoint.
        bool isOnlyOwn { true };
        /// Those whose entries may know of it; all if empty.
        std::vector<std::uint32_t> regions {};
    };
    /// Returns the crash of which it isn't known whether the request is to blame for it;
    /// nothing if it needn't wait for that.
    std::optional<RecentCrash> crashToAwait(const RequestFingerprint& request, TimePoint now) const;
    /// Returns when the request may be sent from here, so that the same request is tried
    /// once at a time until it is known whether it is to blame for the crash. Entries
    /// take turns in the order given.
    TimePoint turnOf(const RequestFingerprint& request, const RecentCrash& crash, const EntryOrder& order, TimePoint now) const;
    /// A request for which crashToAwait() returned something is sent.
    void noteTried(const RequestFingerprint& request, TimePoint now) { m_tried[request] = now; }

    /// Takes what another entry knows.
    void take(const CrashNotice& notice, TimePoint now);
    /// Settles what has broken and forgets what is old; to be called several times a second.
    void houseKeep(TimePoint now);
    /// Returns connections that broke and answers that refute them since the last call,
    /// for entries to which the same request may come before the crash is settled.
    std::vector<CrashNotice> takeUrgent(TimePoint now);
    /// Calls back when there is something to take.
    void onUrgent(std::function<void()> callback) { m_onUrgent = std::move(callback); }
    /// Returns crashes settled since the last call, for the entries that count them.
    std::vector<CrashNotice> takeSettled() { return std::exchange(m_settled, {}); }
    /// Returns what has changed of requests under which more than one endpoint
    /// crashed, each for some calls.
    std::vector<CrashNotice> takeNews(TimePoint now);
    /// Returns all that is known of such requests.
    std::vector<CrashNotice> suspects(TimePoint now) const;
    /// Returns the number of requests that are refused now.
    std::size_t refused(TimePoint now) const;
    std::size_t size() const { return m_known.size(); }
    /// Returns the number of requests whose answers are remembered.
    std::size_t answered() const { return m_answered.size(); }

private:
    /// A connection that broke a moment ago.
    struct Broken {
        RequestFingerprint request;
        std::uint32_t endpoint { 0 };
        TimePoint at {};
        Duration ranFor { 0 };
        std::vector<std::uint32_t> regions;
        bool isGone { false };
        /// Another entry's; it settles it.
        bool isTold { false };
    };
    struct Answered {
        TimePoint at {};
        /// This entry has answered it itself.
        bool isOwn { false };
    };
    /// A broken connection, or an answer, that is to be told at once.
    struct Urgent {
        Broken broken;
        bool isAnswered { false };
    };
    struct Known {
        CrashHistory history;
        std::vector<std::uint32_t> regions;
        /// How often it is still to be told as news.
        unsigned timesToTell { 0 };
    };

    std::optional<RecentCrash> recentCrash(const RequestFingerprint& request, TimePoint now) const;
    void tellAtOnce(Urgent urgent);
    /// Takes out what broke before the request was answered.
    void dropPending(const RequestFingerprint& request, TimePoint answeredAt);
    void noteAnswered(const RequestFingerprint& request, TimePoint at, bool isOwn);
    void forgetAnswers(TimePoint now);
    void takePending(const CrashNotice& notice, const ToldCrash& crash, TimePoint now);
    void settle(const Broken& broken, TimePoint now);
    void noteChange(const RequestFingerprint& request, Known& known, unsigned refusalsBefore, TimePoint now);
    void explainCrashes(const RequestFingerprint& request, const CrashHistory& history);
    bool isExplained(const RequestFingerprint& request, std::uint32_t endpoint) const;
    Known& obtain(const RequestFingerprint& request);
    void makeRoom();
    Duration delayOf(const RequestFingerprint& request) const;
    bool mayBeRefusedSoon(const RequestFingerprint& request, CrashHistory history) const;
    static bool isSuspect(const Known& known);
    static CrashNotice noticeOf(const RequestFingerprint& request, const Known& known, TimePoint now);

    std::uint64_t m_seed;
    std::vector<Broken> m_pending;
    absl::flat_hash_map<RequestFingerprint, Known, RequestFingerprintHash> m_known;
    /// Requests that were answered of late.
    absl::flat_hash_map<RequestFingerprint, Answered, RequestFingerprintHash> m_answered;
    TimePoint m_answersForgottenAt {};
    /// When requests that may have to wait were last sent from here.
    absl::flat_hash_map<RequestFingerprint, TimePoint, RequestFingerprintHash> m_tried;
    /// The refused request that crashed each endpoint.
    absl::flat_hash_map<std::uint32_t, RequestFingerprint> m_causes;
    std::vector<CrashNotice> m_settled;
    std::vector<Urgent> m_urgent;
    std::function<void()> m_onUrgent;
};

} // namespace catkinwing
