// The answer to one request, between its holder and h2o.
#pragma once

#include "AnswerFraming.h"
#include "ServerCore.h"
#include <optional>

namespace catkinwing {

/// State of an answer. The holder's handle and the request's memory pool each
/// own it, so it outlives whichever goes first.
class ServerResponse final : public std::enable_shared_from_this<ServerResponse> {
public:
    using Callback = std::function<void()>;

    /// Ties a new answer to \p request.
    static std::shared_ptr<ServerResponse> create(h2o_req_t& request, ServerConnection* connection);
    /// Makes the handle that a handler is given; an answer left unfinished
    /// when the handle goes is aborted.
    std::shared_ptr<HttpResponder> makeHandle();

    /// Begins to notice that the caller has gone; for answers that take a while.
    void watchCaller();

    /// Counts what h2o keeps of the request's HTTP/2 stream.
    void holdStream(std::size_t bytes);
    /// Closes the connection when the answer has been sent.
    void closeAfterwards();
    /// Asks the client to send the body. Answers wait until that is out.
    void sendContinue();

    void sendHead(const HttpResponseHead& head);
    void write(std::string bytes);
    void finish();
    void abort();
    bool isOpen() const { return m_request && !m_isEnded; }
    std::size_t pendingBytes() const { return m_pendingBytes; }
    void onWritable(Callback callback);
    void onClosed(Callback callback);

private:
    struct Generator {
        h2o_generator_t base;
        ServerResponse* response;
    };

    ServerResponse(h2o_req_t& request, ServerConnection* connection);

    static void proceed(h2o_generator_t* generator, h2o_req_t* request);
    static void disposeOwner(void* owner);
    void setPendingBytes(std::size_t bytes);
    void unwatchCaller();
    void fillHead(const HttpResponseHead& head);
    void addField(const HttpHeader& field);
    void end();
    void releaseCallbacks();
    void startResponse();
    void scheduleFlush();
    void flush();
    bool isEndDue() const;
    void sendEnd();
    void sendHeadAlone();
    void sendQueued(h2o_send_state_t state);
    void cut();
    void didProceed();
    void didLoseCaller();
    void didDispose();

    EventLoop::Impl& m_loop;
    h2o_req_t* m_request;
    ServerConnection* m_connection;
    Generator m_generator;
    HeldBytes m_held;
    HeldBytes m_heldStream;
    std::vector<std::string> m_queued;
    std::vector<std::string> m_sending;
    std::size_t m_pendingBytes { 0 };
    std::optional<std::size_t> m_bodyLeft;
    bool m_hasBody { true };
    /// Decided when the holder gives the head.
    AnswerFraming m_framing { AnswerFraming::NoBody };
    /// The line before the chunk that is being sent.
    std::string m_chunkSizeLine;
    bool m_isStarted { false };
    bool m_isHeadSent { false };
    bool m_isSending { false };
    bool m_isEnded { false };
    bool m_isAborted { false };
    bool m_isFlushScheduled { false };
    PeerCloseWatcher::Token m_watchToken { 0 };
    Callback m_onWritable;
    Callback m_onClosed;
};

} // namespace catkinwing
