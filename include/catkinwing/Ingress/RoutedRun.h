#pragma once

#include "catkinwing/Dispatch/EventCursor.h"
#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Ingress/IngressParts.h"
#include "catkinwing/Ingress/RunDecisions.h"
#include "catkinwing/Routing/PartRegionChoice.h"
#include "catkinwing/Support/RequestFingerprint.h"

namespace catkinwing {

/// Attempts that the entry that forwards leaves to the one that it forwards to.
constexpr const char* attemptsLeftHeader = "Catkinwing-Attempts-Left";
/// Says how often the forwarded request may have arrived at endpoints before.
constexpr const char* earlierArrivalsHeader = "Catkinwing-Earlier-Arrivals";

/// Says that a refusal holds at every entry and endpoint, for the time that it
/// tells the client to wait.
constexpr const char* refusedEverywhereHeader = "Catkinwing-Refused-Everywhere";

/// A client's request as it came in.
struct RoutedRequest {
    HttpRequest http;
    RequestFacts facts;
    /// Another entry took it from the client; it isn't forwarded again.
    bool isForwarded { false };
    TimePoint arrivedAt {};
    /// Of a forwarded request: attempts that its entry leaves to this one.
    absl::optional<unsigned> attemptsLeft;
    /// Of a forwarded request: how often it may have arrived at endpoints before.
    unsigned earlierArrivals { 0 };
};

/// Takes what the entry that forwarded the request says of it in its headers.
void readForwardHeaders(const HttpHeaders& headers, RoutedRequest& request);

/// The life of one routed request, from its arrival to its final answer. It
/// keeps itself alive until then.
class RoutedRun : public std::enable_shared_from_this<RoutedRun> {
public:
    RoutedRun(IngressParts& parts, RoutedRequest request, std::shared_ptr<HttpResponder> responder);
    ~RoutedRun();
    RoutedRun(const RoutedRun&) = delete;
    RoutedRun& operator=(const RoutedRun&) = delete;

    void begin();

private:
    /// The attempt under way.
    struct Attempt {
        /// Unique within the entry.
        std::uint64_t number { 0 };
        AttemptTarget target { AttemptTarget::Endpoint };
        std::shared_ptr<RoutedEndpoint> endpoint;
        SocketAddress peer;
        std::string region;
        /// Why it was sent there, for logs.
        const char* why { "" };
        /// Counted as unread at the endpoint until its first bytes.
        std::int64_t unreadTokens { 0 };
        /// Prompt tokens that the endpoint had to read when it was sent, its own
        /// included, in thousands.
        double kilotokensBefore { 0 };
        /// The endpoint could run it at once.
        bool hadFreeSlot { false };
        bool hasBegun { false };
        /// When its last bytes came.
        TimePoint heardAt {};
        std::shared_ptr<HttpExchange> exchange;
        TimePoint startedAt {};
        absl::optional<HttpResponseHead> head;
        AnswerFacts facts;
        absl::optional<Outcome> statedOutcome;
        /// Endpoints that may have run it, if another entry says.
        absl::optional<unsigned> statedRuns;
        /// Of another entry's refusal that holds everywhere: when to come back.
        absl::optional<std::chrono::milliseconds> statedReturn;
        bool isOurs { false };
        bool isEventStream { false };
        std::string body;
    };

    TimePoint now() const { return m_parts.scheduler.clock().now(); }
    std::chrono::milliseconds timeLeft() const;
    bool isAllowedHere() const;
    bool endsBeforeStop() const;
    const RequestFingerprint& fingerprint();
    bool refuseIfCrashing();
    /// Waits for the outcome of the same request elsewhere where an endpoint has just
    /// crashed under it.
    bool waitIfSuspect();
    void beginHold(const CrashingRequests::RecentCrash& crash, const EntryOrder& order, TimePoint time);
    void refuseEverywhere(std::chrono::milliseconds returnAfter, const char* reason = "crashes_endpoints");
    void learnCrash(const Attempt& attempt, HttpEnd end, AttemptVerdict verdict);
    /// Returns the largest part that the request shares with others, if reading
    /// it again would matter; null otherwise.
    const PromptPart* sharedPart() const;
    EndpointDemand demandFor(const PromptPart& part) const;
    std::vector<PartRegionOption> regionsFor(const PromptPart& part, const std::optional<std::string>& keeper, const ServiceSettings& settings) const;
    const std::string& pickService() const;
    WaitDemand waitDemand() const;

