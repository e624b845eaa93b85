#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>

namespace catkinwing {

/// An IP address and a port.
struct SocketAddress {
    std::string host;
    std::uint16_t port { 0 };

    /// Returns "host:port", with an IPv6 host in brackets.
    std::string toString() const;
    friend bool operator==(const SocketAddress& a, const SocketAddress& b) { return a.port == b.port && a.host == b.host; }
    friend bool operator!=(const SocketAddress& a, const SocketAddress& b) { return !(a == b); }
    friend bool operator<(const SocketAddress& a, const SocketAddress& b) { return a.host != b.host ? a.host < b.host : a.port < b.port; }
};

/// Reads "IP:PORT" or "[IPv6]:PORT"; names are refused as InvalidArgument.
absl::StatusOr<SocketAddress> parseSocketAddress(absl::string_view text);

} // namespace catkinwing
