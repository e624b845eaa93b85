#pragma once

#include "catkinwing/Dispatch/EventCursor.h"
#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Ingress/IngressContext.h"
#include "catkinwing/Ingress/RunDecisions.h"
#include "catkinwing/Membership/CrashSuspect.h"
#include "catkinwing/Routing/SegmentRegionChoice.h"
#include "catkinwing/Support/RequestFingerprint.h"

namespace catkinwing {

/// Number of attempts that the entry that receives a forwarded request may make.
constexpr const char* attemptsLeftHeader = "Catkinwing-Attempts-Left";
/// Number of earlier attempts of a forwarded request that may have reached an endpoint.
constexpr const char* earlierAttemptsHeader = "Catkinwing-Earlier-Arrivals";

/// Name of the workspace of a forwarded request, as judged by the entry that the client
/// connected to.
constexpr const char* workspaceNameHeader = "Catkinwing-Workspace";

/// Marks a refusal that holds at every entry and endpoint. The value is the
/// retry-after time in seconds.
constexpr const char* refusedEverywhereHeader = "Catkinwing-Refused-Everywhere";

/// Marks the refusal of an entry that has sent the request to no endpoint, and names the
/// reason: notSentCutOff or notSentNoRoom.
constexpr const char* notSentHeader = "Catkinwing-Not-Sent";
/// The entry reaches no endpoint of the request's service.
constexpr const char* notSentCutOff = "cut-off";
/// The entry fills the slots of brittle endpoints, and none is free.
constexpr const char* notSentNoRoom = "no-room";

/// The entry reaches no endpoint with the software version that began the stream.
constexpr const char* notSentNoVersion = "no-version";

/// Marks the answer of an endpoint that had neither a length nor chunks. The entry that relays it
/// can't tell whether it is whole.
constexpr const char* unframedAnswerHeader = "Catkinwing-Unframed";

/// Build ID of the software version at which a stream began, in hexadecimal. In a forwarded
/// request, the stream must go on at it; in the answer of another entry, its events come from it.
constexpr const char* streamBuildHeader = "Catkinwing-Stream-Build";

/// A request as received from a client or from another entry.
struct RoutedRequest {
    HttpRequest http;
    RequestFacts facts;
    /// The request was forwarded by another entry and isn't forwarded again.
    bool isForwarded { false };
    TimePoint arrivedAt {};
    /// Of a forwarded request: number of attempts that this entry may make.
    absl::optional<unsigned> attemptsLeft;
    /// Of a forwarded request: number of earlier attempts that may have reached an endpoint.
    unsigned earlierAttempts { 0 };
    /// Of a forwarded request: name of its workspace; empty if it has none.
    std::string workspace;
    /// Of a forwarded request: the software version at which the stream must go on.
    std::optional<BuildId> streamBuild;
};

/// Sets the fields of \p request from the headers that a forwarding entry adds.
void readForwardHeaders(const HttpHeaders& headers, RoutedRequest& request);

/// Runs one routed request from its arrival to its final answer. The object
/// holds a reference to itself until then.
class RoutedRun : public std::enable_shared_from_this<RoutedRun> {
public:
    RoutedRun(IngressContext& parts, RoutedRequest request, std::shared_ptr<HttpResponder> responder);
    ~RoutedRun();
    RoutedRun(const RoutedRun&) = delete;
    RoutedRun& operator=(const RoutedRun&) = delete;

