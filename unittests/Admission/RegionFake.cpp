#include "RegionFake.h"

#include <cmath>

namespace catkinwing {

/// Number of queued requests of a backlogged team at a daemon.
static constexpr std::size_t backlogDepth = 8;

TeamPolicy teamOf(const std::string& name, double weight)
{
    TeamPolicy policy;
    policy.name = name;
    policy.weight = weight;
    policy.classes = { { "chat", 1, WorkKind::Short } };
    return policy;
}

QueuedRequest requestOf(const std::string& team, RequestId id, double cost, TimePoint now, Duration timeout)
{
    QueuedRequest request;
    request.id = id;
    request.team = team;
    request.requestClass = "chat";
    request.model = "m";
    request.cost = cost;
    request.deadline = now + timeout;
    return request;
}

RegionFake::RegionFake(std::vector<DaemonSpec> daemons, const std::vector<TeamPolicy>& teams, std::uint64_t seed)
    : m_random(seed)
    , m_teams(teams)
{
    for (DaemonSpec& spec : daemons) {
        std::string name = spec.name;
        Daemon& daemon = m_daemons[name];
        daemon.spec = std::move(spec);
        daemon.queue = std::make_unique<FairQueue>();
        daemon.queue->configure(m_teams, now());
        // A random phase keeps the heartbeats of the daemons from coinciding.
        Duration phase = std::chrono::milliseconds(m_random.below(500));
        m_scheduler.callAfter(phase, [this, name] { scheduleHeartbeats(name); });
    }
}

void RegionFake::setBacklogged(const std::string& team, const std::string& name, bool backlogged)
{
    Daemon& daemon = m_daemons.at(name);
    if (!backlogged) {
        daemon.backloggedTeams.erase(team);
        return;
    }
    daemon.backloggedTeams.insert(team);
    startWork(daemon);
}

void RegionFake::setPartitioned(const std::string& a, const std::string& b, bool partitioned)
{
    if (partitioned)
        m_partitions.insert({ a, b });
    else
        m_partitions.erase({ a, b });
}

void RegionFake::restart(const std::string& name)
{
    Daemon& daemon = m_daemons.at(name);
    ++daemon.incarnation;
    daemon.queue = std::make_unique<FairQueue>();
    daemon.queue->configure(m_teams, now());
    startWork(daemon);
}

void RegionFake::run(Duration span)
{
    m_scheduler.advance(span);
}

double RegionFake::served(const std::string& team) const
{
    double sum = 0;
    for (const auto& [name, daemon] : m_daemons)
        sum += served(team, name);
    return sum;
}

double RegionFake::served(const std::string& team, const std::string& daemon) const
{
    const auto& served = m_daemons.at(daemon).servedByTeam;
    auto found = served.find(team);
    return found == served.end() ? 0 : found->second;
}

void RegionFake::resetServed()
{
    for (auto& [name, daemon] : m_daemons)
        daemon.servedByTeam.clear();
}

void RegionFake::fillBacklog(Daemon& daemon)
{
    for (const std::string& team : daemon.backloggedTeams) {
        while (daemon.queue->teamSize(team) < backlogDepth) {
            auto mean = m_meanCost.find(team);
            double cost = (mean == m_meanCost.end() ? 500 : mean->second) * -std::log(1 - m_random.unit()) + 1;
            daemon.queue->enqueue(requestOf(team, ++m_lastId, cost, now(), std::chrono::hours(1)), now());
        }
    }
}

void RegionFake::startWork(Daemon& daemon)
{
    fillBacklog(daemon);
    while (daemon.busySlots < daemon.spec.slots) {
        std::optional<QueuedRequest> next = daemon.queue->pickNext([](const QueuedRequest&) { return true; }, now());
        if (!next)
            return;
        fillBacklog(daemon);
        ++daemon.busySlots;
        daemon.servedByTeam[next->team] += next->cost;
        double slotRate = daemon.spec.tokensPerSecond / static_cast<double>(daemon.spec.slots);
        auto service = std::chrono::ceil<Duration>(std::chrono::duration<double>(next->cost / slotRate));
        m_scheduler.callAfter(service, [this, &daemon] {
            --daemon.busySlots;
            startWork(daemon);
        });
    }
}

void RegionFake::scheduleHeartbeats(const std::string& name)
{
    sendHeartbeats(name);
    m_scheduler.callAfter(heartbeatInterval, [this, name] { scheduleHeartbeats(name); });
}

void RegionFake::sendHeartbeats(const std::string& name)
{
    Daemon& daemon = m_daemons.at(name);
    daemon.queue->refreshShares(now());
    ServiceSource source { name, daemon.incarnation };
    for (const auto& [peer, unused] : m_daemons) {
        if (peer == name || m_partitions.count({ name, peer }))
            continue;
        std::string to = peer;
        m_scheduler.callAfter(heartbeatDelay, [this, source, to, counters = daemon.queue->servedCounters()] {
            for (const ServiceCounter& counter : counters)
                m_daemons.at(to).queue->applyRemoteService(source, counter, now());
        });
    }
}

} // namespace catkinwing
