#pragma once

#include "catkinwing/Admission/AdmissionDecision.h"
#include "catkinwing/Admission/AdmissionLimits.h"
#include "catkinwing/Admission/ServiceCounter.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Returns whether a request could be started now. The result may depend only on the
/// request's pool, model and kind, since it is called once per combination of these.
using CanStart = std::function<bool(const QueuedRequest&)>;

/// The waiting requests of one daemon. Each pool is shared among teams, and each
/// team's share among its classes, by weighted virtual-token counters; within a class
/// the earliest deadline goes first.
class FairQueue {
public:
    explicit FairQueue(const SharePolicy& policy = {});
    ~FairQueue();
    FairQueue(const FairQueue&) = delete;
    FairQueue& operator=(const FairQueue&) = delete;

    /// Applies the teams' policies. Removes and returns the queued requests of teams and
    /// classes that are no longer configured; other weights change at once.
    std::vector<QueuedRequest> configure(const std::vector<TeamPolicy>& teams, TimePoint now);

    /// Queues a request of a configured team and class; false if either is
    /// unknown or the identifier is queued already.
    bool enqueue(QueuedRequest request, TimePoint now);
    /// Removes and returns the next request of those that can start, and charges its
    /// estimated cost.
    std::optional<QueuedRequest> pickNext(const CanStart& canStart, TimePoint now);
    /// Corrects the charge of a picked request once its actual cost is known; the cost
    /// of a request that never started is zero.
    void settle(const QueuedRequest& request, double actualCost, TimePoint now);
    /// Removes and returns a request whose caller disconnected; empty if it isn't queued.
    std::optional<QueuedRequest> remove(RequestId id, TimePoint now);
    /// Removes and returns the requests that can no longer meet their deadlines.
    std::vector<QueuedRequest> expire(TimePoint now);
    /// Evicts and returns the request that ranks lowest: of the team with the most queued
    /// bytes per weight, and of its class with the most queued bytes per weight, the
    /// request with the latest deadline. Empty if \p newRequest itself would rank lowest.
    std::optional<QueuedRequest> evictFor(const QueuedRequest& newRequest, TimePoint now);
    /// Stops or resumes starting a team's requests, for example at its in-flight limit.
    void setTeamPaused(const std::string& team, bool paused);
    /// Updates the teams' effective weights and limits how far their counters may lag
    /// behind the virtual time. Call this about every half second.
    void refreshShares(TimePoint now);

    /// Applies a service counter reported by another daemon of the region.
    void applyRemoteService(const ServiceSource& source, const ServiceCounter& counter, TimePoint now);
    /// Removes the counters of a daemon that is no longer a peer.
    void removeSource(const std::string& source);
    /// Returns this daemon's own counters, for the heartbeat.
    std::vector<ServiceCounter> servedCounters() const;

    /// Returns the predicted wait of a request if it were queued now; empty if
    /// no drain rate is known yet.
    std::optional<Duration> predictedWait(const QueuedRequest& request, TimePoint now) const;
    /// Returns the rate in tokens per second at which requests of the request's team are
    /// started in its pool; empty if not known yet.
    std::optional<double> teamRate(const QueuedRequest& request, TimePoint now) const;
    /// Returns the factor, above 0 and at most 1.5, by which the team's configured weight
    /// is multiplied in this daemon's pool.
    double weightFactor(const std::string& team, const std::string& pool, TimePoint now) const;

    /// Returns whether a request is queued.
    bool contains(RequestId id) const;
    /// Returns the number of queued requests.
    std::size_t size() const;
    /// Returns the bytes held by queued requests.
    std::size_t bytes() const;
    /// Returns the number of a team's queued requests.
    std::size_t teamSize(const std::string& team) const;
    /// Returns the number of queued requests of a pool and kind.
    std::size_t waiting(const std::string& pool, WorkKind kind) const;

private:
    struct State;

    void setTeam(const TeamPolicy& policy, TimePoint now);

    std::unique_ptr<State> m_state;
};

} // namespace catkinwing
