#pragma once

#include "catkinwing/Admission/EndpointMemory.h"
#include "catkinwing/Admission/EndpointRoom.h"
#include "catkinwing/Admission/WaitLimit.h"
#include "catkinwing/Coordination/TokenBucket.h"
#include "catkinwing/Ingress/Dialect.h"
#include "catkinwing/Ingress/EndpointLimits.h"
#include "catkinwing/Ingress/EndpointReach.h"
#include "catkinwing/Ingress/PeerLoads.h"
#include "catkinwing/Membership/ShareDivision.h"
#include "catkinwing/PeerProtocol/CrashReport.h"
#include "catkinwing/PeerProtocol/RegionReport.h"
#include "catkinwing/Routing/AnswerForecast.h"
#include "catkinwing/Routing/EndpointChoice.h"
#include "catkinwing/Routing/PromptPlacement.h"
#include "catkinwing/Routing/ResponseTimes.h"
#include "catkinwing/Routing/SegmentFetch.h"
#include "catkinwing/Routing/SegmentHolders.h"
#include "catkinwing/Routing/SegmentRegions.h"
#include "catkinwing/Routing/ServiceVersions.h"
#include "catkinwing/Support/Random.h"
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace catkinwing {

/// Why the attempts in flight at an endpoint are aborted.
enum class AbortReason {
    /// A later start has replaced the endpoint, so no response can arrive any more.
    Restarted,
    /// The same, and the later start has another software version. The attempts may have been
    /// sent to the later start already.
    RestartedAtOtherVersion,
    /// The endpoint has sent nothing for too long, and most entries that use it report
    /// the same. It may still be running, so only attempts that can be replaced are
    /// aborted.
    Unresponsive,
};

/// State that this entry keeps about one start of an endpoint. Shared with the requests
/// in flight there, which may outlive the registration.
struct RoutedEndpoint {
    EndpointRecord record;
    /// Identifies the endpoint in load reports.
    std::uint32_t hash { 0 };
    /// Identifies the software version that the registration states.
    BuildId build { 0 };
    /// When a connection to the endpoint last broke or failed, unless the endpoint has been heard
    /// from on an earlier connection since.
    TimePoint connectionLostAt {};
    /// A later start with another software version has replaced the endpoint. It isn't known
    /// when the later one began to serve.
    bool wasReplacedByOtherVersion { false };
    /// Until then the process that is registered was heard from, on connections that lead
    /// back to a time at which its registration was known.
    TimePoint verifiedUntil {};
    std::string region;
    /// The endpoint has asked this entry to send no requests until this time.
    TimePoint pausedUntil {};
    /// The request rate to which the endpoint limits all entries together.
    EndpointLimit limit;
    /// Attempts of this entry at the endpoint while it is brittle.
    EndpointRoom room;
    /// Name of the entry that fills the endpoint's slots while it is brittle, as of
    /// roomHolderVersion.
    std::string roomHolder;
    std::uint64_t roomHolderVersion { 0 };
    /// The endpoint is leaving and gets no new requests. Never reset to false, since a new
    /// start under the same name is another RoutedEndpoint.
    bool isLeaving { false };
    /// The registration under the endpoint's name can't be parsed. The endpoint isn't
    /// used until a valid registration arrives.
    bool isUnreadable { false };
    /// The registration disappeared during an outage of the store.
    bool isMissing { false };
    /// Until this time the endpoint gets requests only at the rate of coldRateLimit.
    TimePoint coldUntil {};
    /// End of the time for which the endpoint is suspect after a failure.
    TimePoint suspectUntil {};
    /// Decaying share of failures among recent attempts, as of failureShareUpdatedAt.
    double failureShare { 0 };
    TimePoint failureShareUpdatedAt {};
    TimePoint nextSuspectLog {};
    /// Start of the current interval in which requests of this entry are in flight and
    /// the endpoint has sent nothing.
    TimePoint silentSince {};
    /// Number of requests of this entry that have not ended.
    unsigned requestsInFlight { 0 };
    /// Estimated prompt tokens of these requests that still need prefill.
    std::int64_t unprefilledTokens { 0 };
    /// Tokens of cache memory that these requests may take: prompts and responses.
    std::int64_t heldTokens { 0 };
    /// Requests of this entry whose endpoint fetches a segment from this one and whose response
    /// hasn't begun.
    unsigned segmentTransfers { 0 };
    /// Response times of all endpoints of the service, as measured by this entry; shared
    /// by these endpoints.
    std::shared_ptr<ResponseTimes> serviceResponseTimes { std::make_shared<ResponseTimes>() };
    /// Response times of this endpoint, as measured by this entry.
    ResponseTimes responseTimes;
    /// This entry's share of the request rate that the endpoint sustains while cold.
    std::optional<TokenBucket> coldRateLimit;
    /// Functions that abort this entry's attempts in flight at the endpoint, by the
    /// number of the attempt.
    absl::flat_hash_map<std::uint64_t, std::function<void(AbortReason reason)>> abortCallbacks;
};

/// Criteria of a request for the choice of its endpoint.
struct EndpointRequest {
    const ServiceSettings* service { nullptr };
    std::string sharedSegment;
    std::int64_t sharedTokens { 0 };
    std::int64_t promptTokens { 0 };
    /// Tokens of cache memory that the request takes: its prompt and its response.
    std::int64_t memoryTokens { 0 };
    /// The service serves mixed prompts.
    bool isMixed { false };
    /// Expected number of events in the response.
    double expectedEvents { 0 };
    /// The software version at which the request must run; any if there is none.
    std::optional<BuildId> build;
    /// The request begins a stream that may be resumed elsewhere.
    bool beginsResumableStream { false };
    /// Incarnations at which the request has been attempted.
    const std::vector<std::string>* attemptedIncarnations { nullptr };
    /// Whether an endpoint that is listed in tried may be chosen, ranked like a suspect one.
    bool allowsAttempted { false };
    /// Whether suspect endpoints are left out, instead of being chosen if there are no others.
    bool excludesSuspects { false };
    /// Limit of the wait, above which an endpoint counts as too busy; null for no limit.
    const WaitLimitInputs* demand { nullptr };
};

/// Numbers of endpoints that weren't chosen for a request, by reason.
struct PassedOverTotals {
    /// The response would have ended after the client's deadline.
    std::uint64_t cannotEnd { 0 };
    /// The requests there take the endpoint's cache memory.
    std::uint64_t lackMemory { 0 };
};

/// The endpoints of all regions by incarnation, and the load, failures and response times
/// that this entry has recorded for those of its own region.
class EndpointTable {
public:
    /// \p regionOfZone maps each availability zone to its region.
    EndpointTable(std::string region, std::map<std::string, std::string> regionOfZone);

    /// Adds or updates the endpoint of a registration in the store. A later start under a
    /// known name replaces the previous one and inherits none of its state; an earlier
    /// start is ignored.
    void put(EndpointRecord record, TimePoint now);
    /// Records that the registration under the name can't be parsed. A known endpoint isn't
    /// used until a valid registration arrives; an unknown one isn't added.
    void recordUnreadable(const std::string& incarnation);
    /// Removes an endpoint whose registration was deleted while the store was healthy.
    void remove(const std::string& incarnation, TimePoint now);
    /// Records that the registration disappeared during an outage of the store.
    /// removeMissing() removes the endpoint unless put() is called for it before.
    void recordMissing(const std::string& incarnation);
    /// Removes all missing endpoints. Called when endpoints that are still running have
    /// had the time to register again.
    void removeMissing(TimePoint now);
    /// Sets the evacuated zones, whose endpoints get no requests. The endpoints of a zone
    /// that is no longer evacuated are cold for the warm-up time of their service.
    void setEvacuated(std::set<std::string> zones, const RouteTable* routes, TimePoint now);
    /// Sets the entries that share the endpoints of the region. \p self is the name of this
    /// entry among them.
    void setSharers(std::vector<RateSharer> sharers, std::string self, TimePoint now);
    /// Sets how far all entries together may exceed a cold endpoint's request rate: the
    /// factor \p ratio plus \p slack requests.
    void setColdTolerance(double ratio, double slack);

    /// Chooses an endpoint of this region for a request. Charges the request to the rate
    /// limit of the endpoint if that is cold. Returns null if no endpoint is eligible.
    std::shared_ptr<RoutedEndpoint> choose(const EndpointRequest& request, TimePoint now, Random& random);
    const PassedOverTotals& passedOver() const { return m_passedOver; }
    /// Records the start of an attempt at the endpoint.
    void recordAttemptStarted(RoutedEndpoint& endpoint, TimePoint now) const;
    /// Calls the abort callbacks of the attempts at unresponsive endpoints. Attempts without a
    /// certain replacement stay in flight.
    void abortUnresponsive(TimePoint now);
    /// Restarts the silence intervals of all endpoints after a pause of this process, during
    /// which it could receive nothing.
    void resetSilence(TimePoint now);
    /// Returns the pending work of an endpoint: that of this entry plus the work that the
    /// other entries report.
    EndpointWork pendingWork(const RoutedEndpoint& endpoint) const;
    /// Returns the predicted wait of a request that is sent to the endpoint now.
    static Duration predictedWait(const RoutedEndpoint& endpoint, const ResponseEstimate& estimate, const EndpointWork& work, const ServiceSettings& service);
    /// Returns the response estimate of the endpoint. The estimate of its service is used
    /// as the prior.
    static ResponseEstimate responseEstimateOf(const RoutedEndpoint& endpoint, TimePoint now);
    /// Records the time to the first byte of a response, for the endpoint and its service.
    static void recordFirstByte(RoutedEndpoint& endpoint, double kilotokens, Duration took, TimePoint now);
    /// Records for how long a request occupied a slot.
    static void recordSlotTime(RoutedEndpoint& endpoint, Duration held, TimePoint now);
    /// Records that a stream received \p events events after \p pause.
    static void recordEvents(RoutedEndpoint& endpoint, std::size_t events, Duration pause, TimePoint now);
    /// Records that bytes were received from the endpoint. Returns true if this entry was
    /// cut off from the endpoints of the service until then.
    bool recordBytesReceived(RoutedEndpoint& endpoint, TimePoint now);
    /// Records that a connection to the endpoint failed, broke or hung.
    void recordUnreached(const RoutedEndpoint& endpoint, TimePoint now);
    /// Records as failed the endpoints that leave this entry's requests unanswered while
    /// nothing is received from any endpoint.
    void recordSilentEndpoints(TimePoint now);
    /// Returns whether this entry reaches none of the endpoints of the service in this region,
    /// most likely.
    bool isCutOff(absl::string_view service, TimePoint now) const { return m_reach.isCutOff(service, now); }
    /// Returns whether an endpoint of the service in this region is available and hasn't failed
    /// since bytes were last received from any of them.
    bool hasUntriedEndpoint(absl::string_view service, TimePoint now) const;
    EndpointReach& reach() { return m_reach; }
    /// Returns the endpoint from which \p target should fetch the shared segment of \p request;
    /// null if the segment is cached at \p target, or if none is suitable.
    std::shared_ptr<RoutedEndpoint> chooseFetchSource(const RoutedEndpoint& target, const EndpointRequest& request, TimePoint now) const;
    /// Returns how many tokens of a prompt need prefill at the endpoint, and records that
    /// the endpoint caches the shared segment from now on. With \p isFetched, the endpoint
    /// fetches the segment from another one.
    std::int64_t recordSegmentAndGetPrefillTokens(const RoutedEndpoint& endpoint, std::int64_t promptTokens, std::int64_t sharedTokens, absl::string_view sharedSegment, TimePoint now, bool isFetched = false);
    /// Records that a request with the shared segment was sent to \p region.
    void recordSentToRegion(const std::string& region, absl::string_view sharedSegment, TimePoint now);
    /// Records that the endpoint has not executed a request and therefore doesn't cache its
    /// shared segment.
    void removeSegment(const RoutedEndpoint& endpoint, absl::string_view sharedSegment);
    /// Returns the shortest predicted wait among the endpoints of this region that cache
    /// the shared segment; nothing if none does.
    std::optional<Duration> minWaitForSegment(const ServiceSettings& service, absl::string_view sharedSegment, TimePoint now) const;
    /// Records the shared segments that another entry of the region reports as sent.
    void recordPeerSegments(const std::vector<PartSent>& segments, TimePoint now);
    /// Returns and clears the shared segments that this entry has sent since the last call,
    /// for its load report.
    std::vector<PartSent> takeSentSegments() { return std::exchange(m_segmentsSent, {}); }
    /// Records the end of an attempt. \p isFailure is true if the endpoint, not the request,
    /// was at fault.
    void recordAttemptEnded(RoutedEndpoint& endpoint, bool isFailure, TimePoint now);
    /// Records that the endpoint has announced that it is leaving, or has terminated. Applies
    /// to this start even if its registration states otherwise or is written again.
    void recordLeaving(RoutedEndpoint& endpoint, TimePoint now);
    /// Records that the endpoint refused a request and asked for a pause of \p pause.
    static void recordPause(RoutedEndpoint& endpoint, std::chrono::milliseconds pause, TimePoint now);
    /// The request limits that endpoints of the region name.
    EndpointLimits& limits() { return m_limits; }
    /// Records that an answer of the service states how many requests a second an endpoint may
    /// reject, or states nothing of the kind.
    void recordRejectionLimit(const std::string& service, std::optional<double> perSecond, TimePoint now);
    /// Returns how many requests a second each endpoint of the service may reject; nothing if
    /// the endpoints aren't brittle. The slots of a brittle endpoint are filled by one entry.
    std::optional<double> rejectionLimit(absl::string_view service) const;
    /// Records that the endpoint rejected a request for lack of room.
    void recordRejection(RoutedEndpoint& endpoint, TimePoint now);
    /// Returns the name of another entry that fills the slots of an endpoint of this region, one
    /// that has room if possible. Leaves out the entries in \p excluded.
    std::optional<std::string> chooseRoomHolder(const ServiceSettings& service, const std::vector<std::string>& excluded, TimePoint now, Random& random);
    /// Returns the endpoint with the hash; null if there is none.
    std::shared_ptr<RoutedEndpoint> findByHash(std::uint32_t hash) const;
    /// Returns the available endpoints of this region whose limit leaves this entry no request.
    std::vector<std::shared_ptr<RoutedEndpoint>> endpointsWithoutRequest(absl::string_view service, TimePoint now) const;
    /// Returns whether this region has available endpoints for \p service, and the limits of all
    /// of them leave this entry no request.
    bool areLimitsUsedUp(absl::string_view service, TimePoint now) const;
    /// Returns the time until the first usable endpoint of this region ends its pause; zero
    /// if one isn't paused, or if there is no usable endpoint.
    Duration minRemainingPause(absl::string_view service, TimePoint now) const;

    /// Returns this entry's workload at each endpoint that it uses or suspects, for its load
    /// report.
    std::vector<EndpointWorkload> ownWorkloads(TimePoint now) const;
    PeerLoads& peerLoads() { return m_peerLoads; }

    /// Returns the predicted wait and speeds of the endpoints of this region for
    /// \p service. Cold and suspect endpoints are left out.
    ServiceOutlook outlook(const ServiceSettings& service, TimePoint now) const;
    /// Returns the interval at which this entry can send requests of \p promptTokens to the
    /// endpoints of the region: the time that all endpoints together need for one such
    /// request, times the number of entries that share them.
    Duration requestInterval(absl::string_view service, std::int64_t promptTokens, TimePoint now) const;
    /// Returns for each region how many endpoints accept requests for \p service.
    /// With \p build, only those with this software version count.
    std::map<std::string, std::size_t> usableByRegion(absl::string_view service, TimePoint now, std::optional<BuildId> build = std::nullopt) const;
    /// Returns whether an endpoint of the service with the software version is registered.
    bool hasBuild(absl::string_view service, BuildId build) const;
    /// Returns the only software version that the endpoints of the service have had for longer
    /// than a stream lasts; nothing if there were several, or if what this entry knows is outdated.
    std::optional<BuildId> soleVersion(absl::string_view service, TimePoint now) const;
    /// The same, but nothing if other versions may have come and gone without this entry seeing
    /// them, or if what it knows may be outdated soon.
    std::optional<BuildId> observedSoleVersion(absl::string_view service, TimePoint now) const;
    /// Returns whether an endpoint of the service has another version, or had one a short time ago.
    bool hasOtherVersion(absl::string_view service, BuildId build, TimePoint now) const;
    /// Sets the only versions of services as the version record in force states them.
    void setRecordedVersions(std::map<std::string, BuildId> builds, TimePoint now);
    /// Records that no stream can have begun before now. Called before the first endpoint is put.
    void recordFirstStart() { m_registrationsCompleteSince = TimePoint::min(); }
    /// Records that registrations may have come and gone without this entry seeing them.
    void recordHistoryGap(TimePoint now);
    /// Returns whether all entries conclude that a stream of the service began at \p build, also
    /// if the store falls silent in the next moments.
    bool isConcludedByAll(absl::string_view service, BuildId build, TimePoint now) const;
    /// The same, for the service whose name has the hash.
    std::optional<BuildId> soleVersionByHash(std::uint32_t service, TimePoint now) const;
    /// Returns whether a later start may have replaced the endpoint without this entry knowing its
    /// registration yet.
    bool mayHaveRestarted(const RoutedEndpoint& endpoint, TimePoint now) const;
    /// Records that a connection to the endpoint broke or failed.
    static void recordConnectionLost(RoutedEndpoint& endpoint, TimePoint now) { endpoint.connectionLostAt = now; }
    /// Records the connections that another entry reports as broken.
    void recordReportedLosses(const CrashReport& report, TimePoint now) const;
    /// Records that bytes were received on a connection on which the request was sent at \p sentAt.
    /// \p isVerified tells whether the endpoint had not restarted by then.
    static void recordConnectionAlive(RoutedEndpoint& endpoint, TimePoint sentAt, bool isVerified, TimePoint now);
    /// Sets for how long a client may resume a stream after it has begun.
    void setStreamLifetime(Duration lifetime) { m_streamLifetime = lifetime; }
    Duration streamLifetime() const { return m_streamLifetime; }
    /// Sets the age of what this entry knows of registrations.
    void setKnowledgeAge(Duration age) { m_knowledgeAge = age; }
    /// Returns the region where \p sharedSegment was used last or, if it isn't eligible, the
    /// region of the endpoint that owns the segment. Considers the usable endpoints in
    /// \p regions, or in all regions if that is empty; returns nothing if there are none.
    std::optional<std::string> regionOfSegment(absl::string_view service, absl::string_view sharedSegment, const std::vector<std::string>& regions, TimePoint now) const;
    std::size_t size() const { return m_endpoints.size(); }
    /// Calls \p visit with each endpoint of every region.
    void forEach(const std::function<void(RoutedEndpoint&)>& visit) const;
    /// Sets a function that is called with each start that a later one has replaced, before
    /// the attempts in flight there are aborted.
    void setReplacedObserver(std::function<void(RoutedEndpoint&)> observer) { m_replacedObserver = std::move(observer); }

private:
    using Endpoints = std::vector<std::shared_ptr<RoutedEndpoint>>;

    /// Returns the hash that identifies a region in load reports.
    static std::uint32_t reportedRegionHash(absl::string_view region);
    void addSentSegment(const PartSent& sent);
    static double failureShareOf(const RoutedEndpoint& endpoint, TimePoint now);
    static bool isLocallySuspect(const RoutedEndpoint& endpoint, TimePoint now);
    bool isSuspect(const RoutedEndpoint& endpoint, TimePoint now) const;
    /// Returns whether the endpoint has sent nothing for \p limit beyond the predicted wait.
    bool isSilentFor(const RoutedEndpoint& endpoint, Duration limit, TimePoint now) const;
    Endpoints endpointsWithRoom(const ServiceSettings& service, TimePoint now) const;
    EndpointCandidate candidateOf(const RoutedEndpoint& endpoint, const EndpointRequest& request, TimePoint now) const;
    /// Returns the endpoints from which \p target may fetch the shared segment.
    std::vector<SegmentSource> fetchSources(const Endpoints& endpoints, const EndpointRequest& request, const RoutedEndpoint* target, TimePoint now) const;
    /// Returns the time for which \p endpoint prefills the prompt of the request. \p fetchTime is
    /// the time to fetch the shared segment; nothing if it can't be fetched.
    static Duration prefillTimeAt(const EndpointRequest& request, const ResponseEstimate& estimate, bool isCached, std::optional<Duration> fetchTime);
    /// Chooses an endpoint for a request of a service that serves mixed prompts.
    std::optional<std::size_t> chooseMixed(const Endpoints& endpoints, const std::vector<EndpointCandidate>& candidates, const EndpointRequest& request, TimePoint now, Random& random);
    static EndpointDemand demandOf(const EndpointRequest& request);
    bool isUsable(const RoutedEndpoint& endpoint) const;
    /// Returns whether the endpoint is usable and not paused.
    bool isAvailable(const RoutedEndpoint& endpoint, TimePoint now) const { return isUsable(endpoint) && now >= endpoint.pausedUntil; }
    static std::string startName(const EndpointRecord& record);
    bool hasAnnouncedLeaving(const EndpointRecord& record, TimePoint now) const;
    bool isOutdated(const EndpointRecord& record) const;
    void abortReplacedStart(RoutedEndpoint& endpoint, bool hasOtherVersion);
    void addToService(const std::shared_ptr<RoutedEndpoint>& endpoint, const std::string& service);
    void detach(const std::string& incarnation, TimePoint now);
    /// Returns the versions of the service, which may be none.
    ServiceVersions& versionsOf(const std::string& service);
    void recordVersion(const std::string& service, BuildId build, TimePoint now);
    bool hasEstablishedVersion(const Endpoints& endpoints, const ServiceVersions& versions, TimePoint now) const;
    /// Returns whether the endpoint has cache memory for the request.
    bool hasMemory(const RoutedEndpoint& endpoint, const EndpointRequest& request) const;
    bool hasFreeConnection(const RoutedEndpoint& endpoint, const ServiceSettings& service) const;
    const std::string& roomHolderOf(RoutedEndpoint& endpoint) const;
    /// Returns whether this entry fills the slots of the brittle endpoint and one is free.
    bool mayFillSlot(RoutedEndpoint& endpoint, const ServiceSettings& service, double rejectionsPerSecond, TimePoint now) const;
    static unsigned slotsOf(const RoutedEndpoint& endpoint, const ServiceSettings& service);
    bool tryTakeColdToken(RoutedEndpoint& endpoint, const ServiceSettings& service, TimePoint now) const;

    std::string m_region;
    std::map<std::string, std::string> m_regionOfZone;
    /// Regions by the hash that identifies them in load reports.
    absl::flat_hash_map<std::uint32_t, std::string> m_regionByHash;
    absl::flat_hash_map<std::string, std::shared_ptr<RoutedEndpoint>> m_endpoints;
    absl::flat_hash_map<std::string, Endpoints> m_endpointsByService;
    /// Response times of each service, shared by its endpoints.
    absl::flat_hash_map<std::string, std::shared_ptr<ResponseTimes>> m_serviceTimes;
    /// Software versions by service.
    absl::flat_hash_map<std::string, ServiceVersions> m_versions;
    std::map<std::string, BuildId> m_recordedVersions;
    /// The time since which this entry has seen every registration; the minimum if it has seen all
    /// since before the first stream.
    TimePoint m_registrationsCompleteSince { TimePoint::max() };
    Duration m_streamLifetime { std::chrono::seconds(30) };
    Duration m_knowledgeAge { 0 };
    std::set<std::string> m_evacuatedZones;
    std::vector<RateSharer> m_sharers;
    /// Names of the sharers that are registered, and a counter of their changes.
    std::vector<std::string> m_listedSharers;
    std::uint64_t m_listedSharersVersion { 1 };
    /// Requests a second that each endpoint of a service may reject, by service.
    absl::flat_hash_map<std::string, NamedLimit> m_rejectionLimits;
    std::string m_ownName;
    bool m_isSharer { true };
    /// When this entry became one of the sharers; the epoch if it always was.
    TimePoint m_joinedSharersAt {};
    EndpointLimits m_limits;
    EndpointReach m_reach;
    absl::flat_hash_map<std::uint32_t, std::weak_ptr<RoutedEndpoint>> m_endpointByHash;
    PeerLoads m_peerLoads;
    SegmentHolders m_segmentHolders;
    SegmentRegions m_segmentRegions;
    std::vector<PartSent> m_segmentsSent;
    SharedRate m_coldTolerance { 0, 1.5, 3 };
    PassedOverTotals m_passedOver;
    /// Start times of removed endpoints, by their names.
    absl::flat_hash_map<std::string, std::chrono::milliseconds> m_removedStarts;
    /// Expiry times of the leave announcements, keyed by startName().
    absl::flat_hash_map<std::string, TimePoint> m_leavingStartExpiry;
    std::function<void(RoutedEndpoint&)> m_replacedObserver;
};

} // namespace catkinwing
