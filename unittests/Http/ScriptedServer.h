// A client, and a server that answers what a test says.
#pragma once

#include "HttpFixture.h"
#include "RawSocket.h"

namespace catkinwing {

inline const std::string okEmpty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A client, and a server that answers what the test says.
struct ScriptedServer {
    explicit ScriptedServer(HttpClientOptions options = {})
        : loop(clock)
        , client(makeHttpClient(loop, std::move(options)))
    {
    }

    std::shared_ptr<Recorded> send(HttpClientRequest request)
    {
        return sendRecorded(*client, std::move(request));
    }
    std::shared_ptr<Recorded> send(const std::string& target = "/") { return send(requestFor(server.address(), target)); }

    /// Waits for a connection and a request on it.
    std::unique_ptr<RawConnection> serve()
    {
        auto connection = server.waitForConnection(loop);
        REQUIRE(connection);
        REQUIRE(connection->receiveUntil(loop, "\r\n\r\n"));
        return connection;
    }

    void waitForEnd(const std::shared_ptr<Recorded>& recorded)
    {
        REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
        CHECK(recorded->ends == 1);
    }

    SystemClock clock;
    EventLoop loop;
    RawServer server;
    std::unique_ptr<HttpClient> client;
};

} // namespace catkinwing
