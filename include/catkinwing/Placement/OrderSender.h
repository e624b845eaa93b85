#pragma once

#include "catkinwing/Placement/EndpointAdmin.h"
#include "catkinwing/Placement/OrderPermission.h"
#include <memory>

namespace catkinwing {

/// Settings of a sender.
struct OrderSenderOptions {
    /// Each endpoint's state is read back and compared this often.
    std::chrono::milliseconds reconcileEvery { 5'000 };
    /// Pause after an order before its effect is read back.
    std::chrono::milliseconds readBackAfter { 500 };
    /// An order whose effect doesn't show is sent again after this; loading
    /// takes its time.
    std::chrono::milliseconds resendAfter { 15'000 };
    /// Endpoints worked on at the same time.
    std::size_t maxInFlight { 8 };
    /// Decides whether an order may be sent.
    OrderPermission (*permission)(const OrderContext&) { orderPermission };
};

/// Counts since the start of the process.
struct OrderCounters {
    std::uint64_t sent { 0 };
    std::uint64_t accepted { 0 };
    std::uint64_t staleFencing { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t failedReads { 0 };
    /// Orders held back because the lease could not be relied on.
    std::uint64_t heldBackNoLease { 0 };
    /// Orders held back because an earlier holder's might still take effect.
    std::uint64_t heldBackTooEarly { 0 };
};

/// How an endpoint stands to its desired state.
enum class OrderProgress {
    /// Nothing is desired of it.
    None,
    Pending,
    /// Read back as desired.
    InSync,
};

/// Brings endpoints to their desired states while the lease is held: reads the
/// state of each, sends an order if it differs, and reads back. Works on one endpoint
/// by one call at a time. An order whose answer was lost is settled by reading
/// the state and sending the same again. A new holder orders each endpoint that
/// honours fencing once even if nothing differs, so that older numbers are
/// refused from then on.
class OrderSender {
public:
    /// All arguments must outlive the sender.
    OrderSender(EndpointAdmin& admin, LeaseKeeper& lease, Scheduler& scheduler, OrderSenderOptions options);
    ~OrderSender();
    OrderSender(const OrderSender&) = delete;
    OrderSender& operator=(const OrderSender&) = delete;

    /// Takes over the endpoints that there are; others are forgotten.
    void setEndpoints(const std::vector<OrderedEndpoint>& endpoints);
    /// Sets what \p endpoint is to have. It is ordered under the lease that is
    /// held now and no later one; returns false if none is held.
    bool setDesired(const std::string& endpoint, const DesiredState& desired);

    /// Returns what \p endpoint was set to have under the lease that is held now.
    std::optional<DesiredState> desired(const std::string& endpoint) const;

    OrderProgress progress(const std::string& endpoint) const;
    /// Returns the state last read from \p endpoint under the lease that is held now.
    std::optional<ReportedState> lastState(const std::string& endpoint) const;
    /// Returns the names of the endpoints that take orders from anyone.
    std::vector<std::string> uncheckedEndpoints() const;
    const OrderCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
