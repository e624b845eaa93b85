#pragma once

#include "catkinwing/Config/Workspace.h"
#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// What may be done with a request whose outcome is unknown.
enum class RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// May be executed at most once.
    NonIdempotent,
    /// Answered by a stream of events; executed at most once unless it resumes.
    Streaming,
};

/// A service that a route sends to, with its part of the traffic.
struct WeightedService {
    std::string service;
    double weight { 1 };
};

/// Where the requests of one host and path prefix go, and how.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind { RequestKind::NonIdempotent };
    /// Longest time until the final answer, counted from the arrival.
    std::chrono::milliseconds timeout { 0 };
    /// Answers later than this are worth less to the client.
    std::chrono::milliseconds latencyTarget { 0 };
    /// Longest pause between two events of a stream that is still in time.
    std::chrono::milliseconds eventPause { 0 };
    /// Zero is the most urgent.
    int priority { 0 };
    /// Most endpoints that may get one request.
    unsigned attempts { 1 };
    /// A broken stream may go on at another endpoint.
    bool isResumable { false };
    /// Requests share parts of their prompts.
    bool hasPromptAffinity { false };
    /// At least one; weights need not add up to one.
    std::vector<WeightedService> services;
    /// Regions that may process the requests; all if empty.
    std::vector<std::string> homeRegions;
    /// Requests need no key.
    bool isPublic { false };
};

/// Tells whether a request of the route may be executed a second time.
bool mayRepeat(const Route& route);

class RouteTable;

/// Where the requests of a host may be processed. A directory answers for the
/// host alone, without knowing the path.
struct HostHomes {
    /// The regions that most of the host's bound routes allow; empty if none of
    /// its routes is bound to its homes.
    std::vector<std::string> regions;
    /// Every route of the host is bound.
    bool bindsAll { false };
    /// Requests of the host go to services that serve mixed prompts, so that few entries can't
    /// stand in for many: the host's urgent callers have little time.
    bool hasTightTargets { false };
};

HostHomes homesOf(const RouteTable& table, absl::string_view host);

/// A group of endpoints that serve the same requests.
struct ServiceSettings {
    std::string name;
    std::string healthPath;
    /// Connections that one endpoint takes from all entries together.
    unsigned maxConnections { 0 };
    /// How long an endpoint is cold after it has started.
    std::chrono::milliseconds warmup { 0 };
    /// Requests a second that a cold endpoint bears, from all entries
    /// together; zero means that it needs no care.
    double coldRequestsPerSecond { 0 };
    /// Requests that an endpoint runs at once; zero if not stated.
    unsigned slots { 0 };
    /// Tokens of prompts and answers that fit in an endpoint's memory; zero if
    /// it is no model engine.
    std::int64_t memoryTokens { 0 };
    /// Bytes of one cached token, and the bandwidth of an endpoint's link to others in bits a
    /// second; zero if endpoints don't transfer cached segments.
    std::int64_t tokenBytes { 0 };
    double transferBitsPerSecond { 0 };
};

/// What the routes of a service ask that are as urgent as one priority or more.
struct UrgencyLevel {
    int priority { 0 };
    /// The shortest latency target among them; zero if none is stated.
    std::chrono::milliseconds tightestTarget { 0 };
};

/// Limits of what clients may send.
struct ClientLimits {
    std::int64_t maxBodyBytes { 4 << 20 };
};

/// The routes, services and workspaces of one version of the configuration.
class RouteTable {
public:
    RouteTable() = default;
    RouteTable(std::int64_t version, std::vector<Route> routes, std::vector<ServiceSettings> services, ClientLimits limits, WorkspaceTable workspaces = {});

    std::int64_t version() const { return m_version; }
    const std::vector<Route>& routes() const { return m_routes; }
    const std::vector<ServiceSettings>& services() const { return m_services; }
    const ClientLimits& limits() const { return m_limits; }
    /// Callers need a key unless this is empty.
    const WorkspaceTable& workspaces() const { return m_workspaces; }
    /// Returns the route of \p host with the longest prefix that begins
    /// \p path; null if there is none. Hosts compare without case and port.
    const Route* find(absl::string_view host, absl::string_view path) const;
    const ServiceSettings* findService(absl::string_view name) const;
    /// Returns the priorities of the routes to a service, the most urgent first.
    const std::vector<UrgencyLevel>& urgenciesOf(absl::string_view service) const;
    /// Returns whether streams with prompts of several priorities use the service, and the most
    /// urgent ones have the shortest latency target. Long prompts of the others then delay
    /// callers who have less time.
    bool servesMixedPrompts(absl::string_view service) const;

private:
    std::int64_t m_version { 0 };
    std::vector<Route> m_routes;
    std::vector<ServiceSettings> m_services;
    ClientLimits m_limits;
    WorkspaceTable m_workspaces;
    /// Index in m_routes by host and prefix.
    absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, std::size_t>> m_routesOfHost;
    absl::flat_hash_map<std::string, std::size_t> m_serviceIndex;
    absl::flat_hash_map<std::string, std::vector<UrgencyLevel>> m_urgencies;
    absl::flat_hash_set<std::string> m_mixedServices;
};

} // namespace catkinwing
