#pragma once

#include "catkinwing/Dispatch/AttemptSet.h"
#include "catkinwing/Dispatch/SseSplicer.h"
#include "catkinwing/Gateway/RequestBroker.h"
#include "catkinwing/Support/RequestFingerprint.h"

namespace catkinwing {

/// The life of one accepted request in this entry: queued or forwarded, sent,
/// retried, answered once.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    RequestRun(RequestBroker& broker, RequestId id, AcceptedRequest request, AnswerWriter answer);

    /// Forwards the request or offers it to the queue.
    void begin();
    /// Starts an attempt at an endpoint of the zone; called once it may start.
    void start();
    /// Ends the request, which waited and is not to be run.
    void drop(const Refusal& refusal);
    /// Ends the request, not run, with \p error.
    void refuse(const ApiError& error);

    RequestId id() const { return m_id; }
    const AcceptedRequest& request() const { return m_request; }
    bool isWaiting() const { return m_phase == Phase::Waiting; }
    bool isStarted() const { return m_isStarted; }

private:
    friend class RequestBroker;

    enum class Phase {
        /// Not yet decided.
        New,
        /// In the queue.
        Waiting,
        /// Being sent or answered, or between attempts.
        Running,
        Done,
    };

    struct Attempt {
        AttemptTarget target { AttemptTarget::Endpoint };
        EndpointHandle endpoint { 0 };
        /// Set for an attempt at another entry.
        std::optional<ForwardTarget> forward;
        double prefillTokens { 0 };
        std::shared_ptr<HttpExchange> exchange;
        std::optional<HttpResponseHead> head;
        bool isDeliverable { false };
        bool isEventStream { false };
        /// Kept back until it is whole, while it is not too long.
        bool isHeld { false };
        /// Body that is not, or not yet, handed on.
        std::string buffered;
        std::unique_ptr<BufferedBytes> bufferedBytes;
        std::unique_ptr<HeldBytes> heldBytes;
        TimePoint startedAt;
        std::optional<TimePoint> firstTokenAt;
        /// Of the endpoint's start.
        std::uint32_t startHash { 0 };
        bool hasEnded { false };
    };

    /// Forwards the request, which no endpoint here can take, or refuses it.
    void moveOrRefuse();
    ApiError noEndpointError() const;
    bool tryForward(std::optional<Duration> localPrediction);
    void startForward(const ForwardTarget& target);
    void startAt(const Placement& placement);
    void send(AttemptId id, HttpClientRequest request);
    HttpClientRequest endpointRequest(const EndpointSettings& settings, AttemptId id) const;
    HttpClientRequest forwardRequest(const ForwardTarget& target, AttemptId id) const;
    std::chrono::milliseconds timeLeft() const;
    bool isAllowedHere() const;
    const RequestFingerprint& fingerprint();
    /// Returns what of the request may crash an endpoint.
    const RequestSuspects& suspects();
    bool refuseIfCrashing();
    std::uint32_t startHash(const std::string& endpoint) const;
    void learnCrash(const Attempt& attempt, const HttpResult& result, Outcome outcome);

    void onHead(AttemptId id, const HttpResponseHead& head);
    void onBody(AttemptId id, absl::string_view bytes);
    void onEvents(AttemptId id, absl::string_view bytes);
    /// Records how many bytes are kept for the attempt. Returns whether they may be kept.
    bool mayKeep(const Attempt& attempt, std::size_t bytes) const;
    void onEnd(AttemptId id, const HttpResult& result);
    /// Ends an attempt of which nothing more can be used.
    void stopReading(AttemptId id, HttpEnd end, const char* reason);
    bool offer(AttemptId id);
    void noteFirstToken(Attempt& attempt);
    void deliver(Attempt& attempt, std::string bytes);
    void relieveBackPressure();

    bool isGarbage(const Attempt& attempt, const AttemptResult& concluded) const;
    AttemptResult conclude(Attempt& attempt, const HttpResult& result);
    void settle(Attempt& attempt, bool failed, bool unreachable = false);
    void noteRefusal(const Attempt& attempt);
    void cancelAttempts(const std::vector<AttemptId>& ids);
    void cancelAll();
    void afterFailure(const Attempt& attempt, const AttemptResult& failure);
    void retry();
    void placeAgain();
    void failWith(const AttemptResult& failure, const FailureDecision& decision);
    void complete(Attempt& attempt);
    void scheduleHedge();
    void hedge();

    void deadlinePassed();
    void callerGone();
    Outcome outcomeIfStopped() const;
    void end(const std::string& outcome, bool isGood, bool isCounted);
    bool metTargets() const;

    RequestBroker& m_broker;
    RequestId m_id;
    AcceptedRequest m_request;
    AnswerWriter m_answer;
    Phase m_phase { Phase::New };
    /// True between startNext() and finish() of the admission.
    bool m_isStarted { false };
    /// Computed when it is first asked for.
    std::optional<RequestFingerprint> m_fingerprint;
    /// Computed when they are first asked for; empty before.
    RequestSuspects m_suspects;
    AttemptSet m_attempts;
    std::map<AttemptId, Attempt> m_attemptData;
    SseSplicer m_splicer;
    std::uint64_t m_deliveredBytes { 0 };
    std::uint64_t m_resumeFrom { 0 };
    unsigned m_endpointAttempts { 0 };
    unsigned m_hedges { 0 };
    bool m_isPaused { false };
    TimerId m_deadlineTimer { 0 };
    TimerId m_retryTimer { 0 };
    TimerId m_hedgeTimer { 0 };
    std::optional<TimePoint> m_firstTokenAt;
    TimePoint m_queuedAt {};
};

} // namespace catkinwing
