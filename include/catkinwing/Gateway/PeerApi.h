#pragma once

#include "catkinwing/Gateway/CallerApi.h"
#include "catkinwing/Gateway/FaultInjection.h"
#include "catkinwing/Gateway/ForwardedClaims.h"
#include "catkinwing/Gateway/PeerLink.h"
#include "catkinwing/Membership/Membership.h"

namespace catkinwing {

/// The interface for other entries: control messages and forwarded requests.
class PeerApi {
public:
    /// All references must outlive this.
    PeerApi(Membership& membership, ConfigKeeper& config, KeyedRequests& keyed, CallerApi& callers, PeerLink& link, Scheduler& scheduler, const LinkFaults& faults);
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

private:
    struct OpenBatch;

    PeerReply reply(const PeerMessage& message);
    void settle(const std::shared_ptr<OpenBatch>& batch, std::size_t place, const PeerReply& reply);

    Membership& m_membership;
    ConfigKeeper& m_config;
    KeyedRequests& m_keyed;
    CallerApi& m_callers;
    PeerLink& m_link;
    const LinkFaults& m_faults;
    ForwardedClaims m_claims;
};

} // namespace catkinwing
