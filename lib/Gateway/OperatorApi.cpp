#include "catkinwing/Gateway/OperatorApi.h"

#include "catkinwing/Config/DocumentDiff.h"
#include "catkinwing/Config/JsonText.h"
#include "catkinwing/Gateway/StatusReport.h"
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

namespace catkinwing {

static constexpr absl::string_view documentPrefix = "/v1/config/";

OperatorApi::OperatorApi(OperatorParts parts)
    : m_parts(std::move(parts))
{
}

static void sendFault(HttpResponder& responder, int status, const std::string& message)
{
    sendJson(responder, status, nlohmann::json { { "error", message } }.dump());
}

OperatorApi::Access OperatorApi::accessOf(const HttpHeaders& headers) const
{
    const std::string* authorization = headers.find("Authorization");
    if (!authorization || !absl::StartsWith(*authorization, "Bearer "))
        return {};
    KeyDigest digest = digestKey(absl::StripPrefix(*authorization, "Bearer "));
    Access access;
    // Every token is compared, so that the time says nothing of which matched.
    for (const OperatorToken& token : m_parts.settings.operatorTokens) {
        if (token.key.digest == digest)
            access = { true, token.subtree.empty(), token.subtree };
    }
    if (access.isKnown)
        return access;
    KeyOwner owner = findOperatorToken(*m_parts.config.snapshot(), digest);
    if (owner.team)
        return { true, false, DocumentPath { DocumentKind::Team, owner.team->name }.toString() };
    return {};
}

// Health and metrics are for probes, which carry no token.
bool OperatorApi::handleOpen(const HttpRequest& request, HttpResponder& responder)
{
    if (request.path == "/healthz") {
        sendJson(responder, 200, R"({"status":"alive"})");
        return true;
    }
    if (request.path == "/readyz") {
        bool isReady = m_parts.isReady();
        sendJson(responder, isReady ? 200 : 503, nlohmann::json { { "ready", isReady }, { "draining", m_parts.isDraining() } }.dump());
        return true;
    }
    if (request.path == "/metrics") {
        updateGauges(m_parts.broker, m_parts.membership, m_parts.config);
        for (const auto& [name, value] : m_parts.clientMemory.gauges())
            m_parts.broker.parts().metrics.set(name, value);
        responder.send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_parts.broker.parts().metrics.render());
        return true;
    }
    return false;
}

void OperatorApi::handle(const HttpRequest& request, const Responder& responder)
{
    if (handleOpen(request, *responder))
        return;
    Access access = accessOf(request.headers);
    if (!access.isKnown) {
        sendFault(*responder, 401, "no known operator token");
        return;
    }
    if (absl::StartsWith(request.path, documentPrefix)) {
        handleDocument(request, responder, access);
        return;
    }
    if (!access.reachesAll) {
        sendFault(*responder, 403, absl::StrCat("the token reaches ", access.subtree, " only"));
        return;
    }
    if (request.path == "/v1/config")
        sendRevisions(*responder);
    else if (request.path == "/v1/status")
        sendStatus(*responder);
    else if (request.path == "/v1/service-levels")
        sendJson(*responder, 200, toJson(m_parts.broker.parts().serviceLevels.lines(m_parts.clock.now())).dump());
    else if (request.path == "/v1/explain" && request.method == "POST")
        sendExplanation(request, *responder);
    else if (request.path == "/v1/faults" && request.method == "PUT" && m_parts.settings.testFaults)
        setFaults(request, *responder);
    else if (request.path == "/v1/drain" && request.method == "POST") {
        m_parts.drain();
        sendJson(*responder, 202, R"({"draining":true})");
    } else
        sendFault(*responder, 404, absl::StrCat("path ", request.path, " is not known"));
}

void OperatorApi::setFaults(const HttpRequest& request, HttpResponder& responder)
{
    absl::StatusOr<LinkFaults> faults = parseLinkFaults(request.body);
    if (!faults.ok()) {
        sendFault(responder, 400, std::string(faults.status().message()));
        return;
    }
    m_parts.faults = *std::move(faults);
    sendJson(responder, 200, "{}");
}

void OperatorApi::handleDocument(const HttpRequest& request, const Responder& responder, const Access& access)
{
    std::string name(absl::StripPrefix(request.path, documentPrefix));
    absl::StatusOr<DocumentPath> path = parseDocumentPath(name);
    if (!path.ok()) {
        sendFault(*responder, 404, std::string(path.status().message()));
        return;
    }
    if (!access.reachesAll && access.subtree != path->toString()) {
        sendFault(*responder, 403, absl::StrCat("the token reaches ", access.subtree, " only"));
        return;
    }
    if (request.method == "GET")
        sendDocument(*responder, *path);
    else if (request.method == "PUT" || request.method == "DELETE")
        applyDocument(request, responder, *path);
    else
        sendFault(*responder, 405, "a document takes GET, PUT and DELETE");
}

