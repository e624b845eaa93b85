#include "LoadRun.h"

#include <optional>

namespace catkinwing {

void LoadSamples::append(const LoadSamples& other)
{
    whole.insert(whole.end(), other.whole.begin(), other.whole.end());
    firstByte.insert(firstByte.end(), other.firstByte.begin(), other.firstByte.end());
    gaps.insert(gaps.end(), other.gaps.begin(), other.gaps.end());
    for (const auto& [name, count] : other.errors)
        errors[name] += count;
    elapsed += other.elapsed;
}

std::uint64_t LoadSamples::errorCount() const
{
    std::uint64_t sum = 0;
    for (const auto& entry : errors)
        sum += entry.second;
    return sum;
}

static const char* endName(HttpEnd end)
{
    switch (end) {
    case HttpEnd::Complete:
        return "complete";
    case HttpEnd::ConnectFailed:
        return "connect failed";
    case HttpEnd::NoResponse:
        return "no response";
    case HttpEnd::Malformed:
        return "malformed";
    case HttpEnd::Truncated:
        return "truncated";
    case HttpEnd::TimedOut:
        break;
    }
    return "timed out";
}

namespace {

    class LoadRun {
    public:
        LoadRun(EventLoop& loop, HttpClient& client, const SocketAddress& target, const LoadOptions& options)
            : m_loop(loop)
            , m_client(client)
            , m_target(target)
            , m_options(options)
        {
        }

        LoadSamples run();

    private:
        /// One request under way.
        struct Flight {
            /// When it was due, which an open loop measures from even if it had to wait.
            TimePoint due;
            std::optional<TimePoint> lastPiece;
            int status { 0 };
        };

        TimePoint now() const { return m_loop.clock().now(); }
        bool isDone() const { return m_finished == m_options.requests; }
        TimePoint dueTime(std::uint64_t index) const;
        void beginAll();
        void begin(TimePoint due);
        void didGetPiece(Flight& flight);
        void didEnd(const Flight& flight, const HttpResult& result);

        EventLoop& m_loop;
        HttpClient& m_client;
        SocketAddress m_target;
        const LoadOptions& m_options;
        LoadSamples m_samples;
        TimePoint m_start {};
        std::uint64_t m_begun { 0 };
        std::uint64_t m_finished { 0 };
        std::size_t m_inFlight { 0 };
        bool m_isTimerSet { false };
    };

} // namespace

LoadSamples LoadRun::run()
{
    m_start = now();
    beginAll();
    while (!isDone())
        m_loop.runOnce(std::chrono::seconds(1));
    m_samples.elapsed = now() - m_start;
    return std::move(m_samples);
}

TimePoint LoadRun::dueTime(std::uint64_t index) const
{
    if (m_options.rate <= 0)
        return now();
    std::chrono::duration<double> offset(static_cast<double>(index) / m_options.rate);
    return m_start + std::chrono::duration_cast<Duration>(offset);
}

void LoadRun::beginAll()
{
    while (m_begun < m_options.requests && m_inFlight < m_options.connections) {
        TimePoint due = dueTime(m_begun);
        if (due <= now()) {
            begin(due);
            continue;
        }
        if (!m_isTimerSet) {
            m_isTimerSet = true;
            m_loop.callAfter(due - now(), [this] {
                m_isTimerSet = false;
                beginAll();
            });
        }
        return;
    }
}

void LoadRun::begin(TimePoint due)
{
    ++m_begun;
    ++m_inFlight;
    HttpClientRequest request;
    request.server = m_target;
    request.method = m_options.method;
    request.target = m_options.path;
    request.headers = m_options.headers;
    request.body = m_options.body;
    auto flight = std::make_shared<Flight>();
    flight->due = due;
    HttpClientCallbacks callbacks;
    callbacks.onHead = [flight](const HttpResponseHead& head) { flight->status = head.status; };
    callbacks.onBody = [this, flight](absl::string_view) { didGetPiece(*flight); };
    callbacks.onEnd = [this, flight](const HttpResult& result) { didEnd(*flight, result); };
    m_client.send(std::move(request), std::move(callbacks));
}

void LoadRun::didGetPiece(Flight& flight)
{
    TimePoint time = now();
    if (flight.lastPiece)
        m_samples.gaps.push_back(time - *flight.lastPiece);
    else
        m_samples.firstByte.push_back(time - flight.due);
    flight.lastPiece = time;
}

void LoadRun::didEnd(const Flight& flight, const HttpResult& result)
{
    --m_inFlight;
    ++m_finished;
    bool isGood = result.end == HttpEnd::Complete && flight.status == 200;
    if (isGood)
        m_samples.whole.push_back(now() - flight.due);
    else if (result.end == HttpEnd::Complete)
        ++m_samples.errors["status " + std::to_string(flight.status)];
    else
        ++m_samples.errors[endName(result.end)];
    beginAll();
}

LoadSamples runLoad(EventLoop& loop, HttpClient& client, const SocketAddress& target, const LoadOptions& options)
{
    return LoadRun(loop, client, target, options).run();
}

} // namespace catkinwing
