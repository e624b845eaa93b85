// Determines the workspace and the homes of a routed request, and keeps the request within
// the limit of its workspace.
#include "catkinwing/Ingress/RoutedRun.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr int statusUnauthorized = 401;
static constexpr int statusTooManyRequests = 429;
static constexpr int statusUnavailable = 503;
/// Priorities of requests at endpoints: zero is the most urgent.
static constexpr int leastUrgentPriority = 9;
/// Number of different priorities of routes that are told apart within one priority of a
/// workspace.
static constexpr int routePriorities = 3;
/// Retry-after time of a request whose key may be too new for this entry, which hears of
/// changes again within a few seconds of a cut.
static constexpr milliseconds retryAfterOutdated { 1'000 };
/// A client may spend this fraction of its remaining time until it returns.
static constexpr int timeLeftDivisor = 3;

// A forwarded request was judged by the entry that the client connected to, whose version
// may be another one. The key isn't sent along. This entry adds what it knows of the
// workspace.
bool RoutedRun::identifyWorkspace()
{
    const WorkspaceTable& workspaces = m_routes->workspaces();
    if (m_request.isForwarded) {
        m_workspaceName = m_request.workspace;
        m_workspace = m_workspaceName.empty() ? nullptr : workspaces.findByName(m_workspaceName);
        return true;
    }
    if (workspaces.empty() || m_route->isPublic)
        return true;
    m_workspace = workspaces.findByKey(m_request.facts.workspaceKey);
    if (m_workspace) {
        m_workspaceName = m_workspace->name;
        return true;
    }
    // The key may be newer than the configuration that this entry knows.
    if (!m_parts.isConfigurationStale || !isWellFormedKey(m_request.facts.workspaceKey)) {
        sendOwnAnswer(statusUnauthorized, Outcome::NotRun, "unknown_key");
        return false;
    }
    m_retryAfter = retryAfterOutdated;
    sendOwnAnswer(statusUnavailable, Outcome::NotRun, "configuration_outdated");
    return false;
}

bool RoutedRun::determineHomes()
{
    const std::vector<std::string>& ofRoute = m_route->homeRegions;
    if (!m_workspace || m_workspace->homeRegions.empty()) {
        m_homeRegions = ofRoute;
        return true;
    }
    const std::vector<std::string>& ofWorkspace = m_workspace->homeRegions;
    auto isOfRoute = [&](const std::string& region) { return ofRoute.empty() || std::find(ofRoute.begin(), ofRoute.end(), region) != ofRoute.end(); };
    std::copy_if(ofWorkspace.begin(), ofWorkspace.end(), std::back_inserter(m_homeRegions), isOfRoute);
    if (!m_homeRegions.empty())
        return true;
    m_retryAfter = retryAfterOutdated;
    sendOwnAnswer(statusUnavailable, Outcome::NotRun, "no_common_home");
    return false;
}

bool RoutedRun::isAllowedHere() const
{
    return isHome(m_parts.region);
}

bool RoutedRun::isHome(const std::string& region) const
{
    return m_homeRegions.empty() || std::find(m_homeRegions.begin(), m_homeRegions.end(), region) != m_homeRegions.end();
}

// The priority of the workspace goes before the priority of the route.
int RoutedRun::requestPriority() const
{
    if (!m_workspace || !m_workspace->priority)
        return std::clamp(m_route->priority, 0, leastUrgentPriority);
    int withinWorkspace = std::clamp(m_route->priority, 0, routePriorities - 1);
    return std::clamp(std::min(*m_workspace->priority, leastUrgentPriority) * routePriorities + withinWorkspace, 0, leastUrgentPriority);
}

std::int64_t RoutedRun::limitedAmount() const
{
    const WorkspaceLimit& limit = m_workspace->limit;
    if (limit.unit == LimitUnit::Requests)
        return 1;
    constexpr std::int64_t maxTokens = 1'000'000'000;
    const RequestFacts& facts = m_request.facts;
    std::int64_t tokens = std::clamp<std::int64_t>(facts.promptTokens, 0, maxTokens) + std::clamp<std::int64_t>(facts.maxOutputTokens, 0, maxTokens);
    return facts.hasTokenCounts ? tokens : limit.plainTokens;
}

void RoutedRun::chargeWorkspace()
{
    bool isLimited = !m_request.isForwarded && m_workspace && m_workspace->limit.isLimited() && m_parts.credit;
    if (!isLimited) {
        onCreditDecision({ true, {}, {}, 0, {} });
        return;
    }
    m_parts.credit->charge(*m_workspace, static_cast<double>(limitedAmount()), std::max(timeLeft() / timeLeftDivisor, milliseconds(1)),
        [self = shared_from_this()](const CreditDecision& decision) { self->onCreditDecision(decision); });
}

void RoutedRun::onCreditDecision(const CreditDecision& decision)
{
    m_usedCredit = decision.used;
    if (m_isDone) {
        returnCredit(true);
        return;
    }
    if (!decision.isGranted) {
        m_retryAfter = decision.retryAfter;
        m_parts.metrics.count("requests_over_limit");
        m_limitRefusal = decision;
        sendOwnAnswer(statusTooManyRequests, Outcome::NotRun, "workspace_limit");
        return;
    }
    if (!m_request.isForwarded)
        m_parts.retryBudgetOf(m_service).recordRequest(now());
    classifyByShare();
    resolveStreamBuild();
}

bool RoutedRun::countsShares() const
{
    return m_parts.shortages && !m_routes->workspaces().empty();
}

std::uint64_t RoutedRun::workspaceOfShares() const
{
    return m_workspaceName.empty() ? 0 : workspaceHash(m_workspaceName);
}

// Weighs requests by their tokens, as the limits of workspaces do, since capacity is divided in
// tokens.
double RoutedRun::tokensOfShares() const
{
    const RequestFacts& facts = m_request.facts;
    double stated = static_cast<double>(std::max<std::int64_t>(facts.promptTokens, 0)) + static_cast<double>(std::max<std::int64_t>(facts.maxOutputTokens, 0));
    double unstated = m_workspace ? static_cast<double>(m_workspace->limit.plainTokens) : 1;
    constexpr double maxTokens = 1e9;
    return std::clamp(facts.hasTokenCounts ? stated : unstated, 1.0, maxTokens);
}

// The client was refused before and returned too late for its target.
bool RoutedRun::hasMissedTarget() const
{
    if (m_route->latencyTarget <= milliseconds::zero())
        return false;
    Duration elapsed = m_route->timeout - timeLeft();
    return elapsed + idleFirstByte(defaultResponseEstimate()) >= m_route->latencyTarget && timeLeft() < m_route->timeout;
}

// A workspace beyond its share has as many requests within it as the share covers, chosen at
// random, so that it is never refused altogether. A stream that is resumed has used capacity
// already, which a refusal would waste.
void RoutedRun::classifyByShare()
{
    if (!countsShares() || m_request.facts.resumeAfter)
        return;
    ShortageTable& shortages = *m_parts.shortages;
    const WorkspaceTable& workspaces = m_routes->workspaces();
    m_isLate = hasMissedTarget();
    if (!shortages.hasShortage(m_service, workspaces, now()))
        return;
    if (m_isLate) {
        m_shareClass = ShareClass::Late;
        return;
    }
    double fraction = shortages.fractionWithinShare(m_service, workspaceOfShares(), workspaces, now());
    if (fraction < 1 && m_parts.random.unit() >= fraction)
        m_shareClass = ShareClass::Beyond;
}

void RoutedRun::countInShares(bool isAdmitted)
{
    if (!countsShares() || m_isCountedInShares)
        return;
    m_isCountedInShares = true;
    m_parts.shortages->record(m_service, workspaceOfShares(), tokensOfShares(), isAdmitted, m_isLate, now());
}

// Returns the reason of a refusal for lack of capacity and counts it.
const char* RoutedRun::recordLackOfCapacity(const char* reason)
{
    if (isAllowedHere())
        countInShares(false);
    if (m_shareClass == ShareClass::Within)
        return reason;
    m_parts.metrics.count(m_shareClass == ShareClass::Late ? "late_share_refusals" : "workspace_share_refusals");
    return m_shareClass == ShareClass::Late ? "late_in_shortage" : "beyond_share";
}

// Credit is returned only if the request certainly wasn't executed and won't be.
void RoutedRun::returnCredit(bool wasNotRun)
{
    if (wasNotRun && m_usedCredit.amount > 0)
        m_parts.credit->refund(*m_workspace, m_usedCredit);
    m_usedCredit = {};
}

} // namespace catkinwing
