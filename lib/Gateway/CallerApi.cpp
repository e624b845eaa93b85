#include "catkinwing/Gateway/CallerApi.h"

#include "catkinwing/Gateway/PeerLink.h"
#include "catkinwing/Support/Id.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

CallerApi::CallerApi(ApiParts parts)
    : m_parts(std::move(parts))
{
}

static ApiError simpleError(int status, std::string code, std::string message)
{
    ApiError error;
    error.status = status;
    error.code = std::move(code);
    error.message = std::move(message);
    return error;
}

std::int64_t CallerApi::revisionOf(const TeamDocument& team) const
{
    std::optional<TreeEntry> entry = m_parts.config.tree().find({ DocumentKind::Team, team.name });
    return entry ? entry->revision : 0;
}

void CallerApi::handle(HttpRequest request, const Responder& responder)
{
    std::string requestId = makeId(m_parts.random);
    std::shared_ptr<const ConfigSnapshot> snapshot = m_parts.config.snapshot();
    if (snapshot->teams.empty()) {
        ApiError error = simpleError(503, "not_ready", "this entry has no configuration yet");
        error.retryAfter = std::chrono::seconds(1);
        sendError(*responder, requestId, error);
        return;
    }
    auto identified = authenticate(snapshot, request.headers);
    if (const ApiError* error = std::get_if<ApiError>(&identified)) {
        m_parts.metrics.count("unauthenticated");
        sendError(*responder, requestId, *error);
        return;
    }
    const CallerIdentity& identity = std::get<CallerIdentity>(identified);
    serve(std::move(request), responder, identity, { requestId, m_parts.clock.now(), revisionOf(*identity.team), std::nullopt });
}

void CallerApi::serve(HttpRequest request, const Responder& responder, const CallerIdentity& identity, const ReadContext& context)
{
    m_open.add(responder);
    CallerRoute route = routeOf(request.path);
    if (route == CallerRoute::Unknown) {
        sendError(*responder, context.requestId, simpleError(404, "path_not_found", absl::StrCat("path ", request.path, " is not known")));
        return;
    }
    if (route == CallerRoute::Models) {
        sendModels(*responder, identity);
        return;
    }
    if (route == CallerRoute::Entries) {
        sendEntries(request, *responder, identity);
        return;
    }
    if (answerOutsideResidency(request, *responder, context.requestId, *identity.team))
        return;
    if (m_isDraining) {
        sendDraining(*responder, context.requestId, identity.team);
        return;
    }
    if (route == CallerRoute::IdempotencyKeys) {
        sendIssuedKey(*responder, context.requestId, identity);
        return;
    }
    auto read = readRequest(std::move(request), identity, context);
    if (const ApiError* error = std::get_if<ApiError>(&read)) {
        m_parts.metrics.count("bad_requests");
        sendError(*responder, context.requestId, *error);
        return;
    }
    AcceptedRequest accepted = std::get<AcceptedRequest>(std::move(read));
    if (accepted.traits.isKeyed) {
        m_parts.keyed.run(std::move(accepted), responder);
        return;
    }
    m_parts.broker.run(std::move(accepted), AnswerWriter(responder, context.requestId));
}

// Decided by the key alone: the body of such a request is never looked at here.
bool CallerApi::answerOutsideResidency(const HttpRequest& request, HttpResponder& responder, const std::string& requestId, const TeamDocument& team)
{
    Residency residency = residencyOf(team);
    if (isAllowed(residency, m_parts.region))
        return false;
    m_parts.metrics.count("outside_residency");
    SteeringRequest steering;
    steering.residency = residency;
    steering.team = team.name;
    steering.spread = m_parts.random.bits();
    std::vector<EntryIdentity> inside = m_parts.entries.steer(steering, m_parts.clock.now());
    ApiError error = simpleError(421, "outside_residency", absl::StrCat("the data of team '", team.name, "' may not be processed in region ", m_parts.region));
    if (!inside.empty()) {
        constexpr int temporaryRedirect = 307;
        error.status = temporaryRedirect;
        std::string query = request.query.empty() ? "" : "?" + request.query;
        error.headers.set("Location", absl::StrCat(m_parts.callerScheme, "://", inside.front().callerAddress.toString(), request.path, query));
    }
    sendError(responder, requestId, error);
    return true;
}

void CallerApi::sendModels(HttpResponder& responder, const CallerIdentity& identity) const
{
    nlohmann::json models = nlohmann::json::array();
    for (const std::string& name : identity.team->models) {
        const ModelDocument* model = findModel(*identity.snapshot, name);
        if (!model)
            continue;
        models.push_back({ { "id", name }, { "object", "model" }, { "created", 0 }, { "owned_by", "catkinwing" } });
        for (const AdapterSettings& adapter : model->adapters) {
            bool isAllowed = std::find(identity.team->adapters.begin(), identity.team->adapters.end(), adapter.name) != identity.team->adapters.end();
            if (isAllowed)
                models.push_back({ { "id", adapter.name }, { "object", "model" }, { "created", 0 }, { "owned_by", "catkinwing" }, { "parent", name } });
        }
    }
    sendJson(responder, 200, nlohmann::json { { "object", "list" }, { "data", std::move(models) } }.dump());
}

