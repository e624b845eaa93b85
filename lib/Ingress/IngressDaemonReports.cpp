// What an entry tells operators and other regions of itself.
#include "IngressDaemonImpl.h"
#include "catkinwing/Support/Logging.h"
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr milliseconds stateLogInterval { 10'000 };
/// Number of load report intervals between two region reports.
static constexpr std::uint64_t loadReportsPerRegionReport = 2;
/// Each region report goes to this many other regions, from a random one on, and to
/// this many random entries of each: at most six datagrams of about 100 bytes.
static constexpr std::size_t regionsPerReport = 3;
static constexpr std::size_t entriesPerRegion = 2;
/// Expected number of entries of a region that send a region report in one round,
/// chosen at random. With five rounds a second, an entry in a region of 100 entries
/// receives several reports a second about another region.
static constexpr double expectedRegionReporters = 32;
/// Number of load report intervals between two workspace reports: one second.
static constexpr std::uint64_t loadReportsPerShortageReport = 10;
/// Each workspace report goes to this many random entries of the region. As reports apply for three
/// seconds, an entry knows the counts of about nine others; 16 rows cost it some 1.8 KB/s.
static constexpr std::size_t entriesPerShortageReport = 3;
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

nlohmann::json IngressDaemon::Impl::limitReport()
{
    TimePoint now = loop.clock().now();
    auto toMilliseconds = [](Duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    nlohmann::json workspaceRows = nlohmann::json::array();
    for (const CreditState& state : creditExchange.states())
        workspaceRows.push_back({ { "workspace", state.workspace }, { "limit_per_second", state.perSecond }, { "share_per_second", state.sharePerSecond },
            { "asked_per_second", state.askedPerSecond }, { "credit", state.atEntry }, { "pool_credit", state.atPool }, { "granted", state.granted }, { "refused", state.refused } });
    nlohmann::json shareRows = nlohmann::json::array();
    for (const WorkspaceStanding& standing : shortages.standings(workspaces(), now)) {
        const Workspace* workspace = workspaces().findByHash(standing.workspace);
        shareRows.push_back({ { "service", standing.service }, { "workspace", workspace ? workspace->name : "" }, { "requested_per_second", standing.requested },
            { "admitted_per_second", standing.admitted }, { "late_per_second", standing.late }, { "share_per_second", standing.share } });
    }
    nlohmann::json endpointRows = nlohmann::json::array();
    for (const auto& endpoint : parts.endpoints.limits().known(now)) {
        const EndpointLimit& limit = endpoint->limit;
        if (limit.named.perSecond)
            endpointRows.push_back({ { "endpoint", endpoint->record.incarnation }, { "service", endpoint->record.service }, { "limit_per_second", *limit.named.perSecond },
                { "share_per_second", limit.share ? limit.share->rate().perSecond : 0 }, { "other_holders", limit.otherHolders }, { "confirmed_ms_ago", toMilliseconds(now - limit.named.confirmedAt) } });
    }
    return { { "entry", ownKey() }, { "version", parts.routes ? parts.routes->version() : 0 }, { "store_age_ms", toMilliseconds(relayedStore.dataAge().value_or(Duration::zero())) },
        { "workspaces", workspaceRows }, { "shares", shareRows }, { "endpoints", endpointRows } };
}

void IngressDaemon::Impl::answerOperator(const HttpRequest& request, HttpResponder& responder)
{
    if (request.path == "/limits") {
        sendResponse(responder, statusOk, "application/json", limitReport().dump());
        return;
    }
    if (request.path != "/metrics") {
        sendResponse(responder, statusNotFound, "text/plain", "");
        return;
    }
    metrics.set("open_requests", static_cast<double>(parts.openRequestCount));
    metrics.set("request_buffer_bytes", static_cast<double>(parts.requestBuffers.used()));
    for (const auto& [name, value] : parts.clientMemory->gauges())
        metrics.set(name, value);
    for (const auto& [kind, calls] : storeCalls)
        metrics.set("store_calls_" + kind, static_cast<double>(calls));
    metrics.set("watches_store", relayedStore.watchesDirectly() ? 1 : 0);
    metrics.set("store_era", static_cast<double>(follower.revision().era));
    metrics.set("store_revision", static_cast<double>(follower.revision().number));
    metrics.set("store_age_seconds", std::chrono::duration<double>(relayedStore.dataAge().value_or(Duration::zero())).count());
    metrics.set("requests_refused_for_crashes", static_cast<double>(parts.crashSuspects.refusedCount(SuspectKind::Request, loop.clock().now())));
    metrics.set("prompt_segments_refused_for_crashes", static_cast<double>(parts.crashSuspects.refusedCount(SuspectKind::PromptSegment, loop.clock().now())));
    for (const CreditState& state : creditExchange.states()) {
        metrics.set("limit_credit_entry_" + state.workspace, state.atEntry);
        metrics.set("limit_credit_pool_" + state.workspace, state.atPool);
        metrics.set("limit_granted_" + state.workspace, static_cast<double>(state.granted));
        metrics.set("limit_refused_" + state.workspace, static_cast<double>(state.refused));
    }
    nlohmann::json limits = limitTotals();
    for (const auto& [name, value] : limits.items())
        metrics.set("endpoint_limits_" + name, value.get<double>());
    nlohmann::json streams = streamOriginTotals();
    for (const auto& [name, value] : streams.items())
        metrics.set("stream_versions_" + name, value.get<double>());
    for (const auto& [service, budget] : parts.retryBudgets) {
        metrics.set("retry_budget_requests_" + service, static_cast<double>(budget.totals().requests));
        metrics.set("retry_budget_retries_" + service, static_cast<double>(budget.totals().retries));
        metrics.set("retry_budget_denied_" + service, static_cast<double>(budget.totals().denied));
    }
    metrics.set("unreached_endpoints", static_cast<double>(parts.endpoints.reach().failedEndpoints().size()));
    metrics.set("load_reports", static_cast<double>(parts.endpoints.peerLoads().entryCount()));
    metrics.set("endpoints_passed_over_cannot_end", static_cast<double>(parts.endpoints.passedOver().cannotEnd));
    metrics.set("endpoints_passed_over_memory", static_cast<double>(parts.endpoints.passedOver().lackMemory));
    metrics.set("entries", static_cast<double>(parts.entries.size()));
    metrics.set("endpoints", static_cast<double>(parts.endpoints.size()));
    metrics.set("configuration_version", parts.routes ? static_cast<double>(parts.routes->version()) : 0);
    metrics.set("log_lines_dropped", static_cast<double>(log.dropped()));
    sendResponse(responder, statusOk, "text/plain", metrics.render());
}

// Each entry sends reports to a few entries of other regions. The number of senders
// is limited, so that the reports received don't grow with the sender's region.
void IngressDaemon::Impl::reportRegion()
{
    if (!isReady() || loadExchange.sequence() % loadReportsPerRegionReport != 0)
        return;
    auto entriesInRegion = static_cast<double>(parts.entries.keysOfRegion(settings.region).size());
    if (random.unit() * entriesInRegion > expectedRegionReporters)
        return;
    std::vector<std::string> regions = parts.entries.otherRegions();
    if (regions.empty())
        return;
    RegionReport report { settings.region, ownKey(), loadExchange.sequence(), {} };
    TimePoint now = loop.clock().now();
    for (const ServiceSettings& service : parts.routes->services()) {
        // An entry that is cut off can't tell whether the region has room.
        if (!parts.endpoints.isCutOff(service.name, now))
            report.services.push_back(parts.endpoints.outlook(service, now));
    }
    if (report.services.empty())
        return;
    std::string bytes = encodeRegionReport(report);
    std::size_t first = random.below(regions.size());
    for (std::size_t i = 0; i < std::min(regions.size(), regionsPerReport); ++i) {
        std::vector<SocketAddress> entries = parts.entries.peerAddresses(regions[(first + i) % regions.size()]);
        for (std::size_t sent = 0; sent < std::min(entries.size(), entriesPerRegion); ++sent) {
            std::size_t chosen = sent + random.below(entries.size() - sent);
            std::swap(entries[sent], entries[chosen]);
            loadReportSocket->send(entries[sent], bytes);
        }
    }
}

// Shares are proportions, so the counts of a few random entries estimate those of the region. The
// cost to an entry doesn't depend on the size of its region.
void IngressDaemon::Impl::reportShortages()
{
    if (!parts.shortages || !parts.routes || loadExchange.sequence() % loadReportsPerShortageReport != 0)
        return;
    TimePoint now = loop.clock().now();
    for (const ShortageChange& change : shortages.takeChanges(workspaces(), now))
        logChange(LogLevel::Info, change.hasBegun ? "shortage_began" : "shortage_ended", { { "service", change.service } });
    WorkspaceReport report = shortages.makeReport(ownKey(), ++shortageReports, workspaces(), now);
    if (report.rows.empty())
        return;
    std::string bytes = encodeWorkspaceReport(report);
    std::vector<SocketAddress> entries = parts.entries.peerAddresses(settings.region);
    for (std::size_t sent = 0; sent < std::min(entries.size(), entriesPerShortageReport); ++sent) {
        std::size_t chosen = sent + random.below(entries.size() - sent);
        std::swap(entries[sent], entries[chosen]);
        loadReportSocket->send(entries[sent], bytes);
    }
}

nlohmann::json IngressDaemon::Impl::retryTotals() const
{
    nlohmann::json totals = nlohmann::json::object();
    for (const auto& [service, budget] : parts.retryBudgets) {
        const RetryTotals& counted = budget.totals();
        totals[service] = { { "requests", counted.requests }, { "retries", counted.retries }, { "denied", counted.denied } };
    }
    return totals;
}

nlohmann::json IngressDaemon::Impl::limitTotals()
{
    std::size_t inForce = 0;
    std::size_t shares = 0;
    for (const auto& endpoint : parts.endpoints.limits().known(loop.clock().now())) {
        inForce += endpoint->limit.named.perSecond ? 1 : 0;
        shares += endpoint->limit.share ? 1 : 0;
    }
    const LimitTotals& totals = limitExchange.totals();
    return { { "in_force", inForce }, { "shares", shares }, { "asked", totals.asked }, { "obtained", totals.obtained }, { "granted", totals.granted } };
}

nlohmann::json IngressDaemon::Impl::streamOriginTotals() const
{
    const StreamOriginTotals& totals = streamOrigins.totals();
    return { { "kept", streamOrigins.size() }, { "stated", totals.stated }, { "asked", totals.asked }, { "found", totals.found }, { "concluded", totals.concluded },
        { "unknown", totals.unknown } };
}

// Logs the state and the counters of the entry for analysis from logs alone.
void IngressDaemon::Impl::logState()
{
    TimePoint now = loop.clock().now();
    if (now - stateLoggedAt < stateLogInterval)
        return;
    stateLoggedAt = now;
    logChange(LogLevel::Info, "state",
        { { "open_requests", parts.openRequestCount }, { "entries", parts.entries.size() }, { "endpoints", parts.endpoints.size() },
            { "version", parts.routes ? parts.routes->version() : 0 }, { "watches_store", relayedStore.watchesDirectly() },
            { "store_age_ms", std::chrono::duration_cast<milliseconds>(relayedStore.dataAge().value_or(Duration::zero())).count() }, { "store_calls", storeCalls },
            { "unreached_endpoints", parts.endpoints.reach().failedEndpoints().size() },
            { "retry_budgets", retryTotals() }, { "endpoint_limits", limitTotals() }, { "stream_versions", streamOriginTotals() }, { "log_lines_dropped", log.dropped() } });
}

} // namespace catkinwing
