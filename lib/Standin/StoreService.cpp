#include "catkinwing/Standin/JsonReader.h"
#include "catkinwing/Standin/LeaseExpiry.h"
#include "catkinwing/Standin/Services.h"
#include "catkinwing/Standin/StoreCodec.h"
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace catkinwing::standin {

constexpr const char* readOnlyMessage = "etcdserver: mvcc: database space exceeded";
constexpr std::int64_t lapsedTimeToLive = -1;

namespace {

    class StoreService final : public StandinService {
    public:
        StoreService(Scheduler& scheduler, ExecutionLog& log, StoreLimits limits)
            : m_scheduler(scheduler)
            , m_log(log)
            , m_state(limits)
        {
        }

        void handle(StandinCall call) override;
        std::string kindOf(const HttpRequest& request) const override;
        bool isLogged(const HttpRequest& request) const override;
        void addCounters(nlohmann::json& counters) const override;

    private:
        using Answer = absl::StatusOr<nlohmann::json>;
        using Handler = Answer (StoreService::*)(const nlohmann::json&);

        /// One URL of the gateway; a null handler is the watch.
        struct Route {
            const char* path;
            const char* kind;
            Handler handler;
            bool isWrite;
        };
        static const Route routes[];
        static const Route* findRoute(const std::string& path);

        Answer range(const nlohmann::json& document);
        Answer put(const nlohmann::json& document);
        Answer deleteRange(const nlohmann::json& document);
        Answer transaction(const nlohmann::json& document);
        Answer compact(const nlohmann::json& document);
        Answer grant(const nlohmann::json& document);
        Answer keepAlive(const nlohmann::json& document);
        Answer revoke(const nlohmann::json& document);
        Answer timeToLive(const nlohmann::json& document);
        Answer runOne(absl::StatusOr<StoreOperation> operation);

        void answer(const Route& route, const StandinCall& call, const nlohmann::json& document);
        void watch(const StandinCall& call, const nlohmann::json& document);
        void startWatch(const WatchRequest& request, const std::shared_ptr<HttpResponder>& responder);
        void sendError(HttpResponder& responder, const absl::Status& status) const;

        Scheduler& m_scheduler;
        ExecutionLog& m_log;
        StoreState m_state;
        LeaseExpiry m_expiry { m_scheduler, m_state };
        std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    };

    const StoreService::Route StoreService::routes[] = {
        { "/v3/kv/range", "range", &StoreService::range, false },
        { "/v3/kv/put", "put", &StoreService::put, true },
        { "/v3/kv/deleterange", "deleterange", &StoreService::deleteRange, true },
        { "/v3/kv/txn", "txn", &StoreService::transaction, true },
        { "/v3/kv/compaction", "compaction", &StoreService::compact, true },
        { "/v3/lease/grant", "lease_grant", &StoreService::grant, true },
        { "/v3/lease/keepalive", "lease_keepalive", &StoreService::keepAlive, false },
        { "/v3/lease/revoke", "lease_revoke", &StoreService::revoke, true },
        { "/v3/kv/lease/revoke", "lease_revoke", &StoreService::revoke, true },
        { "/v3/lease/timetolive", "lease_timetolive", &StoreService::timeToLive, false },
        { "/v3/kv/lease/timetolive", "lease_timetolive", &StoreService::timeToLive, false },
        { "/v3/watch", "watch", nullptr, false },
    };

} // namespace

const StoreService::Route* StoreService::findRoute(const std::string& path)
{
    const auto* found = std::find_if(std::begin(routes), std::end(routes), [&path](const Route& route) { return path == route.path; });
    return found == std::end(routes) ? nullptr : found;
}

std::string StoreService::kindOf(const HttpRequest& request) const
{
    const Route* route = findRoute(request.path);
    return route ? route->kind : "unknown";
}

bool StoreService::isLogged(const HttpRequest& request) const
{
    const Route* route = findRoute(request.path);
    return route && route->isWrite;
}

void StoreService::addCounters(nlohmann::json& counters) const
{
    counters["open_watches"] = m_state.watchCount();
    counters["revision"] = m_state.revision();
}

void StoreService::handle(StandinCall call)
{
    m_expiry.run();
    const Route* route = findRoute(call.request.path);
    if (!route || call.request.method != "POST") {
        sendJson(*call.responder, 404, { { "error", "not found" }, { "code", 5 } });
        return;
    }
    auto document = parseJsonObject(call.request.body);
    if (!document.ok()) {
        sendError(*call.responder, document.status());
        return;
    }
    if (!route->handler) {
        watch(call, *document);
        return;
    }
    if (route->isWrite && call.readOnly) {
        sendError(*call.responder, absl::ResourceExhaustedError(readOnlyMessage));
        return;
    }
    answer(*route, call, *document);
    m_expiry.run();
}

void StoreService::answer(const Route& route, const StandinCall& call, const nlohmann::json& document)
{
    if (route.isWrite)
        m_log.record(call.identity, ExecutionEvent::Started);
    std::int64_t before = m_state.revision();
    Answer result = (this->*route.handler)(document);
    if (route.isWrite) {
        nlohmann::json fields = { { "revision", m_state.revision() }, { "written", m_state.revision() > before } };
        m_log.record(call.identity, ExecutionEvent::Finished, fields);
    }
    if (result.ok())
        sendJson(*call.responder, 200, *result);
    else
        sendError(*call.responder, result.status());
}

StoreService::Answer StoreService::runOne(absl::StatusOr<StoreOperation> operation)
{
    if (!operation.ok())
        return operation.status();
    TransactionRequest request;
    request.success.push_back(*std::move(operation));
    auto result = m_state.run(request);
    if (!result.ok())
        return result.status();
    return toJson(result->results.front(), result->revision);
}

StoreService::Answer StoreService::range(const nlohmann::json& document)
{
    return runOne(parseRange(document));
}

StoreService::Answer StoreService::put(const nlohmann::json& document)
{
    return runOne(parsePut(document));
}

StoreService::Answer StoreService::deleteRange(const nlohmann::json& document)
{
    return runOne(parseDelete(document));
}

StoreService::Answer StoreService::transaction(const nlohmann::json& document)
{
    auto request = parseTransaction(document);
    if (!request.ok())
        return request.status();
    auto result = m_state.run(*request);
    if (!result.ok())
        return result.status();
    return toJson(*result);
}

StoreService::Answer StoreService::compact(const nlohmann::json& document)
{
    JsonReader reader(document);
    std::int64_t revision = reader.integer("revision");
    if (!reader.status().ok())
        return reader.status();
    if (absl::Status status = m_state.compact(revision); !status.ok())
        return status;
    return nlohmann::json { { "header", storeHeader(m_state.revision()) } };
}

static nlohmann::json leaseAnswer(std::int64_t revision, std::int64_t id, std::chrono::seconds timeToLive)
{
    nlohmann::json answer = {
        { "header", storeHeader(revision) },
        { "ID", absl::StrCat(id) },
    };
    if (timeToLive.count() != 0)
        answer["TTL"] = absl::StrCat(timeToLive.count());
    return answer;
}

StoreService::Answer StoreService::grant(const nlohmann::json& document)
{
    JsonReader reader(document);
    std::chrono::seconds timeToLive(reader.integer("TTL"));
    std::int64_t wanted = reader.integer("ID");
    if (!reader.status().ok())
        return reader.status();
    auto id = m_state.grantLease(wanted, timeToLive, m_scheduler.clock().now());
    if (!id.ok())
        return id.status();
    return leaseAnswer(m_state.revision(), *id, timeToLive);
}

// The published interface renews over a stream, and says of a lapsed lease
// that its time to live is zero, which proto3 JSON leaves out.
StoreService::Answer StoreService::keepAlive(const nlohmann::json& document)
{
    JsonReader reader(document);
    std::int64_t id = reader.integer("ID");
    if (!reader.status().ok())
        return reader.status();
    auto timeToLive = m_state.keepAlive(id, m_scheduler.clock().now());
    return nlohmann::json { { "result", leaseAnswer(m_state.revision(), id, timeToLive.value_or(std::chrono::seconds(0))) } };
}

StoreService::Answer StoreService::revoke(const nlohmann::json& document)
{
    JsonReader reader(document);
    std::int64_t id = reader.integer("ID");
    if (!reader.status().ok())
        return reader.status();
    if (absl::Status status = m_state.revokeLease(id); !status.ok())
        return status;
    return nlohmann::json { { "header", storeHeader(m_state.revision()) } };
}

StoreService::Answer StoreService::timeToLive(const nlohmann::json& document)
{
    JsonReader reader(document);
    std::int64_t id = reader.integer("ID");
    bool withKeys = reader.flag("keys");
    if (!reader.status().ok())
        return reader.status();
    auto status = m_state.leaseStatus(id, m_scheduler.clock().now());
    if (!status.ok())
        return leaseAnswer(m_state.revision(), id, std::chrono::seconds(lapsedTimeToLive));
    nlohmann::json result = leaseAnswer(m_state.revision(), id, status->left);
    result["grantedTTL"] = absl::StrCat(status->granted.count());
    if (!withKeys || status->keys.empty())
        return result;
    nlohmann::json keys = nlohmann::json::array();
    for (const std::string& key : status->keys)
        keys.push_back(absl::Base64Escape(key));
    result["keys"] = std::move(keys);
    return result;
}

static void writeResult(HttpResponder& responder, const nlohmann::json& result)
{
    responder.write(nlohmann::json { { "result", result } }.dump() + "\n");
}

void StoreService::watch(const StandinCall& call, const nlohmann::json& document)
{
    auto request = parseWatch(document);
    if (!request.ok()) {
        sendError(*call.responder, request.status());
        return;
    }
    call.responder->sendHead({ 200, { { "content-type", "application/json" } } });
    startWatch(*request, call.responder);
}

void StoreService::startWatch(const WatchRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    writeResult(*responder, { { "header", storeHeader(m_state.revision()) }, { "created", true } });
    bool withPrevious = request.returnPrevious;
    auto sink = [responder, withPrevious](std::int64_t revision, const std::vector<KeyEvent>& events) {
        nlohmann::json list = nlohmann::json::array();
        for (const KeyEvent& event : events)
            list.push_back(toJson(event, withPrevious));
        writeResult(*responder, { { "header", storeHeader(revision) }, { "events", std::move(list) } });
    };
    auto id = m_state.watch(request.range, request.startRevision, std::move(sink));
    if (!id.ok()) {
        writeResult(*responder, { { "header", storeHeader(m_state.revision()) }, { "canceled", true }, { "compact_revision", absl::StrCat(m_state.compactedRevision()) }, { "cancel_reason", std::string(id.status().message()) } });
        responder->finish();
        return;
    }
    if (!responder->isOpen()) {
        m_state.cancelWatch(*id);
        return;
    }
    responder->onClosed([this, watchId = *id, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock())
            m_state.cancelWatch(watchId);
    });
}

void StoreService::sendError(HttpResponder& responder, const absl::Status& status) const
{
    sendJson(responder, httpStatusOf(status), toJson(status));
}

std::unique_ptr<StandinService> makeStoreService(Scheduler& scheduler, ExecutionLog& log, StoreLimits limits)
{
    return std::make_unique<StoreService>(scheduler, log, limits);
}

} // namespace catkinwing::standin
