#include "catkinwing/Config/RouteTable.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <map>

namespace catkinwing {

bool mayRepeat(const Route& route)
{
    bool isStreaming = route.kind == RequestKind::Streaming;
    return route.kind == RequestKind::Idempotent || (isStreaming && route.isResumable);
}

static std::string hostKey(absl::string_view host)
{
    std::size_t colon = host.rfind(':');
    bool isBracketed = !host.empty() && host.back() == ']';
    if (colon != absl::string_view::npos && !isBracketed)
        host = host.substr(0, colon);
    return absl::AsciiStrToLower(host);
}

static std::chrono::milliseconds tighterOf(std::chrono::milliseconds first, std::chrono::milliseconds second)
{
    constexpr std::chrono::milliseconds notStated { 0 };
    if (first == notStated || second == notStated)
        return std::max(first, second);
    return std::min(first, second);
}

static std::vector<UrgencyLevel> levelsOf(const std::map<int, std::chrono::milliseconds>& targets)
{
    std::vector<UrgencyLevel> levels;
    std::chrono::milliseconds tightest { 0 };
    for (const auto& [priority, target] : targets) {
        tightest = tighterOf(tightest, target);
        levels.push_back({ priority, tightest });
    }
    return levels;
}

// An unset target counts as longer than any other.
static bool hasTightestAtMostUrgent(const std::map<int, std::chrono::milliseconds>& targets)
{
    constexpr std::chrono::milliseconds notStated { 0 };
    if (targets.size() < 2 || targets.begin()->second == notStated)
        return false;
    std::chrono::milliseconds mostUrgent = targets.begin()->second;
    return std::all_of(std::next(targets.begin()), targets.end(), [&](const auto& level) { return level.second == notStated || mostUrgent < level.second; });
}

RouteTable::RouteTable(std::int64_t version, std::vector<Route> routes, std::vector<ServiceSettings> services, ClientLimits limits, WorkspaceTable workspaces)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
    , m_workspaces(std::move(workspaces))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_routesOfHost[hostKey(m_routes[i].host)].emplace(m_routes[i].prefix, i);
    for (std::size_t i = 0; i < m_services.size(); ++i)
        m_serviceIndex.emplace(m_services[i].name, i);
    std::map<std::string, std::map<int, std::chrono::milliseconds>> targets;
    for (const Route& route : m_routes) {
        for (const WeightedService& service : route.services) {
            std::chrono::milliseconds& target = targets[service.service][route.priority];
            target = tighterOf(target, route.latencyTarget);
        }
    }
    for (const auto& [service, ofService] : targets)
        m_urgencies[service] = levelsOf(ofService);
    std::map<std::string, std::map<int, std::chrono::milliseconds>> promptTargets;
    for (const Route& route : m_routes) {
        if (route.kind != RequestKind::Streaming || !route.hasPromptAffinity)
            continue;
        for (const WeightedService& service : route.services) {
            std::chrono::milliseconds& target = promptTargets[service.service][route.priority];
            target = tighterOf(target, route.latencyTarget);
        }
    }
    for (const auto& [service, ofService] : promptTargets) {
        if (hasTightestAtMostUrgent(ofService))
            m_mixedServices.insert(service);
    }
}

const std::vector<UrgencyLevel>& RouteTable::urgenciesOf(absl::string_view service) const
{
    static const std::vector<UrgencyLevel> none;
    auto found = m_urgencies.find(service);
    return found == m_urgencies.end() ? none : found->second;
}

bool RouteTable::servesMixedPrompts(absl::string_view service) const
{
    return m_mixedServices.contains(service);
}

HostHomes homesOf(const RouteTable& table, absl::string_view host)
{
    std::map<std::string, std::size_t> allowedBy;
    std::size_t most = 0;
    bool hasUnbound = false;
    HostHomes homes;
    for (const Route& route : table.routes()) {
        if (hostKey(route.host) != hostKey(host))
            continue;
        hasUnbound |= route.homeRegions.empty();
        for (const WeightedService& service : route.services)
            homes.hasTightTargets |= table.servesMixedPrompts(service.service);
        for (const std::string& region : route.homeRegions)
            most = std::max(most, ++allowedBy[region]);
    }
    homes.bindsAll = !allowedBy.empty() && !hasUnbound;
    for (const auto& [region, routes] : allowedBy) {
        if (routes == most)
            homes.regions.push_back(region);
    }
    return homes;
}

// Every prefix ends with a slash, so only the path's beginnings up to a slash
// can match: a look-up for each, from the longest on, whatever the number of routes.
const Route* RouteTable::find(absl::string_view host, absl::string_view path) const
{
    auto ofHost = m_routesOfHost.find(hostKey(host));
    if (ofHost == m_routesOfHost.end())
        return nullptr;
    std::size_t slash = path.rfind('/');
    while (slash != absl::string_view::npos) {
        auto found = ofHost->second.find(path.substr(0, slash + 1));
        if (found != ofHost->second.end())
            return &m_routes[found->second];
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const ServiceSettings* RouteTable::findService(absl::string_view name) const
{
    auto found = m_serviceIndex.find(name);
    return found == m_serviceIndex.end() ? nullptr : &m_services[found->second];
}

} // namespace catkinwing
