#include "catkinwing/Http/HttpServer.h"

#include "ServerCore.h"
#include "SocketAddressBytes.h"
#include <absl/strings/str_cat.h>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace catkinwing {

static constexpr int listenBacklog = 1024;
// Connections taken in one turn, so that a flood of them can't hold up the rest.
static constexpr int acceptsPerTurn = 64;
// Pause after the process ran out of descriptors.
static constexpr std::chrono::milliseconds acceptPause { 100 };

namespace {

    class H2oServer final : public HttpServer {
    public:
        H2oServer(EventLoop& loop, int listener, HttpServerOptions options, HttpHandler handler);
        ~H2oServer() override;
        H2oServer(const H2oServer&) = delete;
        H2oServer& operator=(const H2oServer&) = delete;

        SocketAddress address() const override { return m_address; }
        void stopListening() override;
        void discourage() override;
        std::size_t openConnections() const override { return m_core->openConnections(); }
        void setMaxBodyBytes(std::size_t bytes) override { m_core->setMaxBodyBytes(bytes); }
        std::size_t unsentAnswers() const override { return m_core->unsentAnswers(); }
        void replaceTls(std::shared_ptr<TlsContext> tls) override { m_core->replaceTls(std::move(tls)); }

    private:
        void startAccepting();
        void closeListener();
        void acceptSome();
        void pauseAccepting();

        EventLoop& m_loop;
        std::shared_ptr<ServerCore> m_core;
        SocketAddress m_address;
        int m_listenerDescriptor;
        h2o_socket_t* m_listener;
        TimerId m_resumeTimer { 0 };
    };

} // namespace

H2oServer::H2oServer(EventLoop& loop, int listener, HttpServerOptions options, HttpHandler handler)
    : m_loop(loop)
    , m_core(std::make_shared<ServerCore>(loop, std::move(options), std::move(handler)))
    , m_address(localAddressOf(listener))
    , m_listenerDescriptor(listener)
    , m_listener(h2o_evloop_socket_create(loop.impl().evloop, listener, H2O_SOCKET_FLAG_DONT_READ))
{
    m_listener->data = this;
    startAccepting();
}

// The core stays until h2o has closed its connections.
H2oServer::~H2oServer()
{
    closeListener();
    m_core->shutDown();
    m_loop.impl().retire([core = std::move(m_core)] { return core->openConnections() == 0; });
}

void H2oServer::startAccepting()
{
    h2o_socket_read_start(m_listener, [](h2o_socket_t* socket, const char*) {
        static_cast<H2oServer*>(socket->data)->acceptSome();
    });
}

void H2oServer::closeListener()
{
    m_loop.cancel(m_resumeTimer);
    if (m_listener)
        h2o_socket_close(m_listener);
    m_listener = nullptr;
}

void H2oServer::acceptSome()
{
    for (int i = 0; i < acceptsPerTurn; ++i) {
        sockaddr_storage peer {};
        socklen_t length = sizeof(peer);
        int descriptor = accept4(m_listenerDescriptor, reinterpret_cast<sockaddr*>(&peer), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            m_core->accept(descriptor, fromBytes(peer));
            continue;
        }
        bool isOutOfDescriptors = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        if (isOutOfDescriptors)
            pauseAccepting();
        if (errno != ECONNABORTED && errno != EINTR)
            return;
    }
}

void H2oServer::pauseAccepting()
{
    h2o_socket_read_stop(m_listener);
    m_resumeTimer = m_loop.callAfter(acceptPause, [this] { startAccepting(); });
}

void H2oServer::stopListening()
{
    if (!m_listener)
        return;
    closeListener();
    discourage();
}

void H2oServer::discourage()
{
    if (!m_core->isDraining())
        m_core->drain();
}

static absl::StatusOr<int> openListener(const SocketAddress& address)
{
    auto fault = [&address](const char* step) {
        return absl::UnavailableError(absl::StrCat("cannot ", step, " ", address.toString(), ": ", std::strerror(errno)));
    };
    auto bytes = toBytes(address);
    if (!bytes.ok())
        return bytes.status();
    int listener = socket(bytes->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener < 0)
        return fault("open a socket for");
    int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    bool isBound = bind(listener, bytes->address(), bytes->length) == 0;
    if (isBound && ::listen(listener, listenBacklog) == 0)
        return listener;
    absl::Status status = fault("listen on");
    ::close(listener);
    return status;
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop& loop, HttpServerOptions options, HttpHandler handler)
{
    absl::StatusOr<int> listener = openListener(options.listen);
    if (!listener.ok())
        return listener.status();
    return std::make_unique<H2oServer>(loop, *listener, std::move(options), std::move(handler));
}

} // namespace catkinwing
