#pragma once

#include "catkinwing/Http/EventLoop.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <memory>

namespace catkinwing {

/// Sends and receives datagrams on the loop. Datagrams may be lost, and nothing
/// ever waits for one.
class DatagramSocket {
public:
    using Receiver = std::function<void(const SocketAddress& sender, absl::string_view bytes)>;

    /// Binds to \p address; port 0 takes a free one.
    static absl::StatusOr<std::unique_ptr<DatagramSocket>> bind(EventLoop& loop, const SocketAddress& address, Receiver receiver);
    virtual ~DatagramSocket() = default;
    /// Sends one datagram, or drops it if it can't go out at once.
    virtual void send(const SocketAddress& receiver, absl::string_view bytes) = 0;
    virtual SocketAddress address() const = 0;
};

} // namespace catkinwing
