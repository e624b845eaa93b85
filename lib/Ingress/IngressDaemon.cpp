#include "catkinwing/Ingress/IngressDaemon.h"

#include "IngressDaemonImpl.h"
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Clients close idle connections after a limit set by their operator. An entry
/// keeps them open longer than any common limit.
static constexpr milliseconds idleConnectionTimeout { 60'000 };
static constexpr milliseconds clientSendTimeout { 15'000 };
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
/// Requests that aren't done by the end of draining are answered in this time after it.
static constexpr milliseconds finalAnswerTime { 100 };
static constexpr milliseconds drainCheckInterval { 50 };
static constexpr milliseconds houseKeepingInterval { 250 };
/// A longer time between two rounds of housekeeping means that the process was
/// paused or starved of CPU time, and receives messages late.
static constexpr milliseconds maxHouseKeepingGap { 500 };
/// Without an answer of the store or a relay for this time, the configuration may be outdated.
/// Both answer several times in it while they work.
static constexpr milliseconds maxConfigurationAge { 3'000 };
/// Requests take from 30 ms to several seconds, and loads that are received through
/// a collector are about one and a half intervals old. If loads are twice as old,
/// entries send too many requests to the same endpoints.
static constexpr milliseconds loadReportInterval { 100 };
/// Connections that break within this time are covered by one crash report.
static constexpr milliseconds urgentReportDelay { 2 };
/// Largest body at listeners whose requests have none.
static constexpr std::size_t maxUnusedBodyBytes = 16u << 10;
/// Requests that hold memory take from 30 ms to several seconds.
static constexpr const char* noRoomRetryAfter = "0.5";
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;
static constexpr int statusTooLarge = 413;
static constexpr int statusUnavailable = 503;

HttpRefusal IngressDaemon::Impl::refuseBody(int status)
{
    HttpRefusal refusal;
    refusal.head.status = status;
    refusal.head.headers.add("content-type", "application/json");
    refusal.head.headers.add(outcomeHeader, outcomeWord(Outcome::NotRun));
    if (status == statusUnavailable)
        refusal.head.headers.add("retry-after", noRoomRetryAfter);
    const char* code = "body_not_in_time";
    if (status == statusTooLarge)
        code = "body_too_large";
    else if (status == statusUnavailable)
        code = "request_buffers_full";
    refusal.body = absl::StrCat("{\"error\":{\"code\":\"", code, "\",\"outcome\":\"", outcomeWord(Outcome::NotRun), "\"}}");
    return refusal;
}

// Clients and entries speak HTTP/1.1.
absl::StatusOr<std::unique_ptr<HttpServer>> IngressDaemon::Impl::listenOn(const SocketAddress& address, std::size_t maxBodyBytes, HttpHandler handler)
{
    HttpServerOptions options;
    options.listen = address;
    options.maxBodyBytes = maxBodyBytes;
    options.memory = parts.clientMemory;
    options.makeRefusal = refuseBody;
    options.allowsHttp2 = false;
    options.requestTimeout = idleConnectionTimeout;
    options.sendTimeout = clientSendTimeout;
    options.maxConnections = static_cast<std::size_t>(connectionsForCallers(settings.limits));
    // Many clients may connect from one address.
    options.maxConnectionsPerCaller = options.maxConnections;
    options.onRefused = [this, listener = address.toString()](const SocketAddress& caller, const std::string& reason) {
        metrics.count("requests_refused_" + reason);
        logChange(LogLevel::Warning, "request_refused", { { "listener", listener }, { "caller", caller.toString() }, { "reason", reason } });
    };
    return HttpServer::listen(loop, std::move(options), std::move(handler));
}

absl::Status IngressDaemon::Impl::listen()
{
    using Responder = std::shared_ptr<HttpResponder>;
    struct Listener {
        SocketAddress address;
        std::unique_ptr<HttpServer>* server;
        std::size_t maxBodyBytes;
        HttpHandler handler;
    };
    auto maxBodyBytes = static_cast<std::size_t>(settings.limits.maximumBodyBytes);
    Listener listeners[] = {
        { settings.listen.callers, &clientServer, maxBodyBytes, [this](HttpRequest request, Responder responder) { handleRequest(std::move(request), std::move(responder), false); } },
        { settings.listen.peers, &peerServer, maxBodyBytes, [this](HttpRequest request, Responder responder) { handleRequest(std::move(request), std::move(responder), true); } },
        { ingress.readiness, &readinessServer, maxUnusedBodyBytes, [this](const HttpRequest& request, const Responder& responder) { answerReadiness(request, *responder); } },
        { ingress.directory, &directoryServer, maxUnusedBodyBytes, [this](const HttpRequest& request, const Responder& responder) { answerDirectory(request, *responder); } },
        { settings.listen.operators, &operatorServer, maxUnusedBodyBytes, [this](const HttpRequest& request, const Responder& responder) { answerOperator(request, *responder); } },
    };
    absl::StatusOr<std::unique_ptr<DatagramSocket>> socket = DatagramSocket::bind(loop, settings.listen.peers,
        [this](const SocketAddress& from, absl::string_view bytes) { receiveLoadReport(from, bytes); });
    if (!socket.ok())
        return socket.status();
    loadReportSocket = std::move(*socket);
    for (Listener& listener : listeners) {
        absl::StatusOr<std::unique_ptr<HttpServer>> server = listenOn(listener.address, listener.maxBodyBytes, std::move(listener.handler));
        if (!server.ok())
            return server.status();
        *listener.server = std::move(*server);
    }
    return absl::OkStatus();
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

// Other entries still send reports to an entry that restarted at its old address,
// so a sender is known before the store has answered.
void IngressDaemon::Impl::receiveLoadReport(const SocketAddress& from, absl::string_view bytes)
{
    if (!bytes.empty() && bytes.front() == creditMessageMark) {
        receiveCreditMessage(from, bytes);
        return;
    }
    if (!bytes.empty() && bytes.front() == limitMessageMark) {
        receiveLimitMessage(from, bytes);
        return;
    }
    if (!bytes.empty() && bytes.front() == streamOriginMark) {
        receiveStreamOriginMessage(from, bytes);
        return;
    }
    if (!bytes.empty() && bytes.front() == workspaceReportMark) {
        receiveWorkspaceReport(bytes);
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

void IngressDaemon::Impl::receiveLimitMessage(const SocketAddress& from, absl::string_view bytes)
{
    absl::StatusOr<LimitMessage> message = decodeLimitMessage(bytes);
    if (message.ok())
        limitExchange.handleMessage(from, *message);
    else
        metrics.count("limit_messages_refused");
}

void IngressDaemon::Impl::receiveStreamOriginMessage(const SocketAddress& from, absl::string_view bytes)
{
    absl::StatusOr<StreamOriginMessage> message = decodeStreamOriginMessage(bytes);
    if (message.ok())
        streamOrigins.handleMessage(from, *message);
    else
        metrics.count("stream_origin_messages_refused");
}

void IngressDaemon::Impl::receiveWorkspaceReport(absl::string_view bytes)
{
    absl::StatusOr<WorkspaceReport> report = decodeWorkspaceReport(bytes);
    if (report.ok())
        shortages.handleReport(*std::move(report), loop.clock().now());
    else
        metrics.count("workspace_reports_refused");
}

void IngressDaemon::Impl::receiveRegionReport(const SocketAddress& from, absl::string_view bytes)
{
    absl::StatusOr<RegionReport> report = decodeRegionReport(bytes);
    absl::StatusOr<CrashReport> crashReport = decodeCrashReport(report.ok() ? absl::string_view() : bytes);
    if (crashReport.ok()) {
        crashExchange.handleReport(from, *crashReport, loop.clock().now());
        parts.endpoints.recordReportedLosses(*crashReport, loop.clock().now());
    } else if (!report.ok())
        metrics.count("load_reports_refused");
    else if (report->region != settings.region)
        parts.outlooks.update(*report, loop.clock().now());
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
    limitExchange.tick();
    streamOrigins.tick();
    reportRegion();
    reportShortages();
    loop.callAfter(loadReportInterval, [this] { reportLoad(); });
}

void IngressDaemon::Impl::setMaxBodyBytes(std::size_t configured)
{
    std::size_t bytes = std::min(configured, static_cast<std::size_t>(settings.limits.maximumBodyBytes));
    clientServer->setMaxBodyBytes(bytes);
    peerServer->setMaxBodyBytes(bytes);
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
    parts.endpoints.setKnowledgeAge(relayedStore.dataAge().value_or(Duration::zero()));
    parts.endpoints.recordSilentEndpoints(now);
    if (parts.endpoints.reach().takeNewCut(now))
        parts.handleCutOff();
    parts.endpoints.abortUnresponsive(now);
    follower.runHousekeeping();
    parts.endpoints.setSharers(parts.entries.rateSharers(settings.region, now), self.peerAddress.toString(), now);
    bool isReadyNow = isReady();
    if (isReadyNow && !wasReady) {
        logChange(LogLevel::Info, "ready", { { "version", parts.routes->version() }, { "endpoints", parts.endpoints.size() } });
        registration.start();
        creditExchange.start();
    }
    wasReady = isReadyNow;
    if (isReadyNow) {
        entryCountWriter.tick();
        versionRecordWriter.tick();
    }
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
    bool mustEnd = loop.clock().now() >= parts.plannedStop->abortAt + finalAnswerTime;
    // A request has ended when its answer is whole here, which slow clients haven't read by then.
    std::size_t unsentAnswers = clientServer->unsentAnswers() + peerServer->unsentAnswers();
    if (mustEnd || (mayEnd && parts.openRequestCount == 0 && unsentAnswers == 0)) {
        logChange(LogLevel::Info, "stopped", { { "open_requests", parts.openRequestCount }, { "unsent_answers", unsentAnswers }, { "retry_budgets", retryTotals() } });
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
    impl->parts.clientMemory = std::make_shared<ClientMemory>(ClientMemory::capacityWithin(settings.limits.maximumMemoryMegabytes));
    absl::Status status = impl->listen();
    if (!status.ok())
        return status;
    logChange(LogLevel::Info, "started",
        { { "entry", settings.name }, { "zone", settings.availabilityZone }, { "region", settings.region },
            { "clients", settings.listen.callers.toString() }, { "peers", settings.listen.peers.toString() } });
    impl->parts.startedAt = loop.clock().now();
    impl->parts.requestBuffers = RequestBuffers(impl->parts.clientMemory->capacity());
    impl->parts.credit = &impl->creditExchange;
    impl->parts.limitExchange = &impl->limitExchange;
    impl->parts.streamOrigins = &impl->streamOrigins;
    impl->parts.shortages = settings.ingress->sharesShortage ? &impl->shortages : nullptr;
    impl->parts.crashSuspects.setUrgentCallback([state = impl.get()] { state->scheduleUrgentReport(); });
    impl->parts.endpoints.setColdTolerance(settings.ingress->coldRatio, settings.ingress->coldSlack);
    // Closes connections to an endpoint that was restarted: they belong to the earlier
    // incarnation.
    impl->parts.endpoints.setReplacedObserver([state = impl.get()](RoutedEndpoint& endpoint) {
        state->endpointClient->forget(endpoint.record.address);
        state->streamOrigins.withdrawAfterRestart(endpoint);
    });
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
    m_impl->parts.shortages = settings.ingress->sharesShortage ? &m_impl->shortages : nullptr;
}

} // namespace catkinwing
