#pragma once

#include "catkinwing/Gateway/CallerApi.h"
#include "catkinwing/Gateway/FaultInjection.h"
#include "catkinwing/Gateway/PeerLink.h"
#include "catkinwing/Membership/Membership.h"

namespace catkinwing {

/// The interface for other entries: control messages and forwarded requests.
class PeerApi {
public:
    /// All references must outlive this.
    PeerApi(Membership& membership, ConfigKeeper& config, KeyedRequests& keyed, CallerApi& callers, PeerLink& link, const LinkFaults& faults);
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

private:
    PeerReply reply(const PeerMessage& message);

    Membership& m_membership;
    ConfigKeeper& m_config;
    KeyedRequests& m_keyed;
    CallerApi& m_callers;
    PeerLink& m_link;
    const LinkFaults& m_faults;
};

} // namespace catkinwing