    void begin();

private:
    /// The attempt in progress.
    struct Attempt {
        /// Unique within the entry.
        std::uint64_t number { 0 };
        AttemptTarget target { AttemptTarget::Endpoint };
        std::shared_ptr<RoutedEndpoint> endpoint;
        SocketAddress peer;
        std::string region;
        /// Reason for the choice of the target. Written to the log only.
        const char* why { "" };
        /// The endpoint that sends the shared segment to the attempt's endpoint; null if none
        /// does.
        std::shared_ptr<RoutedEndpoint> fetchSource;
        /// Prompt tokens counted as unread at the endpoint until the first bytes of the answer.
        std::int64_t unreadTokens { 0 };
        /// Tokens counted as held in the endpoint's cache memory until the attempt ends.
        std::int64_t heldTokens { 0 };
        /// Predicted time until the first byte of the answer; zero if there is no prediction.
        Duration predictedFirstByte { 0 };
        /// Unread prompt tokens of the endpoint when the attempt was sent, those of
        /// this request included, in thousands.
        double unreadKilotokensAtStart { 0 };
        /// The endpoint had a free slot when the attempt was sent, or has no slot limit.
        bool hadFreeSlot { false };
        bool hasAnswerBegun { false };
        /// Events of this attempt have been delivered.
        bool hasBroughtEvents { false };
        /// Number of events of this attempt.
        std::size_t events { 0 };
        /// The answer ends with the connection, so that it may not be whole.
        bool isUnframed { false };
        /// When the last event of the stream was received.
        TimePoint lastEventAt {};
        /// Why the attempt was kept when its endpoint was silent; null if it wasn't.
        const char* keptBecause { nullptr };
        std::shared_ptr<HttpExchange> exchange;
        TimePoint startedAt {};
        absl::optional<HttpResponseHead> head;
        ResponseFacts facts;
        /// Outcome stated by the entry that the request was forwarded to.
        absl::optional<Outcome> reportedOutcome;
        /// Number of attempts at endpoints reported by the entry that the request was
        /// forwarded to.
        absl::optional<unsigned> reportedAttempts;
        /// Retry-after time stated by another entry, if its refusal applies to all entries
        /// and regions.
        absl::optional<std::chrono::milliseconds> reportedRetryAfter;
        /// The other entry refused the request without sending it to an endpoint.
        bool wasNotSent { false };
        /// It did so because it reaches none.
        bool isPeerCutOff { false };
        /// The other entry reaches no endpoint with the stream's software version.
        bool lacksPeerVersion { false };
        /// The software version of the endpoint; nothing if it isn't certain.
        std::optional<BuildId> build;
        /// The answer carries the attempt ID of this request.
        bool isForThisRequest { false };
        /// The answer carries the attempt ID of another request.
        bool hasForeignAnswer { false };
        bool isEventStream { false };
        std::string body;
        /// Counts body.
        std::unique_ptr<BufferedBytes> bufferedBody;
        std::unique_ptr<HeldBytes> heldBody;
    };

    /// The target that a request moves to from a silent endpoint.
    struct Replacement {
        /// Null if the target is another entry.
        std::shared_ptr<RoutedEndpoint> endpoint;
        SocketAddress peer;
        std::string region;
    };

