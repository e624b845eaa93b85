#pragma once

#include "catkinwing/Admission/FairQueue.h"
#include "catkinwing/Admission/RateBucket.h"
#include "catkinwing/Admission/SlotReservation.h"
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace catkinwing {

/// Decides which of a daemon's requests are queued, refused and started. A request
/// passes through admit(), startNext() and finish(). The class reads no clock and does
/// no I/O.
///
/// The controller sends no responses: the code that receives a DroppedRequest must
/// send its refusal to the client at once. A caller is a client of a team.
class AdmissionController {
public:
    explicit AdmissionController(const AdmissionLimits& limits = {}, const SharePolicy& shares = {}, const ReservationPolicy& reservation = {});

    /// Applies the teams' policies. Returns the waiting requests whose team or class
    /// was removed, to be refused at once.
    std::vector<DroppedRequest> configure(const std::vector<TeamPolicy>& teams, TimePoint now);
    /// Sets the daemon's limits. Queued requests beyond the new limits are not evicted;
    /// the queue shrinks as its requests are started.
    void setLimits(const AdmissionLimits& limits) { m_limits = limits; }
    /// Sets the number of slots that this daemon may use in a pool. Until it is set,
    /// no slots are reserved in the pool.
    void setSlots(const std::string& pool, std::size_t total);

    /// Queues or refuses a request.
    AdmissionDecision admit(QueuedRequest request, TimePoint now);
    /// Returns the request to start now and counts it as in flight. Never returns a
    /// request that can no longer meet its deadline; expire() returns those.
    /// \p canStart says whether a model has a free slot; the controller applies
    /// slot reservations and the teams' limits.
    std::optional<QueuedRequest> startNext(const CanStart& canStart, TimePoint now);
    /// Queues a request from startNext() again if no endpoint accepted it, and refunds its
    /// charge. Returns false if its team or class was removed; the request must then be
    /// refused.
    bool requeue(RequestId id, TimePoint now);
    /// Ends a request from startNext() and corrects its charge to \p actualCost tokens, which
    /// is zero if the request was not run.
    void finish(RequestId id, double actualCost, TimePoint now);
    /// Removes a waiting request whose caller disconnected; returns false if the
    /// request isn't waiting.
    bool remove(RequestId id, TimePoint now);
    /// Returns the requests that can no longer meet their deadlines, to be refused at
    /// once. Also refreshes the shares at most every half second, so a timer has to
    /// call expire() even if no requests arrive.
    std::vector<DroppedRequest> expire(TimePoint now);

    /// Returns the predicted wait of a request if it were queued now; empty if
    /// no drain rate is known yet.
    std::optional<Duration> predictedWait(const QueuedRequest& request, TimePoint now) const { return m_queue.predictedWait(request, now); }
    /// Applies a service counter reported by another daemon of the region.
    void applyRemoteService(const ServiceSource& source, const ServiceCounter& counter, TimePoint now) { m_queue.applyRemoteService(source, counter, now); }
    /// Removes the counters of a daemon that is no longer a peer.
    void removeSource(const std::string& source) { m_queue.removeSource(source); }
    /// Returns this daemon's own counters, for the heartbeat.
    std::vector<ServiceCounter> servedCounters() const { return m_queue.servedCounters(); }
    /// Returns the number of waiting requests.
    std::size_t queued() const { return m_queue.size(); }
    /// Returns the number of requests that were started and have not ended.
    std::size_t inFlight() const { return m_inFlight.size(); }

private:
    struct TeamState {
        TeamLimits limits;
        absl::flat_hash_set<std::string> classes;
        RateBucket rateBucket { 0, 1 };
        std::size_t inFlight { 0 };
        /// Number of each caller's requests, waiting or in flight.
        absl::flat_hash_map<std::string, std::size_t> requestsByCaller;
    };
    struct PoolState {
        std::optional<std::size_t> slots;
        std::size_t shortInFlight { 0 };
        std::size_t longInFlight { 0 };
        SlotReservation reservation;
    };

    TeamState makeTeamState(const TeamPolicy& policy) const;
    PoolState& findOrCreatePool(const std::string& pool);
    std::optional<Refusal> refusalFor(const QueuedRequest& request, TimePoint now);
    std::optional<Refusal> refusalByLimits(TeamState& team, const QueuedRequest& request, TimePoint now) const;
    std::optional<Refusal> refusalByDeadline(const QueuedRequest& request, TimePoint now) const;
    std::optional<Duration> timeToDrain(const QueuedRequest& request, TimePoint now) const;
    std::optional<Refusal> evictForCapacity(const QueuedRequest& request, TimePoint now, std::vector<DroppedRequest>& evicted);
    void collectExpired(TimePoint now);
    DroppedRequest drop(QueuedRequest request, Refusal refusal);
    void releaseCaller(const QueuedRequest& request);
    QueuedRequest removeInFlight(RequestId id, double actualCost, TimePoint now);
    void updateTeamPaused(const std::string& team);
    void recordShortWorkDemand(const std::string& pool, TimePoint now);

    AdmissionLimits m_limits;
    TimePoint m_refreshedAt {};
    ReservationPolicy m_reservation;
    FairQueue m_queue;
    absl::flat_hash_map<std::string, TeamState> m_teams;
    absl::flat_hash_map<std::string, PoolState> m_pools;
    absl::flat_hash_map<RequestId, QueuedRequest> m_inFlight;
    /// Expired requests found by startNext() and not yet returned by expire().
    std::vector<DroppedRequest> m_expired;
};

} // namespace catkinwing
