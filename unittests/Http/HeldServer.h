// A server whose handler keeps what it is given, for tests to answer.
#pragma once

#include "HttpFixture.h"
#include "RawSocket.h"

namespace catkinwing {

inline const std::string getRequest = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A server whose handler keeps what it is given, and a caller.
struct HeldServer {
    explicit HeldServer(HttpServerOptions options = {})
        : loop(clock)
    {
        server = startServer(
            loop, [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                responder->onClosed([this] { ++closed; });
                requests.push_back(std::move(request));
                responders.push_back(std::move(responder));
            },
            std::move(options));
    }

    /// Connects, sends \p bytes and waits for the handler to get a request.
    std::unique_ptr<RawConnection> call(const std::string& bytes = getRequest)
    {
        auto caller = RawConnection::connect(server->address());
        REQUIRE(caller);
        std::size_t before = responders.size();
        caller->send(bytes);
        REQUIRE(runUntil(loop, [&] { return responders.size() > before; }));
        return caller;
    }

    SystemClock clock;
    EventLoop loop;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    int closed { 0 };
    std::unique_ptr<HttpServer> server;
};

} // namespace catkinwing
