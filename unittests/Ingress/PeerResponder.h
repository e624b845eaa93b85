// Carries the answer of one simulated entry to another.
#pragma once

#include "Coordination/FakeHttpClient.h"
#include "catkinwing/Http/HttpServer.h"

namespace catkinwing {

/// Passes an answer on to the callbacks of the entry that forwarded the request, after a
/// latency.
class PeerResponder final : public HttpResponder {
public:
    PeerResponder(Scheduler& scheduler, Duration latency, HttpClientCallbacks callbacks)
        : m_scheduler(scheduler)
        , m_latency(latency)
        , m_callbacks(std::move(callbacks))
        , m_exchange(std::make_shared<FakeHttpClient::Exchange>())
    {
        m_exchange->mayHaveReached = true;
    }

    void sendHead(const HttpResponseHead& head) override
    {
        callLater([head](const HttpClientCallbacks& to) { to.onHead(head); });
    }
    void write(std::string bytes) override
    {
        callLater([bytes](const HttpClientCallbacks& to) { to.onBody(bytes); });
    }
    void finish() override { end(HttpEnd::Complete); }
    void abort() override { end(HttpEnd::Truncated); }
    void send(const HttpResponseHead& head, std::string body) override
    {
        sendHead(head);
        write(std::move(body));
        finish();
    }
    bool isOpen() const override { return !m_hasEnded; }
    std::size_t pendingBytes() const override { return 0; }
    void onWritable(std::function<void()>) override { }
    void onClosed(std::function<void()> callback) override { m_closed = std::move(callback); }

    /// Closes the connection as if the answering process had terminated.
    void breakConnection()
    {
        std::function<void()> closed = std::move(m_closed);
        if (!m_hasEnded)
            end(HttpEnd::NoResponse);
        if (closed)
            closed();
    }
    std::shared_ptr<FakeHttpClient::Exchange> exchange() const { return m_exchange; }

private:
    void callLater(std::function<void(const HttpClientCallbacks&)> callback)
    {
        m_scheduler.callAfter(m_latency, [exchange = m_exchange, callbacks = m_callbacks, callback = std::move(callback)] {
            if (!exchange->isCancelled)
                callback(callbacks);
        });
    }
    void end(HttpEnd how)
    {
        m_hasEnded = true;
        m_closed = nullptr;
        callLater([how](const HttpClientCallbacks& to) { to.onEnd({ how, true, "" }); });
    }

    Scheduler& m_scheduler;
    Duration m_latency;
    HttpClientCallbacks m_callbacks;
    std::shared_ptr<FakeHttpClient::Exchange> m_exchange;
    std::function<void()> m_closed;
    bool m_hasEnded { false };
};

} // namespace catkinwing
