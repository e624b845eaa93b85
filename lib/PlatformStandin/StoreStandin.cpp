#include "catkinwing/PlatformStandin/StoreStandin.h"

#include "catkinwing/Standin/JsonReader.h"
#include "catkinwing/Standin/LeaseExpiry.h"
#include "platform/QueryString.h"
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace catkinwing::platform {

using namespace standin;
using std::chrono::milliseconds;
using Query = std::map<std::string, std::string>;

static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusNotFound = 404;
static constexpr int statusGone = 410;
static constexpr int statusConditionFailed = 412;
static constexpr int statusUnavailable = 503;
/// Items of one page of a listing: few, so that callers meet several pages.
static constexpr std::int64_t pageItems = 50;
static constexpr const char* eraField = "Store-Era";
static constexpr absl::string_view renewalPath = "/kv-keep/";
static constexpr absl::string_view leaseEndPath = "/kv-lease-end/";

namespace {

    /// A watch that waits for its first event.
    struct WaitingWatch {
        std::shared_ptr<HttpResponder> responder;
        WatchId watch { 0 };
        TimerId timer { 0 };
        nlohmann::json events = nlohmann::json::array();
        bool isAnswered { false };
    };

    class StoreStandinImpl final : public StoreStandin {
    public:
        StoreStandinImpl(Scheduler& scheduler, ExecutionLog& log, StoreLimits limits)
            : m_scheduler(scheduler)
            , m_log(log)
            , m_state(limits)
        {
        }

        void handle(StandinCall call) override;
        void refuse(const HttpRequest& request, HttpResponder& responder) const override;
        std::string kindOf(const HttpRequest& request) const override;
        bool isLogged(const HttpRequest& request) const override { return request.method != "GET"; }
        bool handleControl(const HttpRequest& request, HttpResponder& responder) override;
        void addCounters(nlohmann::json& counters) const override;

        Copy takeCopy() override;
        void restore(const Copy& copy) override;
        std::int64_t era() const override { return m_era; }

    private:
        struct Answer {
            int status { statusOk };
            nlohmann::json body = nlohmann::json::object();
        };

        Answer read(const std::string& path, const Query& query);
        Answer write(const StandinCall& call);
        Answer item(const std::string& key);
        Answer page(const std::string& prefix, const std::string& after);
        Answer transaction(const nlohmann::json& document);
        Answer grant(const nlohmann::json& document);
        Answer renew(std::int64_t lease);
        Answer endLease(std::int64_t lease);
        RangeResult range(RangeRequest request);
        void watch(const std::shared_ptr<HttpResponder>& responder, const Query& query);
        void finish(const std::shared_ptr<WaitingWatch>& waiting);
        /// Marks \p waiting as answered; returns false if it was before.
        bool conclude(WaitingWatch& waiting);
        /// Sends \p body with the era.
        void respond(HttpResponder& responder, int status, const nlohmann::json& body) const;
        void restoreNumbered(const HttpRequest& request, HttpResponder& responder);

        Scheduler& m_scheduler;
        ExecutionLog& m_log;
        StoreState m_state;
        LeaseExpiry m_expiry { m_scheduler, m_state };
        std::int64_t m_era { 1 };
        std::vector<std::weak_ptr<WaitingWatch>> m_waiting;
        /// Copies taken over HTTP.
        std::vector<Copy> m_copies;
        std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    };

} // namespace

/// Every key that begins with \p prefix; the end is the first that doesn't.
static KeyRange keysBelow(const std::string& prefix)
{
    std::string end = prefix;
    while (!end.empty() && end.back() == '\xff')
        end.pop_back();
    if (end.empty())
        return { prefix.empty() ? std::string(1, '\0') : prefix, std::string(1, '\0') };
    ++end.back();
    return { prefix, end };
}

static nlohmann::json itemOf(const KeyValue& value)
{
    return { { "key", value.key }, { "value", absl::Base64Escape(value.value) }, { "revision", value.modRevision },
        { "created_rev", value.createRevision }, { "lease", value.lease } };
}

static nlohmann::json eventOf(const KeyEvent& event)
{
    if (!event.isDeletion)
        return itemOf(event.current);
    return { { "key", event.current.key }, { "revision", event.current.modRevision }, { "deleted", true } };
}

static std::string textOf(const Query& query, const char* name)
{
    auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

static std::int64_t numberIn(absl::string_view text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

void StoreStandinImpl::handle(StandinCall call)
{
    m_expiry.run();
    const HttpRequest& request = call.request;
    if (request.method == "GET" && request.path == "/kv-watch") {
        watch(call.responder, readQuery(request.query));
        return;
    }
    Answer answer = request.method == "GET" ? read(request.path, readQuery(request.query)) : write(call);
    respond(*call.responder, answer.status, answer.body);
    m_expiry.run();
}

// Of this answer the store's clients know that nothing was done.
void StoreStandinImpl::refuse(const HttpRequest&, HttpResponder& responder) const
{
    respond(responder, statusUnavailable, nlohmann::json::object());
}

void StoreStandinImpl::respond(HttpResponder& responder, int status, const nlohmann::json& body) const
{
    sendJson(responder, status, body, { { eraField, absl::StrCat(m_era) } });
}

StoreStandin::Copy StoreStandinImpl::takeCopy()
{
    m_expiry.run();
    return m_state.takeCopy(m_scheduler.clock().now());
}

void StoreStandinImpl::restore(const Copy& copy)
{
    for (const auto& weak : std::exchange(m_waiting, {})) {
        auto waiting = weak.lock();
        if (waiting && conclude(*waiting))
            waiting->responder->abort();
    }
    m_state.restore(copy, m_scheduler.clock().now());
    ++m_era;
    m_expiry.run();
}

bool StoreStandinImpl::handleControl(const HttpRequest& request, HttpResponder& responder)
{
    if (request.method != "POST")
        return false;
    if (request.path == "/standin/copy") {
        m_copies.push_back(takeCopy());
        sendJson(responder, statusOk, { { "copy", m_copies.size() } });
        return true;
    }
    if (request.path != "/standin/restore")
        return false;
    restoreNumbered(request, responder);
    return true;
}

void StoreStandinImpl::restoreNumbered(const HttpRequest& request, HttpResponder& responder)
{
    auto document = parseJsonObject(request.body);
    std::int64_t number = document.ok() ? JsonReader(*document).integer("copy") : 0;
    if (number < 1 || static_cast<std::size_t>(number) > m_copies.size()) {
        sendJson(responder, statusBadRequest, { { "error", "no such copy" } });
        return;
    }
    restore(m_copies[static_cast<std::size_t>(number) - 1]);
    sendJson(responder, statusOk, { { "era", m_era } });
}

std::string StoreStandinImpl::kindOf(const HttpRequest& request) const
{
    for (absl::string_view path : { renewalPath, leaseEndPath }) {
        if (absl::StartsWith(request.path, path))
            return std::string(path.substr(1, path.size() - 2));
    }
    return request.path.substr(std::min<std::size_t>(1, request.path.size()));
}

void StoreStandinImpl::addCounters(nlohmann::json& counters) const
{
    counters["open_watches"] = m_state.watchCount();
    counters["revision"] = m_state.revision();
    counters["era"] = m_era;
}

StoreStandinImpl::Answer StoreStandinImpl::read(const std::string& path, const Query& query)
{
    if (path == "/kv-key")
        return item(textOf(query, "key"));
    if (path == "/kv-range")
        return page(textOf(query, "prefix"), textOf(query, "after"));
    return { statusNotFound };
}

StoreStandinImpl::Answer StoreStandinImpl::write(const StandinCall& call)
{
    const HttpRequest& request = call.request;
    m_log.record(call.identity, ExecutionEvent::Started);
    Answer answer { statusNotFound };
    auto document = parseJsonObject(request.body);
    if (!document.ok())
        answer.status = statusBadRequest;
    else if (request.path == "/kv-txn")
        answer = transaction(*document);
    else if (request.path == "/kv-lease")
        answer = grant(*document);
    else if (absl::StartsWith(request.path, renewalPath))
        answer = renew(numberIn(absl::string_view(request.path).substr(renewalPath.size())));
    else if (absl::StartsWith(request.path, leaseEndPath))
        answer = endLease(numberIn(absl::string_view(request.path).substr(leaseEndPath.size())));
    m_log.record(call.identity, ExecutionEvent::Finished, { { "status", answer.status }, { "revision", m_state.revision() } });
    return answer;
}

RangeResult StoreStandinImpl::range(RangeRequest request)
{
    TransactionRequest transaction;
    transaction.success.emplace_back(std::move(request));
    auto result = m_state.run(transaction);
    return result.ok() ? std::get<RangeResult>(result->results.front()) : RangeResult();
}

StoreStandinImpl::Answer StoreStandinImpl::item(const std::string& key)
{
    RangeResult found = range({ { key, "" } });
    if (found.values.empty())
        return { statusNotFound, { { "current_rev", m_state.revision() } } };
    nlohmann::json body = itemOf(found.values.front());
    body["current_rev"] = m_state.revision();
    return { statusOk, std::move(body) };
}

StoreStandinImpl::Answer StoreStandinImpl::page(const std::string& prefix, const std::string& after)
{
    KeyRange keys = keysBelow(prefix);
    if (!after.empty())
        keys.key = after + '\0';
    RangeResult found = range({ keys, pageItems });
    nlohmann::json items = nlohmann::json::array();
    for (const KeyValue& value : found.values)
        items.push_back(itemOf(value));
    return { statusOk, { { "items", std::move(items) }, { "truncated", found.more }, { "current_rev", m_state.revision() } } };
}

/// Calls \p read with a reader of each object of the list called \p name.
template <typename Read>
static absl::Status readRows(const nlohmann::json& document, const char* name, Read read)
{
    JsonReader reader(document);
    const nlohmann::json* rows = reader.array(name);
    if (!rows)
        return reader.status();
    for (const nlohmann::json& row : *rows) {
        if (!row.is_object())
            return absl::InvalidArgumentError(absl::StrCat(name, " holds what is no object"));
        JsonReader fields(row);
        read(fields);
        if (!fields.status().ok())
            return fields.status();
    }
    return absl::OkStatus();
}

static absl::StatusOr<TransactionRequest> readTransaction(const nlohmann::json& document)
{
    TransactionRequest request;
    absl::Status status = readRows(document, "expect", [&request](JsonReader& row) {
        request.comparisons.push_back({ row.text("key"), CompareTarget::ModRevision, CompareResult::Equal, row.integer("revision"), "" });
    });
    status.Update(readRows(document, "puts", [&request](JsonReader& row) {
        request.success.emplace_back(PutRequest { row.text("key"), row.bytes("value"), row.integer("lease") });
    }));
    JsonReader reader(document);
    for (std::string& key : reader.texts("deletes"))
        request.success.emplace_back(DeleteRequest { { std::move(key), "" } });
    status.Update(reader.status());
    if (!status.ok())
        return status;
    return request;
}

StoreStandinImpl::Answer StoreStandinImpl::transaction(const nlohmann::json& document)
{
    absl::StatusOr<TransactionRequest> request = readTransaction(document);
    if (!request.ok())
        return { statusBadRequest };
    auto result = m_state.run(*request);
    if (absl::IsNotFound(result.status()))
        return { statusNotFound };
    if (!result.ok())
        return { statusBadRequest, { { "error", std::string(result.status().message()) } } };
    if (result->succeeded)
        return { statusOk, { { "revision", result->revision } } };
    nlohmann::json items = nlohmann::json::array();
    for (const Comparison& comparison : request->comparisons) {
        for (const KeyValue& value : range({ { comparison.key, "" } }).values)
            items.push_back(itemOf(value));
    }
    return { statusConditionFailed, { { "items", std::move(items) } } };
}

StoreStandinImpl::Answer StoreStandinImpl::grant(const nlohmann::json& document)
{
    JsonReader reader(document);
    milliseconds asked(reader.integer("ttl_ms"));
    // The state counts whole seconds; a longer lease than asked for is allowed.
    auto granted = std::chrono::ceil<std::chrono::seconds>(asked);
    auto lease = m_state.grantLease(0, granted, m_scheduler.clock().now());
    if (!lease.ok())
        return { statusBadRequest };
    return { statusOk, { { "lease", *lease }, { "ttl_ms", milliseconds(granted).count() } } };
}

StoreStandinImpl::Answer StoreStandinImpl::renew(std::int64_t lease)
{
    auto timeToLive = m_state.keepAlive(lease, m_scheduler.clock().now());
    if (!timeToLive.ok())
        return { statusNotFound };
    return { statusOk, { { "ttl_ms", milliseconds(*timeToLive).count() } } };
}

StoreStandinImpl::Answer StoreStandinImpl::endLease(std::int64_t lease)
{
    return { m_state.revokeLease(lease).ok() ? statusOk : statusNotFound };
}

void StoreStandinImpl::watch(const std::shared_ptr<HttpResponder>& responder, const Query& query)
{
    std::int64_t after = numberIn(textOf(query, "after"));
    if (after > m_state.revision()) {
        respond(*responder, statusGone, nlohmann::json::object());
        return;
    }
    auto waiting = std::make_shared<WaitingWatch>();
    waiting->responder = responder;
    auto sink = [this, weak = std::weak_ptr<WaitingWatch>(waiting)](std::int64_t, const std::vector<KeyEvent>& events) {
        auto watch = weak.lock();
        if (!watch)
            return;
        for (const KeyEvent& event : events)
            watch->events.push_back(eventOf(event));
        if (watch->watch != 0)
            finish(watch);
    };
    auto id = m_state.watch(keysBelow(textOf(query, "prefix")), after + 1, std::move(sink));
    if (!id.ok()) {
        respond(*responder, statusGone, nlohmann::json::object());
        return;
    }
    waiting->watch = *id;
    if (!waiting->events.empty()) {
        finish(waiting);
        return;
    }
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), [](const auto& weak) { return weak.expired(); }), m_waiting.end());
    m_waiting.push_back(waiting);
    // The timer keeps the watch; the answer, which the watch holds, must not.
    waiting->timer = m_scheduler.callAfter(milliseconds(numberIn(textOf(query, "wait_ms"))), [this, waiting, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock())
            finish(waiting);
    });
    responder->onClosed([this, weak = std::weak_ptr<WaitingWatch>(waiting), alive = std::weak_ptr<bool>(m_alive)] {
        auto watch = weak.lock();
        if (watch && alive.lock())
            finish(watch);
    });
}

bool StoreStandinImpl::conclude(WaitingWatch& waiting)
{
    if (std::exchange(waiting.isAnswered, true))
        return false;
    m_scheduler.cancel(waiting.timer);
    m_state.cancelWatch(waiting.watch);
    return true;
}

void StoreStandinImpl::finish(const std::shared_ptr<WaitingWatch>& waiting)
{
    if (conclude(*waiting))
        respond(*waiting->responder, statusOk, { { "events", waiting->events }, { "current_rev", m_state.revision() } });
}

std::unique_ptr<StoreStandin> makeStoreStandin(Scheduler& scheduler, ExecutionLog& log, StoreLimits limits)
{
    return std::make_unique<StoreStandinImpl>(scheduler, log, limits);
}

} // namespace catkinwing::platform
