#include "catkinwing/Gateway/AttemptRequest.h"

#include "catkinwing/Dispatch/SseSplicer.h"
#include "catkinwing/Gateway/ApiError.h"
#include "catkinwing/Gateway/CallerRequest.h"
#include "catkinwing/Gateway/PeerLink.h"
#include "catkinwing/PeerProtocol/ForwardStamp.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace catkinwing {

static constexpr std::chrono::milliseconds connectTimeout { 1'000 };
/// Engines send a token each few dozen milliseconds; a stream silent for this
/// long is taken for cut.
static constexpr std::chrono::milliseconds streamIdleTimeout { 15'000 };
/// Priorities of configuration grow with urgency, those of engines fall.
static constexpr int lowestEnginePriority = 100;

static HttpClientRequest commonRequest(const AcceptedRequest& request, const AttemptContext& context)
{
    HttpClientRequest sent;
    sent.method = request.http.method;
    sent.headers = headersToPassOn(request.http.headers);
    sent.body = request.http.body;
    sent.connectTimeout = std::min(connectTimeout, context.timeLeft);
    sent.headTimeout = context.timeLeft;
    sent.idleTimeout = std::min(streamIdleTimeout, context.timeLeft);
    // On a connection that was idle, the server's close could cross the request
    // and leave its outcome unknown.
    sent.freshConnection = !request.traits.isIdempotent;
    sent.headers.set(fromHeader, context.self.name);
    sent.headers.set(requestIdHeader, request.id);
    return sent;
}

HttpClientRequest endpointRequest(const AcceptedRequest& request, const EndpointSettings& endpoint, const AttemptContext& context)
{
    HttpClientRequest sent = commonRequest(request, context);
    sent.server = endpoint.address;
    sent.target = request.endpointTarget;
    sent.headers.set("Catkinwing-Team", request.team);
    sent.headers.set("Catkinwing-Attempt", absl::StrCat(context.attempt));
    if (!request.idempotencyKey.empty())
        sent.headers.set("Idempotency-Key", request.idempotencyKey);
    if (endpoint.capabilities.priority)
        sent.headers.set("Catkinwing-Priority", absl::StrCat(std::max(0, lowestEnginePriority - request.requestClass.priority)));
    if (context.resumeFrom > 0)
        sent.headers.set(resumeFromHeader, absl::StrCat(context.resumeFrom));
    return sent;
}

HttpClientRequest forwardRequest(const AcceptedRequest& request, const ForwardTarget& target, const AttemptContext& context)
{
    HttpClientRequest sent = commonRequest(request, context);
    sent.server = target.peerAddress;
    sent.echoedField = requestIdHeader;
    sent.target = absl::StrCat(peerForwardPrefix, request.http.path);
    if (!request.http.query.empty())
        absl::StrAppend(&sent.target, "?", request.http.query);
    ForwardStamp stamp;
    stamp.origin = context.self;
    stamp.originZone = context.ownZone;
    stamp.requestId = request.id;
    stamp.attempt = context.attempt;
    stamp.hop = request.routing.hop + 1;
    // Another entry of the own zone is asked only for what it alone may answer;
    // the place visited is this entry then, and not the whole zone.
    stamp.visited.push_back(context.ownZone == target.zone ? context.self.name : context.ownZone);
    for (const std::string& zone : request.routing.visitedZones) {
        if (zone != context.ownZone && zone != target.zone)
            stamp.visited.push_back(zone);
    }
    stamp.team = request.team;
    stamp.residency = context.residency.regions;
    stamp.requestClass = request.requestClass.name;
    stamp.timeLeft = context.timeLeft;
    stamp.teamRevision = request.teamRevision;
    if (request.claim)
        stamp.claimId = claimIdText(*request.claim);
    for (const StampHeader& header : encodeStamp(stamp))
        sent.headers.set(header.name, header.value);
    if (!request.idempotencyKey.empty())
        sent.headers.set("Idempotency-Key", request.idempotencyKey);
    if (!request.session.empty())
        sent.headers.set("Catkinwing-Session", request.session);
    return sent;
}

std::string claimIdText(const ClaimId& id)
{
    return absl::StrCat(id.entry, "/", id.incarnation, "/", id.serial);
}

std::optional<ClaimId> parseClaimId(const std::string& text)
{
    std::vector<std::string> parts = absl::StrSplit(text, '/');
    ClaimId id;
    constexpr std::size_t fields = 3;
    if (parts.size() != fields || !absl::SimpleAtoi(parts[1], &id.incarnation) || !absl::SimpleAtoi(parts[2], &id.serial))
        return std::nullopt;
    id.entry = parts[0];
    return id;
}

} // namespace catkinwing
