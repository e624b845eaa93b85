#include "catkinwing/Gateway/PeerApi.h"

#include "catkinwing/Gateway/AttemptRequest.h"
#include "catkinwing/PeerProtocol/PeerCodec.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace catkinwing {

PeerApi::PeerApi(Membership& membership, ConfigKeeper& config, KeyedRequests& keyed, CallerApi& callers, PeerLink& link, const LinkFaults& faults, Metrics& metrics, PeerProof proof)
    : m_membership(membership)
    , m_config(config)
    , m_keyed(keyed)
    , m_callers(callers)
    , m_link(link)
    , m_faults(faults)
    , m_metrics(metrics)
    , m_proof(proof)
{
}

bool PeerApi::speaksInOwnName(const HttpRequest& request) const
{
    if (m_proof == PeerProof::None)
        return true;
    const std::string* from = request.headers.find(fromHeader);
    return from && !from->empty() && *from == request.certificateName;
}

static ApiError wrongNameError()
{
    ApiError error;
    error.status = 403;
    error.code = "wrong_name";
    error.message = absl::StrCat("the common name of the certificate is not the name in ", fromHeader);
    return error;
}

PeerReply PeerApi::reply(const PeerMessage& message)
{
    if (const ConfigPush* push = std::get_if<ConfigPush>(&message)) {
        m_config.offerFromPeer(push->entries);
        return Acknowledgement {};
    }
    if (const ConfigPull* pull = std::get_if<ConfigPull>(&message)) {
        std::vector<ConfigPush> chunks = splitConfig(m_config.newerThan(pull->known));
        if (chunks.empty())
            return ConfigNewer {};
        return ConfigNewer { std::move(chunks.front().entries), chunks.size() > 1 };
    }
    if (const RunningAnswerQuery* query = std::get_if<RunningAnswerQuery>(&message)) {
        std::optional<ClaimId> id = parseClaimId(query->claimId);
        return RunningAnswer { id && m_keyed.isRunning(*id) ? RunState::Running : RunState::Unknown };
    }
    std::optional<PeerReply> answer = m_membership.handle(message);
    if (answer)
        return *std::move(answer);
    return PeerError { PeerErrorCode::UnknownMethod, "the message is not for this entry", std::nullopt };
}

void PeerApi::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (!speaksInOwnName(request)) {
        m_metrics.count("peers_with_wrong_name");
        sendError(*responder, "", wrongNameError());
        return;
    }
    const std::string* from = request.headers.find(fromHeader);
    bool isBlocked = from && m_faults.blockFrom.count(*from) > 0;
    if (isBlocked) {
        responder->abort();
        return;
    }
    if (absl::StartsWith(request.path, peerForwardPrefix)) {
        m_callers.handleForwarded(std::move(request), std::move(responder));
        return;
    }
    if (request.path != peerRpcPath) {
        sendJson(*responder, 404, R"({"error":"path not known"})");
        return;
    }
    absl::StatusOr<std::vector<PeerMessage>> batch = decodeBatch(request.body);
    std::vector<PeerReply> replies;
    if (!batch.ok()) {
        sendJson(*responder, 400, R"({"error":"batch can't be read"})");
        return;
    }
    for (const PeerMessage& message : *batch)
        replies.push_back(reply(message));
    std::string body = encodeReplies(replies);
    m_link.noteReceived(request.body.size(), body.size());
    sendJson(*responder, 200, body);
}

} // namespace catkinwing
