#pragma once

#include <absl/status/statusor.h>
#include <memory>
#include <string>

struct ssl_ctx_st;

namespace catkinwing {

/// Files of a TLS identity; all PEM.
struct TlsFiles {
    std::string certificateFile;
    std::string keyFile;
    /// Authorities for the other side; a server given one demands a client certificate.
    std::string authorityFile;
    /// Client only: demands that the server's certificate names the IP address
    /// dialled among its subject alternative names, besides a valid chain.
    bool checkServerAddress { true };
};

/// Settings of TLS shared by connections; replaced whole on reload, while
/// open connections keep the one they began with.
class TlsContext {
public:
    /// Makes the context of a server, which offers h2 and http/1.1.
    static absl::StatusOr<std::shared_ptr<TlsContext>> forServer(const TlsFiles& files);
    /// Makes the context of a client, which verifies the server.
    static absl::StatusOr<std::shared_ptr<TlsContext>> forClient(const TlsFiles& files);

    ~TlsContext();
    TlsContext(const TlsContext&) = delete;
    TlsContext& operator=(const TlsContext&) = delete;
    /// Returns the common name of the own certificate; empty without one.
    std::string commonName() const;
    ssl_ctx_st* native() const { return m_context; }

private:
    explicit TlsContext(ssl_ctx_st* context)
        : m_context(context)
    {
    }

    ssl_ctx_st* m_context;
};

} // namespace catkinwing
