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

/// Says whether a request could be started now. The answer may depend on the
/// request's pool, model and kind alone: it is asked once for each of these.
using CanStart = std::function<bool(const QueuedRequest&)>;

/// The waiting requests of one daemon, served by weighted virtual-token counters
/// for each pool, team, then class, and by earliest deadline within a class.
class FairQueue {
public:
    explicit FairQueue(const SharePolicy& policy = {});
    ~FairQueue();
    FairQueue(const FairQueue&) = delete;
    FairQueue& operator=(const FairQueue&) = delete;

    /// Puts the teams' policies in force. Queued work of a team or class that
    /// vanished is handed back; weights of the others change at once.
    std::vector<QueuedRequest> configure(const std::vector<TeamPolicy>& teams, TimePoint now);

    /// Queues a request of a configured team and class; false if either is
    /// unknown or the identifier is queued already.
    bool enqueue(QueuedRequest request, TimePoint now);
    /// Takes out the request that goes next of those that can start, and charges
    /// its estimated cost.
    std::optional<QueuedRequest> pickNext(const CanStart& canStart, TimePoint now);
    /// Corrects the charge of a picked request once its real cost is known; a
    /// request that never started cost nothing.
    void settle(const QueuedRequest& request, double actualCost, TimePoint now);
    /// Takes out a request whose caller is gone; empty if it isn't queued.
    std::optional<QueuedRequest> remove(RequestId id, TimePoint now);
    /// Takes out all that can no longer make their deadline.
    std::vector<QueuedRequest> expire(TimePoint now);
    /// Takes out the request with the least right: of the team that holds most
    /// of the queue for its weight, and of that its largest class, the latest.
    /// Empty if \p newcomer would itself be that.
    std::optional<QueuedRequest> evictFor(const QueuedRequest& newcomer, TimePoint now);
    /// Stops or resumes starting a team's work, as at its limit in flight.
    void setTeamHeld(const std::string& team, bool held);
    /// Brings the shares up to date; to be called each half second or so.
    void refreshShares(TimePoint now);

    /// Takes in a counter of another daemon of the region.
    void applyRemoteService(const ServiceSource& source, const ServiceCounter& counter, TimePoint now);
    /// Forgets a daemon that is gone.
    void forgetSource(const std::string& source);
    /// Returns this daemon's own counters, for the heartbeat.
    std::vector<ServiceCounter> servedCounters() const;

    /// Returns the predicted wait of a request if it were queued now; empty if
    /// no drain rate is known yet.
    std::optional<Duration> predictedWait(const QueuedRequest& request, TimePoint now) const;
    /// Returns the rate in tokens a second at which the work of the request's team
    /// is started in its pool; empty if not known yet.
    std::optional<double> teamRate(const QueuedRequest& request, TimePoint now) const;
    /// Returns the part of the team's weight that counts in this daemon's pool.
    double weightFraction(const std::string& team, const std::string& pool, TimePoint now) const;

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
