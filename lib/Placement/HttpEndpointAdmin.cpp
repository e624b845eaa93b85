#include "catkinwing/Placement/HttpEndpointAdmin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace catkinwing {

using Json = nlohmann::json;

static constexpr int statusOk = 200;
static constexpr int statusConflict = 409;

static std::string orderBody(const Order& order)
{
    Json desired = { { "models", order.desired.models }, { "adapters", order.desired.adapters } };
    if (!order.desired.role.empty())
        desired["role"] = order.desired.role;
    return Json { { "fencing", order.fencing }, { "desired", desired } }.dump();
}

static OrderOutcome readOutcome(const ServerAnswer& answer)
{
    if (!answer.isComplete)
        return answer.mayHaveReachedServer ? OrderOutcome::Unknown : OrderOutcome::NotSent;
    constexpr int successClass = 2;
    constexpr int callerErrorClass = 4;
    int statusClass = answer.head.status / 100;
    if (answer.head.status == statusConflict)
        return OrderOutcome::StaleFencing;
    if (statusClass == successClass)
        return OrderOutcome::Accepted;
    return statusClass == callerErrorClass ? OrderOutcome::Refused : OrderOutcome::Unknown;
}

static bool readNames(const Json& object, const char* name, std::set<std::string>& names)
{
    auto field = object.find(name);
    if (field == object.end())
        return true;
    if (!field->is_array())
        return false;
    for (const auto& item : *field) {
        if (!item.is_string())
            return false;
        names.insert(item.get<std::string>());
    }
    return true;
}

static bool readText(const Json& object, const char* name, std::string& text)
{
    auto field = object.find(name);
    if (field == object.end() || field->is_null())
        return true;
    if (!field->is_string())
        return false;
    text = field->get<std::string>();
    return true;
}

static absl::StatusOr<ReportedState> readEndpointState(const ServerAnswer& answer)
{
    if (!answer.isComplete || answer.head.status != statusOk)
        return absl::UnavailableError("no state from the endpoint: " + answer.detail);
    Json body = Json::parse(answer.body, nullptr, false);
    ReportedState state;
    bool isRead = body.is_object() && body.contains("models") && readNames(body, "models", state.models)
        && readNames(body, "adapters", state.adapters) && readText(body, "role", state.role)
        && readText(body, "incarnation", state.incarnation);
    if (!isRead)
        return absl::UnavailableError("malformed state of the endpoint");
    auto fencing = body.find("fencing");
    if (fencing != body.end() && fencing->is_number_integer())
        state.fencing = fencing->get<std::int64_t>();
    return state;
}

HttpEndpointAdmin::HttpEndpointAdmin(HttpClient& http, Scheduler& scheduler, HttpEndpointAdminOptions options)
    : m_http(http)
    , m_scheduler(scheduler)
    , m_options(std::move(options))
{
}

ServerCall HttpEndpointAdmin::call(const OrderedEndpoint& endpoint) const
{
    ServerCall call;
    call.servers = { endpoint.admin };
    call.request.headers.add("catkinwing-from", m_options.callerName);
    if (endpoint.checksCaller && !m_options.token.empty())
        call.request.headers.add("authorization", "Bearer " + m_options.token);
    call.connectTimeout = m_options.connectTimeout;
    call.callTimeout = m_options.callTimeout;
    return call;
}

void HttpEndpointAdmin::sendOrder(const OrderedEndpoint& endpoint, const Order& order, std::function<void(OrderOutcome)> done)
{
    ServerCall orderCall = call(endpoint);
    orderCall.request.method = "POST";
    orderCall.request.target = "/admin/orders";
    orderCall.request.headers.add("content-type", "application/json");
    orderCall.request.body = orderBody(order);
    // The lease was checked for one attempt; another needs another check.
    orderCall.maxAttempts = 1;
    callServers(m_http, m_scheduler, std::move(orderCall), [done = std::move(done)](const ServerAnswer& answer) { done(readOutcome(answer)); });
}

void HttpEndpointAdmin::readState(const OrderedEndpoint& endpoint, std::function<void(absl::StatusOr<ReportedState>)> done)
{
    ServerCall read = call(endpoint);
    read.request.target = "/admin/state";
    read.isIdempotent = true;
    callServers(m_http, m_scheduler, std::move(read), [done = std::move(done)](const ServerAnswer& answer) { done(readEndpointState(answer)); });
}

} // namespace catkinwing
