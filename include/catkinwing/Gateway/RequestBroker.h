#pragma once

#include "catkinwing/Admission/AdmissionController.h"
#include "catkinwing/Admission/OutputEstimator.h"
#include "catkinwing/Admission/RetryBudget.h"
#include "catkinwing/Dispatch/AnswerBuffers.h"
#include "catkinwing/Gateway/AcceptedRequest.h"
#include "catkinwing/Gateway/AnswerWriter.h"
#include "catkinwing/Gateway/EndpointRegistry.h"
#include "catkinwing/Gateway/RemoteCells.h"
#include "catkinwing/Http/ClientMemory.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Membership/CrashSuspectTable.h"
#include "catkinwing/PeerProtocol/PeerIdentity.h"
#include "catkinwing/Reporting/Metrics.h"
#include "catkinwing/Reporting/ServiceLevel.h"
#include "catkinwing/Routing/Hedging.h"
#include <functional>
#include <map>
#include <memory>

namespace catkinwing {

class RequestRun;

/// What the requests of a daemon share.
struct BrokerParts {
    Scheduler& scheduler;
    Random& random;
    /// Client for endpoints.
    HttpClient& endpointClient;
    /// Client for other entries.
    HttpClient& peerClient;
    EndpointRegistry& endpoints;
    RemoteCells& remoteCells;
    Metrics& metrics;
    ServiceLevelRecorder& serviceLevels;
    EntryRef self;
    std::string region;
    std::string zone;
    /// Counts what is kept of answers; null if nothing does.
    std::shared_ptr<ClientMemory> clientMemory {};
};

/// Runs the requests of a daemon: admits them, starts them as slots become
/// free, and keeps the books that they share.
class RequestBroker {
public:
    explicit RequestBroker(BrokerParts parts);
    ~RequestBroker();
    RequestBroker(const RequestBroker&) = delete;
    RequestBroker& operator=(const RequestBroker&) = delete;

    /// Puts a configuration in force.
    void configure(const std::shared_ptr<const ConfigSnapshot>& snapshot);
    /// Runs \p request; the answer goes to \p answer.
    void run(AcceptedRequest request, AnswerWriter answer);
    /// Starts what can be started, in a later turn of the loop.
    void schedulePump();
    /// Gives up what can't make its deadline and renews shares and slots; to be
    /// called four times a second.
    void tick();
    /// Answers all waiting requests as not run, since this entry drains.
    void refuseWaiting();

    /// Returns the requests that have not been answered.
    std::size_t running() const { return m_runs.size(); }
    std::size_t queued() const { return m_admission.queued(); }
    /// Returns the waiting requests by model.
    const std::map<std::string, std::size_t>& queuedByModel() const { return m_queuedByModel; }
    /// Returns the predicted wait of a short request for \p model.
    Duration predictedWaitFor(const std::string& model) const;
    AdmissionController& admission() { return m_admission; }
    const AdmissionController& admission() const { return m_admission; }
    const BrokerParts& parts() const { return m_parts; }
    const AnswerBuffers& answerBuffers() const { return m_answerBuffers; }

    /// Called with the tokens that a model call of this entry has cost.
    std::function<void(const AcceptedRequest&, double tokens)> onServed;

private:
    friend class RequestRun;

    /// Offers the run to the queue.
    void admit(const std::shared_ptr<RequestRun>& run);
    /// Moves or refuses what waits for a model that has lost its endpoints.
    void moveStranded();
    void dropAll(const std::vector<DroppedRequest>& dropped);
    void pump();
    /// Returns the run to the queue at no charge; false if it can't be.
    bool putBack(RequestRun& run);
    void leaveQueue(RequestRun& run);
    void retire(RequestRun& run, double actualCost);
    void noteQueued(const std::string& model, int change);
    /// Returns the team's document in force, or null.
    const TeamDocument* team(const std::string& name) const;
    QueuedRequest describe(const RequestRun& run);
    std::optional<Duration> localPrediction(const RequestRun& run, const QueuedRequest& queued);
    OutputKey outputKey(const AcceptedRequest& request) const;

    BrokerParts m_parts;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
    AdmissionController m_admission;
    OutputEstimator m_outputs;
    /// As far as this entry has seen itself.
    CrashSuspectTable m_crashing;
    RetryBudget m_retryBudget;
    RetryPolicy m_retryPolicy;
    HedgePolicy m_hedgePolicy;
    std::map<std::string, LatencyQuantiles> m_firstTokenTimes;
    /// Bytes of answers that are held until they are whole.
    AnswerBuffers m_answerBuffers { 24u << 20 };
    std::map<RequestId, std::shared_ptr<RequestRun>> m_runs;
    std::map<std::string, std::size_t> m_queuedByModel;
    RequestId m_lastId { 0 };
    bool m_isPumpScheduled { false };
};

} // namespace catkinwing
