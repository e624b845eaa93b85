#pragma once

#include "catkinwing/Admission/FairQueue.h"
#include "catkinwing/Support/ManualScheduler.h"
#include "catkinwing/Support/Random.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkinwing {

/// Daemon of the fake region. Each slot serves tokens at a fixed rate.
struct DaemonSpec {
    std::string name;
    std::size_t slots { 8 };
    /// Rate of all slots together.
    double tokensPerSecond { 8000 };
};

/// Region of daemons that each have a fair queue and exchange served counters in
/// delayed heartbeats. The fake serves requests of one pool on a
/// manual clock.
class RegionFake {
public:
    RegionFake(std::vector<DaemonSpec> daemons, const std::vector<TeamPolicy>& teams, std::uint64_t seed);

    /// Starts or stops keeping a backlog of \p team at \p daemon.
    void setBacklogged(const std::string& team, const std::string& daemon, bool backlogged);
    /// Sets the mean cost of a team's requests in tokens.
    void setMeanCost(const std::string& team, double tokens) { m_meanCost[team] = tokens; }
    /// Blocks or restores the heartbeats between two daemons.
    void setPartitioned(const std::string& a, const std::string& b, bool partitioned);
    /// Restarts a daemon with an empty queue and a new incarnation.
    void restart(const std::string& daemon);
    void run(Duration span);
    /// Returns the tokens served to a team since the last resetServed.
    double served(const std::string& team) const;
    double served(const std::string& team, const std::string& daemon) const;
    void resetServed();
    FairQueue& queue(const std::string& daemon) { return *m_daemons.at(daemon).queue; }
    TimePoint now() const { return m_scheduler.clock().now(); }

    Duration heartbeatInterval { std::chrono::milliseconds(500) };
    /// Time from sending to receiving a heartbeat.
    Duration heartbeatDelay { std::chrono::milliseconds(500) };

private:
    struct Daemon {
        DaemonSpec spec;
        std::unique_ptr<FairQueue> queue;
        std::uint64_t incarnation { 1 };
        std::size_t busySlots { 0 };
        std::set<std::string> backloggedTeams;
        std::map<std::string, double> servedByTeam;
    };

    void fillBacklog(Daemon& daemon);
    void startWork(Daemon& daemon);
    void sendHeartbeats(const std::string& name);
    void scheduleHeartbeats(const std::string& name);

    ManualScheduler m_scheduler;
    Random m_random;
    std::vector<TeamPolicy> m_teams;
    std::map<std::string, double> m_meanCost;
    std::map<std::string, Daemon> m_daemons;
    std::set<std::set<std::string>> m_partitions;
    RequestId m_lastId { 0 };
};

/// Returns a team with one class, "chat", of short work.
TeamPolicy teamOf(const std::string& name, double weight);
/// Returns a request of class "chat" and model "m", due \p timeout from \p now.
QueuedRequest requestOf(const std::string& team, RequestId id, double cost, TimePoint now, Duration timeout);

} // namespace catkinwing
