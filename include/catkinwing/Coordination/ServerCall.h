#pragma once

#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Support/Scheduler.h"
#include <vector>

namespace catkinwing {

/// A request that any of several servers can answer.
struct ServerCall {
    /// Tried in turn from \p firstServer on; must not be empty.
    std::vector<SocketAddress> servers;
    std::size_t firstServer { 0 };
    /// Its server and its timeouts are filled in.
    HttpClientRequest request;
    /// If true, it is tried again also after its bytes may have left.
    bool isIdempotent { false };
    /// Most attempts; zero stands for one at each server, but two at a lone one.
    std::size_t maxAttempts { 0 };
    std::chrono::milliseconds connectTimeout { 500 };
    /// Longest time from the call to its answer, all attempts included.
    std::chrono::milliseconds callTimeout { 2'000 };
    std::size_t maxAnswerBytes { 1u << 20 };
};

/// What came of a call.
struct ServerAnswer {
    /// False if no whole answer came.
    bool isComplete { false };
    /// False only if it is certain that no server got a byte.
    bool mayHaveReachedServer { false };
    /// Index of the server that was tried last.
    std::size_t server { 0 };
    /// Requests that were started.
    std::size_t attempts { 0 };
    HttpResponseHead head;
    std::string body;
    /// Says what failed; empty when complete.
    std::string detail;
};

/// Sends \p call to the first server that takes it. \p done is called once,
/// later, within the call's timeout.
void callServers(HttpClient& http, Scheduler& scheduler, ServerCall call, std::function<void(ServerAnswer)> done);

} // namespace catkinwing
