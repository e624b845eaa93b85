#include "SocketAddressBytes.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <netinet/in.h>

namespace catkinwing {

absl::StatusOr<SocketAddressBytes> toBytes(const SocketAddress& address)
{
    SocketAddressBytes bytes;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&bytes.storage);
    if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        bytes.length = sizeof(*v4);
        return bytes;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&bytes.storage);
    if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        bytes.length = sizeof(*v6);
        return bytes;
    }
    return absl::InvalidArgumentError("'" + address.host + "' is not an IP address");
}

static SocketAddress fromV4(const in_addr& source, in_port_t port)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &source, text.data(), text.size());
    return { text.data(), ntohs(port) };
}

static SocketAddress fromV6(const sockaddr_in6& source)
{
    if (IN6_IS_ADDR_V4MAPPED(&source.sin6_addr)) {
        in_addr mapped {};
        std::memcpy(&mapped, &source.sin6_addr.s6_addr[12], sizeof(mapped));
        return fromV4(mapped, source.sin6_port);
    }
    std::array<char, INET6_ADDRSTRLEN> text {};
    inet_ntop(AF_INET6, &source.sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(source.sin6_port) };
}

SocketAddress fromBytes(const sockaddr_storage& storage)
{
    if (storage.ss_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(storage);
        return fromV4(v4.sin_addr, v4.sin_port);
    }
    if (storage.ss_family == AF_INET6)
        return fromV6(reinterpret_cast<const sockaddr_in6&>(storage));
    return {};
}

SocketAddress localAddressOf(int descriptor)
{
    sockaddr_storage storage {};
    socklen_t length = sizeof(storage);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&storage), &length);
    return fromBytes(storage);
}

} // namespace catkinwing
