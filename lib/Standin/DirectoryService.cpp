#include "catkinwing/Standin/DirectoryState.h"
#include "catkinwing/Standin/JsonReader.h"
#include "catkinwing/Standin/Services.h"
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <list>
#include <utility>

namespace catkinwing::standin {

constexpr const char* registerPath = "/v1/catalog/register";
constexpr const char* deregisterPath = "/v1/catalog/deregister";
constexpr const char* agentRegisterPath = "/v1/agent/service/register";
constexpr const char* agentDeregisterPrefix = "/v1/agent/service/deregister/";
constexpr const char* healthPrefix = "/v1/health/service/";
constexpr const char* catalogPrefix = "/v1/catalog/service/";
constexpr const char* agentNode = "agent";
constexpr const char* passingStatus = "passing";
constexpr std::chrono::minutes defaultWait { 5 };
constexpr std::chrono::minutes maxWait { 10 };

namespace {

    /// A question about one service.
    struct DirectoryQuery {
        std::string service;
        bool isHealth { false };
        bool passingOnly { false };
        std::string tag;
        std::uint64_t index { 0 };
        Duration wait { defaultWait };
    };

    class DirectoryService final : public StandinService {
    public:
        DirectoryService(Scheduler& scheduler, ExecutionLog& log, Duration lag)
            : m_scheduler(scheduler)
            , m_log(log)
            , m_state(lag)
        {
        }

        ~DirectoryService() override;

        void handle(StandinCall call) override;
        std::string kindOf(const HttpRequest& request) const override;
        bool isLogged(const HttpRequest& request) const override { return request.method == "PUT"; }

    private:
        /// A question that waits for a change.
        struct Waiter {
            DirectoryQuery query;
            std::shared_ptr<HttpResponder> responder;
            TimerId timer { 0 };
        };
        using Waiters = std::list<Waiter>;

        absl::Status change(const HttpRequest& request);
        absl::Status registerNode(const nlohmann::json& document);
        absl::Status registerAtAgent(const nlohmann::json& document);
        absl::Status deregisterNode(const nlohmann::json& document);
        void ask(DirectoryQuery query, const std::shared_ptr<HttpResponder>& responder);
        void wait(DirectoryQuery query, const std::shared_ptr<HttpResponder>& responder);
        void answer(const DirectoryQuery& query, HttpResponder& responder) const;
        void update();

