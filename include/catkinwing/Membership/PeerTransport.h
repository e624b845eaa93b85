#pragma once

#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <absl/status/statusor.h>
#include <functional>

namespace catkinwing {

/// Counts of batches, and of the bytes of batches and replies, of a transport.
struct TransportCounters {
    std::uint64_t batchesSent { 0 };
    std::uint64_t batchesReceived { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

/// Sends batches of messages to other entries.
class PeerTransport {
public:
    /// Called with one reply for each message, or with an error.
    using Callback = std::function<void(absl::StatusOr<std::vector<PeerReply>>)>;

    virtual ~PeerTransport() = default;
    /// Sends \p batch to \p address. Calls \p callback exactly once, never before
    /// this function returns; with DeadlineExceeded if no answer arrives in time.
    virtual void send(const SocketAddress& address, std::vector<PeerMessage> batch, Callback callback) = 0;
    /// Returns the totals so far, in both directions.
    virtual TransportCounters counters() const = 0;
};

} // namespace catkinwing
