#include "catkinwing/Standin/EngineMessages.h"
#include "catkinwing/Standin/JsonReader.h"
#include "catkinwing/Standin/Services.h"
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace catkinwing::standin {

constexpr std::chrono::seconds busyRetryAfter { 1 };

namespace {

    class EngineService final : public StandinService {
    public:
        EngineService(Scheduler& scheduler, ExecutionLog& log, EngineServiceSettings settings, WeightFetcher fetcher)
            : m_scheduler(scheduler)
            , m_log(log)
            , m_settings(std::move(settings))
            , m_model(scheduler, m_settings.engine)
            , m_assignment(scheduler, m_settings.initial, m_settings.honoursFencing, std::move(fetcher))
        {
        }

        void handle(StandinCall call) override;
        bool isLogged(const HttpRequest& request) const override { return request.method == "POST"; }
        void faultsChanged(const FaultSettings& settings) override { m_model.setSlowFactor(settings.slow); }

    private:
        /// A completion under way.
        struct Completion {
            Completion(CompletionRequest asked, StandinCall from)
                : request(std::move(asked))
                , writer(request)
                , call(std::move(from))
            {
            }

            CompletionRequest request;
            CompletionWriter writer;
            StandinCall call;
            std::string text;
            std::size_t cachedTokens { 0 };
        };
        using Handler = void (EngineService::*)(const StandinCall&);
        struct Route {
            const char* method;
            const char* path;
            Handler handler;
        };
        static const Route routes[];

        void complete(const StandinCall& call);
        void submit(const std::shared_ptr<Completion>& completion);
        void cancelRequest(const StandinCall& call);
        void listModels(const StandinCall& call);
        void health(const StandinCall& call);
        void load(const StandinCall& call);
        void cacheEvents(const StandinCall& call);
        void order(const StandinCall& call);
        void state(const StandinCall& call);

        void started(Completion& completion, std::size_t cachedTokens);
        void finished(JobId job);
        void cancel(JobId job);

        Scheduler& m_scheduler;
        ExecutionLog& m_log;
        EngineServiceSettings m_settings;
        EngineModel m_model;
        EngineAssignment m_assignment;
        std::map<JobId, std::shared_ptr<Completion>> m_completions;
        std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    };

    const EngineService::Route EngineService::routes[] = {
        { "POST", "/v1/chat/completions", &EngineService::complete },
        { "POST", "/v1/completions", &EngineService::complete },
        { "POST", "/v1/cancel", &EngineService::cancelRequest },
        { "GET", "/v1/models", &EngineService::listModels },
        { "GET", "/health", &EngineService::health },
        { "GET", "/load", &EngineService::load },
        { "GET", "/cache_events", &EngineService::cacheEvents },
        { "POST", "/admin/orders", &EngineService::order },
        { "GET", "/admin/state", &EngineService::state },
    };

} // namespace

static nlohmann::json errorBody(const std::string& message, const char* type)
{
    return { { "error", { { "message", message }, { "type", type } } } };
}

void EngineService::handle(StandinCall call)
{
    const auto* route = std::find_if(std::begin(routes), std::end(routes),
        [&call](const Route& candidate) { return call.request.method == candidate.method && call.request.path == candidate.path; });
    if (route == std::end(routes)) {
        sendJson(*call.responder, 404, errorBody("no such path", "not_found"), { { "catkinwing-executed", "false" } });
        return;
    }
    (this->*route->handler)(call);
}

void EngineService::complete(const StandinCall& call)
{
    if (call.leaving) {
        sendLeaving(*call.responder, "the engine is leaving");
        return;
    }
    auto request = parseCompletion(call.request, m_settings.defaultOutputTokens);
    if (!request.ok()) {
        sendJson(*call.responder, 400, errorBody(std::string(request.status().message()), "invalid_request_error"), { { "catkinwing-executed", "false" } });
        return;
    }
    if (!m_assignment.serves(request->model)) {
        sendJson(*call.responder, 404, errorBody(absl::StrCat("model ", request->model, " is not loaded"), "model_not_found"), { { "catkinwing-executed", "false" } });
        return;
    }
    submit(std::make_shared<Completion>(*std::move(request), call));
}

void EngineService::submit(const std::shared_ptr<Completion>& completion)
{
    const CompletionRequest& request = completion->request;
    EngineJob job;
    job.prompt = request.prompt;
    job.outputTokens = request.maxTokens;
    job.resumeFrom = request.isStream ? request.resumeFrom : 0;
    job.priority = request.priority;
    auto jobId = std::make_shared<JobId>(0);
    EngineJobCallbacks callbacks;
    callbacks.onStart = [this, completion](std::size_t cachedTokens) { started(*completion, cachedTokens); };
    callbacks.onToken = [completion](std::size_t index, const std::string& text) {
        if (completion->request.isStream)
            completion->call.responder->write(completion->writer.tokenEvent(index, text));
        else
            completion->text += text;
    };
    callbacks.onFinish = [this, jobId] { finished(*jobId); };
    auto submitted = m_model.submit(std::move(job), std::move(callbacks));
    if (!submitted.ok()) {
        sendNotExecuted(*completion->call.responder, 429, std::string(submitted.status().message()), busyRetryAfter);
        return;
    }
    *jobId = *submitted;
    m_completions[*jobId] = completion;
    completion->call.responder->onClosed([this, id = *jobId, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock())
            cancel(id);
    });
}

