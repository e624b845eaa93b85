#include "catkinwing/Config/RouteTableCheck.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <set>

namespace catkinwing {

using std::chrono::milliseconds;

const char* findingWord(FindingKind kind)
{
    switch (kind) {
    case FindingKind::Error:
        return "error";
    case FindingKind::NeverMatches:
        return "never_matches";
    case FindingKind::Contradiction:
        return "contradiction";
    }
    return "error";
}

namespace {

    /// Collects the findings about one subject.
    class Findings {
    public:
        Findings(std::vector<ConfigFinding>& findings, std::string subject)
            : m_findings(findings)
            , m_subject(std::move(subject))
        {
        }

        void addIf(bool condition, FindingKind kind, std::string message)
        {
            if (condition)
                m_findings.push_back({ kind, m_subject, std::move(message) });
        }

    private:
        std::vector<ConfigFinding>& m_findings;
        std::string m_subject;
    };

} // namespace

static bool isWeight(double weight)
{
    return std::isfinite(weight) && weight > 0;
}

static void checkServicesOf(const Route& route, const RouteTable& table, Findings& findings)
{
    bool hasWeight = false;
    for (const WeightedService& service : route.services) {
        hasWeight |= isWeight(service.weight);
        findings.addIf(!isWeight(service.weight) && route.services.size() > 1, FindingKind::NeverMatches, absl::StrCat("service ", service.service, " has no weight above zero and is never chosen"));
        findings.addIf(!table.findService(service.service), FindingKind::Error, absl::StrCat("service ", service.service, " isn't configured"));
    }
    findings.addIf(!hasWeight && route.services.size() > 1, FindingKind::Error, "none of its services has a weight above zero");
}

static void checkRoute(const Route& route, const RouteTable& table, Findings& findings)
{
    const Route* winner = table.find(route.host, route.prefix);
    bool isShadowed = winner && winner != &route && winner->prefix == route.prefix;
    findings.addIf(isShadowed, FindingKind::NeverMatches, absl::StrCat("route ", isShadowed ? winner->name : "", " has the same host and prefix and comes first"));
    checkServicesOf(route, table, findings);
    findings.addIf(route.latencyTarget > route.timeout, FindingKind::Contradiction, absl::StrCat("its latency target of ", route.latencyTarget.count(), " ms is above its timeout of ", route.timeout.count(), " ms"));
    findings.addIf(route.eventPause > route.timeout, FindingKind::Contradiction, absl::StrCat("its longest pause between events of ", route.eventPause.count(), " ms is above its timeout of ", route.timeout.count(), " ms"));
    findings.addIf(route.eventPause > milliseconds::zero() && route.kind != RequestKind::Streaming, FindingKind::NeverMatches, "it has a pause between events but no streams");
    findings.addIf(route.isResumable && route.kind != RequestKind::Streaming, FindingKind::NeverMatches, "it is resumable but has no streams");
    findings.addIf(route.attempts == 0, FindingKind::Error, "it allows no attempt");
    findings.addIf(route.isPublic && table.workspaces().empty(), FindingKind::NeverMatches, "it is public, but no route needs a key, since there are no workspaces");
}

static void checkService(const ServiceSettings& service, const RouteTable& table, Findings& findings)
{
    bool isUsed = std::any_of(table.routes().begin(), table.routes().end(), [&](const Route& route) {
        return std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService& target) { return target.service == service.name; });
    });
    findings.addIf(!isUsed, FindingKind::NeverMatches, "no route sends to it");
    findings.addIf(table.findService(service.name) != &service, FindingKind::NeverMatches, "another service has its name and comes first");
    findings.addIf(service.maxConnections > 0 && service.maxConnections < service.slots, FindingKind::Contradiction,
        absl::StrCat("its endpoints take ", service.maxConnections, " connections, fewer than their ", service.slots, " slots"));
    findings.addIf((service.tokenBytes > 0) != (service.transferBitsPerSecond > 0), FindingKind::Contradiction, "only one of the size of a cached token and the bandwidth between endpoints is set, so that no segment is transferred");
    findings.addIf(service.coldRequestsPerSecond > 0 && service.warmup <= milliseconds::zero(), FindingKind::Contradiction, "it limits the rate of cold endpoints, but they are cold for no time");
}