void OperatorApi::sendDocument(HttpResponder& responder, const DocumentPath& path) const
{
    std::optional<TreeEntry> entry = m_parts.config.tree().find(path);
    if (!entry || !entry->text) {
        HttpResponseHead head { 404, { { "Catkinwing-Revision", absl::StrCat(0) }, { "Content-Type", "application/json" } } };
        responder.send(head, nlohmann::json { { "error", absl::StrCat("there is no document ", path.toString()) } }.dump());
        return;
    }
    HttpResponseHead head { 200, { { "Catkinwing-Revision", absl::StrCat(entry->revision) }, { "Content-Type", "application/json" } } };
    responder.send(head, *entry->text);
}

void OperatorApi::sendRevisions(HttpResponder& responder) const
{
    nlohmann::json documents = nlohmann::json::array();
    for (const ConfigRevision& revision : m_parts.config.revisions()) {
        absl::StatusOr<DocumentPath> path = parseDocumentPath(revision.path);
        std::optional<TreeEntry> entry = m_parts.config.tree().find(*path);
        documents.push_back({ { "path", revision.path }, { "revision", revision.revision }, { "deleted", !(entry && entry->text) } });
    }
    sendJson(responder, 200, nlohmann::json { { "documents", std::move(documents) }, { "digest", absl::StrCat(absl::Hex(m_parts.config.tree().digest())) } }.dump());
}

static nlohmann::json faultsToJson(const std::vector<ConfigFault>& faults)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ConfigFault& fault : faults)
        list.push_back({ { "pointer", fault.pointer }, { "message", fault.message } });
    return list;
}

// What stands in the store against what the operator wants to write.
static nlohmann::json difference(const WriteResult& result, const std::string& wanted)
{
    nlohmann::json current = nlohmann::json::parse(result.current.value_or("null"), nullptr, false);
    nlohmann::json proposed = nlohmann::json::parse(wanted.empty() ? "null" : wanted, nullptr, false);
    return toJson(diffDocuments(current, proposed));
}

static void sendWriteResult(HttpResponder& responder, const WriteResult& result, const std::string& wanted)
{
    switch (result.outcome) {
    case WriteOutcome::Accepted:
        sendJson(responder, 200, nlohmann::json { { "outcome", "accepted" }, { "revision", result.revision } }.dump());
        return;
    case WriteOutcome::Changed:
        sendJson(responder, 412, nlohmann::json { { "outcome", "changed" }, { "revision", result.revision }, { "difference", difference(result, wanted) } }.dump());
        return;
    case WriteOutcome::Invalid:
        sendJson(responder, 422, nlohmann::json { { "outcome", "invalid" }, { "faults", faultsToJson(result.faults) } }.dump());
        return;
    case WriteOutcome::NotWritten:
        responder.send({ 503, { { "Content-Type", "application/json" }, { "Retry-After", "1" } } }, R"({"outcome":"not-written","error":"the store can't be reached"})");
        return;
    case WriteOutcome::Unknown:
        responder.send({ 504, { { "Content-Type", "application/json" }, { "Retry-After", "1" } } }, R"({"outcome":"unknown","error":"the store's answer was lost; send the same write id again"})");
        return;
    }
}

void OperatorApi::applyDocument(const HttpRequest& request, const Responder& responder, const DocumentPath& path)
{
    const std::string* revision = request.headers.find("Catkinwing-Revision");
    const std::string* writeId = request.headers.find("Catkinwing-Write-Id");
    ConfigWrite write;
    write.path = path;
    if (!revision || !absl::SimpleAtoi(*revision, &write.expected) || write.expected < 0) {
        sendFault(*responder, 400, "header Catkinwing-Revision is not the revision that was read");
        return;
    }
    if (!writeId || writeId->empty()) {
        sendFault(*responder, 400, "header Catkinwing-Write-Id is missing");
        return;
    }
    write.writeId = *writeId;
    if (request.method == "PUT")
        write.text = request.body;
    m_parts.writer.apply(std::move(write), [responder, wanted = request.body](const WriteResult& result) { sendWriteResult(*responder, result, wanted); });
}

void OperatorApi::sendStatus(HttpResponder& responder) const
{
    nlohmann::json status = statusReport(m_parts.broker, m_parts.membership, m_parts.config, m_parts.clock.now());
    status["draining"] = m_parts.isDraining();
    status["ready"] = m_parts.isReady();
    status["platform"] = m_parts.extraStatus();
    sendJson(responder, 200, status.dump());
}

void OperatorApi::sendExplanation(const HttpRequest& request, HttpResponder& responder) const
{
    absl::StatusOr<nlohmann::json> explanation = explainRequest(request.body, m_parts.broker, *m_parts.config.snapshot(), m_parts.clock.now());
    if (!explanation.ok()) {
        sendFault(responder, 400, std::string(explanation.status().message()));
        return;
    }
    sendJson(responder, 200, explanation->dump());
}

} // namespace catkinwing
