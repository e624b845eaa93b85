#pragma once

#include "catkinwing/Support/SocketAddress.h"
#include <string>

namespace catkinwing {

/// Bytes for another entry.
struct OutgoingDatagram {
    SocketAddress to;
    std::string bytes;
};

} // namespace catkinwing
