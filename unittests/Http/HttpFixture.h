// A server and a client on one loop, over loopback.
#pragma once

#include "LoopDriver.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Http/HttpServer.h"
#include <catch2/catch.hpp>
#include <vector>

namespace catkinwing {

/// What a client was told of one exchange.
struct Recorded {
    std::shared_ptr<HttpExchange> exchange;
    int heads { 0 };
    HttpResponseHead head;
    std::string body;
    int ends { 0 };
    HttpResult result;

    bool hasEnded() const { return ends > 0; }
};

/// Starts \p request and records what comes of it.
inline std::shared_ptr<Recorded> sendRecorded(HttpClient& client, HttpClientRequest request)
{
    auto recorded = std::make_shared<Recorded>();
    HttpClientCallbacks callbacks;
    callbacks.onHead = [recorded](const HttpResponseHead& head) {
        ++recorded->heads;
        recorded->head = head;
    };
    callbacks.onBody = [recorded](absl::string_view bytes) { recorded->body.append(bytes.data(), bytes.size()); };
    callbacks.onEnd = [recorded](const HttpResult& result) {
        ++recorded->ends;
        recorded->result = result;
    };
    recorded->exchange = client.send(std::move(request), std::move(callbacks));
    return recorded;
}

/// Makes a request for \p target.
inline HttpClientRequest requestFor(const SocketAddress& server, std::string target = "/")
{
    HttpClientRequest request;
    request.server = server;
    request.target = std::move(target);
    return request;
}

/// Starts a server on a free port of loopback.
inline std::unique_ptr<HttpServer> startServer(EventLoop& loop, HttpHandler handler, HttpServerOptions options = {})
{
    options.listen = { "127.0.0.1", 0 };
    auto server = HttpServer::listen(loop, std::move(options), std::move(handler));
    REQUIRE(server.ok());
    return std::move(*server);
}

/// Makes a head of \p status without fields.
inline HttpResponseHead headOf(int status)
{
    HttpResponseHead head;
    head.status = status;
    return head;
}

} // namespace catkinwing
