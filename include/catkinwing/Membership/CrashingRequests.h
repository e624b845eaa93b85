#pragma once

#include "catkinwing/Membership/CrashHistory.h"
#include "catkinwing/PeerProtocol/CrashReport.h"
#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/container/flat_hash_map.h>
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
    /// A connection broke while the endpoint ran the request. Counts as its crash
    /// unless the endpoint is heard from again; only entries of \p regions may
    /// learn of it, or all if empty.
    void noteBroken(const RequestFingerprint& request, std::uint32_t endpoint, std::vector<std::uint32_t> regions, TimePoint now);
    /// The endpoint has sent something.
    void noteAlive(std::uint32_t endpoint, TimePoint now);
    /// The endpoint takes no connections, or another one has its address.
    void noteGone(std::uint32_t endpoint, TimePoint now);
    /// An endpoint answered the request.
    void noteSurvived(const RequestFingerprint& request, TimePoint now);
    /// Returns how much longer the request is refused; nothing if it isn't.
    std::optional<Duration> refusedFor(const RequestFingerprint& request, TimePoint now) const;

    /// Takes what another entry knows.
    void take(const CrashNotice& notice, TimePoint now);
    /// Settles what has broken and forgets what is old; to be called several times a second.
    void houseKeep(TimePoint now);
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

private:
    /// A connection that broke a moment ago.
    struct Broken {
        RequestFingerprint request;
        std::uint32_t endpoint { 0 };
        TimePoint at {};
        bool isGone { false };
        std::vector<std::uint32_t> regions;
    };
    struct Known {
        CrashHistory history;
        std::vector<std::uint32_t> regions;
        /// How often it is still to be told as news.
        unsigned timesToTell { 0 };
    };

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
    /// When requests were answered of late: crashes before that are told later.
    absl::flat_hash_map<RequestFingerprint, TimePoint, RequestFingerprintHash> m_answered;
    /// The refused request that crashed each endpoint.
    absl::flat_hash_map<std::uint32_t, RequestFingerprint> m_causes;
    std::vector<CrashNotice> m_settled;
};

} // namespace catkinwing
