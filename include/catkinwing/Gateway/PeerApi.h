#pragma once

#include "catkinwing/Gateway/CallerApi.h"
#include "catkinwing/Gateway/FaultInjection.h"
#include "catkinwing/Gateway/ForwardedClaims.h"
#include "catkinwing/Gateway/PeerLink.h"
#include "catkinwing/Membership/Membership.h"
#include "catkinwing/Reporting/Metrics.h"

namespace catkinwing {

/// How an entry knows who speaks on its peers' address.
enum class PeerProof {
    /// It doesn't; the address speaks plain text.
    None,
    /// The common name of the peer's certificate is the name it speaks in.
    CertificateName,
};

/// The interface for other entries: control messages and forwarded requests.
class PeerApi {
public:
    /// All references must outlive this.
    PeerApi(Membership& membership, ConfigKeeper& config, KeyedRequests& keyed, CallerApi& callers, PeerLink& link, Scheduler& scheduler, const LinkFaults& faults, Metrics& metrics, PeerProof proof);
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

private:
    struct OpenBatch;

    bool speaksInOwnName(const HttpRequest& request) const;
    PeerReply reply(const PeerMessage& message);
    void settle(const std::shared_ptr<OpenBatch>& batch, std::size_t place, const PeerReply& reply);

    Membership& m_membership;
    ConfigKeeper& m_config;
    KeyedRequests& m_keyed;
    CallerApi& m_callers;
    PeerLink& m_link;
    const LinkFaults& m_faults;
    Metrics& m_metrics;
    PeerProof m_proof;
    ForwardedClaims m_claims;
};

} // namespace catkinwing
