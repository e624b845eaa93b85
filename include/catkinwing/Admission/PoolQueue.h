#pragma once

#include "catkinwing/Admission/AdmissionLimits.h"
#include "catkinwing/Admission/DeadlineQueue.h"
#include "catkinwing/Admission/DrainRate.h"
#include "catkinwing/Admission/RegionalShares.h"
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// The waiting requests of one capacity pool. Selects the next request by virtual-token
/// counters of the teams and of each team's classes. Doesn't own the requests.
class PoolQueue {
public:
    using CanStart = std::function<bool(const QueuedRequest&)>;

    explicit PoolQueue(const SharePolicy& policy);
    ~PoolQueue();

    bool hasTeam(const std::string& team) const { return m_teamsByName.contains(team); }
    /// Applies a team's weights; adds the team if it is new.
    void setTeam(const TeamPolicy& policy, bool paused, TimePoint now);
    /// Removes a team, which must have no queued requests.
    void removeTeam(const std::string& team);
    /// Stops or resumes starting a team's requests.
    void setTeamPaused(const std::string& team, bool paused);

    /// Queues a request of a known team and class. The request must keep its address
    /// while it is queued.
    void add(const QueuedRequest& request, TimePoint now);
    void remove(const QueuedRequest& request, TimePoint now);
    /// Returns the request to start and charges its cost; null if none can start. The
    /// request stays queued until remove() is called.
    const QueuedRequest* pick(const CanStart& canStart, TimePoint now);
    /// Adds \p tokens, which may be negative, to the service charged to a team and class.
    void adjustCharge(const std::string& team, const std::string& requestClass, double tokens, TimePoint now);
    /// Updates the teams' effective weights and limits how far their counters may lag
    /// behind the virtual time. Call this about every half second.
    void refresh(TimePoint now);

    RegionalShares& regionalShares() { return m_regionalShares; }
    void appendCounters(const std::string& pool, std::vector<ServiceCounter>& counters) const;
    std::optional<Duration> predictedWait(const QueuedRequest& request, TimePoint now) const;
    /// Returns the rate in tokens per second at which a team's requests are started.
    std::optional<double> teamRate(const std::string& team, TimePoint now) const;
    double weightFactor(const std::string& team, TimePoint now) const;
    std::size_t waiting(WorkKind kind) const { return kind == WorkKind::Short ? m_waitingShort : m_waitingLong; }
    bool empty() const { return m_waitingShort + m_waitingLong == 0; }

private:
    struct RequestGroup;
    struct ClassState;
    struct TeamState;
    using RequestGroupKey = std::pair<std::string, WorkKind>;

    TeamState* find(const std::string& team) const;
    void addToGroups(TeamState& team);
    void removeFromGroups(TeamState& team);
    void setCounter(TeamState& team, double counter);
    void beginBacklog(TeamState& team, const RequestGroup& group, TimePoint now);
    void endBacklog(TeamState& team, TimePoint now);
    RequestGroup* findBestGroup(const CanStart& canStart);
    const QueuedRequest& sampleRequest(RequestGroup& group) const;
    void charge(TeamState& team, ClassState& entry, double tokens, TimePoint now);
    RegionalStanding regionalStanding(const TeamState& team, TimePoint now) const;
    void updateEffectiveWeight(TeamState& team, TimePoint now);
    void rebaseCounters();
    double minCounter(TimePoint now);

    SharePolicy m_policy;
    RegionalShares m_regionalShares;
    DecayingRate m_localServedRate;
    /// Rate at which the virtual time advances: the tokens per second that a team of
    /// weight one is served in this pool.
    DecayingRate m_virtualTimeRate;
    DrainRate m_drainRate;
    /// Largest team counter at a pick since the counters were last rebased. A team with
    /// a smaller counter has received less than its share.
    double m_virtualTime { 0 };
    /// Virtual time at each refresh of the last SharePolicy::maxCompensationTime; limits
    /// how far a counter may lag.
    std::deque<std::pair<TimePoint, double>> m_virtualTimeHistory;
    double m_backloggedWeight { 0 };
    std::size_t m_waitingShort { 0 };
    std::size_t m_waitingLong { 0 };
    std::vector<std::unique_ptr<TeamState>> m_teams;
    absl::flat_hash_map<std::string, TeamState*> m_teamsByName;
    /// Tokens served to removed teams. The counter of a team that is added again
    /// continues from there, since the other daemons treat a counter that decreased as
    /// an outdated report.
    std::map<std::string, double> m_removedServed;
    std::map<RequestGroupKey, RequestGroup> m_groups;
};

} // namespace catkinwing