        Scheduler& m_scheduler;
        ExecutionLog& m_log;
        DirectoryState m_state;
        Waiters m_waiters;
        TimerId m_updateTimer { 0 };
    };

} // namespace

DirectoryService::~DirectoryService()
{
    m_scheduler.cancel(m_updateTimer);
    for (const Waiter& waiter : m_waiters)
        m_scheduler.cancel(waiter.timer);
}

static absl::StatusOr<DirectoryQuery> parseQuery(const HttpRequest& request)
{
    DirectoryQuery query;
    absl::string_view path = request.path;
    query.isHealth = absl::ConsumePrefix(&path, healthPrefix);
    if (!query.isHealth)
        absl::ConsumePrefix(&path, catalogPrefix);
    query.service = std::string(path);
    for (absl::string_view field : absl::StrSplit(request.query, '&', absl::SkipEmpty())) {
        std::pair<std::string, std::string> pair = absl::StrSplit(field, absl::MaxSplits('=', 1));
        if (pair.first == "passing")
            query.passingOnly = pair.second.empty() || pair.second == "true" || pair.second == "1";
        if (pair.first == "tag")
            query.tag = pair.second;
        if (pair.first == "index" && !absl::SimpleAtoi(pair.second, &query.index))
            return absl::InvalidArgumentError("index is not a number");
        if (pair.first != "wait")
            continue;
        auto wait = parseDuration(pair.second);
        if (!wait.ok())
            return wait.status();
        query.wait = std::min<Duration>(*wait, maxWait);
    }
    return query;
}

static bool isQuery(const HttpRequest& request)
{
    return absl::StartsWith(request.path, healthPrefix) || absl::StartsWith(request.path, catalogPrefix);
}

std::string DirectoryService::kindOf(const HttpRequest& request) const
{
    if (isQuery(request))
        return absl::StartsWith(request.path, healthPrefix) ? "health_service" : "catalog_service";
    return absl::StrContains(request.path, "deregister") ? "deregister" : "register";
}

void DirectoryService::handle(StandinCall call)
{
    update();
    if (isQuery(call.request) && call.request.method == "GET") {
        auto query = parseQuery(call.request);
        if (!query.ok())
            sendJson(*call.responder, 400, std::string(query.status().message()));
        else
            ask(*std::move(query), call.responder);
        return;
    }
    if (call.request.method != "PUT") {
        sendJson(*call.responder, 404, "no such path");
        return;
    }
    m_log.record(call.identity, ExecutionEvent::Started);
    absl::Status status = change(call.request);
    m_log.record(call.identity, ExecutionEvent::Finished, { { "accepted", status.ok() } });
    if (!status.ok()) {
        sendJson(*call.responder, absl::IsNotFound(status) ? 404 : 400, std::string(status.message()));
        return;
    }
    sendJson(*call.responder, 200, true);
    update();
}

absl::Status DirectoryService::change(const HttpRequest& request)
{
    if (absl::StartsWith(request.path, agentDeregisterPrefix)) {
        m_state.deregister(agentNode, request.path.substr(absl::string_view(agentDeregisterPrefix).size()), m_scheduler.clock().now());
        return absl::OkStatus();
    }
    auto document = parseJsonObject(request.body);
    if (!document.ok())
        return document.status();
    if (request.path == registerPath)
        return registerNode(*document);
    if (request.path == deregisterPath)
        return deregisterNode(*document);
    if (request.path == agentRegisterPath)
        return registerAtAgent(*document);
    return absl::NotFoundError("no such path");
}

static absl::Status readService(const nlohmann::json& document, const char* nameField, ServiceEntry& entry)
{
    JsonReader reader(document);
    entry.name = reader.text(nameField);
    entry.id = reader.text("ID");
    if (entry.id.empty())
        entry.id = entry.name;
    entry.address = reader.text("Address");
    entry.port = static_cast<std::uint16_t>(reader.integer("Port"));
    entry.tags = reader.texts("Tags");
    if (const auto* meta = reader.object("Meta")) {
        JsonReader values(*meta);
        for (const auto& item : meta->items())
            entry.meta[item.key()] = values.text(item.key().c_str());
        if (!values.status().ok())
            return values.status();
    }
    if (reader.status().ok() && entry.name.empty())
        return absl::InvalidArgumentError("service has no name");
    return reader.status();
}

// The worst of the checks is the status of the service.
static absl::Status readChecks(const nlohmann::json& document, ServiceEntry& entry)
{
    JsonReader reader(document);
    std::vector<nlohmann::json> checks;
    if (const auto* one = reader.object("Check"))
        checks.push_back(*one);
    if (const auto* several = reader.array("Checks"))
        checks.insert(checks.end(), several->begin(), several->end());
    for (const auto& check : checks) {
        if (!check.is_object())
            return absl::InvalidArgumentError("a check is not an object");
        JsonReader fields(check);
        std::string status = fields.text("Status");
        if (!fields.status().ok())
            return fields.status();
        // A check without a status starts as critical in the published interface.
        if (status.empty())
            status = "critical";
        if (status != passingStatus && entry.status != "critical")
            entry.status = status;
    }
    return reader.status();
}

absl::Status DirectoryService::registerNode(const nlohmann::json& document)
{
    JsonReader reader(document);
    ServiceEntry entry;
    entry.node = reader.text("Node");
    entry.nodeAddress = reader.text("Address");
    const auto* service = reader.object("Service");
    if (!reader.status().ok())
        return reader.status();
    if (entry.node.empty() || !service)
        return absl::InvalidArgumentError("registration has no Node or no Service");
    absl::Status status = readService(*service, "Service", entry);
    status.Update(readChecks(document, entry));
    if (status.ok())
        m_state.registerService(std::move(entry), m_scheduler.clock().now());
    return status;
}

absl::Status DirectoryService::registerAtAgent(const nlohmann::json& document)
{
    ServiceEntry entry;
    entry.node = agentNode;
    absl::Status status = readService(document, "Name", entry);
    status.Update(readChecks(document, entry));
    if (status.ok())
        m_state.registerService(std::move(entry), m_scheduler.clock().now());
    return status;
}

absl::Status DirectoryService::deregisterNode(const nlohmann::json& document)
{
    JsonReader reader(document);
    std::string node = reader.text("Node");
    std::string id = reader.text("ServiceID");
    if (!reader.status().ok())
        return reader.status();
    if (node.empty())
        return absl::InvalidArgumentError("deregistration has no Node");
    m_state.deregister(node, id, m_scheduler.clock().now());
    return absl::OkStatus();
}

void DirectoryService::ask(DirectoryQuery query, const std::shared_ptr<HttpResponder>& responder)
{
    if (query.index == 0 || query.index < m_state.indexOf(query.service))
        answer(query, *responder);
    else
        wait(std::move(query), responder);
}

void DirectoryService::wait(DirectoryQuery query, const std::shared_ptr<HttpResponder>& responder)
{
    Duration limit = query.wait;
    Waiters::iterator waiter = m_waiters.insert(m_waiters.end(), Waiter { std::move(query), responder });
    waiter->timer = m_scheduler.callAfter(limit, [this, waiter] {
        Waiter ended = std::move(*waiter);
        m_waiters.erase(waiter);
        answer(ended.query, *ended.responder);
    });
}

static nlohmann::json healthOf(const ServiceEntry& entry)
{
    return {
        { "Node", { { "Node", entry.node }, { "Address", entry.nodeAddress } } },
        { "Service",
            { { "ID", entry.id }, { "Service", entry.name }, { "Address", entry.address }, { "Port", entry.port },
                { "Tags", entry.tags }, { "Meta", entry.meta }, { "CreateIndex", entry.createIndex }, { "ModifyIndex", entry.modifyIndex } } },
        { "Checks",
            { { { "Node", entry.node }, { "CheckID", "service:" + entry.id }, { "ServiceID", entry.id }, { "ServiceName", entry.name }, { "Status", entry.status } } } },
    };
}

static nlohmann::json catalogOf(const ServiceEntry& entry)
{
    return {
        { "Node", entry.node },
        { "Address", entry.nodeAddress },
        { "ServiceID", entry.id },
        { "ServiceName", entry.name },
        { "ServiceAddress", entry.address },
        { "ServicePort", entry.port },
        { "ServiceTags", entry.tags },
        { "ServiceMeta", entry.meta },
        { "CreateIndex", entry.createIndex },
        { "ModifyIndex", entry.modifyIndex },
    };
}

void DirectoryService::answer(const DirectoryQuery& query, HttpResponder& responder) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const ServiceEntry& entry : m_state.list(query.service)) {
        if (query.passingOnly && entry.status != passingStatus)
            continue;
        if (!query.tag.empty() && std::find(entry.tags.begin(), entry.tags.end(), query.tag) == entry.tags.end())
            continue;
        list.push_back(query.isHealth ? healthOf(entry) : catalogOf(entry));
    }
    sendJson(responder, 200, list, { { "X-Consul-Index", absl::StrCat(m_state.indexOf(query.service)) } });
}

void DirectoryService::update()
{
    m_state.update(m_scheduler.clock().now());
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        bool isGone = !waiter->responder->isOpen();
        if (!isGone && waiter->query.index >= m_state.indexOf(waiter->query.service)) {
            ++waiter;
            continue;
        }
        m_scheduler.cancel(waiter->timer);
        if (!isGone)
            answer(waiter->query, *waiter->responder);
        waiter = m_waiters.erase(waiter);
    }
    m_scheduler.cancel(m_updateTimer);
    m_updateTimer = 0;
    if (auto next = m_state.nextUpdate())
        m_updateTimer = m_scheduler.callAfter(*next - m_scheduler.clock().now(), [this] { update(); });
}

std::unique_ptr<StandinService> makeDirectoryService(Scheduler& scheduler, ExecutionLog& log, Duration lag)
{
    return std::make_unique<DirectoryService>(scheduler, log, lag);
}

} // namespace catkinwing::standin
