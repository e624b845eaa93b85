#include "catkinwing/Replay/Replayer.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

static constexpr std::size_t tailBytes = 64;
static constexpr absl::string_view streamEnd = "data: [DONE]";

Replayer::Replayer(Scheduler& scheduler, HttpClient& client, ReplayTargets targets, double speed)
    : m_scheduler(scheduler)
    , m_client(client)
    , m_targets(std::move(targets))
    , m_speed(speed)
{
}

void Replayer::run(std::vector<TraceRequest> trace, std::function<void(std::vector<ReplayResult>)> done)
{
    m_trace = std::move(trace);
    m_results.assign(m_trace.size(), {});
    m_sentAt.assign(m_trace.size(), {});
    m_tails.assign(m_trace.size(), {});
    m_done = std::move(done);
    m_startedAt = m_scheduler.clock().now();
    m_scheduler.callAfter(Duration::zero(), [this] { sendNext(); });
}

void Replayer::sendNext()
{
    if (m_next == m_trace.size()) {
        if (m_open == 0)
            m_done(std::move(m_results));
        return;
    }
    auto offset = std::chrono::duration_cast<Duration>(m_trace[m_next].at / m_speed);
    TimePoint due = m_startedAt + offset;
    TimePoint now = m_scheduler.clock().now();
    if (now < due) {
        m_scheduler.callAfter(due - now, [this] { sendNext(); });
        return;
    }
    send(m_next++);
    m_scheduler.callAfter(Duration::zero(), [this] { sendNext(); });
}

const SocketAddress* Replayer::targetFor(const std::string& region)
{
    auto targets = m_targets.find(region);
    if (targets == m_targets.end() || targets->second.empty())
        return nullptr;
    return &targets->second[m_turns[region]++ % targets->second.size()];
}

void Replayer::send(std::size_t index)
{
    const TraceRequest& traced = m_trace[index];
    m_results[index].requestClass = traced.requestClass;
    const SocketAddress* target = targetFor(traced.region);
    if (!target)
        return;
    HttpClientRequest request;
    request.server = *target;
    request.method = traced.method;
    request.target = traced.path;
    request.body = traced.body;
    request.headers = { { "Authorization", absl::StrCat("Bearer ", traced.key) }, { "Content-Type", "application/json" }, { "Catkinwing-Class", traced.requestClass } };
    if (!traced.idempotencyKey.empty())
        request.headers.set("Idempotency-Key", traced.idempotencyKey);
    ++m_open;
    m_sentAt[index] = m_scheduler.clock().now();
    HttpClientCallbacks callbacks;
    callbacks.onHead = [this, index](const HttpResponseHead& head) {
        m_results[index].status = head.status;
        if (const std::string* outcome = head.headers.find("Catkinwing-Outcome"))
            m_results[index].outcome = *outcome;
        const std::string* type = head.headers.find("Content-Type");
        bool isStream = type && absl::StartsWithIgnoreCase(*type, "text/event-stream");
        m_results[index].isWhole = !isStream;
    };
    callbacks.onBody = [this, index](absl::string_view bytes) {
        ReplayResult& result = m_results[index];
        if (!result.timeToFirstByte)
            result.timeToFirstByte = m_scheduler.clock().now() - m_sentAt[index];
        std::string& tail = m_tails[index];
        tail.append(bytes.data(), bytes.size());
        tail.erase(0, tail.size() - std::min(tail.size(), tailBytes));
    };
    callbacks.onEnd = [this, index](const HttpResult& result) { finish(index, result); };
    m_client.send(std::move(request), std::move(callbacks));
}

void Replayer::finish(std::size_t index, const HttpResult& ended)
{
    ReplayResult& result = m_results[index];
    result.total = m_scheduler.clock().now() - m_sentAt[index];
    bool isEndOfStream = absl::StrContains(m_tails[index], streamEnd);
    result.isWhole = ended.end == HttpEnd::Complete && (result.isWhole || isEndOfStream);
    if (ended.end == HttpEnd::ConnectFailed)
        result.outcome = "not-run";
    --m_open;
    if (m_next == m_trace.size() && m_open == 0)
        m_scheduler.callAfter(Duration::zero(), [this] { sendNext(); });
}

} // namespace catkinwing
