#pragma once

#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <absl/status/statusor.h>
#include <functional>

namespace catkinwing {

/// Bytes of batches and replies that a transport has carried.
struct TransportCounters {
    std::uint64_t batchesSent { 0 };
    std::uint64_t batchesReceived { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

/// Carries batches to other entries.
class PeerTransport {
public:
    /// Gets one reply for each message, or why there are none.
    using Callback = std::function<void(absl::StatusOr<std::vector<PeerReply>>)>;

    virtual ~PeerTransport() = default;
    /// Sends \p batch to \p address. Calls \p callback exactly once, never before
    /// this returns; with DeadlineExceeded if no answer came in time.
    virtual void send(const SocketAddress& address, std::vector<PeerMessage> batch, Callback callback) = 0;
    /// Returns what was carried so far, both ways.
    virtual TransportCounters counters() const = 0;
};

} // namespace catkinwing
