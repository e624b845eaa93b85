#include "catkinwing/PlatformStandin/EndpointStandin.h"

#include "catkinwing/Standin/JsonReader.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace catkinwing::platform {

using namespace standin;

static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusMisdirected = 421;
static constexpr int statusUnavailable = 503;
static constexpr absl::string_view attemptField = "Attempt-Id";

namespace {

    class EndpointStandinImpl final : public EndpointStandin {
    public:
        EndpointStandinImpl(Scheduler& scheduler, ExecutionLog& log, EndpointStandinSettings settings)
            : m_scheduler(scheduler)
            , m_log(log)
            , m_settings(std::move(settings))
        {
        }

        void handle(StandinCall call) override;
        bool handleControl(const HttpRequest& request, HttpResponder& responder) override;
        void fallSilent(Duration span) override;
        void refuse(const HttpRequest& request, HttpResponder& responder) const override;
        bool isLogged(const HttpRequest&) const override { return true; }
        void addCounters(nlohmann::json& counters) const override { counters["executions"] = m_executions; }

    private:
        void begin(StandinCall call);
        void answer(const StandinCall& call);
        void sendEvent(const StandinCall& call, std::uint64_t number);
        HttpHeaders signature(const HttpRequest& request) const;
        /// Calls \p next after \p delay, or at the end of a silence, if this
        /// object is still there.
        void callAfter(Duration delay, std::function<void()> next);
        /// Calls \p next now, or at the end of a silence.
        void callUnlessSilent(std::function<void()> next);
        void endSilence();

        Scheduler& m_scheduler;
        ExecutionLog& m_log;
        EndpointStandinSettings m_settings;
        std::uint64_t m_executions { 0 };
        TimePoint m_silentUntil {};
        TimerId m_silence { 0 };
        /// What waits for the end of the silence, in order.
        std::vector<std::function<void()>> m_held;
        std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    };

} // namespace

static std::string fieldOf(const HttpRequest& request, absl::string_view name)
{
    const std::string* value = request.headers.find(name);
    return value ? *value : std::string();
}

// The last part belongs to the request itself, and each has the form ID:TOKENS.
static bool hasSharedPart(const HttpRequest& request, absl::string_view part)
{
    std::vector<std::string> parts = absl::StrSplit(fieldOf(request, "Prefix-Hash"), ',');
    parts.pop_back();
    return std::any_of(parts.begin(), parts.end(), [part](absl::string_view text) { return text.substr(0, text.find(':')) == part; });
}

void EndpointStandinImpl::callAfter(Duration delay, std::function<void()> next)
{
    m_scheduler.callAfter(delay, [this, next = std::move(next), alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock())
            callUnlessSilent(next);
    });
}

void EndpointStandinImpl::callUnlessSilent(std::function<void()> next)
{
    if (m_silence != 0)
        m_held.push_back(std::move(next));
    else
        next();
}

void EndpointStandinImpl::fallSilent(Duration span)
{
    m_silentUntil = std::max(m_silentUntil, m_scheduler.clock().now() + span);
    m_scheduler.cancel(m_silence);
    m_silence = m_scheduler.callAfter(m_silentUntil - m_scheduler.clock().now(), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock())
            endSilence();
    });
}

void EndpointStandinImpl::endSilence()
{
    m_silence = 0;
    for (const auto& next : std::exchange(m_held, {}))
        callUnlessSilent(next);
}

bool EndpointStandinImpl::handleControl(const HttpRequest& request, HttpResponder& responder)
{
    if (request.method != "POST" || request.path != "/standin/silence")
        return false;
    auto document = parseJsonObject(request.body);
    std::int64_t span = document.ok() ? JsonReader(*document).integer("span_ms") : 0;
    if (span > 0)
        fallSilent(std::chrono::milliseconds(span));
    sendJson(responder, span > 0 ? statusOk : statusBadRequest, nlohmann::json::object());
    return true;
}

void EndpointStandinImpl::handle(StandinCall call)
{
    callUnlessSilent([this, call = std::move(call)] { begin(call); });
}

void EndpointStandinImpl::begin(StandinCall call)
{
    std::string expected = fieldOf(call.request, "Expect-Instance");
    if (!expected.empty() && expected != m_settings.incarnation) {
        call.responder->send({ statusMisdirected, { { std::string(attemptField), fieldOf(call.request, attemptField) }, { "Instance-Id", m_settings.incarnation } } }, "");
        return;
    }
    if (call.leaving) {
        refuse(call.request, *call.responder);
        return;
    }
    ++m_executions;
    call.identity.requestId = fieldOf(call.request, attemptField);
    m_log.record(call.identity, ExecutionEvent::Started);
    callAfter(m_settings.delay, [this, call] { answer(call); });
}

void EndpointStandinImpl::refuse(const HttpRequest& request, HttpResponder& responder) const
{
    responder.send({ statusUnavailable, { { std::string(attemptField), fieldOf(request, attemptField) }, { "Not-Executed", "1" }, { "Retry-After", "1" } } }, "");
}

HttpHeaders EndpointStandinImpl::signature(const HttpRequest& request) const
{
    std::string attempt = fieldOf(request, attemptField);
    HttpHeaders headers { { std::string(attemptField), attempt }, { "Reply-Seal", absl::StrCat(attempt, ".", m_settings.incarnation) } };
    if (m_settings.isLeaving)
        headers.add("Server-Leaving", "1");
    if (!m_settings.requestLimit.empty())
        headers.add("Server-Limit", m_settings.requestLimit);
    return headers;
}

void EndpointStandinImpl::answer(const StandinCall& call)
{
    HttpResponseHead head { statusOk, signature(call.request) };
    if (!m_settings.crashingPart.empty() && hasSharedPart(call.request, m_settings.crashingPart)) {
        call.responder->abort();
        m_settings.crash();
        return;
    }
    if (m_settings.events == 0) {
        m_log.record(call.identity, ExecutionEvent::Finished);
        head.headers.set("content-type", "application/json");
        nlohmann::json body = { { "endpoint", m_settings.incarnation }, { "method", call.request.method }, { "path", call.request.path },
            { "body_bytes", call.request.body.size() } };
        call.responder->send(head, body.dump());
        return;
    }
    head.headers.set("content-type", "text/event-stream");
    call.responder->sendHead(head);
    std::uint64_t last = 0;
    if (!absl::SimpleAtoi(fieldOf(call.request, "Last-Event-Id"), &last))
        last = 0;
    sendEvent(call, last + 1);
}

void EndpointStandinImpl::sendEvent(const StandinCall& call, std::uint64_t number)
{
    if (!call.responder->isOpen()) {
        m_log.record(call.identity, ExecutionEvent::Cancelled, { { "next_event", number } });
        return;
    }
    if (number > m_settings.events) {
        m_log.record(call.identity, ExecutionEvent::Finished);
        call.responder->finish();
        return;
    }
    call.responder->write(absl::StrCat("id: ", number, "\ndata: piece ", number, "\n\n"));
    callAfter(m_settings.pause, [this, call, number] { sendEvent(call, number + 1); });
}

std::unique_ptr<EndpointStandin> makeEndpointStandin(Scheduler& scheduler, ExecutionLog& log, EndpointStandinSettings settings)
{
    return std::make_unique<EndpointStandinImpl>(scheduler, log, std::move(settings));
}

} // namespace catkinwing::platform
