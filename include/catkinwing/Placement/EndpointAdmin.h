#pragma once

#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Placement/PlacementTypes.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/status/statusor.h>
#include <functional>

namespace catkinwing {

/// What became of an order.
enum class OrderOutcome {
    Accepted,
    /// The endpoint has obeyed a higher fencing number.
    StaleFencing,
    /// The endpoint said no for another reason.
    Refused,
    /// The order certainly did not reach the endpoint.
    NotSent,
    /// The answer was lost; the order may take effect.
    Unknown,
};

/// An order as it is sent.
struct Order {
    std::int64_t fencing { 0 };
    DesiredState desired;
};

/// The admin interface of endpoints. Callbacks run later, on the loop.
class EndpointAdmin {
public:
    virtual ~EndpointAdmin() = default;
    virtual void sendOrder(const OrderedEndpoint& endpoint, const Order& order, std::function<void(OrderOutcome)> done) = 0;
    virtual void readState(const OrderedEndpoint& endpoint, std::function<void(absl::StatusOr<EndpointState>)> done) = 0;
};

/// Settings of the HTTP client of the admin interface.
struct HttpEndpointAdminOptions {
    std::string callerName;
    /// Sent as a bearer token to endpoints that check their caller; may be empty.
    std::string token;
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds callTimeout { 3'000 };
};

/// Admin interface over HTTP: POST /admin/orders and GET /admin/state.
class HttpEndpointAdmin final : public EndpointAdmin {
public:
    /// \p http and \p scheduler must outlive it.
    HttpEndpointAdmin(HttpClient& http, Scheduler& scheduler, HttpEndpointAdminOptions options);
    void sendOrder(const OrderedEndpoint& endpoint, const Order& order, std::function<void(OrderOutcome)> done) override;
    void readState(const OrderedEndpoint& endpoint, std::function<void(absl::StatusOr<EndpointState>)> done) override;

private:
    HttpClientRequest request(const OrderedEndpoint& endpoint) const;

    HttpClient& m_http;
    Scheduler& m_scheduler;
    HttpEndpointAdminOptions m_options;
};

} // namespace catkinwing