static std::string queryParameter(absl::string_view query, absl::string_view name)
{
    for (absl::string_view part : absl::StrSplit(query, '&')) {
        std::pair<absl::string_view, absl::string_view> field = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (field.first == name)
            return std::string(field.second);
    }
    return {};
}

void CallerApi::sendEntries(const HttpRequest& request, HttpResponder& responder, const CallerIdentity& identity)
{
    SteeringRequest steering;
    steering.residency = residencyOf(*identity.team);
    steering.team = identity.team->name;
    steering.model = queryParameter(request.query, "model");
    steering.session = queryParameter(request.query, "session");
    steering.zone = queryParameter(request.query, "zone");
    steering.spread = m_parts.random.bits();
    std::vector<EntryIdentity> entries = m_parts.entries.steer(steering, m_parts.clock.now());
    sendJson(responder, 200, entriesBody(entries, m_parts.callerScheme));
}

void CallerApi::sendIssuedKey(HttpResponder& responder, const std::string& requestId, const CallerIdentity& identity)
{
    absl::StatusOr<std::string> key = m_parts.keyed.issue(identity.team->name);
    if (!key.ok()) {
        ApiError error = simpleError(503, "too_many_keys", std::string(key.status().message()));
        error.retryAfter = std::chrono::seconds(1);
        sendError(responder, requestId, error);
        return;
    }
    constexpr int created = 201;
    sendJson(responder, created, nlohmann::json { { "idempotency_key", *key } }.dump());
}

void CallerApi::sendDraining(HttpResponder& responder, const std::string& requestId, const TeamDocument* team)
{
    SteeringRequest steering;
    if (team)
        steering.residency = residencyOf(*team);
    steering.spread = m_parts.random.bits();
    ApiError error = simpleError(503, "draining", "this entry is shutting down; use another one");
    std::string names;
    for (const EntryIdentity& entry : m_parts.entries.steer(steering, m_parts.clock.now()))
        absl::StrAppend(&names, names.empty() ? "" : ", ", m_parts.callerScheme, "://", entry.callerAddress.toString());
    if (!names.empty())
        error.headers.set("Catkinwing-Entries", names);
    sendError(responder, requestId, error);
}

static std::vector<StampHeader> stampHeaders(const HttpHeaders& headers)
{
    std::vector<StampHeader> fields;
    for (const HttpHeader& field : headers.fields())
        fields.push_back({ absl::AsciiStrToLower(field.name), field.value });
    return fields;
}

// An entry asks another one of its own zone only for the answer to a key that
// the other holds. That is no way round the hop limit, which holds for it too.
static bool asksForHeldKey(const ForwardStamp& stamp, const HttpHeaders& headers, absl::string_view ownZone)
{
    return stamp.originZone == ownZone && stamp.hop <= maxStampHops && headers.find("Idempotency-Key");
}

void CallerApi::handleForwarded(HttpRequest request, const Responder& responder)
{
    absl::StatusOr<ForwardStamp> stamp = decodeStamp(stampHeaders(request.headers));
    if (!stamp.ok()) {
        sendError(*responder, "", simpleError(400, "bad_stamp", std::string(stamp.status().message())));
        return;
    }
    StampVerdict verdict = checkStamp(*stamp, m_parts.zone, m_parts.region);
    bool isHeldKey = verdict == StampVerdict::Visited && asksForHeldKey(*stamp, request.headers, m_parts.zone);
    if (verdict != StampVerdict::Accepted && !isHeldKey) {
        m_parts.metrics.count("forwards_refused");
        sendError(*responder, stamp->requestId, simpleError(421, "forward_refused", describe(verdict)));
        return;
    }
    std::shared_ptr<const ConfigSnapshot> snapshot = m_parts.config.snapshot();
    const TeamDocument* team = findTeam(*snapshot, stamp->team);
    bool isAllowedHere = team && isAllowed(residencyOf(*team), m_parts.region);
    if (!isAllowedHere) {
        m_parts.metrics.count("forwards_refused");
        sendError(*responder, stamp->requestId, simpleError(421, "forward_refused", "the team's document here does not allow the request"));
        return;
    }
    request.path = std::string(absl::StripPrefix(request.path, peerForwardPrefix));
    request.headers.set("Catkinwing-Class", stamp->requestClass);
    request.headers.remove("Catkinwing-Timeout-Ms");
    m_parts.metrics.count("forwards_received");
    ReadContext context { stamp->requestId, m_parts.clock.now(), revisionOf(*team), *stamp };
    serve(std::move(request), responder, { snapshot, team, "" }, context);
}

} // namespace catkinwing
