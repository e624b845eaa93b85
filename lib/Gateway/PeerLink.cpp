#include "catkinwing/Gateway/PeerLink.h"

#include "catkinwing/Gateway/ApiError.h"
#include "catkinwing/PeerProtocol/PeerCodec.h"
#include <absl/strings/str_cat.h>

namespace catkinwing {

static constexpr std::chrono::milliseconds connectTimeout { 500 };
static constexpr std::chrono::milliseconds answerTimeout { 2'000 };
static constexpr int statusOk = 200;

PeerLink::PeerLink(HttpClient& client, std::string name)
    : m_client(client)
    , m_name(std::move(name))
{
}

static absl::Status statusFor(const HttpResult& result, const HttpResponseHead& head)
{
    if (result.end == HttpEnd::TimedOut)
        return absl::DeadlineExceededError("the peer did not answer in time");
    if (result.end != HttpEnd::Complete)
        return absl::UnavailableError(absl::StrCat("the peer did not answer: ", result.detail));
    if (head.status != statusOk)
        return absl::UnavailableError(absl::StrCat("the peer answered with status ", head.status));
    return absl::OkStatus();
}

void PeerLink::send(const SocketAddress& address, std::vector<PeerMessage> batch, Callback callback)
{
    HttpClientRequest request;
    request.server = address;
    request.method = "POST";
    request.target = peerRpcPath;
    request.headers = { { "Content-Type", "application/json" }, { fromHeader, m_name } };
    request.body = encodeBatch(batch);
    request.connectTimeout = connectTimeout;
    request.headTimeout = answerTimeout;
    request.idleTimeout = answerTimeout;
    ++m_counters.batchesSent;
    m_counters.bytesSent += request.body.size();
    auto done = [this, expected = batch.size(), callback = std::move(callback)](const HttpResult& result, const HttpResponseHead& head, const std::string& body) {
        absl::Status status = statusFor(result, head);
        if (!status.ok()) {
            callback(status);
            return;
        }
        m_counters.bytesReceived += body.size();
        callback(decodeReplies(body, expected));
    };
    sendForWhole(m_client, std::move(request), maxBatchBytes, std::move(done));
}

void PeerLink::noteReceived(std::size_t requestBytes, std::size_t replyBytes)
{
    ++m_counters.batchesReceived;
    m_counters.bytesReceived += requestBytes;
    m_counters.bytesSent += replyBytes;
}

} // namespace catkinwing
