#include "catkinwing/Standin/RawAnswerer.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace catkinwing::standin {

constexpr std::chrono::milliseconds pollInterval { 5 };
constexpr int listenBacklog = 64;

RawAnswerer::RawAnswerer(Scheduler& scheduler, ExecutionLog& log, RawAnswererOptions options, int listener)
    : m_scheduler(scheduler)
    , m_log(log)
    , m_options(std::move(options))
    , m_listener(listener)
{
    m_timer = m_scheduler.callAfter(pollInterval, [this] { poll(); });
}

RawAnswerer::~RawAnswerer()
{
    m_scheduler.cancel(m_timer);
    for (const auto& connection : m_connections)
        close(connection.first);
    close(m_listener);
}

static absl::StatusOr<sockaddr_in> toSocketBytes(const SocketAddress& address)
{
    sockaddr_in bytes {};
    bytes.sin_family = AF_INET;
    bytes.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &bytes.sin_addr) != 1)
        return absl::InvalidArgumentError(absl::StrCat("raw stand-in needs an IPv4 address, not ", address.host));
    return bytes;
}

absl::StatusOr<std::unique_ptr<RawAnswerer>> RawAnswerer::listen(Scheduler& scheduler, ExecutionLog& log, RawAnswererOptions options)
{
    auto wanted = toSocketBytes(options.listen);
    if (!wanted.ok())
        return wanted.status();
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener < 0)
        return absl::UnavailableError(absl::StrCat("can't open a socket: ", std::strerror(errno)));
    int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in bytes = *wanted;
    socklen_t length = sizeof(bytes);
    bool isListening = bind(listener, reinterpret_cast<const sockaddr*>(&bytes), length) == 0
        && ::listen(listener, listenBacklog) == 0
        && getsockname(listener, reinterpret_cast<sockaddr*>(&bytes), &length) == 0;
    if (!isListening) {
        absl::Status status = absl::UnavailableError(absl::StrCat("can't listen on ", options.listen.toString(), ": ", std::strerror(errno)));
        close(listener);
        return status;
    }
    options.listen.port = ntohs(bytes.sin_port);
    return std::unique_ptr<RawAnswerer>(new RawAnswerer(scheduler, log, std::move(options), listener));
}

void RawAnswerer::poll()
{
    acceptAll();
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        if (serve(connection->first, connection->second)) {
            ++connection;
            continue;
        }
        close(connection->first);
        connection = m_connections.erase(connection);
    }
    m_timer = m_scheduler.callAfter(pollInterval, [this] { poll(); });
}

void RawAnswerer::acceptAll()
{
    while (true) {
        int connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0)
            return;
        m_connections.emplace(connection, std::string());
    }
}

bool RawAnswerer::serve(int connection, std::string& received)
{
    char buffer[16 << 10];
    ssize_t count = recv(connection, buffer, sizeof(buffer), 0);
    if (count > 0) {
        received.append(buffer, static_cast<std::size_t>(count));
        return true;
    }
    bool isQuiet = count < 0 && (errno == EAGAIN || errno == EINTR);
    if (!isQuiet)
        return false;
    return received.empty() || answer(connection, received);
}

// An answer that the socket's buffer does not take at once ends the connection.
bool RawAnswerer::answer(int connection, std::string& received)
{
    CallIdentity identity;
    identity.marker = findMarker(received);
    received.clear();
    m_log.record(identity, ExecutionEvent::Received);
    ssize_t sent = send(connection, m_options.answer.data(), m_options.answer.size(), MSG_NOSIGNAL);
    bool isWhole = sent == static_cast<ssize_t>(m_options.answer.size());
    m_log.record(identity, isWhole ? ExecutionEvent::Finished : ExecutionEvent::Cut);
    return isWhole && !m_options.closesAfterAnswer;
}

} // namespace catkinwing::standin