static bool hasHomeIn(const Route& route, const Workspace& workspace)
{
    if (route.homeRegions.empty() || workspace.homeRegions.empty())
        return true;
    return std::any_of(workspace.homeRegions.begin(), workspace.homeRegions.end(),
        [&](const std::string& region) { return std::find(route.homeRegions.begin(), route.homeRegions.end(), region) != route.homeRegions.end(); });
}

static void checkLimit(const WorkspaceLimit& limit, Findings& findings)
{
    findings.addIf(!limit.isLimited() && limit.burst > 0, FindingKind::Contradiction, "it has a burst but no rate, which means no limit");
    if (!limit.isLimited())
        return;
    double smallest = limit.unit == LimitUnit::Tokens ? static_cast<double>(std::max<std::int64_t>(limit.plainTokens, 1)) : 1;
    findings.addIf(limit.burst < smallest && limit.perSecond < smallest, FindingKind::Contradiction,
        absl::StrCat("its rate of ", limit.perSecond, " a second and burst of ", limit.burst, " are below the ", smallest, " that a single request counts"));
    findings.addIf(limit.unit == LimitUnit::Requests && limit.plainTokens > 1, FindingKind::NeverMatches, "it has tokens for plain requests, but its limit counts requests");
}

static void checkWorkspace(const Workspace& workspace, const RouteTable& table, Findings& findings)
{
    findings.addIf(workspace.keys.empty(), FindingKind::NeverMatches, "it has no key, so that no request belongs to it");
    bool hasCommonHome = table.routes().empty() || std::any_of(table.routes().begin(), table.routes().end(), [&](const Route& route) { return hasHomeIn(route, workspace); });
    findings.addIf(!hasCommonHome, FindingKind::Error, "none of its home regions is a home of any route, so that all of its requests are refused");
    for (const Route& route : table.routes())
        findings.addIf(hasCommonHome && !hasHomeIn(route, workspace), FindingKind::Error, absl::StrCat("it has no home region in common with route ", route.name, ", so that its requests there are refused"));
    checkLimit(workspace.limit, findings);
}

std::vector<ConfigFinding> checkRouteTable(const RouteTable& table)
{
    std::vector<ConfigFinding> all;
    std::set<std::string> names;
    for (const Route& route : table.routes()) {
        Findings findings(all, absl::StrCat("route ", route.name));
        checkRoute(route, table, findings);
        findings.addIf(!names.insert(route.name).second, FindingKind::Contradiction, "another route has its name, so that logs and metrics can't tell them apart");
    }
    for (const ServiceSettings& service : table.services()) {
        Findings findings(all, absl::StrCat("service ", service.name));
        checkService(service, table, findings);
    }
    for (const Workspace& workspace : table.workspaces().all()) {
        Findings findings(all, absl::StrCat("workspace ", workspace.name));
        checkWorkspace(workspace, table, findings);
    }
    return all;
}

std::vector<ConfigFinding> checkReplacement(const RouteTable& current, const RouteTable& next)
{
    std::vector<ConfigFinding> all;
    Findings findings(all, "version");
    findings.addIf(next.version() <= current.version(), FindingKind::Error, absl::StrCat("version ", next.version(), " isn't above version ", current.version(), ", which is in force, so that entries ignore it"));
    Findings ofWorkspaces(all, "workspaces");
    ofWorkspaces.addIf(!current.workspaces().empty() && next.workspaces().empty(), FindingKind::Error, "no workspace is left, so that all requests are served without a key");
    return all;
}

} // namespace catkinwing
