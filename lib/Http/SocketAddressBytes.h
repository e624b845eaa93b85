// Addresses in the form that the system calls take.
#pragma once

#include "catkinwing/Support/SocketAddress.h"
#include <absl/status/statusor.h>
#include <sys/socket.h>

namespace catkinwing {

struct SocketAddressBytes {
    sockaddr_storage storage {};
    socklen_t length { 0 };

    sockaddr* address() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Returns InvalidArgument if the host is not an IP address.
absl::StatusOr<SocketAddressBytes> toBytes(const SocketAddress& address);
/// Returns an empty address for families other than IP. An IPv4 address that
/// is mapped into IPv6 comes back as IPv4.
SocketAddress fromBytes(const sockaddr_storage& storage);
/// Returns the address that a socket is bound to.
SocketAddress localAddressOf(int descriptor);

} // namespace catkinwing