void EngineService::started(Completion& completion, std::size_t cachedTokens)
{
    completion.cachedTokens = cachedTokens;
    m_log.record(completion.call.identity, ExecutionEvent::Started, { { "resume_from", completion.request.resumeFrom } });
    if (completion.request.isStream)
        completion.call.responder->sendHead({ 200, { { "content-type", "text/event-stream" }, { "cache-control", "no-cache" } } });
}

void EngineService::finished(JobId job)
{
    auto found = m_completions.find(job);
    if (found == m_completions.end())
        return;
    auto completion = std::move(found->second);
    m_completions.erase(found);
    m_log.record(completion->call.identity, ExecutionEvent::Finished, { { "output_tokens", completion->request.maxTokens } });
    HttpResponder& responder = *completion->call.responder;
    if (!completion->request.isStream) {
        sendJson(responder, 200, completion->writer.whole(completion->text, completion->cachedTokens));
        return;
    }
    std::size_t lastIndex = completion->request.maxTokens;
    if (completion->request.resumeFrom <= lastIndex)
        responder.write(completion->writer.lastEvent());
    if (completion->request.includesUsage && completion->request.resumeFrom <= lastIndex + 1)
        responder.write(completion->writer.usageEvent(completion->cachedTokens));
    responder.write(doneEvent);
    responder.finish();
}

void EngineService::cancel(JobId job)
{
    auto found = m_completions.find(job);
    if (found == m_completions.end())
        return;
    auto completion = std::move(found->second);
    m_completions.erase(found);
    m_model.cancel(job);
    m_log.record(completion->call.identity, ExecutionEvent::Cancelled);
}

void EngineService::cancelRequest(const StandinCall& call)
{
    auto document = parseJsonObject(call.request.body);
    std::string wanted = document.ok() ? JsonReader(*document).text("request_id") : std::string();
    if (wanted.empty()) {
        sendJson(*call.responder, 400, errorBody("request_id is missing", "invalid_request_error"));
        return;
    }
    std::vector<JobId> jobs;
    for (const auto& entry : m_completions) {
        if (entry.second->call.identity.requestId == wanted)
            jobs.push_back(entry.first);
    }
    for (JobId job : jobs) {
        auto responder = m_completions.at(job)->call.responder;
        cancel(job);
        responder->abort();
    }
    sendJson(*call.responder, 200, { { "cancelled", jobs.size() } });
}

void EngineService::listModels(const StandinCall& call)
{
    std::vector<std::string> names = m_assignment.desired().models;
    std::vector<std::string> adapters = m_assignment.loadedAdapters();
    names.insert(names.end(), adapters.begin(), adapters.end());
    nlohmann::json models = nlohmann::json::array();
    for (const std::string& name : names)
        models.push_back({ { "id", name }, { "object", "model" } });
    sendJson(*call.responder, 200, { { "object", "list" }, { "data", std::move(models) } });
}

void EngineService::health(const StandinCall& call)
{
    nlohmann::json body = { { "state", call.leaving ? "leaving" : "live" }, { "incarnation", m_settings.incarnation } };
    sendJson(*call.responder, call.leaving ? 503 : 200, body);
}

void EngineService::load(const StandinCall& call)
{
    const EngineLoad& load = m_model.load();
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_scheduler.clock().now() - load.sampledAt);
    nlohmann::json body = {
        { "running", load.running },
        { "waiting", load.waiting },
        { "slots", load.slots },
        { "cached_blocks", load.cachedBlocks },
        { "sampled_age_ms", age.count() },
        { "state", call.leaving ? "leaving" : "live" },
        { "incarnation", m_settings.incarnation },
    };
    sendJson(*call.responder, 200, body);
}

void EngineService::cacheEvents(const StandinCall& call)
{
    absl::string_view query = call.request.query;
    std::uint64_t after = 0;
    if (absl::ConsumePrefix(&query, "after=") && !absl::SimpleAtoi(query, &after)) {
        sendJson(*call.responder, 400, errorBody("after is not a number", "invalid_request_error"));
        return;
    }
    sendJson(*call.responder, 200, toJson(m_model.cacheEvents(after)));
}

void EngineService::order(const StandinCall& call)
{
    auto document = parseJsonObject(call.request.body);
    auto order = document.ok() ? parseEngineOrder(*document) : document.status();
    if (!order.ok()) {
        sendJson(*call.responder, 400, errorBody(std::string(order.status().message()), "invalid_request_error"));
        return;
    }
    absl::Status taken = m_assignment.take(*order);
    if (taken.ok()) {
        m_log.record(call.identity, ExecutionEvent::Started, { { "fencing", order->fencing } });
        m_log.record(call.identity, ExecutionEvent::Finished, { { "fencing", order->fencing } });
    }
    nlohmann::json body = { { "fencing", m_assignment.fencing() } };
    if (!taken.ok())
        body.update(errorBody(std::string(taken.message()), "old_fencing"));
    sendJson(*call.responder, taken.ok() ? 200 : 409, body);
}

void EngineService::state(const StandinCall& call)
{
    nlohmann::json body = {
        { "fencing", m_assignment.fencing() },
        { "models", m_assignment.desired().models },
        { "adapters", m_assignment.loadedAdapters() },
        { "role", m_assignment.desired().role },
        { "incarnation", m_settings.incarnation },
    };
    sendJson(*call.responder, 200, body);
}

std::unique_ptr<StandinService> makeEngineService(Scheduler& scheduler, ExecutionLog& log, EngineServiceSettings settings, WeightFetcher fetcher)
{
    return std::make_unique<EngineService>(scheduler, log, std::move(settings), std::move(fetcher));
}

} // namespace catkinwing::standin
