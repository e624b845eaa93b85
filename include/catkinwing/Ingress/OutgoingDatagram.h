#pragma once

#include "catkinwing/Support/SocketAddress.h"
#include <string>

namespace catkinwing {

/// A datagram to send to another entry.
struct OutgoingDatagram {
    SocketAddress to;
    std::string bytes;
};

} // namespace catkinwing