    TimePoint now() const { return m_parts.scheduler.clock().now(); }
    std::chrono::milliseconds timeLeft() const;
    /// Determines the workspace of the request. Returns false if the request was refused.
    bool identifyWorkspace();
    /// Determines the regions that may process the request. Returns false if the request
    /// was refused because there is none.
    bool determineHomes();
    /// Requests that the workspace's limit allows go on with dispatch().
    void chargeWorkspace();
    void onCreditDecision(const CreditDecision& decision);
    void returnCredit(bool wasNotRun);
    /// Returns whether a shortage decides whose requests go first.
    bool countsShares() const;
    /// Returns the hash of the workspace's name; zero if there is none.
    std::uint64_t workspaceOfShares() const;
    double tokensOfShares() const;
    bool hasMissedTarget() const;
    /// Decides which part of the capacity the request may use.
    void classifyByShare();
    /// Counts the request in the demand of its workspace in this region.
    void countInShares(bool isAdmitted);
    /// Counts a refusal for lack of capacity. Returns its reason: \p reason unless the request is
    /// refused before others.
    const char* recordLackOfCapacity(const char* reason);
    std::int64_t limitedAmount() const;
    int requestPriority() const;
    bool isAllowedHere() const;
    bool isHome(const std::string& region) const;
    bool canRunBeforeStop() const;
    /// Returns the tokens of cache memory that the request may take.
    std::int64_t memoryTokens() const;
    /// Refuses a request that no endpoint can hold. Returns whether it was refused.
    bool refuseIfTooLarge();
    const RequestFingerprint& fingerprint();
    /// Returns what of the request may crash an endpoint.
    const RequestSuspects& suspects();
    /// Returns the names of the prompt segments among the suspects, for the log.
    std::vector<std::string> segmentNames();
    bool refuseIfCrashing();
    /// Returns whether a request that is refused for crashes is sent to find out whether its
    /// suspect still crashes endpoints.
    bool isTrial(const CrashSuspectTable::Refusal& refusal);
    /// Delays the request if an endpoint has just crashed while running an identical
    /// request. Returns whether the request is delayed or has been refused.
    bool holdIfSuspect();
    /// Returns how long the request must wait for its turn after \p crash.
    Duration waitAfterCrash(const CrashSuspectTable::RecentCrash& crash, const EntryOrder& order, bool wasDelivered) const;
    /// Returns whether crashes allow that the request is sent once more at once.
    bool mayMoveDespiteCrashes();
    /// Records an attempt that is sent after a crash, if there was one.
    void recordTurnAfterCrash();
    void beginHold(const CrashSuspectTable::RecentCrash& crash, const EntryOrder& order, TimePoint time);
    void refuseEverywhere(std::chrono::milliseconds retryAfter, const char* reason = "crashes_endpoints");
    void recordCrashEvidence(const Attempt& attempt, HttpEnd end, AttemptVerdict verdict);
    /// Records that the attempt shows that some suspects crash no endpoints.
    void recordSurvival(const Attempt& attempt);
    /// Returns the suspects that may have broken the connection of an attempt.
    RequestSuspects suspectsOf(const Attempt& attempt);
    std::vector<std::uint32_t> notifiableRegions() const;
    /// Counts events of the attempt, and records it if they clear the prompt segments.
    void countEvents(Attempt& attempt, std::size_t events);
    /// Returns the largest prompt segment that the request shares with others, or
    /// null if it is too short to affect routing.
    const PromptSegment* sharedSegment() const;
    EndpointDemand demandFor(const PromptSegment& segment) const;
    std::vector<SegmentRegionOption> regionOptionsFor(const PromptSegment& segment, const std::optional<std::string>& keeperRegion, const ServiceSettings& settings) const;
    const std::string& pickService() const;
    WaitLimitInputs waitDemand() const;

    bool isResumableStream() const;
    /// Returns the fingerprint of the client attempt that brought, or may bring, the first event.
    RequestFingerprint streamFingerprint() const;
    /// Returns the service whose only version is that of any stream of the route; empty if there
    /// is none.
    std::string concludableService() const;
    /// Determines at which software version the request must run, and dispatches it.
    void resolveStreamBuild();
    void onStreamBuildResolved(std::optional<BuildId> build);
    /// Refuses the request if it must run at a software version that no endpoint has in the
    /// regions that may process it.
    bool refuseIfVersionGone();
    void refuseForVersion(const char* reason);
    bool mustKeepVersion() const { return m_streamBuild.has_value(); }
    /// Tells other entries at which version the stream begins, if the attempt may begin it.
    void stateStreamBuild(const Attempt& attempt);
    /// States the version once it is certain.
    void updateStreamBuild(const Attempt& attempt);
    /// Binds the stream to the version of its first event. Returns false if the attempt was
    /// abandoned because its events come from another version.
    bool bindStream(const Attempt& attempt);

