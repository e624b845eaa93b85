#pragma once

#include "catkinwing/Standin/ExecutionLog.h"
#include "catkinwing/Support/Scheduler.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>

namespace catkinwing::standin {

/// How a raw answerer is reached and what it says.
struct RawAnswererOptions {
    SocketAddress listen;
    /// Bytes sent for each request, whatever they are.
    std::string answer;
    /// Closes the connection after the first answer.
    bool closesAfterAnswer { false };
};

/// Answers each request with bytes of the test's choice, such as a head that
/// is not HTTP, or a complete answer with more bytes behind it, which the HTTP
/// library never sends. It reads no HTTP: what arrives between two pauses
/// counts as one request. The loop has no interface for sockets, so they are
/// polled by a timer.
class RawAnswerer {
public:
    static absl::StatusOr<std::unique_ptr<RawAnswerer>> listen(Scheduler& scheduler, ExecutionLog& log, RawAnswererOptions options);
    ~RawAnswerer();
    RawAnswerer(const RawAnswerer&) = delete;
    RawAnswerer& operator=(const RawAnswerer&) = delete;

    /// Returns the address in use, with the port that was taken.
    const SocketAddress& address() const { return m_options.listen; }

private:
    RawAnswerer(Scheduler& scheduler, ExecutionLog& log, RawAnswererOptions options, int listener);

    void poll();
    void acceptAll();
    /// Serves one connection; false if it is to be closed.
    bool serve(int connection, std::string& received);
    bool answer(int connection, std::string& received);

    Scheduler& m_scheduler;
    ExecutionLog& m_log;
    RawAnswererOptions m_options;
    int m_listener;
    /// What each connection has sent since its last answer.
    std::map<int, std::string> m_connections;
    TimerId m_timer { 0 };
};

} // namespace catkinwing::standin
