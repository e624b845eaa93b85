#pragma once

#include "catkinwing/Gateway/AcceptedRequest.h"
#include "catkinwing/Gateway/CallerRequest.h"
#include "catkinwing/PeerProtocol/ForwardStamp.h"
#include <optional>
#include <variant>

namespace catkinwing {

/// What reading a request needs besides the request.
struct ReadContext {
    /// Name of the request; from the stamp for a forwarded one.
    std::string requestId;
    TimePoint now;
    /// Revision of the team's document in force.
    std::int64_t teamRevision { 0 };
    /// Set for a request that another entry forwarded.
    std::optional<ForwardStamp> stamp;
};

/// Reads a model call or a call of a plain service and checks it against the
/// team's document. The caller has checked the residency before.
std::variant<AcceptedRequest, ApiError> readRequest(HttpRequest request, const CallerIdentity& identity, const ReadContext& context);

} // namespace catkinwing