    void dispatch();
    bool areLimitsUsedUp() const;
    /// Asks other entries for a request at an endpoint with a limit. Returns whether the
    /// request waits for their answers; it is dispatched again then.
    bool askLimitHolders();
    EndpointRequest endpointRequest() const;
    bool sendToEndpoint(bool mayBeTried);
    void startAtEndpoint(std::shared_ptr<RoutedEndpoint> endpoint, const char* why);
    bool sendToRegion(const std::string& service, const char* why);
    /// Sends the request to another entry if this one reaches no endpoints, and refuses it if
    /// there is no such entry. Returns whether it did either.
    bool handOverIfCutOff();
    bool refuseAsCutOff();
    /// Hands the request over to an entry that fills the slots of a brittle endpoint. Returns
    /// false if the endpoints aren't brittle or there is no such entry.
    bool sendToRoomHolder();
    std::optional<SocketAddress> chooseRoomHolder();
    void recordRejectionLimit(const Attempt& attempt) const;
    void recordReach(const Attempt& attempt, HttpEnd end, AttemptVerdict verdict);
    bool sendToSegmentRegion();
    bool sendToEntryIn(const std::string& region, const char* why);
    /// Sends the request to an entry of another region.
    void sendToRegionEntry(const SocketAddress& peer, const std::string& region, const char* why);
    void sendToEntry(const SocketAddress& peer, const std::string& region, const char* why);
    std::map<std::string, std::size_t> untriedRegions(const std::string& service) const;
    std::map<std::string, std::size_t> regionsWithCapacity(const std::string& service) const;
    RegionAcceptance& regionAcceptance() const { return m_parts.regionAcceptances[m_service]; }
    bool forwardIfOverloaded();
    /// Forwards or refuses the first attempt by the load that the regions report.
    /// Returns false if the request has been neither forwarded nor refused.
    bool routeFirstAttempt();
    std::optional<Duration> expectedWaitIn(const std::string& region) const;
    Duration maxWait() const;
    static void clearUnreadTokens(Attempt& attempt);
    static void releaseEndpoint(Attempt& attempt);
    void recordAnswerStart(Attempt& attempt) const;
    /// Records how far the predicted first byte was off.
    void recordForecast(const Attempt& attempt) const;
    double expectedEvents() const;
    std::chrono::milliseconds retryAfter() const;
    void startAttempt(Attempt attempt, HttpClientRequest request);
    void registerFailureCallback();
    void onEndpointFailure(AbortReason reason);
    /// Returns the progress as it will be once \p givenUp of the attempts in flight count.
    RunProgress progress(unsigned givenUp = 0);
    RetryOrder retryOrder(unsigned givenUp = 0) const;
    /// Moves the request from an endpoint that is silent to a replacement, or keeps the attempt if
    /// there is no certain one.
    void replaceSilentAttempt();
    /// Returns why the request may not be sent once more; null if it may.
    const char* obstacleToReplacement();
    std::optional<Replacement> chooseReplacement();
    std::optional<Replacement> chooseReplacementEndpoint();
    std::optional<Replacement> chooseReplacementEntry();
    void recordKept(const char* reason);
    void startReplacement(Replacement replacement);
    HttpClientRequest makeRequest(const SocketAddress& server, AttemptFacts facts) const;

    void extractEntryHeaders(Attempt& attempt);
    unsigned possiblyRunAttemptsOf(const Attempt& attempt) const;
    void recordEndpointActivity(const Attempt& attempt) const;
    void recordEndpointState(const Attempt& attempt) const;
    void recordRequestLimit(const Attempt& attempt) const;
    void onHead(const HttpResponseHead& head);
    void onBody(absl::string_view bytes);
    /// Records answers to earlier requests that came before the one to this request.
    void recordPassedOver(unsigned answers);
    static const char* answerIdName(const Attempt& attempt);
    void onEnd(const HttpResult& result);
    void abandonAttempt(const char* reason);
    void concludeAttempt(HttpEnd end, bool mayHaveReached, const std::string& detail);
    /// Records the end of the attempt and what it shows.
    AttemptVerdict recordAttemptEnd(HttpEnd end, bool mayHaveReached, const std::string& detail);
    void recordAttemptResult(AttemptVerdict verdict, const std::string& detail);
    void handleAnswer();
    void handleFailure(AttemptVerdict verdict);
    NextStep decideNextStep(AttemptVerdict verdict);

    HttpResponseHead withAttemptsHeader(HttpResponseHead head) const;
    void deliverHead(const HttpResponseHead& head);
    void deliver(std::string bytes);
    void resumeReading();
    void sendAnswer(const HttpResponseHead& head, std::string body);
    void sendOwnAnswer(int status, Outcome outcome, const char* reason);
    void abortAnswer(const char* reason);
    void onDeadline();
    void onClientClosed();
    void finish(int status, const char* outcome, const char* reason);

