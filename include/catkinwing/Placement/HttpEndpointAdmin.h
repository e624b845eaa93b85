#pragma once

#include "catkinwing/Coordination/ServerCall.h"
#include "catkinwing/Placement/EndpointAdmin.h"

namespace catkinwing {

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
    void readState(const OrderedEndpoint& endpoint, std::function<void(absl::StatusOr<ReportedState>)> done) override;

private:
    ServerCall call(const OrderedEndpoint& endpoint) const;

    HttpClient& m_http;
    Scheduler& m_scheduler;
    HttpEndpointAdminOptions m_options;
};

} // namespace catkinwing
