#pragma once

#include "catkinwing/Placement/PlacementTypes.h"
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
    virtual void readState(const OrderedEndpoint& endpoint, std::function<void(absl::StatusOr<ReportedState>)> done) = 0;
};

} // namespace catkinwing
