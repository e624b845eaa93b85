// A trivial server to measure against.
#pragma once

#include "catkinwing/Http/HttpServer.h"

namespace catkinwing {

/// What the server answers.
struct BenchAnswer {
    std::size_t bytes { 128 };
    /// Pieces that the body is sent in; 1 sends it at once with its length.
    std::size_t pieces { 1 };
    std::chrono::milliseconds interval { 0 };
};

/// Starts a server that gives every request the same answer.
absl::StatusOr<std::unique_ptr<HttpServer>> startBenchServer(EventLoop& loop, const SocketAddress& listen, const BenchAnswer& answer);

} // namespace catkinwing
