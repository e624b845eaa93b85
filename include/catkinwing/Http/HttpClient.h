#pragma once

#include "catkinwing/Http/EventLoop.h"
#include "catkinwing/Http/HttpMessage.h"
#include "catkinwing/Http/TlsContext.h"
#include <functional>
#include <memory>
#include <string>

namespace catkinwing {

/// How an exchange ended.
enum class HttpEnd {
    /// The whole response arrived. A body with neither a length nor chunks ends
    /// when the server closes in good order, which can't be told from a cut by
    /// a process in between; callers that mind look at the head's fields.
    Complete,
    /// No connection; not a byte of the request left.
    ConnectFailed,
    /// The connection ended before the head of the response, or while the
    /// request was still going out.
    NoResponse,
    /// The head, or the body's framing, is not HTTP, or the status is beyond 599 or below 100; also a
    /// request that isn't HTTP, which is not sent.
    Malformed,
    /// The body ended before its announced length or last chunk.
    Truncated,
    /// One of the timeouts passed.
    TimedOut,
};

/// The end of an exchange.
struct HttpResult {
    HttpEnd end { HttpEnd::Complete };
    /// False only if it is certain that the server got no byte of the request.
    bool mayHaveReachedServer { false };
    /// Says what failed, for logs; empty when complete.
    std::string detail;
    /// The body was longer than sendForWhole() was told to take.
    bool isBodyTooLong { false };
    /// Number of responses to earlier requests of the connection that were passed over.
    unsigned passedOverResponses { 0 };
};

/// A request to send. Fields that frame the message or manage the connection
/// (connection, content-length, expect, keep-alive, transfer-encoding, upgrade)
/// are the client's and are left out; host is added if missing.
struct HttpClientRequest {
    SocketAddress server;
    std::string method { "GET" };
    /// Path with the query.
    std::string target { "/" };
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout { 1'000 };
    /// Longest wait for the head of the response.
    std::chrono::milliseconds headTimeout { 60'000 };
    /// Longest silence inside the body.
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// Takes a connection that no other request has used, so that an idle
    /// close by the server can't make the outcome uncertain.
    bool freshConnection { false };
    /// Name of the field whose value the server repeats in its responses; empty if there is none. A
    /// connection carries a value at most once, so that no late response to an earlier request
    /// with it can be taken for the response to this one. Responses with another value are passed
    /// over. A request without a value, or with several, gets a connection of its own.
    std::string echoedField;
};

/// What the sender of a request is told, on the loop. After onEnd nothing
/// more is called, and the callbacks are released.
struct HttpClientCallbacks {
    std::function<void(const HttpResponseHead&)> onHead;
    std::function<void(absl::string_view bytes)> onBody;
    std::function<void(const HttpResult&)> onEnd;
};

/// Which connection a request went out on.
struct HttpConnectionUse {
    /// Unique within the client; zero before there is a connection.
    std::uint64_t number { 0 };
    /// Number of requests that the connection carried before.
    std::uint64_t earlierRequests { 0 };
};

/// A request under way. Dropping the handle cancels nothing.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /// Returns the connection that the request goes out on.
    virtual HttpConnectionUse connection() const { return {}; }
    /// Gives the exchange up and closes its connection; no callback runs after this.
    virtual void cancel() = 0;
    /// Stops reading the body, so that the server is slowed.
    virtual void pause() = 0;
    virtual void resume() = 0;
    /// Tells whether a byte of the request may already have left.
    virtual bool mayHaveReachedServer() const = 0;
};

/// Limits of a client.
struct HttpClientOptions {
    std::size_t maxIdleConnectionsPerServer { 64 };
    /// How long an unused connection is kept.
    std::chrono::milliseconds keepIdle { 4'000 };
    /// Plain text if null.
    std::shared_ptr<TlsContext> tls {};
    /// Takes a body with neither a length nor chunks as whole if the server closes in good order. Without it
    /// such a body is truncated, for servers that are known to frame each.
    bool acceptsUnframedBodies { true };
};

/// Sends HTTP/1.1 over pooled connections, kept after a failure only if that bears the echoed field.
class HttpClient {
public:
    virtual ~HttpClient() = default;
    /// Starts a request; callbacks run later, never inside this call.
    virtual std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) = 0;
    /// Drops the idle connections to \p server.
    virtual void forget(const SocketAddress& server) = 0;
    /// Uses \p tls for connections opened from now on.
    virtual void replaceTls(std::shared_ptr<TlsContext> tls) = 0;
};

/// Makes a client on \p loop, which must outlive it.
std::unique_ptr<HttpClient> makeHttpClient(EventLoop& loop, HttpClientOptions options);

/// Sends a request and hands over the whole response, at most \p maxBodyBytes
/// of body; longer ones end as Malformed.
std::shared_ptr<HttpExchange> sendForWhole(HttpClient& client, HttpClientRequest request, std::size_t maxBodyBytes,
    std::function<void(const HttpResult&, const HttpResponseHead&, std::string body)> done);

} // namespace catkinwing
