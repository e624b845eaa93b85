#include "catkinwing/Standin/Services.h"
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <cmath>
#include <utility>

namespace catkinwing::standin {

constexpr const char* weightsPrefix = "/weights/";
constexpr const char* servedPath = "/served";
constexpr std::uint64_t bytesPerMegabyte = 1'000'000;
constexpr std::uint64_t maxMegabytes = 1'000'000;

namespace {

    class WeightsService final : public StandinService {
    public:
        WeightsService(Scheduler& scheduler, ExecutionLog& log, WeightLimits limits)
            : m_scheduler(scheduler)
            , m_log(log)
            , m_queue(scheduler, limits)
        {
            scheduleReport();
        }

        ~WeightsService() override { m_scheduler.cancel(m_reportTimer); }

        void handle(StandinCall call) override;
        std::string kindOf(const HttpRequest& request) const override;
        bool isLogged(const HttpRequest& request) const override { return absl::StartsWith(request.path, weightsPrefix); }

    private:
        void fetch(const StandinCall& call, std::uint64_t megabytes);
        void scheduleReport();
        void report();

        Scheduler& m_scheduler;
        ExecutionLog& m_log;
        WeightQueue m_queue;
        std::size_t m_reported { 0 };
        TimerId m_reportTimer { 0 };
        std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    };

} // namespace

static absl::StatusOr<std::uint64_t> parseMegabytes(const std::string& query)
{
    std::uint64_t megabytes = 1;
    for (absl::string_view field : absl::StrSplit(query, '&', absl::SkipEmpty())) {
        if (!absl::ConsumePrefix(&field, "megabytes="))
            continue;
        if (!absl::SimpleAtoi(field, &megabytes) || megabytes == 0 || megabytes > maxMegabytes)
            return absl::InvalidArgumentError("megabytes is not a number from 1 to 1000000");
    }
    return megabytes;
}

std::string WeightsService::kindOf(const HttpRequest& request) const
{
    return absl::StartsWith(request.path, weightsPrefix) ? "weights" : StandinService::kindOf(request);
}

void WeightsService::handle(StandinCall call)
{
    if (call.request.path == servedPath) {
        sendJson(*call.responder, 200, { { "bytes_by_second", m_queue.servedBySecond() } });
        return;
    }
    if (!absl::StartsWith(call.request.path, weightsPrefix) || call.request.method != "GET") {
        sendJson(*call.responder, 404, { { "error", "not found" } });
        return;
    }
    auto megabytes = parseMegabytes(call.request.query);
    if (!megabytes.ok()) {
        sendJson(*call.responder, 400, { { "error", std::string(megabytes.status().message()) } });
        return;
    }
    fetch(call, *megabytes);
}

void WeightsService::fetch(const StandinCall& call, std::uint64_t megabytes)
{
    std::uint64_t bytes = megabytes * bytesPerMegabyte;
    std::string name = call.request.path.substr(absl::string_view(weightsPrefix).size());
    auto identity = call.identity;
    auto responder = call.responder;
    auto transfer = m_queue.submit(bytes, [this, identity, responder, name, bytes] {
        m_log.record(identity, ExecutionEvent::Finished, { { "bytes", bytes } });
        sendJson(*responder, 200, { { "name", name }, { "bytes", bytes } });
    });
    if (!transfer.ok()) {
        auto wait = std::chrono::ceil<std::chrono::seconds>(m_queue.backlog());
        sendNotExecuted(*responder, 429, "too many transfers", wait);
        return;
    }
    m_log.record(identity, ExecutionEvent::Started, { { "bytes", bytes } });
    responder->onClosed([this, identity, id = *transfer, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.lock())
            return;
        m_queue.cancel(id);
        m_log.record(identity, ExecutionEvent::Cancelled);
    });
}

void WeightsService::scheduleReport()
{
    m_reportTimer = m_scheduler.callAfter(std::chrono::seconds(1), [this] {
        report();
        scheduleReport();
    });
}

// The last second may still grow, so it waits for the next report.
void WeightsService::report()
{
    const auto& served = m_queue.servedBySecond();
    for (; m_reported + 1 < served.size(); ++m_reported) {
        if (served[m_reported] > 0)
            m_log.record(CallIdentity(), ExecutionEvent::Served, { { "second", m_reported }, { "bytes", served[m_reported] } });
    }
}

std::unique_ptr<StandinService> makeWeightsService(Scheduler& scheduler, ExecutionLog& log, WeightLimits limits)
{
    return std::make_unique<WeightsService>(scheduler, log, limits);
}

} // namespace catkinwing::standin
