// An endpoint that answers with bytes of a test's choice, which may break every rule of HTTP.
#pragma once

#include "RawSocket.h"
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <vector>

namespace catkinwing {

/// What the endpoint does with its connection after an answer.
enum class ConnectionEnd {
    Kept,
    /// Closed by the kernel's rules, by which unread input resets the connection.
    Closed,
    Reset,
    /// Ended in an orderly way with the answer, and reset later.
    EndedThenReset,
};

/// What the endpoint answers.
struct ScriptedAnswer {
    /// Bytes sent; "{id}" stands for the request's attempt ID and "{name}" for the last part of its path.
    std::string bytes;
    ConnectionEnd end { ConnectionEnd::Kept };
    /// Answers as soon as the head of a request has arrived, and reads no more.
    bool leavesBodyUnread { false };
    /// Time from the answer to the end of the connection.
    Duration endDelay {};
};

/// Serves requests one after another on each connection, as long as it exists.
class ScriptedEndpoint {
public:
    explicit ScriptedEndpoint(EventLoop& loop)
        : m_loop(loop)
    {
        schedulePoll();
    }
    ~ScriptedEndpoint() { m_loop.cancel(m_timer); }
    ScriptedEndpoint(const ScriptedEndpoint&) = delete;
    ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

    SocketAddress address() const { return m_server.address(); }
    int requests() const { return m_requests; }

    ScriptedAnswer answer;

private:
    struct Connection {
        std::unique_ptr<RawConnection> socket;
        TimePoint endsAt {};
        bool isAnswered { false };
    };

    void schedulePoll()
    {
        m_timer = m_loop.callAfter(std::chrono::milliseconds(1), [this] {
            while (auto accepted = m_server.accept())
                m_connections.push_back({ std::move(accepted) });
            for (Connection& connection : m_connections)
                serve(connection);
            schedulePoll();
        });
    }

    /// Returns the value of a field of the request's head; empty without the field.
    static std::string fieldOf(absl::string_view received, absl::string_view name)
    {
        for (absl::string_view line : absl::StrSplit(received.substr(0, received.find("\r\n\r\n")), "\r\n")) {
            std::pair<absl::string_view, absl::string_view> field = absl::StrSplit(line, absl::MaxSplits(": ", 1));
            if (absl::EqualsIgnoreCase(field.first, name))
                return std::string(field.second);
        }
        return {};
    }

    /// Returns the last part of the request's path.
    static std::string nameOf(absl::string_view received)
    {
        absl::string_view target = received.substr(0, received.find(" HTTP/"));
        return std::string(target.substr(target.rfind('/') + 1));
    }

    bool isReadEnough(const std::string& received) const
    {
        std::size_t headEnd = received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return false;
        std::size_t length = 0;
        (void)absl::SimpleAtoi(fieldOf(received, "content-length"), &length);
        return answer.leavesBodyUnread || received.size() >= headEnd + 4 + length;
    }

    void serve(Connection& connection)
    {
        if (connection.isAnswered) {
            end(connection);
            return;
        }
        constexpr std::size_t headBytes = 2'048;
        if (answer.leavesBodyUnread)
            connection.socket->receiveAtMost(headBytes);
        else
            connection.socket->receive();
        const std::string& received = connection.socket->received();
        if (!isReadEnough(received))
            return;
        ++m_requests;
        connection.socket->send(absl::StrReplaceAll(answer.bytes, { { "{id}", fieldOf(received, "attempt-id") }, { "{name}", nameOf(received) } }));
        connection.socket->clear();
        if (answer.end == ConnectionEnd::EndedThenReset)
            connection.socket->shutdownSend();
        connection.isAnswered = answer.end != ConnectionEnd::Kept;
        connection.endsAt = m_loop.clock().now() + answer.endDelay;
        end(connection);
    }

    void end(Connection& connection)
    {
        if (!connection.isAnswered || m_loop.clock().now() < connection.endsAt)
            return;
        if (answer.end == ConnectionEnd::Closed)
            connection.socket->close();
        else
            connection.socket->reset();
    }

    EventLoop& m_loop;
    RawServer m_server;
    std::vector<Connection> m_connections;
    TimerId m_timer { 0 };
    int m_requests { 0 };
};

} // namespace catkinwing
