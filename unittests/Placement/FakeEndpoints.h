#pragma once

#include "catkinwing/Placement/EndpointAdmin.h"
#include "catkinwing/Support/Scheduler.h"
#include <deque>
#include <memory>

namespace catkinwing {

/// What goes wrong with one order to a fake endpoint.
enum class OrderFault {
    None,
    LostRequest,
    LostAnswer,
    /// The caller gives up first; the order arrives after lateBy.
    Late,
};

/// An order that an endpoint obeyed.
struct ObeyedOrder {
    std::string endpoint;
    std::string sender;
    Order order;
};

/// Endpoints in memory with a log of the orders they obeyed.
class FakeEndpoints {
public:
    explicit FakeEndpoints(Scheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }

    /// Returns the admin interface as \p sender has it, whose callbacks run on \p scheduler.
    std::unique_ptr<EndpointAdmin> clientOn(Scheduler& scheduler, std::string sender);

    std::map<std::string, ReportedState> states;
    std::vector<ObeyedOrder> obeyed;
    std::deque<OrderFault> faults;
    Duration latency { std::chrono::milliseconds(200) };
    Duration callTimeout { std::chrono::seconds(3) };
    Duration lateBy { std::chrono::seconds(5) };

private:
    class Client;

    OrderOutcome obey(const OrderedEndpoint& endpoint, const std::string& sender, const Order& order);
    void receive(const OrderedEndpoint& endpoint, const std::string& sender, const Order& order, const std::function<void(OrderOutcome)>& done);

    Scheduler& m_scheduler;
};

} // namespace catkinwing
