#include "catkinwing/Standin/Services.h"
#include <utility>

namespace catkinwing::standin {

namespace {

    class PlainService final : public StandinService {
    public:
        PlainService(Scheduler& scheduler, ExecutionLog& log, PlainServiceSettings settings)
            : m_scheduler(scheduler)
            , m_log(log)
            , m_settings(std::move(settings))
        {
        }

        void handle(StandinCall call) override;
        bool isLogged(const HttpRequest&) const override { return true; }
        void addCounters(nlohmann::json& counters) const override { counters["executions"] = m_executions; }

    private:
        void answer(const StandinCall& call, std::uint64_t execution);

        Scheduler& m_scheduler;
        ExecutionLog& m_log;
        PlainServiceSettings m_settings;
        std::uint64_t m_executions { 0 };
        std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    };

} // namespace

void PlainService::handle(StandinCall call)
{
    if (call.leaving) {
        sendLeaving(*call.responder, "the service is leaving");
        return;
    }
    std::uint64_t execution = ++m_executions;
    m_log.record(call.identity, ExecutionEvent::Started, { { "execution", execution } });
    if (m_settings.delay == Duration::zero()) {
        answer(call, execution);
        return;
    }
    // Nobody waiting any more does not undo an execution.
    m_scheduler.callAfter(m_settings.delay, [this, call, execution, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock())
            answer(call, execution);
    });
}

void PlainService::answer(const StandinCall& call, std::uint64_t execution)
{
    m_log.record(call.identity, ExecutionEvent::Finished, { { "execution", execution } });
    nlohmann::json body = {
        { "service", m_settings.name },
        { "method", call.request.method },
        { "path", call.request.path },
        { "body_bytes", call.request.body.size() },
        { "marker", call.identity.marker },
        { "execution", execution },
    };
    sendJson(*call.responder, 200, body);
}

std::unique_ptr<StandinService> makePlainService(Scheduler& scheduler, ExecutionLog& log, PlainServiceSettings settings)
{
    return std::make_unique<PlainService>(scheduler, log, std::move(settings));
}

} // namespace catkinwing::standin
