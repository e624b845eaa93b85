#pragma once

#include "catkinwing/Http/HttpServer.h"
#include <optional>

namespace catkinwing {

/// Responder that keeps what it is given.
class FakeResponder final : public HttpResponder {
public:
    void sendHead(const HttpResponseHead& sent) override { head = sent; }
    void write(std::string bytes) override { body += bytes; }
    void finish() override { end(isFinished); }
    void abort() override { end(isAborted); }
    void send(const HttpResponseHead& sent, std::string text) override
    {
        head = sent;
        body = std::move(text);
        end(isFinished);
    }
    bool isOpen() const override { return !isGone && !isFinished && !isAborted; }
    std::size_t pendingBytes() const override { return pending; }
    void onWritable(std::function<void()> callback) override { writable = std::move(callback); }
    void onClosed(std::function<void()> callback) override { closed = std::move(callback); }

    /// The caller goes away.
    void leave()
    {
        std::function<void()> callback = std::move(closed);
        end(isGone);
        if (callback)
            callback();
    }
    /// Returns the outcome header, or an empty text.
    std::string outcome() const
    {
        const std::string* value = head ? head->headers.find("Catkinwing-Outcome") : nullptr;
        return value ? *value : "";
    }
    int status() const { return head ? head->status : 0; }

    std::optional<HttpResponseHead> head;
    std::string body;
    bool isFinished { false };
    bool isAborted { false };
    bool isGone { false };
    std::size_t pending { 0 };
    std::function<void()> writable;
    std::function<void()> closed;

private:
    // As the real one does: after the end its callbacks are released.
    void end(bool& how)
    {
        how = true;
        closed = nullptr;
        writable = nullptr;
    }
};

} // namespace catkinwing
