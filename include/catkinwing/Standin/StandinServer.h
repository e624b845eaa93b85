#pragma once

#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Standin/StandinFrontend.h"
#include <functional>
#include <memory>
#include <string>

namespace catkinwing::standin {

/// How a stand-in is reached and what it writes down.
struct StandinServerOptions {
    /// Name in the execution log.
    std::string name;
    SocketAddress listen;
    /// No log if empty.
    std::string logFile;
    /// Seed of the fault switches.
    std::uint64_t seed { 1 };
};

/// Makes the service of a stand-in.
using ServiceFactory = std::function<std::unique_ptr<StandinService>(Scheduler&, ExecutionLog&)>;

/// A stand-in that listens.
class StandinServer {
public:
    /// Starts a stand-in on \p loop, which must outlive it.
    static absl::StatusOr<std::unique_ptr<StandinServer>> start(EventLoop& loop, const StandinServerOptions& options, const ServiceFactory& makeService);

    /// Returns the address in use, with the port that was taken.
    SocketAddress address() const { return m_server->address(); }
    /// Sets the fault switches.
    void setFaults(FaultSettings settings) { m_frontend.setFaults(std::move(settings)); }

private:
    StandinServer(EventLoop& loop, std::unique_ptr<ExecutionLog> log, const ServiceFactory& makeService, std::uint64_t seed);

    std::unique_ptr<ExecutionLog> m_log;
    std::unique_ptr<StandinService> m_service;
    StandinFrontend m_frontend;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace catkinwing::standin
