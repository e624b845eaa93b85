#pragma once

#include "catkinwing/Http/HttpClient.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace catkinwing {

/// Faults of a process's links, for proofs; none unless the settings allow them.
struct LinkFaults {
    /// Servers that refuse connections.
    std::set<SocketAddress> refuse;
    /// Servers from which nothing ever comes back, since nothing gets there.
    std::set<SocketAddress> drop;
    /// Servers that get the request but whose answers are lost.
    std::set<SocketAddress> loseAnswers;
    /// Processes, by the name they give, whose messages are not taken in.
    std::set<std::string> blockFrom;
    /// Added before each request to a server is sent.
    std::map<SocketAddress, std::chrono::milliseconds> delays;
};

/// Reads the faults from a JSON object with the members named as above;
/// addresses are "IP:PORT", and "delays" gives milliseconds by address.
absl::StatusOr<LinkFaults> parseLinkFaults(absl::string_view json);

/// Passes requests on to another client, but for the faults set on it.
class FaultableHttpClient final : public HttpClient {
public:
    /// \p inner, \p scheduler and \p faults must outlive it.
    FaultableHttpClient(HttpClient& inner, Scheduler& scheduler, const LinkFaults& faults);
    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override;
    void forget(const SocketAddress& server) override { m_inner.forget(server); }
    void replaceTls(std::shared_ptr<TlsContext> tls) override { m_inner.replaceTls(std::move(tls)); }

private:
    std::shared_ptr<HttpExchange> failLater(std::chrono::milliseconds delay, HttpEnd end, HttpClientCallbacks callbacks);

    HttpClient& m_inner;
    Scheduler& m_scheduler;
    const LinkFaults& m_faults;
};

} // namespace catkinwing