    void dispatch();
    bool sendToEndpoint(const std::string& service, bool mayBeTried);
    bool sendToRegion(const std::string& service, const char* why);
    bool sendToPart();
    bool sendToEntryOf(const std::string& region, const char* why);
    std::map<std::string, std::size_t> otherRegions(const std::string& service) const;
    std::map<std::string, std::size_t> regionsWithRoom(const std::string& service) const;
    RegionPressure& pressure() const { return m_parts.pressures[m_service]; }
    bool sendAway();
    /// Sends or refuses a request that has not been sent yet by what the regions
    /// say of themselves; false if it is to be tried here or by asking.
    bool decideFirst();
    std::optional<Duration> waitAway(const std::string& region) const;
    Duration longestWaitAnywhere() const;
    static void noteRead(Attempt& attempt);
    static void leaveEndpoint(Attempt& attempt);
    void learnBegin(Attempt& attempt) const;
    double likelyEvents() const;
    std::chrono::milliseconds returnAfter() const;
    void startAttempt(Attempt attempt, HttpClientRequest request);
    void listenForGiveUp();
    void giveUp(GiveUpReason reason);
    RunProgress progress();
    RetryOrder retryOrder() const;
    HttpClientRequest makeRequest(const SocketAddress& server, AttemptFacts facts) const;

    void takeStatements(Attempt& attempt);
    unsigned runsOf(const Attempt& attempt) const;
    void noteHeard(const Attempt& attempt) const;
    void learnStatements(const Attempt& attempt) const;
    void onHead(const HttpResponseHead& head);
    void onBody(absl::string_view bytes);
    void onEnd(const HttpResult& result);
    void abandonAttempt(const char* reason);
    void concludeAttempt(HttpEnd end, bool mayHaveReached, const std::string& detail);
    void settleAttempt(AttemptVerdict verdict, const std::string& detail);
    void takeAnswer();
    void takeFailure(AttemptVerdict verdict);
    NextStep decideNextStep(AttemptVerdict verdict);

    HttpResponseHead withStatements(HttpResponseHead head) const;
    void deliverHead(const HttpResponseHead& head);
    void deliver(std::string bytes);
    void relieveBackPressure();
    void answerWhole(const HttpResponseHead& head, std::string body);
    void answerOwn(int status, Outcome outcome, const char* reason);
    void cutOff(const char* reason);
    void deadlinePassed();
    void clientGone();
    void finish(int status, const char* outcome, const char* reason);

    IngressParts& m_parts;
    RoutedRequest m_request;
    std::shared_ptr<HttpResponder> m_responder;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route { nullptr };
    std::string m_service;
    /// Computed when it is first asked for.
    absl::optional<RequestFingerprint> m_fingerprint;
    TimePoint m_deadline {};
    TimerId m_deadlineTimer { 0 };
    absl::optional<Attempt> m_attempt;
    std::uint64_t m_attempts { 0 };
    unsigned m_runs { 0 };
    unsigned m_refusals { 0 };
    bool m_mayHaveRun { false };
    /// Attempts that may have reached an endpoint; a further one draws on the budget.
    unsigned m_arrivals { 0 };
    bool m_lastRan { false };
    /// When it began to wait for the outcome of the same request.
    absl::optional<TimePoint> m_heldSince;
    /// It would have been sent again if the budget had allowed it.
    bool m_wasDeniedRetry { false };
    /// Where the last attempt went and why, for logs.
    std::string m_lastPlace;
    const char* m_lastWhy { "" };
    bool m_wasRefusedHere { false };
    std::vector<std::string> m_triedEndpoints;
    std::vector<std::string> m_triedRegions;
    EventCursor m_cursor;
    bool m_hasHead { false };
    bool m_isPaused { false };
    bool m_isDone { false };
    bool m_wasTimedOut { false };
    TimePoint m_firstByteAt {};
    /// Last whole failure of an endpoint, handed on if nothing better comes.
    absl::optional<HttpResponseHead> m_failureHead;
    /// When the client is to come back, where that isn't for the load to say.
    absl::optional<std::chrono::milliseconds> m_returnAfter;
    std::string m_failureBody;
};

} // namespace catkinwing
