#include "catkinwing/Ingress/IngressDaemon.h"

#include "StoreFollower.h"
#include "catkinwing/Http/DatagramSocket.h"
#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Ingress/CrashExchange.h"
#include "catkinwing/Ingress/EntryRegistration.h"
#include "catkinwing/Ingress/LoadExchange.h"
#include "catkinwing/Ingress/RelayedStore.h"
#include "catkinwing/Ingress/RoutedRun.h"
#include "catkinwing/Support/Id.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstring>
#include <map>

namespace catkinwing {

using std::chrono::milliseconds;

/// Prefix of the store keys of entry registrations.
static constexpr const char* entryPrefix = "catkinwing/entries/";
/// Lease of an entry's registration: a terminated entry is removed from the
/// directory after this time. Shorter leases cost more renewals and expire during
/// short store outages.
static constexpr milliseconds entryLeaseDuration { 4'000 };
static constexpr milliseconds entryRenewalInterval { 1'000 };
/// Clients close idle connections after a limit set by their operator. An entry
/// keeps them open longer than any common limit.
static constexpr milliseconds idleConnectionTimeout { 60'000 };
static constexpr milliseconds clientSendTimeout { 15'000 };
/// Idle connections to endpoints are closed before the endpoints close them: a
/// request that is sent while the endpoint closes the connection is lost.
static constexpr milliseconds endpointIdleTimeout { 3'000 };
static constexpr milliseconds peerIdleTimeout { 10'000 };
/// New connections are accepted for this long after SIGTERM, each for one request.
/// By then no client holds a directory answer that names the entry.
static constexpr milliseconds drainListenDuration { 3'200 };
/// A draining entry runs at least for the minimum time after SIGTERM, at most half the
/// drain timeout, and for the quiet time after its last request, since clients that
/// hold an old directory answer still connect.
static constexpr milliseconds minDrainDuration { 1'500 };
static constexpr milliseconds drainQuietDuration { 700 };
/// Draining ends this long before the drain timeout, at which the platform kills
/// the process.
static constexpr milliseconds drainMargin { 400 };
static constexpr milliseconds drainCheckInterval { 50 };
static constexpr milliseconds houseKeepingInterval { 250 };
/// A longer time between two rounds of housekeeping means that the process was
/// paused or starved of CPU time, and receives messages late.
static constexpr milliseconds maxHouseKeepingGap { 500 };
/// Without an answer of the store or a relay for this time, the configuration may be outdated.
/// Both answer several times in it while they work.
static constexpr milliseconds maxConfigurationAge { 3'000 };
static constexpr milliseconds stateLogInterval { 10'000 };
/// Requests take from 30 ms to several seconds, and loads that are received through
/// a collector are about one and a half intervals old. If loads are twice as old,
/// entries send too many requests to the same endpoints.
static constexpr milliseconds loadReportInterval { 100 };
/// Connections that break within this time are covered by one crash report.
static constexpr milliseconds urgentReportDelay { 2 };
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
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;
static constexpr int statusUnavailable = 503;

struct IngressDaemon::Impl {
    Impl(EventLoop& eventLoop, const DaemonSettings& daemonSettings, Random randomSource, const Dialect& requestDialect, const StoreFactory& makeStore)
        : loop(eventLoop)
        , settings(daemonSettings)
        , ingress(*settings.ingress)
        , random(randomSource)
        , dialect(requestDialect)
        , log(eventLoop.clock())
        , storeClient(makeHttpClient(eventLoop, {}))
        , endpointClient(makeHttpClient(eventLoop, endpointClientOptions()))
        , peerClient(makeHttpClient(eventLoop, peerClientOptions()))
        , store(makeStore(*storeClient, eventLoop, settings.store, [this](const char* kind) { ++storeCalls[kind]; }))
        , self { settings.region, settings.availabilityZone, settings.listen.callers, settings.listen.peers }
        , parts { eventLoop, random, *endpointClient, *peerClient, metrics, log, dialect, settings.region,
            EndpointTable(settings.region, ingress.regionOfZone), EntryTable(self), { ingress.retryRatio, ingress.retrySlack }, {}, {}, {}, {}, {}, {}, {}, 0, 0, CrashingRequests(random.bits()) }
        , loadExchange(parts.endpoints, parts.entries, self)
        , crashExchange(parts.crashingRequests, parts.entries, self, random)
        , creditExchange(
              parts.entries, self, limitTolerance(ingress), eventLoop, random, [this]() -> const WorkspaceTable& { return workspaces(); },
              [this](const OutgoingDatagram& datagram) { loadReportSocket->send(datagram.to, datagram.bytes); })
        , registration(*store, eventLoop, registrationOptions())
        , relayedStore(*store, *peerClient, eventLoop, relayCallbacks())
        , follower(relayedStore, eventLoop, random, entryPrefix, parts, [this](const std::string& key) {
            if (key == registration.key())
                registration.recordKeyDeleted();
        })
    {
    }

    static LimitTolerance limitTolerance(const IngressSettings& settings)
    {
        return { settings.limitWindow, settings.limitOverage, settings.limitSlack };
    }

    /// Returns the workspaces of the configuration in force.
    const WorkspaceTable& workspaces() const
    {
        static const WorkspaceTable none;
        return parts.routes ? parts.routes->workspaces() : none;
    }

    static HttpClientOptions endpointClientOptions()
    {
        HttpClientOptions options;
        options.keepIdle = endpointIdleTimeout;
        return options;
    }

    static HttpClientOptions peerClientOptions()
    {
        HttpClientOptions options;
        options.keepIdle = peerIdleTimeout;
        return options;
    }

    EntryRegistrationOptions registrationOptions()
    {
        EntryRegistrationOptions options;
        options.key = absl::StrCat(entryPrefix, settings.name, ".", makeId(random).substr(0, 8));
        options.value = writeEntryRecord(self);
        options.timeToLive = entryLeaseDuration;
        options.renewInterval = entryRenewalInterval;
        return options;
    }

    RelayCallbacks relayCallbacks()
    {
        RelayCallbacks callbacks;
        callbacks.findRelay = [this] { return parts.entries.relayAddress(ownKey(), loop.clock().now()); };
        callbacks.findBootstrapPeer = [this] { return lastReportSender; };
        callbacks.recordHistoryGap = [this] { follower.recordHistoryGap(); };
        callbacks.recordRelayFailure = [this](const SocketAddress& peer) { parts.entries.recordPeerFailure(peer, loop.clock().now()); };
        return callbacks;
    }

    /// Key of this entry in the table of entries.
    std::string ownKey() const { return registration.key().substr(std::strlen(entryPrefix)); }

    absl::Status listen();
    absl::StatusOr<std::unique_ptr<HttpServer>> listenOn(const SocketAddress& address, HttpHandler handler) const;
    void handleRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder, bool isFromPeer);
    void answerReadiness(const HttpRequest& request, HttpResponder& responder) const;
    void answerDirectory(const HttpRequest& request, HttpResponder& responder);
    void answerOperator(const HttpRequest& request, HttpResponder& responder);
    bool isReady() const { return parts.routes && follower.hasListedStore() && !parts.plannedStop; }
    void receiveLoadReport(const SocketAddress& from, absl::string_view bytes);
    void receiveCreditMessage(const SocketAddress& from, absl::string_view bytes);
    void receiveRegionReport(const SocketAddress& from, absl::string_view bytes);
    void send(const std::vector<OutgoingDatagram>& datagrams);
    void scheduleUrgentReport();
    void reportLoad();
    void reportRegion();
    void logState();
    /// Returns the retry budget counters of each service.
    nlohmann::json retryTotals() const;
    void houseKeep();
    void checkDrained();

    EventLoop& loop;
    DaemonSettings settings;
    IngressSettings ingress;
    Random random;
    Dialect dialect;
    Metrics metrics;
    DecisionLog log;
    /// Number of requests to the store, by kind.
    std::map<std::string, std::uint64_t> storeCalls;
    std::unique_ptr<HttpClient> storeClient;
    std::unique_ptr<HttpClient> endpointClient;
    std::unique_ptr<HttpClient> peerClient;
    std::unique_ptr<Store> store;
    EntryRecord self;
    IngressContext parts;
    LoadExchange loadExchange;
    CrashExchange crashExchange;
    CreditExchange creditExchange;
    EntryRegistration registration;
    RelayedStore relayedStore;
    StoreFollower follower;
    std::unique_ptr<HttpServer> clientServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> directoryServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<DatagramSocket> loadReportSocket;
    /// Sender of the last load report or digest. Reports are sent from the address at
    /// which an entry serves other entries.
    std::optional<SocketAddress> lastReportSender;
    TimePoint stateLoggedAt {};
    bool hasStoppedListening { false };
    bool wasReady { false };
    TimePoint lastRequestAt {};
    TimePoint lastHouseKeepingAt {};
    std::function<void()> onDrained;
};

absl::StatusOr<std::unique_ptr<HttpServer>> IngressDaemon::Impl::listenOn(const SocketAddress& address, HttpHandler handler) const
{
    HttpServerOptions options;
    options.listen = address;
    options.maxBodyBytes = static_cast<std::size_t>(settings.limits.maximumBodyBytes);
    options.requestTimeout = idleConnectionTimeout;
    options.sendTimeout = clientSendTimeout;
    options.maxConnections = static_cast<std::size_t>(connectionsForCallers(settings.limits));
    // Many clients may connect from one address.
    options.maxConnectionsPerCaller = options.maxConnections;
    return HttpServer::listen(loop, std::move(options), std::move(handler));
}

absl::Status IngressDaemon::Impl::listen()
{
    using Responder = std::shared_ptr<HttpResponder>;
    struct Listener {
        SocketAddress address;
        std::unique_ptr<HttpServer>* server;
        HttpHandler handler;
    };
    Listener listeners[] = {
        { settings.listen.callers, &clientServer, [this](HttpRequest request, Responder responder) { handleRequest(std::move(request), std::move(responder), false); } },
        { settings.listen.peers, &peerServer, [this](HttpRequest request, Responder responder) { handleRequest(std::move(request), std::move(responder), true); } },
        { ingress.readiness, &readinessServer, [this](const HttpRequest& request, const Responder& responder) { answerReadiness(request, *responder); } },
        { ingress.directory, &directoryServer, [this](const HttpRequest& request, const Responder& responder) { answerDirectory(request, *responder); } },
        { settings.listen.operators, &operatorServer, [this](const HttpRequest& request, const Responder& responder) { answerOperator(request, *responder); } },
    };
    absl::StatusOr<std::unique_ptr<DatagramSocket>> socket = DatagramSocket::bind(loop, settings.listen.peers,
        [this](const SocketAddress& from, absl::string_view bytes) { receiveLoadReport(from, bytes); });
    if (!socket.ok())
        return socket.status();
    loadReportSocket = std::move(*socket);
    for (Listener& listener : listeners) {
        absl::StatusOr<std::unique_ptr<HttpServer>> server = listenOn(listener.address, std::move(listener.handler));
        if (!server.ok())
            return server.status();
        *listener.server = std::move(*server);
    }
    return absl::OkStatus();
}

static void sendResponse(HttpResponder& responder, int status, const char* type, std::string body)
{
    HttpResponseHead head;
    head.status = status;
    head.headers.add("content-type", type);
    responder.send(head, std::move(body));
}

void IngressDaemon::Impl::handleRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder, bool isFromPeer)
{
    if (isFromPeer && request.headers.find(changesAfterHeader)) {
        relayedStore.answerPeer(request, std::move(responder));
        return;
    }
    lastRequestAt = loop.clock().now();
    RoutedRequest routed;
    routed.facts = dialect.readRequest(request);
    routed.isForwarded = isFromPeer;
    routed.arrivedAt = loop.clock().now();
    if (isFromPeer)
        readForwardHeaders(request.headers, routed);
    routed.http = std::move(request);
    std::make_shared<RoutedRun>(parts, std::move(routed), std::move(responder))->begin();
}

void IngressDaemon::Impl::answerReadiness(const HttpRequest& request, HttpResponder& responder) const
{
    if (!dialect.isReadinessProbe(request))
        sendResponse(responder, statusNotFound, "text/plain", "");
    else
        sendResponse(responder, isReady() ? statusOk : statusUnavailable, "text/plain", "");
}

void IngressDaemon::Impl::answerDirectory(const HttpRequest& request, HttpResponder& responder)
{
    std::optional<EntryDirectoryQuery> question = dialect.readDirectoryQuery(request);
    if (!question) {
        sendResponse(responder, statusNotFound, "text/plain", "");
        return;
    }
    HostHomes homes = parts.routes ? homesOf(*parts.routes, question->host) : HostHomes();
    std::vector<SocketAddress> entries = parts.entries.entriesFor(question->region, question->availabilityZone, homes, loop.clock().now());
    bool mayServe = !homes.bindsAll || question->region == settings.region || std::count(homes.regions.begin(), homes.regions.end(), settings.region) > 0;
    if (entries.empty() && isReady() && mayServe)
        entries.push_back(self.clientAddress);
    if (entries.empty()) {
        sendResponse(responder, statusUnavailable, "text/plain", "");
        return;
    }
    metrics.count("directory_answers");
    auto validFor = std::chrono::duration_cast<milliseconds>(ingress.directoryLifetime);
    sendResponse(responder, statusOk, "application/json", dialect.writeDirectoryResponse(entries, validFor));
}

void IngressDaemon::Impl::answerOperator(const HttpRequest& request, HttpResponder& responder)
{
    if (request.path != "/metrics") {
        sendResponse(responder, statusNotFound, "text/plain", "");
        return;
    }
    metrics.set("open_requests", static_cast<double>(parts.openRequestCount));
    for (const auto& [kind, calls] : storeCalls)
        metrics.set("store_calls_" + kind, static_cast<double>(calls));
    metrics.set("watches_store", relayedStore.watchesDirectly() ? 1 : 0);
    metrics.set("store_age_seconds", std::chrono::duration<double>(relayedStore.dataAge().value_or(Duration::zero())).count());
    metrics.set("requests_refused_for_crashes", static_cast<double>(parts.crashingRequests.refusedCount(loop.clock().now())));
    for (const CreditState& state : creditExchange.states()) {
        metrics.set("limit_credit_entry_" + state.workspace, state.atEntry);
        metrics.set("limit_credit_pool_" + state.workspace, state.atPool);
        metrics.set("limit_granted_" + state.workspace, static_cast<double>(state.granted));
        metrics.set("limit_refused_" + state.workspace, static_cast<double>(state.refused));
    }
    for (const auto& [service, budget] : parts.retryBudgets) {
        metrics.set("retry_budget_requests_" + service, static_cast<double>(budget.totals().requests));
        metrics.set("retry_budget_retries_" + service, static_cast<double>(budget.totals().retries));
        metrics.set("retry_budget_denied_" + service, static_cast<double>(budget.totals().denied));
    }
    metrics.set("load_reports", static_cast<double>(parts.endpoints.peerLoads().entryCount()));
    metrics.set("entries", static_cast<double>(parts.entries.size()));
    metrics.set("endpoints", static_cast<double>(parts.endpoints.size()));
    metrics.set("configuration_version", parts.routes ? static_cast<double>(parts.routes->version()) : 0);
    metrics.set("log_lines_dropped", static_cast<double>(log.dropped()));
    sendResponse(responder, statusOk, "text/plain", metrics.render());
}

// Other entries still send reports to an entry that restarted at its old address,
// so a sender is known before the store has answered.
void IngressDaemon::Impl::receiveLoadReport(const SocketAddress& from, absl::string_view bytes)
{
    if (!bytes.empty() && bytes.front() == creditMessageMark) {
        receiveCreditMessage(from, bytes);
        return;
    }
    absl::StatusOr<LoadReport> report = decodeLoadReport(bytes);
    absl::StatusOr<LoadDigest> digest = decodeLoadDigest(report.ok() ? absl::string_view() : bytes);
    if (!report.ok() && !digest.ok()) {
        receiveRegionReport(from, bytes);
        return;
    }
    lastReportSender = from;
    if (report.ok())
        loadExchange.handleReport(std::move(*report), loop.clock().now());
    else
        loadExchange.handleDigest(std::move(*digest), loop.clock().now());
}

void IngressDaemon::Impl::receiveCreditMessage(const SocketAddress& from, absl::string_view bytes)
{
    absl::StatusOr<CreditMessage> message = decodeCreditMessage(bytes);
    if (message.ok())
        creditExchange.handleMessage(from, *message);
    else
        metrics.count("credit_messages_refused");
}

void IngressDaemon::Impl::receiveRegionReport(const SocketAddress& from, absl::string_view bytes)
{
    absl::StatusOr<RegionReport> report = decodeRegionReport(bytes);
    absl::StatusOr<CrashReport> crashReport = decodeCrashReport(report.ok() ? absl::string_view() : bytes);
    if (crashReport.ok())
        crashExchange.handleReport(from, *crashReport, loop.clock().now());
    else if (!report.ok())
        metrics.count("load_reports_refused");
    else if (report->region != settings.region)
        parts.outlooks.update(*report, loop.clock().now());
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
    for (const ServiceSettings& service : parts.routes->services())
        report.services.push_back(parts.endpoints.outlook(service, loop.clock().now()));
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

void IngressDaemon::Impl::send(const std::vector<OutgoingDatagram>& datagrams)
{
    for (const OutgoingDatagram& datagram : datagrams)
        loadReportSocket->send(datagram.to, datagram.bytes);
}

// All connections of a crashed endpoint break at the same moment; the delay puts
// them into one report.
void IngressDaemon::Impl::scheduleUrgentReport()
{
    loop.callAfter(urgentReportDelay, [this] { send(crashExchange.takeUrgentDatagrams(loop.clock().now())); });
}

void IngressDaemon::Impl::reportLoad()
{
    send(loadExchange.tick(ownKey(), loop.clock().now()));
    send(crashExchange.tick(loop.clock().now()));
    creditExchange.tick();
    reportRegion();
    loop.callAfter(loadReportInterval, [this] { reportLoad(); });
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
            { "retry_budgets", retryTotals() }, { "log_lines_dropped", log.dropped() } });
}

// Registers the entry once it is ready, so that the directory doesn't name an entry
// that can't serve yet.
void IngressDaemon::Impl::houseKeep()
{
    logState();
    TimePoint now = loop.clock().now();
    bool wasPaused = now - lastHouseKeepingAt > maxHouseKeepingGap && lastHouseKeepingAt != TimePoint {};
    lastHouseKeepingAt = now;
    if (wasPaused)
        parts.endpoints.resetSilence(now);
    parts.endpoints.abortUnresponsive(now);
    follower.runHousekeeping();
    parts.endpoints.setEntriesOfRegion(parts.entries.keysOfRegion(settings.region), ownKey());
    bool isReadyNow = isReady();
    if (isReadyNow && !wasReady) {
        logChange(LogLevel::Info, "ready", { { "version", parts.routes->version() }, { "endpoints", parts.endpoints.size() } });
        registration.start();
        creditExchange.start();
    }
    wasReady = isReadyNow;
    parts.isConfigurationStale = relayedStore.dataAge().value_or(Duration::zero()) > maxConfigurationAge;
    loop.callAfter(houseKeepingInterval, [this] { houseKeep(); });
}

void IngressDaemon::Impl::checkDrained()
{
    Duration passed = loop.clock().now() - parts.plannedStop->startedAt;
    if (passed >= drainListenDuration && !hasStoppedListening) {
        hasStoppedListening = true;
        clientServer->stopListening();
    }
    bool isQuiet = loop.clock().now() - lastRequestAt >= drainQuietDuration || hasStoppedListening;
    bool mayEnd = isQuiet && passed >= std::min<Duration>(minDrainDuration, ingress.drainTimeout / 2);
    bool mustEnd = loop.clock().now() >= parts.plannedStop->abortAt;
    if (mustEnd || (mayEnd && parts.openRequestCount == 0)) {
        logChange(LogLevel::Info, "stopped", { { "open_requests", parts.openRequestCount }, { "retry_budgets", retryTotals() } });
        onDrained();
        return;
    }
    loop.callAfter(drainCheckInterval, [this] { checkDrained(); });
}

IngressDaemon::IngressDaemon(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

IngressDaemon::~IngressDaemon() = default;

absl::StatusOr<std::unique_ptr<IngressDaemon>> IngressDaemon::start(EventLoop& loop, const DaemonSettings& settings, Random random,
    const Dialect& dialect, const StoreFactory& makeStore)
{
    auto impl = std::make_unique<Impl>(loop, settings, random, dialect, makeStore);
    absl::Status status = impl->listen();
    if (!status.ok())
        return status;
    logChange(LogLevel::Info, "started",
        { { "entry", settings.name }, { "zone", settings.availabilityZone }, { "region", settings.region },
            { "clients", settings.listen.callers.toString() }, { "peers", settings.listen.peers.toString() } });
    impl->parts.startedAt = loop.clock().now();
    impl->parts.credit = &impl->creditExchange;
    impl->parts.crashingRequests.setUrgentCallback([state = impl.get()] { state->scheduleUrgentReport(); });
    impl->parts.endpoints.setColdTolerance(settings.ingress->coldRatio, settings.ingress->coldSlack);
    // Closes connections to an endpoint that was restarted: they belong to the earlier
    // incarnation.
    impl->parts.endpoints.setReplacedObserver([client = impl->endpointClient.get()](RoutedEndpoint& endpoint) { client->forget(endpoint.record.address); });
    impl->follower.start();
    impl->houseKeep();
    impl->reportLoad();
    return std::unique_ptr<IngressDaemon>(new IngressDaemon(std::move(impl)));
}

void IngressDaemon::drain(std::function<void()> done)
{
    Impl& impl = *m_impl;
    if (impl.parts.plannedStop)
        return;
    impl.onDrained = std::move(done);
    TimePoint now = impl.loop.clock().now();
    impl.parts.plannedStop = PlannedStop { now, now + impl.ingress.drainTimeout - drainMargin };
    logChange(LogLevel::Info, "draining", { { "open_requests", impl.parts.openRequestCount } });
    impl.registration.stop();
    impl.relayedStore.stopRelaying();
    impl.clientServer->discourage();
    impl.peerServer->discourage();
    impl.checkDrained();
}

void IngressDaemon::reload(const DaemonSettings& settings)
{
    logChange(LogLevel::Info, "settings_reloaded", { { "entry", settings.name } });
    m_impl->ingress.drainTimeout = settings.ingress->drainTimeout;
    m_impl->ingress.directoryLifetime = settings.ingress->directoryLifetime;
    m_impl->parts.retryLimits = { settings.ingress->retryRatio, settings.ingress->retrySlack };
    m_impl->creditExchange.setTolerance(Impl::limitTolerance(*settings.ingress));
}

} // namespace catkinwing
