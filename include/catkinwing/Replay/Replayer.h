#pragma once

#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Replay/ReplayReport.h"
#include "catkinwing/Replay/Trace.h"
#include <functional>
#include <map>

namespace catkinwing {

/// Entries by region; requests of a region take them in turn.
using ReplayTargets = std::map<std::string, std::vector<SocketAddress>>;

/// Sends a trace at its own times, whatever the answers are.
class Replayer {
public:
    /// \p scheduler and \p client must outlive it; \p speed above 1 is faster.
    Replayer(Scheduler& scheduler, HttpClient& client, ReplayTargets targets, double speed);
    /// Sends \p trace and calls \p done when all is answered.
    void run(std::vector<TraceRequest> trace, std::function<void(std::vector<ReplayResult>)> done);

private:
    void sendNext();
    void send(std::size_t index);
    void finish(std::size_t index, const HttpResult& result);
    const SocketAddress* targetFor(const std::string& region);

    Scheduler& m_scheduler;
    HttpClient& m_client;
    ReplayTargets m_targets;
    double m_speed;
    std::map<std::string, std::size_t> m_turns;
    std::vector<TraceRequest> m_trace;
    std::vector<ReplayResult> m_results;
    std::vector<TimePoint> m_sentAt;
    /// Last bytes of each answer, in which a stream's end shows.
    std::vector<std::string> m_tails;
    std::size_t m_next { 0 };
    std::size_t m_open { 0 };
    TimePoint m_startedAt {};
    std::function<void(std::vector<ReplayResult>)> m_done;
};

} // namespace catkinwing
