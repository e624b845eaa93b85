#include "OperatorClient.h"

#include <absl/strings/str_cat.h>

namespace catkinwing {

static constexpr std::size_t maxAnswerBytes = 16u << 20;
static constexpr std::chrono::seconds answerTimeout { 30 };

OperatorClient::OperatorClient(std::string token, std::shared_ptr<TlsContext> tls)
    : m_loop(m_clock)
    , m_client(makeHttpClient(m_loop, { 4, std::chrono::milliseconds(4'000), std::move(tls) }))
    , m_token(std::move(token))
{
}

absl::StatusOr<OperatorAnswer> OperatorClient::call(const SocketAddress& entry, const std::string& method, const std::string& target, HttpHeaders headers, std::string body)
{
    HttpClientRequest request;
    request.server = entry;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    request.headers.set("Authorization", absl::StrCat("Bearer ", m_token));
    request.body = std::move(body);
    request.headTimeout = answerTimeout;
    request.idleTimeout = answerTimeout;
    absl::StatusOr<OperatorAnswer> answer = absl::UnavailableError("no answer");
    sendForWhole(*m_client, std::move(request), maxAnswerBytes, [&](const HttpResult& result, const HttpResponseHead& head, std::string text) {
        if (result.end == HttpEnd::Complete)
            answer = OperatorAnswer { head.status, head.headers, std::move(text) };
        else
            answer = absl::UnavailableError(absl::StrCat("entry ", entry.toString(), " did not answer: ", result.detail));
        m_loop.stop();
    });
    m_loop.run();
    return answer;
}

} // namespace catkinwing
