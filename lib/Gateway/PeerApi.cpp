#include "catkinwing/Gateway/PeerApi.h"

#include "catkinwing/Gateway/AttemptRequest.h"
#include "catkinwing/PeerProtocol/PeerCodec.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace catkinwing {

/// A batch of messages whose replies are not all there yet.
struct PeerApi::OpenBatch {
    std::shared_ptr<HttpResponder> responder;
    std::size_t requestBytes { 0 };
    std::vector<PeerReply> replies;
    std::size_t missing { 0 };
};

PeerApi::PeerApi(Membership& membership, ConfigKeeper& config, KeyedRequests& keyed, CallerApi& callers, PeerLink& link, Scheduler& scheduler, const LinkFaults& faults, Metrics& metrics, PeerProof proof)
    : m_membership(membership)
    , m_config(config)
    , m_keyed(keyed)
    , m_callers(callers)
    , m_link(link)
    , m_faults(faults)
    , m_metrics(metrics)
    , m_proof(proof)
    , m_claims(keyed.ledger(), scheduler)
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
        m_callers.handleForwarded(std::move(request), responder);
        return;
    }
    if (request.path != peerRpcPath) {
        sendJson(*responder, 404, R"({"error":"path not known"})");
        return;
    }
    absl::StatusOr<std::vector<PeerMessage>> batch = decodeBatch(request.body);
    if (!batch.ok()) {
        sendJson(*responder, 400, R"({"error":"batch can't be read"})");
        return;
    }
    auto open = std::make_shared<OpenBatch>();
    open->responder = std::move(responder);
    open->requestBytes = request.body.size();
    open->replies.resize(batch->size());
    open->missing = batch->size();
    for (std::size_t place = 0; place < batch->size(); ++place) {
        const PeerMessage& message = (*batch)[place];
        if (const ClaimBatch* claims = std::get_if<ClaimBatch>(&message))
            m_claims.record(*claims, [this, open, place](const PeerReply& reply) { settle(open, place, reply); });
        else
            settle(open, place, reply(message));
    }
}

// The caller may have gone by the last reply; its responder then does nothing.
void PeerApi::settle(const std::shared_ptr<OpenBatch>& batch, std::size_t place, const PeerReply& reply)
{
    batch->replies[place] = reply;
    if (--batch->missing > 0)
        return;
    std::string body = encodeReplies(batch->replies);
    m_link.noteReceived(batch->requestBytes, body.size());
    sendJson(*batch->responder, 200, body);
}

} // namespace catkinwing
