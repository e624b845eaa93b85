#pragma once

#include "catkinwing/Http/ClientMemory.h"
#include "catkinwing/Http/EventLoop.h"
#include "catkinwing/Http/HttpMessage.h"
#include "catkinwing/Http/TlsContext.h"
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>

namespace catkinwing {

/// The answer to one request. Whoever holds it may answer at any later time;
/// calls after the caller has gone do nothing. Dropping the last reference to
/// an answer that has not ended aborts it.
///
/// What is sent goes out at the end of the loop's turn. The framing is the
/// server's: of the head's fields, content-length is kept (an answer that turns
/// out shorter or longer is aborted) and connection, transfer-encoding, date
/// and server are left out, as are fields that are not valid HTTP.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;
    /// Sends the head; the body follows by write() and finish(). Once only.
    virtual void sendHead(const HttpResponseHead& head) = 0;
    /// Queues body bytes; see pendingBytes() and onWritable().
    virtual void write(std::string bytes) = 0;
    /// Ends the body as complete.
    virtual void finish() = 0;
    /// Cuts the answer off so that the caller can see it is not whole
    /// (connection closed before the end, or the stream reset).
    virtual void abort() = 0;
    /// Sends head and body at once, with a content-length.
    virtual void send(const HttpResponseHead& head, std::string body) = 0;
    /// Tells whether the caller is still there and the answer not yet ended.
    virtual bool isOpen() const = 0;
    /// Returns the bytes given to write() that the transport has not yet taken.
    virtual std::size_t pendingBytes() const = 0;
    /// Calls \p callback whenever the transport has taken all pending bytes.
    virtual void onWritable(std::function<void()> callback) = 0;
    /// Calls \p callback once if the caller goes before the answer has ended.
    /// An HTTP/1 caller that closes its sending side counts as gone. Not
    /// called when the server itself is destroyed.
    virtual void onClosed(std::function<void()> callback) = 0;
};

/// Called on the loop for each request; the responder may be kept.
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// The answer to a request whose body isn't taken.
struct HttpRefusal {
    HttpResponseHead head;
    std::string body;
};

/// What a server listens on and the limits it keeps.
struct HttpServerOptions {
    SocketAddress listen;
    /// Larger bodies are answered 413; over HTTP/2 their stream is reset.
    std::size_t maxBodyBytes { 8u << 20 };
    /// Counts what is held for the clients of all servers that share it; without bound if null.
    /// Where there is no room for a body, it is answered 503.
    std::shared_ptr<ClientMemory> memory {};
    /// Makes the answer with status 408, 413 or 503 to a request whose body isn't taken; plain text
    /// if null. Such a request hasn't reached the handler.
    std::function<HttpRefusal(int status)> makeRefusal {};
    /// Whether HTTP/2 is spoken with clients that begin with it.
    bool allowsHttp2 { true };
    /// Longest wait for a whole head, and then for a whole body, to arrive on a connection, and so
    /// also the time that an idle connection is kept. A body that is later is answered 408.
    std::chrono::milliseconds requestTimeout { 10'000 };
    /// Longest time that a caller may take nothing of an answer that has ended;
    /// its connection is closed then.
    std::chrono::milliseconds sendTimeout { 60'000 };
    std::size_t maxConnections { 4096 };
    std::size_t maxConnectionsPerCaller { 1024 };
    /// Called for each HTTP/1 request that is answered 400 since its end is in doubt, with the
    /// reason as a name for a metric. Its connection is closed, and what follows it isn't read.
    std::function<void(const SocketAddress& caller, const std::string& reason)> onRefused {};
    /// Plain text if null.
    std::shared_ptr<TlsContext> tls;
};

/// Serves HTTP/1.1 and, by prior knowledge or ALPN, HTTP/2 on one address. The framing of HTTP/1
/// requests is read strictly by RFC 9112.
class HttpServer {
public:
    /// Starts to listen; port 0 takes a free one.
    static absl::StatusOr<std::unique_ptr<HttpServer>> listen(EventLoop& loop, HttpServerOptions options, HttpHandler handler);
    virtual ~HttpServer() = default;
    /// Returns the address in use, with the port that was taken.
    virtual SocketAddress address() const = 0;
    /// Closes the listening socket; requests in progress, and those that still
    /// arrive on open connections, go on. HTTP/2 callers are told to go. HTTP/1
    /// connections close after their next answer, or within seconds if idle.
    virtual void stopListening() = 0;
    /// Goes on listening, but closes each connection after its next answer, or
    /// within seconds if idle, so that callers turn to other servers.
    virtual void discourage() = 0;
    virtual std::size_t openConnections() const = 0;
    /// Sets the largest body of requests whose heads arrive from now on, in bytes.
    virtual void setMaxBodyBytes(std::size_t bytes) = 0;
    /// Returns the answers that have ended, but of which the transport hasn't yet taken all bytes.
    virtual std::size_t unsentAnswers() const = 0;
    /// Uses \p tls for the connections accepted from now on.
    virtual void replaceTls(std::shared_ptr<TlsContext> tls) = 0;
};

} // namespace catkinwing
