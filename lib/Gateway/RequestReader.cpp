#include "catkinwing/Gateway/RequestReader.h"

#include "catkinwing/Gateway/AttemptRequest.h"
#include "catkinwing/Support/PrefixHash.h"
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

static constexpr std::size_t maxIdempotencyKeyBytes = 256;

static ApiError bodyTooLarge(const TeamDocument& team)
{
    ApiError error;
    error.status = 413;
    error.code = "body_too_large";
    error.message = absl::StrCat("the body is longer than the ", team.limits.maximumBodyBytes, " bytes that team '", team.name, "' may send");
    return error;
}

static std::optional<ApiError> fillModelCall(AcceptedRequest& accepted, CallerRoute route, const CallerIdentity& identity)
{
    if (accepted.http.method != "POST") {
        ApiError error;
        error.status = 405;
        error.code = "method_not_allowed";
        error.message = absl::StrCat("path ", accepted.http.path, " takes POST only");
        return error;
    }
    auto parsed = parseModelCall(route, accepted.http.body);
    if (ApiError* error = std::get_if<ApiError>(&parsed))
        return *error;
    ModelCall& call = std::get<ModelCall>(parsed);
    if (std::optional<ApiError> error = resolveModel(*identity.snapshot, *identity.team, call))
        return error;
    const ModelDocument& model = *findModel(*identity.snapshot, call.model);
    accepted.isModelCall = true;
    accepted.endpointTarget = accepted.http.path;
    accepted.outputWeight = model.outputWeight;
    accepted.traits.isStreaming = call.isStreaming;
    accepted.traits.isIdempotent = accepted.idempotencyKey.empty();
    RoutingRequest& routing = accepted.routing;
    routing.model = call.model;
    routing.adapter = call.adapter;
    routing.promptTokens = call.promptTokens;
    for (const std::string& segment : call.segments)
        accepted.promptSegments.push_back(absl::StrCat(call.model, ":", segment));
    routing.prefixHashes = scopedPrefixHashes(prefixHashes(call.prompt), call.model, call.adapter);
    double expected = static_cast<double>(accepted.requestClass.expectedOutputTokens.value_or(model.defaultExpectedOutputTokens));
    accepted.expectedOutputTokens = std::min(expected, call.maximumOutputTokens.value_or(expected));
    return std::nullopt;
}

static std::optional<ApiError> fillServiceCall(AcceptedRequest& accepted, const CallerIdentity& identity)
{
    auto parsed = parseServiceCall(*identity.team, accepted.http);
    if (ApiError* error = std::get_if<ApiError>(&parsed))
        return *error;
    const ServiceCall& call = std::get<ServiceCall>(parsed);
    accepted.endpointTarget = call.target;
    accepted.traits.isIdempotent = call.isIdempotent && accepted.idempotencyKey.empty();
    accepted.routing.model = serviceModelName(call.service);
    return std::nullopt;
}

static void applyStamp(AcceptedRequest& accepted, const ForwardStamp& stamp)
{
    accepted.routing.hop = stamp.hop;
    accepted.routing.visitedZones = stamp.visited;
    if (!stamp.residency.empty())
        accepted.routing.residency = stricterOf(accepted.routing.residency, Residency::within(stamp.residency));
    accepted.caller = absl::StrCat("entry ", stamp.origin.name);
    if (stamp.claimId)
        accepted.claim = parseClaimId(*stamp.claimId);
}

std::variant<AcceptedRequest, ApiError> readRequest(HttpRequest request, const CallerIdentity& identity, const ReadContext& context)
{
    const TeamDocument& team = *identity.team;
    if (request.body.size() > static_cast<std::size_t>(team.limits.maximumBodyBytes))
        return bodyTooLarge(team);
    auto choice = chooseClass(team, request.headers);
    if (ApiError* error = std::get_if<ApiError>(&choice))
        return *error;
    const ClassChoice& chosen = std::get<ClassChoice>(choice);
    AcceptedRequest accepted;
    accepted.id = context.requestId;
    accepted.team = team.name;
    accepted.teamRevision = context.teamRevision;
    accepted.caller = identity.keyName;
    accepted.requestClass = *chosen.requestClass;
    accepted.arrivedAt = context.now;
    accepted.traits.deadline = context.now + chosen.timeout;
    if (context.stamp)
        accepted.traits.deadline = std::min(accepted.traits.deadline, context.now + context.stamp->timeLeft);
    if (const std::string* key = request.headers.find("Idempotency-Key"))
        accepted.idempotencyKey = *key;
    if (accepted.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        ApiError error;
        error.status = 400;
        error.code = "bad_idempotency_key";
        error.message = absl::StrCat("header Idempotency-Key is longer than ", maxIdempotencyKeyBytes, " bytes");
        return error;
    }
    if (const std::string* session = request.headers.find("Catkinwing-Session"))
        accepted.session = *session;
    accepted.routing.residency = residencyOf(team);
    CallerRoute route = routeOf(request.path);
    accepted.http = std::move(request);
    auto error = route == CallerRoute::Service ? fillServiceCall(accepted, identity) : fillModelCall(accepted, route, identity);
    if (error)
        return *error;
    accepted.traits.isKeyed = !accepted.idempotencyKey.empty();
    if (context.stamp)
        applyStamp(accepted, *context.stamp);
    return accepted;
}

} // namespace catkinwing
