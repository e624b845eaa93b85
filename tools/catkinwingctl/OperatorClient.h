#pragma once

#include "catkinwing/Http/HttpClient.h"
#include <absl/status/statusor.h>
#include <string>

namespace catkinwing {

/// Answer of an operators' interface.
struct OperatorAnswer {
    int status { 0 };
    HttpHeaders headers;
    std::string body;
};

/// Talks to the operators' interface of entries, one call at a time.
class OperatorClient {
public:
    /// \p token is sent as a bearer token; \p tls is null for plain text.
    OperatorClient(std::string token, std::shared_ptr<TlsContext> tls);
    /// Sends a request and waits for the answer.
    absl::StatusOr<OperatorAnswer> call(const SocketAddress& entry, const std::string& method, const std::string& target, HttpHeaders headers = {}, std::string body = {});

private:
    SystemClock m_clock;
    EventLoop m_loop;
    std::unique_ptr<HttpClient> m_client;
    std::string m_token;
};

} // namespace catkinwing
