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

/// The waiting requests of one pool of capacity: who goes next, by virtual-token
/// counters of teams and of each team's classes. Doesn't own the requests.
class PoolQueue {
public:
    using CanStart = std::function<bool(const QueuedRequest&)>;

    explicit PoolQueue(const SharePolicy& policy);
    ~PoolQueue();

    bool knows(const std::string& team) const { return m_byName.contains(team); }
    /// Puts a team's weights in force; makes the team known.
    void setTeam(const TeamPolicy& policy, bool held, TimePoint now);
    /// Forgets a team; nothing of it may be queued.
    void removeTeam(const std::string& team);
    /// Stops or resumes starting a team's work.
    void setHeld(const std::string& team, bool held);

    /// Queues a request of a known team and class; it must stay where it is while
    /// it is queued.
    void add(const QueuedRequest& request, TimePoint now);
    void remove(const QueuedRequest& request, TimePoint now);
    /// Returns the request to start and charges its cost; the caller removes it.
    const QueuedRequest* pick(const CanStart& canStart, TimePoint now);
    /// Adds \p tokens, which may be negative, to what a team and class were served.
    void correct(const std::string& team, const std::string& requestClass, double tokens, TimePoint now);
    /// Brings weights and credits up to date.
    void refresh(TimePoint now);

    RegionalShares& regional() { return m_regional; }
    void appendCounters(const std::string& pool, std::vector<ServiceCounter>& counters) const;
    std::optional<Duration> predictedWait(const QueuedRequest& request, TimePoint now) const;
    /// Returns the rate in tokens a second at which a team's work is started.
    std::optional<double> teamRate(const std::string& team, TimePoint now) const;
    double weightFraction(const std::string& team, TimePoint now) const;
    std::size_t waiting(WorkKind kind) const { return kind == WorkKind::Short ? m_waitingShort : m_waitingLong; }
    bool empty() const { return m_waitingShort + m_waitingLong == 0; }

private:
    struct Lane;
    struct ClassEntry;
    struct TeamEntry;
    using LaneKey = std::pair<std::string, WorkKind>;

    TeamEntry* find(const std::string& team) const;
    void joinOrders(TeamEntry& team);
    void leaveOrders(TeamEntry& team);
    void setCounter(TeamEntry& team, double counter);
    void beginBacklog(TeamEntry& team, const Lane& lane, TimePoint now);
    void endBacklog(TeamEntry& team, TimePoint now);
    Lane* bestLane(const CanStart& canStart);
    const QueuedRequest& headOf(Lane& lane) const;
    void charge(TeamEntry& team, ClassEntry& entry, double tokens, TimePoint now);
    RegionalStanding standingOf(const TeamEntry& team, TimePoint now) const;
    void renewWeight(TeamEntry& team, TimePoint now);
    void rebase();
    double creditFloor(TimePoint now);

    SharePolicy m_policy;
    RegionalShares m_regional;
    DecayingRate m_localTotal;
    /// Rate of the virtual time: what a weight of one is served here.
    DecayingRate m_level;
    DrainRate m_drain;
    double m_virtualTime { 0 };
    /// Virtual time at the latest refreshes, over the credit window.
    std::deque<std::pair<TimePoint, double>> m_history;
    double m_backloggedWeight { 0 };
    std::size_t m_waitingShort { 0 };
    std::size_t m_waitingLong { 0 };
    std::vector<std::unique_ptr<TeamEntry>> m_teams;
    absl::flat_hash_map<std::string, TeamEntry*> m_byName;
    /// What removed teams were served: a team that comes back counts on, since
    /// the other daemons take a counter that went back for an old word.
    std::map<std::string, double> m_removedServed;
    std::map<LaneKey, Lane> m_lanes;
};

} // namespace catkinwing
