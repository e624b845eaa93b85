#include "FakeEndpoints.h"

#include <utility>

namespace catkinwing {

class FakeEndpoints::Client final : public EndpointAdmin {
public:
    Client(FakeEndpoints& endpoints, Scheduler& scheduler, std::string sender)
        : m_endpoints(endpoints)
        , m_scheduler(scheduler)
        , m_sender(std::move(sender))
    {
    }

    void sendOrder(const OrderedEndpoint& endpoint, const Order& order, std::function<void(OrderOutcome)> done) override
    {
        m_endpoints.receive(endpoint, m_sender, order, [this, done](OrderOutcome outcome) {
            m_scheduler.callAfter(Duration::zero(), [done, outcome] { done(outcome); });
        });
    }

    void readState(const OrderedEndpoint& endpoint, std::function<void(absl::StatusOr<ReportedState>)> done) override
    {
        m_endpoints.m_scheduler.callAfter(m_endpoints.latency, [this, name = endpoint.name, done] {
            ReportedState state = m_endpoints.states[name];
            m_scheduler.callAfter(Duration::zero(), [done, state] { done(state); });
        });
    }

private:
    FakeEndpoints& m_endpoints;
    Scheduler& m_scheduler;
    std::string m_sender;
};

std::unique_ptr<EndpointAdmin> FakeEndpoints::clientOn(Scheduler& scheduler, std::string sender)
{
    return std::make_unique<Client>(*this, scheduler, std::move(sender));
}

OrderOutcome FakeEndpoints::obey(const OrderedEndpoint& endpoint, const std::string& sender, const Order& order)
{
    ReportedState& state = states[endpoint.name];
    if (endpoint.honoursFencing && order.fencing < state.fencing)
        return OrderOutcome::StaleFencing;
    if (endpoint.honoursFencing)
        state.fencing = order.fencing;
    state.models = order.desired.models;
    state.adapters = order.desired.adapters;
    obeyed.push_back({ endpoint.name, sender, order });
    return OrderOutcome::Accepted;
}

void FakeEndpoints::receive(const OrderedEndpoint& endpoint, const std::string& sender, const Order& order, const std::function<void(OrderOutcome)>& done)
{
    OrderFault fault = OrderFault::None;
    if (!faults.empty()) {
        fault = faults.front();
        faults.pop_front();
    }
    if (fault == OrderFault::None) {
        m_scheduler.callAfter(latency, [this, endpoint, sender, order, done] { done(obey(endpoint, sender, order)); });
        return;
    }
    if (fault != OrderFault::LostRequest)
        m_scheduler.callAfter(fault == OrderFault::Late ? lateBy : latency, [this, endpoint, sender, order] { obey(endpoint, sender, order); });
    m_scheduler.callAfter(callTimeout, [done] { done(OrderOutcome::Unknown); });
}

} // namespace catkinwing
