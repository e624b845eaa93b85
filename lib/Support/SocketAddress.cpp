#include "catkinwing/Support/SocketAddress.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

namespace catkinwing {

static bool isIPv6(const std::string& host)
{
    in6_addr parsed {};
    return inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
}

static bool isIPv4(const std::string& host)
{
    in_addr parsed {};
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

std::string SocketAddress::toString() const
{
    if (isIPv6(host))
        return absl::StrCat("[", host, "]:", port);
    return absl::StrCat(host, ":", port);
}

absl::StatusOr<SocketAddress> parseSocketAddress(absl::string_view text)
{
    auto fault = [text](const char* reason) {
        return absl::InvalidArgumentError(absl::StrCat("address '", text, "': ", reason));
    };
    std::size_t colon = text.rfind(':');
    if (colon == absl::string_view::npos)
        return fault("no port");
    std::string host(text.substr(0, colon));
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port > UINT16_MAX)
        return fault("port is not a number from 0 to 65535");
    bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    bool isValid = isBracketed ? isIPv6(host) : isIPv4(host);
    if (!isValid)
        return fault("host is not an IP address");
    return SocketAddress { host, static_cast<std::uint16_t>(port) };
}

} // namespace catkinwing
