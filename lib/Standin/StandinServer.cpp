#include "catkinwing/Standin/StandinServer.h"

#include <utility>

namespace catkinwing::standin {

// All callers of a test share one address.
constexpr std::size_t maxConnections = 16'384;

StandinServer::StandinServer(EventLoop& loop, std::unique_ptr<ExecutionLog> log, const ServiceFactory& makeService, std::uint64_t seed)
    : m_log(std::move(log))
    , m_service(makeService(loop, *m_log))
    , m_frontend(loop, *m_log, *m_service, seed)
{
}

absl::StatusOr<std::unique_ptr<StandinServer>> StandinServer::start(EventLoop& loop, const StandinServerOptions& options, const ServiceFactory& makeService)
{
    auto log = ExecutionLog::open(options.logFile, options.name, loop.clock());
    if (!log.ok())
        return log.status();
    std::unique_ptr<StandinServer> standin(new StandinServer(loop, *std::move(log), makeService, options.seed));
    HttpServerOptions http;
    http.listen = options.listen;
    http.maxConnections = maxConnections;
    http.maxConnectionsPerCaller = maxConnections;
    auto handler = [frontend = &standin->m_frontend](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
        frontend->handle(std::move(request), std::move(responder));
    };
    auto server = HttpServer::listen(loop, std::move(http), std::move(handler));
    if (!server.ok())
        return server.status();
    standin->m_server = *std::move(server);
    return standin;
}

} // namespace catkinwing::standin