    IngressContext& m_parts;
    RoutedRequest m_request;
    std::shared_ptr<HttpResponder> m_responder;
    BufferedRequest m_bufferedRequest;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route { nullptr };
    /// The workspace in m_routes; null if callers have none, or if this entry's version doesn't
    /// contain the workspace of a forwarded request.
    const Workspace* m_workspace { nullptr };
    /// Empty if callers have no workspaces.
    std::string m_workspaceName;
    /// Regions that may process the request; all if empty.
    std::vector<std::string> m_homeRegions;
    /// Credit that the request has used of the workspace's limit.
    CreditPortion m_usedCredit;
    ShareClass m_shareClass { ShareClass::Within };
    /// The request has missed its latency target.
    bool m_isLate { false };
    /// The request has been counted in the demand of its workspace.
    bool m_isCountedInShares { false };
    /// The decision by which the request was refused for the limit of its workspace.
    absl::optional<CreditDecision> m_limitRefusal;
    std::string m_service;
    /// Computed on first use.
    absl::optional<RequestFingerprint> m_fingerprint;
    /// Computed on first use; empty before.
    RequestSuspects m_suspects;
    bool m_isTrial { false };
    /// The answer of the current attempt ends with the connection.
    bool m_isAnswerUnframed { false };
    TimePoint m_deadline {};
    TimerId m_deadlineTimer { 0 };
    absl::optional<Attempt> m_attempt;
    std::uint64_t m_attemptCount { 0 };
    /// Number of attempts that may have been executed.
    unsigned m_possiblyRunAttempts { 0 };
    /// Number of attempts that were refused, and certainly not executed.
    unsigned m_notRunAttempts { 0 };
    /// Number of attempts that reached no endpoint.
    unsigned m_unreachedAttempts { 0 };
    bool m_mayHaveRun { false };
    /// Number of attempts that may have reached an endpoint. Once there is one, each
    /// further attempt uses the retry budget.
    unsigned m_possiblyDeliveredAttempts { 0 };
    /// Number of attempts that were given up because their endpoints were silent.
    unsigned m_replacedAttempts { 0 };
    /// The last attempt may have been executed.
    bool m_mayLastAttemptHaveRun { false };
    /// When the request was first delayed because an endpoint crashed while running an
    /// identical request.
    absl::optional<TimePoint> m_heldSince;
    bool m_hasAskedLimitHolders { false };
    /// The request was not retried only because the retry budget was used up.
    bool m_wasDeniedRetry { false };
    /// Target of the last attempt and the reason for its choice. Written to the log only.
    std::string m_lastTarget;
    const char* m_lastWhy { "" };
    /// Software version at which the endpoint of the last attempt is registered; empty if that
    /// went to another entry. Written to the log only.
    std::string m_lastSoftwareVersion;
    /// An endpoint of this region has refused the request.
    bool m_wasRefusedHere { false };
    std::vector<std::string> m_triedEndpoints;
    std::vector<std::string> m_triedRegions;
    /// Entries that the request was sent to.
    std::vector<SocketAddress> m_triedEntries;
    /// Value of notSentHeader in this entry's refusal; null if the refusal has none.
    const char* m_notSentReason { nullptr };
    EventCursor m_cursor;
    /// The software version at which the stream goes on; nothing if it may begin at any, or if
    /// m_isStreamBound is true and the version isn't certain.
    std::optional<BuildId> m_streamBuild;
    /// An event of the stream has been delivered, now or to an earlier attempt of the client.
    bool m_isStreamBound { false };
    /// The request takes an endpoint with a long wait, since no other can serve it.
    bool m_mayWaitLong { false };
    /// A refusal tells the client no time to return.
    bool m_omitsRetryAfter { false };
    /// The head of the answer has been sent to the client.
    bool m_hasSentHead { false };
    /// Counts the bytes that wait for a slow client.
    BufferedBytes m_pendingBytes;
    /// Reading from the endpoint is paused because the client reads slowly.
    bool m_isReadingPaused { false };
    bool m_isDone { false };
    bool m_wasTimedOut { false };
    TimePoint m_firstByteAt {};
    /// Head of the last complete error answer of an endpoint. That answer is delivered if
    /// no retry succeeds.
    absl::optional<HttpResponseHead> m_failureHead;
    /// Retry-after time of a refusal that doesn't depend on the load.
    absl::optional<std::chrono::milliseconds> m_retryAfter;
    /// Body of the answer that m_failureHead belongs to.
    std::string m_failureBody;
};

} // namespace catkinwing
