#include "catkinwing/Standin/StandinFrontend.h"

#include "catkinwing/Standin/FaultyResponder.h"
#include "catkinwing/Standin/JsonReader.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <set>
#include <utility>

namespace catkinwing::standin {

constexpr const char* controlPrefix = "/standin/";
constexpr const char* faultsPath = "/standin/faults";
constexpr const char* countersPath = "/standin/counters";
constexpr std::chrono::seconds refusalRetryAfter { 1 };

/// Requests that are neither with the service nor answered; shared with the
/// callbacks that may run after the frontend has gone.
struct StandinFrontend::Pending {
    std::set<std::shared_ptr<HttpResponder>> hanging;
};

std::string StandinService::kindOf(const HttpRequest& request) const
{
    return absl::StrCat(request.method, " ", request.path);
}

void StandinService::refuse(const HttpRequest&, HttpResponder& responder) const
{
    sendNotExecuted(responder, 503, "refused by a fault switch", refusalRetryAfter);
}

void sendJson(HttpResponder& responder, int status, const nlohmann::json& body, HttpHeaders headers)
{
    HttpResponseHead head { status, std::move(headers) };
    head.headers.set("content-type", "application/json");
    responder.send(head, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

static void sendRefusal(HttpResponder& responder, int status, const std::string& message, HttpHeaders headers)
{
    nlohmann::json body = { { "error", { { "message", message }, { "type", "not_executed" } } } };
    headers.set("catkinwing-executed", "false");
    sendJson(responder, status, body, std::move(headers));
}

void sendNotExecuted(HttpResponder& responder, int status, const std::string& message, std::chrono::seconds retryAfter)
{
    sendRefusal(responder, status, message, { { "retry-after", absl::StrCat(retryAfter.count()) } });
}

void sendLeaving(HttpResponder& responder, const std::string& message)
{
    sendRefusal(responder, 503, message, { { "catkinwing-state", "leaving" } });
}

StandinFrontend::StandinFrontend(Scheduler& scheduler, ExecutionLog& log, StandinService& service, std::uint64_t seed)
    : m_scheduler(scheduler)
    , m_log(log)
    , m_service(service)
    , m_random(seed)
    , m_pending(std::make_shared<Pending>())
{
}

StandinFrontend::~StandinFrontend() = default;

void StandinFrontend::setFaults(FaultSettings settings)
{
    m_faults = std::move(settings);
    m_service.faultsChanged(m_faults);
}

void StandinFrontend::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (absl::StartsWith(request.path, controlPrefix)) {
        handleControl(request, *responder);
        return;
    }
    CallIdentity identity = identifyCall(request);
    m_counters.count(m_service.kindOf(request), identity.role.empty() ? identity.from : identity.role);
    FaultPlan plan = drawFaults(m_faults, identity, m_random);
    if (plan.down) {
        responder->abort();
        m_log.record(identity, ExecutionEvent::Cut, { { "fault", "down" } });
        return;
    }
    if (m_service.isLogged(request))
        m_log.record(identity, ExecutionEvent::Received);
    if (plan.hang) {
        hang(responder, identity);
        return;
    }
    if (plan.refuse) {
        m_service.refuse(request, *responder);
        return;
    }
    admit(std::move(request), std::move(responder), identity, plan);
}

void StandinFrontend::admit(HttpRequest request, std::shared_ptr<HttpResponder> responder, const CallIdentity& identity, const FaultPlan& plan)
{
    Duration delay = plan.delay;
    StandinCall call { std::move(request), identity, nullptr, plan.readOnly, plan.leaving };
    call.responder = makeFaultyResponder(std::move(responder), plan,
        [this, identity, weak = std::weak_ptr<Pending>(m_pending)] {
            if (weak.lock())
                m_log.record(identity, ExecutionEvent::Cut);
        });
    if (delay == Duration::zero()) {
        m_service.handle(std::move(call));
        return;
    }
    m_scheduler.callAfter(delay, [this, call, weak = std::weak_ptr<Pending>(m_pending)] {
        if (weak.lock())
            m_service.handle(call);
    });
}

void StandinFrontend::hang(const std::shared_ptr<HttpResponder>& responder, const CallIdentity& identity)
{
    m_pending->hanging.insert(responder);
    responder->onClosed([this, identity, key = std::weak_ptr<HttpResponder>(responder), weak = std::weak_ptr<Pending>(m_pending)] {
        auto pending = weak.lock();
        if (!pending)
            return;
        pending->hanging.erase(key.lock());
        m_log.record(identity, ExecutionEvent::Cancelled, { { "fault", "hang" } });
    });
}

void StandinFrontend::handleControl(const HttpRequest& request, HttpResponder& responder)
{
    if (request.path == faultsPath && request.method == "PUT") {
        replaceFaults(request, responder);
        return;
    }
    if (request.path == faultsPath && request.method == "GET") {
        sendJson(responder, 200, faultsToJson(m_faults));
        return;
    }
    if (request.path == countersPath && request.method == "GET") {
        nlohmann::json counters = m_counters.toJson();
        m_service.addCounters(counters);
        sendJson(responder, 200, counters);
        return;
    }
    if (!m_service.handleControl(request, responder))
        sendJson(responder, 404, { { "error", "no such control" } });
}

void StandinFrontend::replaceFaults(const HttpRequest& request, HttpResponder& responder)
{
    auto document = parseJsonObject(request.body);
    auto settings = document.ok() ? parseFaults(*document) : document.status();
    if (!settings.ok()) {
        sendJson(responder, 400, { { "error", std::string(settings.status().message()) } });
        return;
    }
    setFaults(*std::move(settings));
    sendJson(responder, 200, faultsToJson(m_faults));
}

} // namespace catkinwing::standin
