#pragma once

#include "catkinwing/Config/RegionDocument.h"
#include "catkinwing/Gateway/AcceptedRequest.h"
#include "catkinwing/Gateway/RemoteCells.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/PeerProtocol/PeerIdentity.h"

namespace catkinwing {

/// What an attempt adds to its request.
struct AttemptContext {
    /// Counts the attempts of the request.
    unsigned attempt { 0 };
    /// Event to resume a stream from; zero for the whole stream.
    std::uint64_t resumeFrom { 0 };
    std::chrono::milliseconds timeLeft { 0 };
    EntryRef self;
    std::string ownZone;
    /// Regions that may process the request, by the document in force.
    Residency residency;
};

/// Returns the request to send to an endpoint.
HttpClientRequest endpointRequest(const AcceptedRequest& request, const EndpointSettings& endpoint, const AttemptContext& context);
/// Returns the request to send to another entry, with its stamp.
HttpClientRequest forwardRequest(const AcceptedRequest& request, const ForwardTarget& target, const AttemptContext& context);

/// Returns the text form of a claim's id for stamps.
std::string claimIdText(const ClaimId& id);
/// Reads what claimIdText() wrote.
std::optional<ClaimId> parseClaimId(const std::string& text);

} // namespace catkinwing
