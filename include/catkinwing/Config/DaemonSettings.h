#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Config/KeySettings.h"
#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/strings/string_view.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// The addresses of an entry's three listeners.
struct ListenerAddresses {
    SocketAddress callers;
    SocketAddress peers;
    /// For operators and metrics.
    SocketAddress operators;
};

/// Files of a TLS identity; all PEM.
struct TlsSettings {
    std::string certificateFile;
    std::string keyFile;
    /// Empty if the other side need not show a certificate.
    std::string authorityFile;
};

/// TLS of each listener; plain TCP where absent.
struct ListenerTls {
    std::optional<TlsSettings> callers;
    std::optional<TlsSettings> peers;
    std::optional<TlsSettings> operators;
};

/// An operator's token.
struct OperatorToken {
    KeySettings key;
    /// The one document that the token reaches; every document if empty.
    std::string subtree;
};

/// Limits of a whole entry.
struct DaemonLimits {
    /// Open connections of callers.
    std::int64_t maximumConnections { 1024 };
    /// Descriptors that the process may open; zero if not stated.
    std::int64_t maximumDescriptors { 0 };
    std::int64_t maximumBodyBytes { 8000000 };
    /// Memory that the process may use, in megabytes of 1,000,000 bytes; zero if not stated.
    double maximumMemoryMegabytes { 0 };
};

/// Returns the connections that callers may hold open.
std::int64_t connectionsForCallers(const DaemonLimits& limits);

/// Serving by host and path.
struct IngressSettings {
    SocketAddress readiness;
    SocketAddress directory;
    std::map<std::string, std::string> regionOfZone;
    Duration drainTimeout { std::chrono::seconds(8) };
    Duration directoryLifetime { std::chrono::seconds(1) };
    double retryRatio { 0.2 };
    double retrySlack { 50 };
    double coldRatio { 1.5 };
    double coldSlack { 3 };
    /// Window in which the use of a workspace's limit is judged.
    Duration limitWindow { std::chrono::seconds(8) };
    double limitOverage { 0.1 };
    double limitSlack { 190'000 };
    /// Whether scarce capacity is divided between workspaces.
    bool sharesShortage { false };
    /// Names of the parts of the platform's contract that are in force. The platform's adapter
    /// knows what they call for.
    std::vector<std::string> contracts;
};

/// The settings file of one daemon.
struct DaemonSettings {
    std::string name;
    std::string region;
    std::string availabilityZone;
    ListenerAddresses listen;
    /// Where others reach the entry; same as `listen` where the file says nothing.
    ListenerAddresses advertise;
    std::vector<SocketAddress> store;
    std::vector<SocketAddress> directory;
    std::optional<SocketAddress> weightStore;
    std::vector<SocketAddress> peerSeeds;
    ListenerTls tls;
    std::vector<OperatorToken> operatorTokens;
    DaemonLimits limits;
    /// Replaces the interface for teams where present.
    std::optional<IngressSettings> ingress;
    /// Allows the fault switches of the peer listener.
    bool testFaults { false };
};

/// Reads a settings file.
ConfigResult<DaemonSettings> parseDaemonSettings(absl::string_view text);

} // namespace catkinwing
