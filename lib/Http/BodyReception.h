// The body of an HTTP/1 request between its head and the handler.
#pragma once

#include "ServerCore.h"
#include "catkinwing/Http/ClientMemory.h"
#include <memory>

namespace catkinwing {

class ServerResponse;

/// Receives the body of one request and hands the whole request to the server's handler. A body that
/// can't be taken is refused as soon as that is known; what still comes of it is read past for a
/// while, as closing at once would reset the connection before the client has read the answer.
class BodyReception : public std::enable_shared_from_this<BodyReception> {
public:
    /// Begins to receive the body whose head h2o has just read.
    static void begin(ServerConnection& connection, HttpRequest request, std::shared_ptr<ServerResponse> response);

    BodyReception(ServerConnection& connection, HttpRequest request, std::shared_ptr<ServerResponse> response);
    ~BodyReception();
    BodyReception(const BodyReception&) = delete;
    BodyReception& operator=(const BodyReception&) = delete;

    /// Answers \p status, which promises that the request hasn't run, and releases the body.
    void refuse(int status);
    bool isRefused() const { return m_isRefused; }
    /// Describes what the body holds.
    ConnectionLoad load() const;

private:
    static void onInput(h2o_socket_t* socket, const char* error);

    void receive(const char* error);
    void advance(absl::string_view newBytes);
    std::size_t take(absl::string_view data);
    bool reserve(std::size_t bytes);
    bool mustWait();
    void startReading();
    void stop();
    void complete();
    void refuseFraming();
    void linger();
    void closeRefused();

    ServerConnection& m_connection;
    ServerCore& m_core;
    HttpRequest m_request;
    std::shared_ptr<ServerResponse> m_response;
    std::shared_ptr<HttpResponder> m_responder;
    std::shared_ptr<HeldBytes> m_held;
    std::shared_ptr<HeldBytes> m_heldForAttempt;
    std::string m_body;
    std::size_t m_maxBytes;
    std::size_t m_received { 0 };
    /// Bytes read of the body, with the lines of its chunks.
    std::size_t m_read { 0 };
    std::size_t m_passedOver { 0 };
    TimePoint m_begunAt;
    TimePoint m_movedAt;
    TimePoint m_lingerEnd {};
    TimerId m_timer { 0 };
    bool m_isRefused { false };
    bool m_isResumed { false };
};

} // namespace catkinwing
