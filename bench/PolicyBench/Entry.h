#pragma once

#include "EngineFake.h"
#include "Measures.h"
#include "Trace.h"
#include "catkinwing/Admission/AdmissionController.h"
#include "catkinwing/Admission/OutputEstimator.h"
#include "catkinwing/Admission/RetryBudget.h"
#include "catkinwing/Admission/SlotDivision.h"
#include "catkinwing/Routing/Forwarding.h"
#include "catkinwing/Routing/OutlierDetector.h"
#include "catkinwing/Routing/PrefixIndex.h"
#include <memory>

namespace catkinwing::bench {

class Entry;

/// The policy in force at all entries of a run.
struct PolicySettings {
    std::string name;
    /// False for the baselines: one queue without teams, first in, first out,
    /// and a forward wherever no slot is free here.
    bool ours { true };
    RoutingPolicy routing;
    ForwardPolicy forwarding;
    PrefixIndexPolicy prefixes;
    OutlierPolicy outliers;
    SlowStartPolicy slowStart;
    SharePolicy shares;
    ReservationPolicy reservation;
};

/// A request on its way.
struct RequestRun {
    enum class Phase { Travelling,
        Waiting,
        Running,
        Done };

    RequestId id { 0 };
    const TraceRequest* traced { nullptr };
    const ClassPlan* plan { nullptr };
    RoutingRequest routing;
    TimePoint arrivedAt {};
    TimePoint deadline {};
    Phase phase { Phase::Travelling };
    /// Entry that the caller spoke to, and the one that has the request now.
    Entry* origin { nullptr };
    Entry* entry { nullptr };
    /// Time that a token takes from the entry to the caller.
    Duration returnDelay { 0 };
    /// True from AdmissionController::next to finished.
    bool started { false };
    unsigned attempts { 0 };
    unsigned retries { 0 };
    /// Where and when it was last forwarded; empty if it wasn't.
    std::string forwardZone;
    TimePoint forwardedAt {};
    bool toRegion { false };
    bool toZone { false };
    /// The attempt that is running at an engine.
    EngineFake* engine { nullptr };
    EngineFake::Id job { 0 };
    Placement placement;
    TimePoint sentAt {};
    std::optional<TimePoint> firstTokenAt;
    /// As the caller saw it.
    std::optional<Duration> timeToFirstToken;
    TimerId deadlineTimer { 0 };
};

using RunPointer = std::shared_ptr<RequestRun>;

/// What entries tell each other of themselves.
struct EntryState {
    std::string name;
    std::size_t demand { 0 };
    std::vector<ServiceCounter> served;
};

/// What a zone tells the others.
struct ZoneDigest {
    std::string zone;
    std::string region;
    TimePoint madeAt {};
    unsigned freeSlots { 0 };
    Duration predictedWait { 0 };
};

/// What lies between the entries.
class Network {
public:
    virtual ~Network() = default;
    /// Returns an entry of \p zone for a forward.
    virtual Entry& entryOf(const std::string& zone, const std::string& session, Random& random) = 0;
    virtual Duration oneWay(const Entry& from, const Entry& to) const = 0;
    virtual bool isLinked(const Entry& from, const Entry& to) const = 0;
    virtual void ended(const RunPointer& run, Ending ending) = 0;
};

struct EntryParts {
    Scheduler& scheduler;
    const Scenario& scenario;
    const PolicySettings& policy;
    Network& network;
    Measures& measures;
};

/// One entry: joins the decision functions as the daemon does.
class Entry {
public:
    Entry(const EntryParts& parts, std::string name, std::string zone, std::string region, std::uint64_t seed);

    const std::string& name() const { return m_name; }
    const std::string& zone() const { return m_cell.zone(); }
    const std::string& region() const { return m_cell.region(); }
    const std::map<std::string, std::size_t>& waitingByTeam() const { return m_waitingByTeam; }

    void addEngine(EngineFake& engine);
    void applyReport(const std::string& engine, const EndpointLoadReport& report);
    void applyCacheEvent(const std::string& engine, const CacheEvent& event);

    /// Takes a request from its caller.
    void begin(const RunPointer& run);
    /// Takes a request that another entry forwarded.
    void receive(const RunPointer& run);
    /// Drops a request whose caller has given up.
    void giveUp(const RunPointer& run);
    /// Ends the running attempt, as when the link to its caller breaks.
    void abandon(const RunPointer& run);
    /// Called at the origin after a forward that didn't end well.
    void forwardFailed(const RunPointer& run, bool mayHaveRun);
    /// Called at the origin when a forward is over, however it ended.
    void forwardEnded(const RequestRun& run);

    EntryState state() const;
    ZoneDigest digest() const;
    void applyState(const EntryState& state, bool sameZone);
    void applyDigest(const ZoneDigest& digest);
    void setReachable(const std::string& zone, bool reachable);
    /// Divides the slots anew and looks for outliers; each second.
    void tick();
    /// Drops what can't make its deadline; each tenth of a second.
    void expire();

private:
    QueuedRequest describe(const RequestRun& run);
    std::optional<Duration> localPrediction(const RequestRun& run, const QueuedRequest& queued);
    Duration plainWait() const;
    std::size_t slots() const;
    bool tryForward(const RunPointer& run, std::optional<Duration> prediction);
    std::optional<std::size_t> chooseSpill(const RequestRun& run);
    void sendTo(const RunPointer& run, RemoteCellView& cell);
    void admit(const RunPointer& run);
    void dropAll(const std::vector<DroppedRequest>& dropped);
    void drop(const RunPointer& run, const Refusal& refusal);
    void refuse(const RunPointer& run);
    void noteWaiting(const RequestRun& run, int change);
    void schedulePump();
    void pump();
    void start(const RunPointer& run);
    void startAt(const RunPointer& run, const Placement& placement);
    void firstToken(const RunPointer& run);
    /// How an attempt at an engine ended.
    enum class AttemptEnd { Whole,
        /// Cancelled, which says nothing of the engine.
        Cancelled,
        Unreachable,
        Failed };
    void settle(const RunPointer& run, AttemptEnd attemptEnd);
    void attemptFailed(const RunPointer& run, bool mayHaveRun);
    bool takeRetry(const RunPointer& run, bool mayHaveRun);
    Duration backoff(const RequestRun& run);
    void end(const RunPointer& run, Ending ending);
    void retire(const RunPointer& run, double cost);
    void refreshEndpoints();
    TimePoint now() const { return m_parts.scheduler.clock().now(); }

    EntryParts m_parts;
    /// The scenario's policy with the entries of this zone as senders.
    ForwardPolicy m_forwarding;
    std::string m_name;
    Random m_random;
    CellView m_cell;
    PrefixIndex m_prefixes;
    OutlierDetector m_outliers;
    AdmissionController m_admission;
    RetryBudget m_retryBudget;
    OutputEstimator m_outputs;
    ForwardState m_forwardState;
    std::vector<RemoteCellView> m_remoteCells;
    std::map<std::string, EngineFake*> m_engines;
    std::map<std::string, SlotCredit> m_credits;
    std::map<std::string, std::size_t> m_peerDemand;
    std::map<RequestId, RunPointer> m_runs;
    std::map<std::string, std::size_t> m_waitingByTeam;
    std::size_t m_waiting { 0 };
    std::uint64_t m_sequence { 0 };
    bool m_pumpScheduled { false };
};

/// The one model of a replay.
extern const char* const benchModel;

} // namespace catkinwing::bench
