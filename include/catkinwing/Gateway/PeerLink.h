#pragma once

#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Membership/PeerTransport.h"
#include <string>

namespace catkinwing {

/// Path of the control messages on the peer listener.
constexpr const char* peerRpcPath = "/peer/rpc";
/// Prefix of forwarded requests on the peer listener.
constexpr const char* peerForwardPrefix = "/peer/forward";

/// Carries control messages to other entries over HTTP.
class PeerLink final : public PeerTransport {
public:
    /// \p client must outlive it; \p name is this entry's.
    PeerLink(HttpClient& client, std::string name);
    void send(const SocketAddress& address, std::vector<PeerMessage> batch, Callback callback) override;
    TransportCounters counters() const override { return m_counters; }
    /// Counts a batch that came in and its replies.
    void noteReceived(std::size_t requestBytes, std::size_t replyBytes);

private:
    HttpClient& m_client;
    std::string m_name;
    TransportCounters m_counters;
};

} // namespace catkinwing
