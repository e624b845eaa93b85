#pragma once

#include "catkinwing/Http/HttpServer.h"
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace catkinwing {

/// Keeps what a caller would get.
class FakeResponder final : public HttpResponder {
public:
    void sendHead(const HttpResponseHead& sent) override
    {
        if (!isOpen())
            return;
        head = sent;
        hasHead = true;
    }
    void write(std::string bytes) override
    {
        if (!isOpen())
            return;
        body += bytes;
        writes.push_back(std::move(bytes));
    }
    void finish() override
    {
        if (isOpen())
            end(isFinished);
    }
    void abort() override
    {
        if (isOpen())
            end(isAborted);
    }
    void send(const HttpResponseHead& sent, std::string bytes) override
    {
        sendHead(sent);
        write(std::move(bytes));
        finish();
    }
    bool isOpen() const override { return !isFinished && !isAborted && !isGone; }
    std::size_t pendingBytes() const override { return pending; }
    void onWritable(std::function<void()> callback) override { m_writable = std::move(callback); }
    void onClosed(std::function<void()> callback) override { m_closed = std::move(callback); }

    /// The caller closes its connection.
    void goAway()
    {
        isGone = true;
        if (m_closed)
            std::exchange(m_closed, nullptr)();
    }
    /// The transport takes all pending bytes.
    void drain()
    {
        pending = 0;
        auto writable = m_writable;
        if (writable)
            writable();
    }
    nlohmann::json json() const { return nlohmann::json::parse(body); }
    std::string header(absl::string_view name) const
    {
        const std::string* value = head.headers.find(name);
        return value ? *value : std::string();
    }

    HttpResponseHead head;
    bool hasHead { false };
    std::string body;
    std::vector<std::string> writes;
    bool isFinished { false };
    bool isAborted { false };
    bool isGone { false };
    std::size_t pending { 0 };

private:
    /// Releases the callbacks, as the real one does.
    void end(bool& how)
    {
        how = true;
        m_writable = nullptr;
        m_closed = nullptr;
    }

    std::function<void()> m_writable;
    std::function<void()> m_closed;
};

} // namespace catkinwing
